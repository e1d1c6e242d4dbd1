//! The sockets of producers and workers, and the links between the hub and the core.

use crate::codec::{Command, Fault, Item, Reader};
use crate::hub::{Deed, Hub};
use crate::machines::Place;
use bytes::BytesMut;
use mintlb_core::capacity::CapacityPermit;
use mintlb_core::clock::Clock;
use mintlb_core::membership::{Member, MembershipUpdate, WorkerSource};
use mintlb_core::reducer::Event;
use mintlb_core::subsystem::Subsystem;
use mintlb_core::work::{
    Answer, AttemptId, AttemptRequest, AttemptResult, CancelHandle, Endpoint, Payload, Responder,
    Submission,
};
use mintlb_scheduler::{Idempotency, Outcome, ProjectType, ProjectTypeSet};
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use slog::{Logger, debug, info, warn};
use std::any::Any;
use std::fmt::{Display, Formatter};
use std::future::pending;
use std::io::ErrorKind;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, sleep, sleep_until};

/// The most bytes that are read ahead of a command that must wait.
const READ_AHEAD_BYTES: usize = 4 << 10;
/// The most bytes of replies that may wait to be written before the next command is run.
const MAX_REPLY_BYTES: usize = 16 << 10;
/// The bytes of one read where only commands are expected.
const COMMAND_READ_BYTES: usize = 512;
/// A connection that takes no replies is closed after this many times the bound for reading a command.
const UNWRITTEN_FACTOR: u32 = 8;

/// Bounds in time and number on the sockets.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// The most connections at once.
    pub connections: usize,
    /// How long a command may take to come, from its first byte on.
    pub read: Duration,
    /// The pause after a connection could not be accepted.
    pub pause: Duration,
}

/// What all connections share.
struct Shared {
    hub: Hub,
    /// Wakes the sessions' tasks.
    wakers: FxHashMap<u64, Arc<Notify>>,
    /// An empty vector whose memory is used again.
    spare: Vec<Deed>,
    /// When the timer task will wake, in seconds of the clock.
    timer_at: f64,
}

/// The protocol's server.
pub struct Front {
    shared: Mutex<Shared>,
    /// Wakes the timer task when the hub's next time has moved forward.
    timer_moved: Notify,
    /// One permit for each connection.
    connections: Arc<Semaphore>,
    bounds: Bounds,
    /// The protocol's own part of a request, which is empty here.
    empty: Arc<dyn Any + Send + Sync>,
    /// By project type: its jobs are not idempotent.
    once: Vec<bool>,
    clock: Clock,
    /// The core's events.
    tell: UnboundedSender<Event>,
    log: Logger,
}

impl Front {
    /// A server of the hub for these project types. [`Front::listen`] starts it.
    pub fn new(
        hub: Hub,
        types: &[ProjectType],
        bounds: Bounds,
        clock: Clock,
        tell: UnboundedSender<Event>,
        log: Logger,
    ) -> Arc<Front> {
        Arc::new(Front {
            shared: Mutex::new(Shared {
                hub,
                wakers: FxHashMap::default(),
                spare: Vec::new(),
                timer_at: f64::MAX,
            }),
            timer_moved: Notify::new(),
            empty: Arc::new(()),
            connections: Arc::new(Semaphore::new(bounds.connections)),
            bounds,
            once: types
                .iter()
                .map(|t| t.idempotency != Idempotency::Idempotent)
                .collect(),
            clock,
            tell,
            log,
        })
    }

    /// Calls the hub, and carries out its effects.
    fn with<R>(self: &Arc<Front>, call: impl FnOnce(&mut Hub, f64) -> R) -> R {
        let now = self.clock.now();
        let mut shared = self.shared.lock();
        let result = call(&mut shared.hub, now);
        let spare = std::mem::take(&mut shared.spare);
        let mut deeds = shared.hub.deeds(spare);
        for deed in deeds.drain(..) {
            self.carry_out(&shared, deed);
        }
        shared.spare = deeds;
        if shared
            .hub
            .next_due()
            .is_some_and(|due| due < shared.timer_at)
        {
            self.timer_moved.notify_one();
        }
        result
    }

