//! Framed messages between the tier's own processes, over one kept TCP connection a direction.
//!
//! A process listens on one internal address and is known to the others by it. [`Transport::notify`] sends a message
//! that gets no answer; [`Transport::call`] waits for one, within a time. A message that can't be sent is lost, and
//! [`Service::unreachable`] tells of its receiver. Every queue is bounded: what does not fit is lost like any message.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use parking_lot::Mutex;
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
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// The longest message.
pub const MOST_BYTES: usize = 24 << 20;

/// Messages that wait for one connection.
const QUEUE: usize = 512;
/// How long a connection may take to come up, and unacknowledged bytes may be out.
const PATIENCE: Duration = Duration::from_millis(1200);
/// A connection that carries nothing for so long is closed.
const IDLE: Duration = Duration::from_secs(30);
/// How long a receiver that could not be reached is not dialled again.
const PAUSE: Duration = Duration::from_millis(150);
/// The first bytes of each connection: the protocol's name and version.
const GREETING: [u8; 6] = *b"mintl1";
/// Length, channel, kind and call number of a frame.
const HEAD: usize = 4 + 1 + 1 + 8;

/// Which part of a process a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Channel {
    /// Views, records, digests.
    Overlay = 1,
    /// The register's two rounds.
    Register = 2,
    /// Lots, between dispatchers and stores and between stores.
    Lots = 3,
    /// Duties: heartbeats of stores, orders passed on between controllers.
    Duties = 4,
}

impl Channel {
    fn from_byte(byte: u8) -> Option<Channel> {
        [Channel::Overlay, Channel::Register, Channel::Lots, Channel::Duties]
            .into_iter()
            .find(|c| *c as u8 == byte)
    }
}

/// The answer to a call, once it is there.
pub type Answer = Pin<Box<dyn Future<Output = Bytes> + Send>>;

/// What takes the messages of a channel.
pub trait Service: Send + Sync {
    /// A message that gets no answer. `from` is the sender's internal address.
    fn notice(&self, _from: SocketAddr, _body: Bytes) {}
    /// A message that gets an answer; an empty one says that the call is not understood.
    fn request(&self, _from: SocketAddr, _body: Bytes) -> Answer {
        Box::pin(async { Bytes::new() })
    }
    /// Messages to this process were lost, as it can't be reached or its connection broke.
    fn unreachable(&self, _peer: SocketAddr) {}
}

/// Why a call has no answer. It may have been carried out.
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
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Notice = 0,
    Request = 1,
    Answer = 2,
}

struct Frame {
    channel: u8,
    kind: Kind,
    call: u64,
    body: Bytes,
}

type Waiting = HashMap<u64, oneshot::Sender<Bytes>>;

/// Messages of one process. Cheap to clone behind its `Arc`.
pub struct Transport {
    own: SocketAddr,
    services: Mutex<HashMap<Channel, Arc<dyn Service>>>,
    links: Mutex<HashMap<SocketAddr, mpsc::Sender<Frame>>>,
    waiting: Mutex<HashMap<SocketAddr, Waiting>>,
    calls: AtomicU64,
    sent_bytes: AtomicU64,
}

