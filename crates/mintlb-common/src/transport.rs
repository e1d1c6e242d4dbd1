//! Framed messages between the tier's own processes, over one kept TCP connection a direction.
//!
//! A process listens on one internal address and is known to the others by it. [`Transport::notify`] sends a message
//! that gets no answer; [`Transport::call`] waits for one, within a time. A message that can't be sent is lost, and
//! [`Service::on_peer_unreachable`] tells of its receiver. Every queue is bounded: what does not fit is lost like any message.
//!
//! Both sides of a connection begin with the identity of their life ([`Incarnation`]). The dialling side names the one
//! that its messages are meant for, if it knows one; a process with another identity, restarted or on a reused address,
//! takes none of them. What an ended life sent is not taken once its successor is known. An answer counts on the
//! connection that its call went out on and nowhere else.

mod frame;
mod greeting;
pub mod incarnations;
mod link;
pub mod rejections;

pub use frame::MAX_MESSAGE_BYTES;
pub use rejections::Rejection;

use crate::incarnation::Incarnation;
use bytes::{Bytes, BytesMut};
use frame::{Frame, Frames, Kind, put};
use greeting::{GREETING_BYTES, Greeting, Purpose, REPLY_BYTES, read_reply, reply_bytes};
use incarnations::{DialCheck, IncarnationTable};
use link::Link;
use parking_lot::Mutex;
use rejections::RejectionCounts;
use std::collections::HashMap;
use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

/// Answers that wait for one connection.
const QUEUE: usize = 512;
/// How long a connection may take to come up, and unacknowledged bytes may be out.
const PATIENCE: Duration = Duration::from_millis(1200);
/// A connection that carries nothing for so long is closed.
const IDLE: Duration = Duration::from_secs(30);
/// How long a receiver that could not be reached is not dialled again.
const PAUSE: Duration = Duration::from_millis(150);

/// Which part of a process a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Channel {
    /// Views, records, digests.
    Gossip = 1,
    /// The register's two rounds.
    Register = 2,
    /// Lots, between dispatchers and stores and between stores.
    Batch = 3,
    /// Duties: heartbeats of stores, orders passed on between controllers.
    Control = 4,
}

impl Channel {
    fn from_byte(byte: u8) -> Option<Channel> {
        [
            Channel::Gossip,
            Channel::Register,
            Channel::Batch,
            Channel::Control,
        ]
        .into_iter()
        .find(|c| *c as u8 == byte)
    }
}

/// The answer to a call, once it is there.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Bytes> + Send>>;

/// What takes the messages of a channel.
pub trait Service: Send + Sync {
    /// A message that gets no answer. `from` is the sender's internal address.
    fn on_notification(&self, _from: SocketAddr, _body: Bytes) {}
    /// A message that gets an answer; an empty one says that the call is not understood.
    fn on_request(&self, _from: SocketAddr, _body: Bytes) -> ResponseFuture {
        Box::pin(async { Bytes::new() })
    }
    /// Messages to this process were lost, as it can't be reached or its connection broke.
    fn on_peer_unreachable(&self, _peer: SocketAddr) {}
    /// Another life than the one known so far is at this address.
    fn on_peer_restarted(&self, _peer: SocketAddr, _incarnation: Incarnation) {}
}

/// Why a call has no answer. It may have been carried out, where nothing else is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No answer came in time.
    #[error("M301 no answer in time")]
    TimedOut,
    /// The connection could not be made or broke.
    #[error("M302 out of reach")]
    Unreachable,
    /// The other process does not understand the call.
    #[error("M303 not understood")]
    NotUnderstood,
    /// Another process is at the address now. The call was not carried out and never will be.
    #[error("M304 another process is at the address")]
    Replaced,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// There was nothing more to send.
    Idle,
    /// It could not be made, or broke, or the process that it led to is gone.
    Broken,
    /// Another life answered than the one that the messages were meant for, and took none of them.
    Refused,
}

/// Messages of one process. Cheap to clone behind its `Arc`.
pub struct Transport {
    own: SocketAddrV4,
    incarnation: Incarnation,
    services: Mutex<HashMap<Channel, Arc<dyn Service>>>,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    incarnations: Mutex<IncarnationTable>,
    rejections: Mutex<RejectionCounts>,
    calls: AtomicU64,
    sent_bytes: AtomicU64,
}