    fn carry_out(self: &Arc<Front>, shared: &Shared, deed: Deed) {
        match deed {
            Deed::Arrive {
                id,
                project_type,
                customer,
                arrived,
                time_budget,
                body,
            } => {
                let once = self.once[project_type];
                let answer = Box::new(AnswerSink {
                    front: self.clone(),
                    id,
                });
                let payload = Payload {
                    body,
                    non_idempotent: once,
                    protocol_data: self.empty.clone(),
                };
                let (client_id, slots) = (None, 1.0);
                let arrival = Submission {
                    id,
                    client_request_id: client_id,
                    project_type,
                    customer,
                    slots,
                    arrived_at: arrived,
                    time_budget,
                    payload,
                    responder: answer,
                };
                self.tell.send(Event::Submitted(arrival)).ok();
            }
            Deed::Member(change) => {
                let (machine, runs, generation) = (change.machine, change.runs, change.generation);
                let reach = Arc::new(GroupReach {
                    front: self.clone(),
                    machine,
                    runs,
                    generation,
                });
                let (name, line) = (change.name, change.line);
                let member = Member {
                    name,
                    entry: line,
                    host: Some(machine),
                    endpoint: Some(reach),
                };
                let told = MembershipUpdate {
                    source: WorkerSource::SelfRegistered,
                    full: false,
                    members: vec![member],
                };
                self.tell.send(Event::MembershipChanged(None, told)).ok();
            }
            Deed::Tell(event) => drop(self.tell.send(event)),
            Deed::Wake(session) => {
                if let Some(waker) = shared.wakers.get(&session) {
                    waker.notify_one();
                }
            }
        }
    }

    /// The timer task: wakes the hub at its next time, again and again.
    async fn run_timer(self: Arc<Front>) {
        loop {
            let due = {
                let mut shared = self.shared.lock();
                shared.timer_at = shared.hub.next_due().unwrap_or(f64::MAX);
                shared.timer_at
            };
            let is_due = async {
                match due < f64::MAX {
                    true => sleep_until(self.clock.instant(due)).await,
                    false => pending().await,
                }
            };
            tokio::select! {
                () = is_due => self.with(|hub, now| hub.woke(now)),
                () = self.timer_moved.notified() => (),
            }
        }
    }

    /// Accepts connections for ever, and runs the hub's timers.
    pub async fn listen(self: Arc<Front>, listener: TcpListener) {
        tokio::spawn(self.clone().run_timer());
        let mut failing = false;
        loop {
            let accepted = listener.accept().await;
            match accepted {
                Ok((stream, peer)) => {
                    let machine = peer.ip().to_canonical();
                    match self.connections.clone().try_acquire_owned() {
                        Ok(permit) => {
                            let session = self.clone().session(stream, machine);
                            tokio::spawn(async move {
                                session.await;
                                drop(permit);
                            });
                        }
                        // The protocol's reply to it: the client may try again.
                        Err(_) => drop(stream.try_write(b"OUT_OF_MEMORY\r\n")),
                    }
                    failing = false;
                }
                Err(e) => {
                    if !failing {
                        warn!(self.log, "a connection could not be accepted"; "why" => %e);
                    }
                    failing = true;
                    sleep(self.bounds.pause).await;
                }
            }
        }
    }

    /// The task of one connection.
    async fn session(self: Arc<Front>, mut stream: TcpStream, machine: IpAddr) {
        stream.set_nodelay(true).ok();
        let waker = Arc::new(Notify::new());
        let id = self.with(|hub, _| hub.connect(machine));
        self.shared.lock().wakers.insert(id, waker.clone());
        let ended = self.serve(&mut stream, id, &waker).await;
        self.shared.lock().wakers.remove(&id);
        self.with(|hub, now| hub.closed(now, id));
        debug!(self.log, "a session has ended"; "why" => ended, "machine" => %machine);
        stream.shutdown().await.ok();
    }