impl Transport {
    /// Listens on the process's internal address and serves from then on.
    pub async fn start(own: SocketAddr) -> std::io::Result<Arc<Transport>> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(own)?;
        let listener = socket.listen(256)?;
        let transport = Arc::new(Transport {
            own: listener.local_addr()?,
            services: Mutex::default(),
            links: Mutex::default(),
            waiting: Mutex::default(),
            calls: AtomicU64::new(1),
            sent_bytes: AtomicU64::new(0),
        });
        tokio::spawn(transport.clone().accept(listener));
        Ok(transport)
    }

    /// The internal address of this process, by which others know it.
    pub fn own_address(&self) -> SocketAddr {
        self.own
    }

    /// Bytes handed to the system so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Relaxed)
    }

    /// Messages of this channel go to this service from now on.
    pub fn serve(&self, channel: Channel, service: Arc<dyn Service>) {
        self.services.lock().insert(channel, service);
    }

    /// Sends a message that gets no answer; whether there was room for it in the queue.
    pub fn notify(self: &Arc<Self>, to: SocketAddr, channel: Channel, body: Bytes) -> bool {
        self.enqueue(to, Frame { channel: channel as u8, kind: Kind::Notice, call: 0, body })
    }

    /// Sends a message and waits for its answer.
    pub async fn call(
        self: &Arc<Self>,
        to: SocketAddr,
        channel: Channel,
        body: Bytes,
        within: Duration,
    ) -> Result<Bytes, CallError> {
        let call = self.calls.fetch_add(1, Relaxed);
        let (answer, answered) = oneshot::channel();
        self.waiting.lock().entry(to).or_default().insert(call, answer);
        let queued = self.enqueue(to, Frame { channel: channel as u8, kind: Kind::Request, call, body });
        let outcome = match queued {
            false => Err(CallError::Unreachable),
            true => match timeout(within, answered).await {
                Ok(Ok(body)) if body.is_empty() => Err(CallError::NotUnderstood),
                Ok(Ok(body)) => Ok(body),
                Ok(Err(_)) => Err(CallError::Unreachable),
                Err(_) => Err(CallError::TimedOut),
            },
        };
        if let Some(waiting) = self.waiting.lock().get_mut(&to) {
            waiting.remove(&call);
        }
        outcome
    }

    fn enqueue(self: &Arc<Self>, to: SocketAddr, frame: Frame) -> bool {
        let mut links = self.links.lock();
        let link = links.entry(to).or_insert_with(|| {
            let (link, queue) = mpsc::channel(QUEUE);
            tokio::spawn(self.clone().dial(to, queue));
            link
        });
        link.try_send(frame).is_ok()
    }

    /// Carries the messages to one process until the connection breaks or is idle.
    async fn dial(self: Arc<Self>, to: SocketAddr, mut queue: mpsc::Receiver<Frame>) {
        let clean = match self.connect(to).await {
            Ok(stream) => {
                let (read, write) = stream.into_split();
                let reads = self.clone().read(read, to, None);
                let writes = self.write(write, &mut queue, true);
                tokio::select! { () = reads => false, clean = writes => clean }
            }
            Err(_) => {
                sleep(PAUSE).await;
                false
            }
        };
        self.links.lock().remove(&to);
        self.waiting.lock().remove(&to);
        if !clean {
            let services: Vec<_> = self.services.lock().values().cloned().collect();
            services.iter().for_each(|service| service.unreachable(to));
        }
    }

    async fn connect(&self, to: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        prepare(&socket2::SockRef::from(&socket));
        let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
        let mut stream = timeout(PATIENCE, socket.connect(to)).await.map_err(|_| late())??;
        stream.set_nodelay(true)?;
        let mut greeting = BytesMut::from(&GREETING[..]);
        if let SocketAddr::V4(own) = self.own {
            greeting.put_slice(&own.ip().octets());
            greeting.put_u16(own.port());
        }
        stream.write_all(&greeting).await?;
        Ok(stream)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().accepted(stream));
                }
                Err(_) => sleep(PAUSE).await,
            }
        }
    }

    async fn accepted(self: Arc<Self>, mut stream: TcpStream) {
        prepare(&socket2::SockRef::from(&stream));
        stream.set_nodelay(true).ok();
        let mut greeting = [0; GREETING.len() + 6];
        let greeted = timeout(PATIENCE, stream.read_exact(&mut greeting)).await;
        if !matches!(greeted, Ok(Ok(_))) || greeting[..GREETING.len()] != GREETING {
            return;
        }
        let mut address = &greeting[GREETING.len()..];
        let ip = address.get_u32();
        let from = SocketAddr::V4(SocketAddrV4::new(ip.into(), address.get_u16()));
        let (read, write) = stream.into_split();
        let (answers, mut queue) = mpsc::channel(QUEUE);
        let reads = self.clone().read(read, from, Some(answers));
        let writes = self.write(write, &mut queue, false);
        tokio::select! { () = reads => (), _ = writes => () }
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

    /// Reads frames until the connection ends. Answers to what is read go into `answers`.
    async fn read(
        self: Arc<Self>,
        mut read: OwnedReadHalf,
        from: SocketAddr,
        answers: Option<mpsc::Sender<Frame>>,
    ) {
        let mut bytes = BytesMut::with_capacity(4 << 10);
        loop {
            while let Some(frame) = match take(&mut bytes) {
                Ok(frame) => frame,
                Err(NoFrame) => return,
            } {
                self.take(frame, from, answers.as_ref());
            }
            if bytes.is_empty() && bytes.capacity() > 256 << 10 {
                bytes = BytesMut::with_capacity(4 << 10);
            }
            if !read.read_buf(&mut bytes).await.is_ok_and(|read| read > 0) {
                return;
            }
        }
    }

    fn take(self: &Arc<Self>, frame: Frame, from: SocketAddr, answers: Option<&mpsc::Sender<Frame>>) {
        if frame.kind == Kind::Answer {
            let waits = self.waiting.lock().get_mut(&from).and_then(|waiting| waiting.remove(&frame.call));
            waits.map(|waits| waits.send(frame.body));
            return;
        }
        let service = Channel::from_byte(frame.channel).and_then(|c| self.services.lock().get(&c).cloned());
        let Some(service) = service else { return };
        match (frame.kind, answers) {
            (Kind::Request, Some(answers)) => {
                let (answers, answer) = (answers.clone(), service.request(from, frame.body));
                tokio::spawn(async move {
                    let body = answer.await;
                    let answer = Frame { channel: frame.channel, kind: Kind::Answer, call: frame.call, body };
                    answers.send(answer).await.ok();
                });
            }
            _ => service.notice(from, frame.body),
        }
    }
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

/// The bytes are no frame of this protocol.
struct NoFrame;

fn put(out: &mut BytesMut, frame: &Frame) {
    out.put_u32(frame.body.len() as u32);
    out.put_u8(frame.channel);
    out.put_u8(frame.kind as u8);
    out.put_u64(frame.call);
    out.put_slice(&frame.body);
}

/// The next whole frame, if it is there.
fn take(bytes: &mut BytesMut) -> Result<Option<Frame>, NoFrame> {
    if bytes.len() < HEAD {
        return Ok(None);
    }
    let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    if length > MOST_BYTES {
        return Err(NoFrame);
    }
    if bytes.len() < HEAD + length {
        bytes.reserve(HEAD + length - bytes.len());
        return Ok(None);
    }
    let mut head = bytes.split_to(HEAD);
    head.advance(4);
    let channel = head.get_u8();
    let kind = match head.get_u8() {
        0 => Kind::Notice,
        1 => Kind::Request,
        2 => Kind::Answer,
        _ => return Err(NoFrame),
    };
    let call = head.get_u64();
    Ok(Some(Frame { channel, kind, call, body: bytes.split_to(length).freeze() }))
}