impl Transport {
    /// Listens on the process's internal address and serves from then on, as a new life.
    pub async fn start(own: SocketAddr) -> std::io::Result<Arc<Transport>> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(own)?;
        let listener = socket.listen(256)?;
        let SocketAddr::V4(own) = listener.local_addr()? else {
            return Err(std::io::ErrorKind::AddrNotAvailable.into());
        };
        let transport = Arc::new(Transport {
            own,
            incarnation: Incarnation::generate(own.into()),
            services: Mutex::default(),
            links: Mutex::default(),
            incarnations: Mutex::default(),
            rejections: Mutex::default(),
            calls: AtomicU64::new(1),
            sent_bytes: AtomicU64::new(0),
        });
        tokio::spawn(transport.clone().accept(listener));
        Ok(transport)
    }

    /// The internal address of this process, by which others know it.
    pub fn own_address(&self) -> SocketAddr {
        self.own.into()
    }

    /// The identity of this life of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Bytes handed to the system so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Relaxed)
    }

    /// Counts what was not taken from a process, also by the service that it was for.
    pub fn record_rejection(&self, rejection: Rejection, from: SocketAddr) {
        if let Some(count) = self.rejections.lock().count(rejection, from) {
            let level = if rejection.is_expected_after_restart() {
                log::Level::Info
            } else {
                log::Level::Warn
            };
            log::log!(level, "transport: {rejection}, from {from}, {count} so far");
        }
    }

    /// How much of this kind was not taken from a process so far.
    pub fn rejection_count(&self, rejection: Rejection, from: SocketAddr) -> u64 {
        self.rejections.lock().of(rejection, from)
    }

    /// Messages of this channel go to this service from now on.
    pub fn register_service(&self, channel: Channel, service: Arc<dyn Service>) {
        self.services.lock().insert(channel, service);
    }

    /// Sends a message that gets no answer; whether there was room for it in the queue.
    pub fn notify(self: &Arc<Self>, to: SocketAddr, channel: Channel, body: Bytes) -> bool {
        self.link(to).send(Frame {
            channel: channel as u8,
            kind: Kind::Notice,
            call: 0,
            body,
        })
    }

    /// Sends a message and waits for its answer. One that is found after its time does not count, also if this process
    /// stood still and finds the answer and the end of the time at once: nobody knows how long it lay about.
    pub async fn call(
        self: &Arc<Self>,
        to: SocketAddr,
        channel: Channel,
        body: Bytes,
        within: Duration,
    ) -> Result<Bytes, CallError> {
        let (call, began) = (self.calls.fetch_add(1, Relaxed), Instant::now());
        let link = self.link(to);
        let answered = link.expect_answer(call);
        let queued = link.send(Frame {
            channel: channel as u8,
            kind: Kind::Request,
            call,
            body,
        });
        let outcome = match queued {
            false => Err(CallError::Unreachable),
            true => match timeout(within, answered).await {
                Ok(Ok(Ok(_))) if began.elapsed() > within => Err(CallError::TimedOut),
                Ok(Ok(Ok(body))) if body.is_empty() => Err(CallError::NotUnderstood),
                Ok(Ok(outcome)) => outcome,
                Ok(Err(_)) => Err(CallError::Unreachable),
                Err(_) => Err(CallError::TimedOut),
            },
        };
        link.forget_call(call);
        outcome
    }

    /// The link to a process. A new one is meant for the life that is known there now.
    fn link(self: &Arc<Self>, to: SocketAddr) -> Arc<Link> {
        let expected = self.incarnations.lock().at(to);
        let mut links = self.links.lock();
        let link = links.entry(to).or_insert_with(|| {
            let (link, queue) = Link::new(expected);
            tokio::spawn(self.clone().dial(to, link.clone(), queue));
            link
        });
        link.clone()
    }

    /// Carries the messages to one process until the connection breaks or is idle.
    async fn dial(
        self: Arc<Self>,
        to: SocketAddr,
        link: Arc<Link>,
        mut queue: mpsc::Receiver<Frame>,
    ) {
        let end = self.carry(to, &link, &mut queue).await;
        drop(queue);
        self.unlink(to, &link);
        link.ended(if end == End::Refused {
            CallError::Replaced
        } else {
            CallError::Unreachable
        });
        if end != End::Idle {
            self.services()
                .iter()
                .for_each(|service| service.on_peer_unreachable(to));
        }
    }

    async fn carry(
        self: &Arc<Self>,
        to: SocketAddr,
        link: &Arc<Link>,
        queue: &mut mpsc::Receiver<Frame>,
    ) -> End {
        let Ok(stream) = self.connect(to, Purpose::Messages, link.expected).await else {
            sleep(PAUSE).await;
            return End::Broken;
        };
        let (read, write) = stream.into_split();
        let reads = self.read_answers(read, to, link);
        let writes = self.write(write, queue, true);
        tokio::select! {
            biased;
            end = reads => end,
            clean = writes => if clean { End::Idle } else { End::Broken },
            () = link.replaced() => End::Broken,
        }
    }

    /// Reads the answers on a dialled connection until it ends.
    async fn read_answers(&self, mut read: OwnedReadHalf, to: SocketAddr, link: &Arc<Link>) -> End {
        let mut reply = [0; REPLY_BYTES];
        if read.read_exact(&mut reply).await.is_err() {
            return End::Broken;
        }
        let Some(there) = read_reply(&reply) else {
            self.record_rejection(Rejection::InvalidHandshake, to);
            return End::Broken;
        };
        self.confirm(to, there, Some(link));
        if link.expected.is_some_and(|expected| expected != there) {
            return End::Refused;
        }
        let mut frames = Frames::new(read);
        while let Some(frame) = self.next_of(&mut frames, to).await {
            if frame.kind != Kind::Answer {
                self.record_rejection(Rejection::UnexpectedFrame, to);
                return End::Broken;
            }
            link.answered(frame.call, frame.body);
        }
        End::Broken
    }

    fn unlink(&self, to: SocketAddr, link: &Arc<Link>) {
        let mut links = self.links.lock();
        if links
            .get(&to)
            .is_some_and(|current| Arc::ptr_eq(current, link))
        {
            links.remove(&to);
        }
    }

    /// This life is at the address. If it is another than the one known so far, the connections to that one end, but for
    /// the one that told of it.
    fn confirm(&self, address: SocketAddr, incarnation: Incarnation, told_by: Option<&Arc<Link>>) {
        if !self.incarnations.lock().confirm(address, incarnation) {
            return;
        }
        log::debug!("transport: another process is at {address}");
        let is_other = |link: &Arc<Link>| told_by.is_none_or(|told_by| !Arc::ptr_eq(told_by, link));
        let former = {
            let mut links = self.links.lock();
            let is_former = links.get(&address).is_some_and(is_other);
            if is_former {
                links.remove(&address)
            } else {
                None
            }
        };
        former.iter().for_each(|link| link.replace());
        self.services()
            .iter()
            .for_each(|service| service.on_peer_restarted(address, incarnation));
    }

    fn services(&self) -> Vec<Arc<dyn Service>> {
        self.services.lock().values().cloned().collect()
    }

    async fn connect(
        &self,
        to: SocketAddr,
        purpose: Purpose,
        expected: Option<Incarnation>,
    ) -> std::io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        prepare(&socket2::SockRef::from(&socket));
        let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
        let mut stream = timeout(PATIENCE, socket.connect(to))
            .await
            .map_err(|_| late())??;
        stream.set_nodelay(true)?;
        let greeting = Greeting {
            purpose,
            address: self.own,
            incarnation: self.incarnation,
            expected,
        };
        stream.write_all(&greeting.to_bytes()).await?;
        Ok(stream)
    }

    /// Who is at an address; none if nobody answers.
    async fn ask(&self, address: SocketAddr) -> Option<Incarnation> {
        let asked = async {
            let mut stream = self.connect(address, Purpose::Question, None).await.ok()?;
            let mut reply = [0; REPLY_BYTES];
            stream.read_exact(&mut reply).await.ok()?;
            read_reply(&reply)
        };
        timeout(PATIENCE, asked).await.ok().flatten()
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    tokio::spawn(self.clone().accepted(stream, peer));
                }
                Err(_) => sleep(PAUSE).await,
            }
        }
    }

    async fn accepted(self: Arc<Self>, mut stream: TcpStream, peer: SocketAddr) {
        prepare(&socket2::SockRef::from(&stream));
        stream.set_nodelay(true).ok();
        let mut bytes = [0; GREETING_BYTES];
        let greeted = timeout(PATIENCE, stream.read_exact(&mut bytes)).await;
        let greeting = if matches!(greeted, Ok(Ok(_))) {
            Greeting::from_bytes(&bytes)
        } else {
            None
        };
        let Some(greeting) = greeting else {
            // Its port says nothing of who it is.
            return self
                .record_rejection(Rejection::InvalidHandshake, SocketAddr::new(peer.ip(), 0));
        };
        let replied = stream
            .write_all(&reply_bytes(self.incarnation))
            .await
            .is_ok();
        if !replied || greeting.purpose == Purpose::Question {
            return;
        }
        if greeting
            .expected
            .is_some_and(|expected| expected != self.incarnation)
        {
            self.record_rejection(Rejection::WrongIncarnation, greeting.from());
            return close(stream).await;
        }
        let (from, incarnation) = (greeting.from(), greeting.incarnation);
        if !self.admits(from, incarnation).await {
            return self.record_rejection(Rejection::StaleIncarnation, from);
        }
        let (read, write) = stream.into_split();
        let (answers, mut queue) = mpsc::channel(QUEUE);
        let reads = self.read_messages(read, from, incarnation, answers);
        let writes = self.write(write, &mut queue, false);
        tokio::select! { () = reads => (), _ = writes => () }
    }

    /// Whether a process that dials is the one at its address.
    async fn admits(&self, from: SocketAddr, incarnation: Incarnation) -> bool {
        let claim = self.incarnations.lock().check_dialer(from, incarnation);
        if claim == DialCheck::Known {
            return true;
        }
        let there = self.ask(from).await.unwrap_or(incarnation);
        self.confirm(from, there, None);
        there == incarnation
    }

    /// Writes what is queued; whether it ended for want of anything to do.
    async fn write(
        &self,
        mut write: OwnedWriteHalf,
        queue: &mut mpsc::Receiver<Frame>,
        dialled: bool,
    ) -> bool {
        let mut out = BytesMut::new();
        loop {
            let frame = match timeout(IDLE, queue.recv()).await {
                Ok(Some(frame)) => frame,
                Ok(None) => return true,
                Err(_) if dialled => return true,
                Err(_) => continue,
            };
            put(&mut out, &frame);
            while out.len() < 64 << 10 {
                let Ok(frame) = queue.try_recv() else { break };
                put(&mut out, &frame);
            }
            self.sent_bytes.fetch_add(out.len() as u64, Relaxed);
            if write.write_all(&out).await.is_err() {
                return false;
            }
            out.clear();
            if out.capacity() > 256 << 10 {
                out = BytesMut::new();
            }
        }
    }

    /// Reads messages on an accepted connection until it ends or its sender's life has. Answers go into `answers`.
    async fn read_messages(
        &self,
        read: OwnedReadHalf,
        from: SocketAddr,
        incarnation: Incarnation,
        answers: mpsc::Sender<Frame>,
    ) {
        let mut frames = Frames::new(read);
        while let Some(frame) = self.next_of(&mut frames, from).await {
            if !self.incarnations.lock().is_current(from, incarnation) {
                return self.record_rejection(Rejection::StaleIncarnation, from);
            }
            if frame.kind == Kind::Answer {
                return self.record_rejection(Rejection::UnexpectedFrame, from);
            }
            self.take(frame, from, &answers);
        }
    }

    /// The next frame; none when the connection has ended or brings something else.
    async fn next_of(&self, frames: &mut Frames, from: SocketAddr) -> Option<Frame> {
        let frame = frames.next().await;
        if frame.is_err() {
            self.record_rejection(Rejection::Malformed, from);
        }
        frame.ok().flatten()
    }

    fn take(&self, frame: Frame, from: SocketAddr, answers: &mpsc::Sender<Frame>) {
        let service =
            Channel::from_byte(frame.channel).and_then(|c| self.services.lock().get(&c).cloned());
        let Some(service) = service else { return };
        if frame.kind == Kind::Notice {
            return service.on_notification(from, frame.body);
        }
        let (answers, answer) = (answers.clone(), service.on_request(from, frame.body));
        tokio::spawn(async move {
            let body = answer.await;
            let answer = Frame {
                channel: frame.channel,
                kind: Kind::Answer,
                call: frame.call,
                body,
            };
            answers.send(answer).await.ok();
        });
    }
}

/// Ends a connection whose messages are not taken. They are read and dropped for a while, as closing over bytes that
/// were not read would reset the connection and lose the reply.
async fn close(mut stream: TcpStream) {
    stream.shutdown().await.ok();
    let mut unread = vec![0; 4 << 10];
    let rest = async { while stream.read(&mut unread).await.is_ok_and(|read| read > 0) {} };
    timeout(PATIENCE, rest).await.ok();
}

/// What never comes back must be known as such in time.
fn prepare(socket: &socket2::SockRef) {
    socket.set_tcp_user_timeout(Some(PATIENCE)).ok();
    let probes = socket2::TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    socket.set_tcp_keepalive(&probes).ok();
}