    /// Serves a session to its end; returns the reason of the end, for the log.
    async fn serve(
        self: &Arc<Front>,
        stream: &mut TcpStream,
        id: u64,
        waker: &Notify,
    ) -> &'static str {
        let mut reader = Reader::new(self.with(|hub, _| hub.most_bytes()));
        let (mut bytes, mut body_room): (BytesMut, Option<CapacityPermit>) = Default::default();
        let (mut out, mut sent, mut left) = (Vec::new(), 0, false);
        // Since when a command has been incomplete, and since when replies could not be written.
        let (mut part, mut stuck): (Option<Instant>, Option<Instant>) = (None, None);
        let mut wrote = 0;
        // The library knows from a short read that no more bytes have come, which saves a system call.
        let (mut reading, writing) = stream.split();
        loop {
            let (blocked, over, cut) = self.with(|hub, now| {
                if wrote > 0 {
                    hub.wrote(id, std::mem::take(&mut wrote));
                }
                self.run_commands(hub, now, id, &mut reader, &mut bytes, &mut body_room);
                if sent == out.len() {
                    out.clear();
                    (out, sent) = (hub.take_out(now, id, std::mem::take(&mut out)), 0);
                }
                (hub.is_blocked(id), hub.is_over(id), hub.is_cut(id))
            });
            if cut {
                return "what it was sent was called off";
            }
            while sent < out.len() {
                match writing.try_write(&out[sent..]) {
                    Ok(n) => (sent, wrote) = (sent + n, wrote + n),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return "it broke",
                }
            }
            let written = sent == out.len();
            if wrote > 0 {
                // The hub must know it first, and may have more output then.
                stuck = None;
                continue;
            }
            if over && (written || left) {
                return "it was to end";
            }
            if left && (blocked || written) {
                return "the other side has left";
            }
            if blocked
                && written
                && bytes.is_empty()
                && bytes.capacity().max(out.capacity()) > 2 * COMMAND_READ_BYTES
            {
                // It may idle for long, so it keeps no large buffers.
                (bytes, out, sent) = (BytesMut::new(), Vec::new(), 0);
            }
            let partial = !blocked && (!bytes.is_empty() || reader.is_within());
            part = if partial {
                part.or_else(|| Some(Instant::now()))
            } else {
                None
            };
            stuck = if written {
                None
            } else {
                stuck.or_else(|| Some(Instant::now()))
            };
            let slow = part.map(|at| at + self.bounds.read);
            let due = slow
                .into_iter()
                .chain(stuck.map(|at| at + self.bounds.read * UNWRITTEN_FACTOR))
                .min();
            let most = if blocked {
                READ_AHEAD_BYTES
            } else {
                reader.wants().max(READ_AHEAD_BYTES)
            };
            let reads = !left && bytes.len() < most && (written || blocked);
            if reads {
                bytes.reserve(if reader.is_within() {
                    most - bytes.len()
                } else {
                    COMMAND_READ_BYTES
                });
            }
            tokio::select! {
                () = waker.notified() => {}
                read = reading.read_buf(&mut bytes), if reads => {
                    match read {
                        Ok(0) => left = true,
                        Ok(_) => {}
                        Err(_) => return "it broke",
                    }
                }
                ready = writing.writable(), if !written => {
                    if ready.is_err() {
                        return "it broke";
                    }
                }
                () = sleep_until_some(due), if due.is_some() => {
                    return if written { "a command did not come whole" } else { "it takes no replies" };
                }
            }
        }
    }

    /// Runs the commands that have come, until one must wait or enough replies do.
    fn run_commands(
        &self,
        hub: &mut Hub,
        now: f64,
        id: u64,
        reader: &mut Reader,
        bytes: &mut BytesMut,
        body_room: &mut Option<CapacityPermit>,
    ) {
        while !hub.is_blocked(id) && !hub.is_over(id) && hub.queued_bytes(id) < MAX_REPLY_BYTES {
            match reader.next(bytes) {
                None => return,
                Some(Item::Coming(length)) => {
                    *body_room = hub.body_room(length);
                    if body_room.is_none() {
                        reader.refuse(Fault::OutOfMemory);
                    }
                }
                Some(Item::Command(command)) => {
                    let room = if matches!(command, Command::Put(..)) {
                        body_room.take()
                    } else {
                        None
                    };
                    hub.command(now, id, command, room);
                }
                Some(Item::Fault(fault)) => {
                    *body_room = None;
                    hub.say(id, fault.reply());
                    if fault == Fault::Unframed {
                        hub.end(id);
                    }
                }
            }
        }
    }
}

/// The server as a subsystem of the program.
pub struct Joint(pub Arc<Front>);

impl Subsystem for Joint {
    /// Passes on what the list service says of machines, by the addresses of its workers.
    fn on_membership_update(&self, told: &MembershipUpdate) {
        let places = told.members.iter().filter_map(|member| {
            let line = &member.entry;
            let (zone, cell, kind, listed, came_up) = (
                line.zone,
                line.cell,
                line.machine_kind,
                line.state,
                line.started_at,
            );
            Some((
                member.host?,
                Place {
                    zone,
                    cell,
                    kind,
                    listed,
                    came_up,
                },
            ))
        });
        self.0.with(|hub, _| hub.hear(told.full, places));
    }

    /// Takes no job from now on.
    fn begin_shutdown(&self) {
        self.0.with(|hub, now| hub.stop(now));
    }

    /// Refuses puts while `leaving`; jobs that were taken run on.
    fn set_leaving(&self, leaving: bool) {
        self.0.with(|hub, _| hub.leaving = leaving);
    }

    /// Nothing is left to be written.
    fn is_flushed(&self) -> bool {
        self.0.shared.lock().hub.is_quiet()
    }

    /// Logs a line of counts if there is something to count.
    fn log_counts(&self) {
        let mut shared = self.0.shared.lock();
        let refused = std::mem::take(&mut shared.hub.totals.refused);
        let (connected, machines) = (shared.wakers.len(), shared.hub.groups());
        if connected > 0 || refused > 0 {
            info!(self.0.log, "beanstalkd"; "puts refused" => refused, "groups of workers" => machines,
                "connected" => connected);
        }
    }
}

/// Sleeps until a time, for ever without one.
async fn sleep_until_some(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => pending().await,
    }
}

/// Passes the final answer to a job's request to the hub.
struct AnswerSink {
    front: Arc<Front>,
    id: u64,
}

impl Responder for AnswerSink {
    fn respond(self: Box<Self>, answer: Answer) {
        self.front.with(|hub, now| hub.ended(now, self.id, answer));
    }
}

/// Sends attempts to one generation of a group of workers.
struct GroupReach {
    front: Arc<Front>,
    machine: IpAddr,
    runs: ProjectTypeSet,
    generation: u64,
}

impl Display for GroupReach {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        self.machine.fmt(f)
    }
}

impl Endpoint for GroupReach {
    fn send(&self, order: AttemptRequest) -> Box<dyn CancelHandle> {
        let attempt = order.attempt_id;
        // What the attempt costs is paid now, as a waiting reserve is answered at once. Unpaid, it never ran.
        if order
            .reservation
            .as_ref()
            .is_some_and(|slip| !slip.commit())
        {
            self.front
                .tell
                .send(Event::Finished(AttemptResult::from_outcome(
                    attempt,
                    Outcome::Moot,
                )))
                .ok();
            return Box::new(());
        }
        self.front
            .with(|hub, _| hub.order(self.machine, self.runs, self.generation, order));
        Box::new(AttemptRecall {
            front: self.front.clone(),
            attempt,
        })
    }

    /// Does nothing: there is no load report in this protocol.
    fn probe(&self, _worker: u64) {}
}

/// Recalls an attempt that was sent.
struct AttemptRecall {
    front: Arc<Front>,
    attempt: AttemptId,
}

impl CancelHandle for AttemptRecall {
    fn cancel(self: Box<Self>) {
        self.front.with(|hub, now| hub.recall(now, self.attempt));
    }
}
