//! TCP server for producers and workers; applies the hub's effects and forwards events between hub and core.

use crate::codec::{Command, CommandReader, Item, ProtocolError};
use crate::hub::{Effect, Hub};
use crate::machines::MachineInfo;
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

/// Read-ahead limit while the session's previous command is still unanswered.
const READ_AHEAD_BYTES: usize = 4 << 10;
/// No further command runs while at least this many reply bytes are queued.
const MAX_UNSENT_REPLY_BYTES: usize = 16 << 10;
/// Buffer space reserved for a read when only a command line is expected.
const COMMAND_READ_BYTES: usize = 512;
/// Write timeout as a multiple of [`SocketLimits::read_timeout`]: a connection that accepts no reply bytes for that
/// long is closed.
const WRITE_TIMEOUT_FACTOR: u32 = 8;

/// Connection limit and timeouts of the server.
#[derive(Clone, Debug)]
pub struct SocketLimits {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum time to receive a complete command, counted from its first byte.
    pub read_timeout: Duration,
    /// Delay before `accept` is retried after it failed.
    pub accept_retry_delay: Duration,
}

/// State shared by all connections, under one lock.
struct Shared {
    hub: Hub,
    /// Wakes each session's task, by session id.
    wakers: FxHashMap<u64, Arc<Notify>>,
    /// Empty vector kept so that its memory is reused.
    spare_effects: Vec<Effect>,
    /// When the timer task wakes next, in seconds of the clock.
    timer_at: f64,
}

/// The beanstalkd server: accepts connections and runs one task for each.
pub struct Server {
    shared: Mutex<Shared>,
    /// Wakes the timer task when the hub's next timer is due earlier than the task expects.
    timer_moved: Notify,
    /// One permit for each connection.
    connections: Arc<Semaphore>,
    limits: SocketLimits,
    /// Protocol-specific data of a request; always empty for beanstalkd.
    no_protocol_data: Arc<dyn Any + Send + Sync>,
    /// By project type: whether its jobs are not idempotent.
    is_non_idempotent: Vec<bool>,
    clock: Clock,
    /// Channel to the core's event loop.
    core_events: UnboundedSender<Event>,
    log: Logger,
}

impl Server {
    /// `types` are the scheduler's project types in their order. Nothing runs until [`Server::listen`].
    pub fn new(
        hub: Hub,
        types: &[ProjectType],
        limits: SocketLimits,
        clock: Clock,
        core_events: UnboundedSender<Event>,
        log: Logger,
    ) -> Arc<Server> {
        Arc::new(Server {
            shared: Mutex::new(Shared {
                hub,
                wakers: FxHashMap::default(),
                spare_effects: Vec::new(),
                timer_at: f64::MAX,
            }),
            timer_moved: Notify::new(),
            no_protocol_data: Arc::new(()),
            connections: Arc::new(Semaphore::new(limits.connections)),
            limits,
            is_non_idempotent: types
                .iter()
                .map(|t| t.idempotency != Idempotency::Idempotent)
                .collect(),
            clock,
            core_events,
            log,
        })
    }

    /// Calls the hub with the current time under the lock, then applies the effects it produced.
    fn with_hub<R>(self: &Arc<Server>, call: impl FnOnce(&mut Hub, f64) -> R) -> R {
        let now = self.clock.now();
        let mut shared = self.shared.lock();
        let result = call(&mut shared.hub, now);
        let spare_effects = std::mem::take(&mut shared.spare_effects);
        let mut effects = shared.hub.take_effects(spare_effects);
        for effect in effects.drain(..) {
            self.apply_effect(&shared, effect);
        }
        shared.spare_effects = effects;
        if shared
            .hub
            .next_due()
            .is_some_and(|due| due < shared.timer_at)
        {
            self.timer_moved.notify_one();
        }
        result
    }

    fn apply_effect(self: &Arc<Server>, shared: &Shared, effect: Effect) {
        match effect {
            Effect::Submit {
                id,
                project_type,
                customer,
                arrived,
                time_budget,
                body,
            } => {
                let is_non_idempotent = self.is_non_idempotent[project_type];
                let answer = Box::new(AnswerResponder {
                    server: self.clone(),
                    id,
                });
                let payload = Payload {
                    body,
                    non_idempotent: is_non_idempotent,
                    protocol_data: self.no_protocol_data.clone(),
                };
                let (client_id, slots) = (None, 1.0);
                let submission = Submission {
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
                self.core_events.send(Event::Submitted(submission)).ok();
            }
            Effect::MemberChanged(change) => {
                let (machine, type_set, generation) =
                    (change.machine, change.type_set, change.generation);
                let endpoint = Arc::new(GroupEndpoint {
                    server: self.clone(),
                    machine,
                    type_set,
                    generation,
                });
                let (name, list_entry) = (change.name, change.list_entry);
                let member = Member {
                    name,
                    entry: list_entry,
                    host: Some(machine),
                    endpoint: Some(endpoint),
                };
                let update = MembershipUpdate {
                    source: WorkerSource::SelfRegistered,
                    full: false,
                    members: vec![member],
                };
                self.core_events
                    .send(Event::MembershipChanged(None, update))
                    .ok();
            }
            Effect::CoreEvent(event) => drop(self.core_events.send(event)),
            Effect::WakeSession(session) => {
                if let Some(waker) = shared.wakers.get(&session) {
                    waker.notify_one();
                }
            }
        }
    }

    /// The timer task: runs the hub's timers whenever one is due.
    async fn run_timer(self: Arc<Server>) {
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
                () = is_due => self.with_hub(|hub, now| hub.run_due(now)),
                () = self.timer_moved.notified() => (),
            }
        }
    }

    /// Starts the timer task and accepts connections; never returns.
    pub async fn listen(self: Arc<Server>, listener: TcpListener) {
        tokio::spawn(self.clone().run_timer());
        let mut is_failing = false;
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
                        // The protocol's reply for a server without resources; the client may retry.
                        Err(_) => drop(stream.try_write(b"OUT_OF_MEMORY\r\n")),
                    }
                    is_failing = false;
                }
                Err(e) => {
                    if !is_failing {
                        warn!(self.log, "beanstalkd: a connection could not be accepted"; "why" => %e);
                    }
                    is_failing = true;
                    sleep(self.limits.accept_retry_delay).await;
                }
            }
        }
    }

    /// The task of one connection.
    async fn session(self: Arc<Server>, mut stream: TcpStream, machine: IpAddr) {
        stream.set_nodelay(true).ok();
        let waker = Arc::new(Notify::new());
        let id = self.with_hub(|hub, _| hub.connect(machine));
        self.shared.lock().wakers.insert(id, waker.clone());
        let end_reason = self.serve(&mut stream, id, &waker).await;
        self.shared.lock().wakers.remove(&id);
        self.with_hub(|hub, now| hub.connection_closed(now, id));
        debug!(self.log, "beanstalkd: session closed"; "why" => end_reason, "machine" => %machine);
        stream.shutdown().await.ok();
    }

    /// Reads commands and writes replies until the session ends; returns the reason, for the log.
    async fn serve(
        self: &Arc<Server>,
        stream: &mut TcpStream,
        id: u64,
        waker: &Notify,
    ) -> &'static str {
        let mut reader = CommandReader::new(self.with_hub(|hub, _| hub.max_body_bytes()));
        let (mut bytes, mut body_permit): (BytesMut, Option<CapacityPermit>) = Default::default();
        let (mut output, mut sent, mut peer_closed) = (Vec::new(), 0, false);
        // Since when a command has been incomplete, and since when reply bytes could not be written.
        let (mut incomplete_since, mut unwritten_since): (Option<Instant>, Option<Instant>) =
            (None, None);
        let mut newly_written = 0;
        // A short read tells Tokio that no more bytes are available, which saves a system call.
        let (mut reading, writing) = stream.split();
        loop {
            let (blocked, closing, aborted) = self.with_hub(|hub, now| {
                if newly_written > 0 {
                    hub.record_written(id, std::mem::take(&mut newly_written));
                }
                self.run_commands(hub, now, id, &mut reader, &mut bytes, &mut body_permit);
                if sent == output.len() {
                    output.clear();
                    (output, sent) = (hub.take_output(now, id, std::mem::take(&mut output)), 0);
                }
                (hub.is_blocked(id), hub.is_closing(id), hub.is_aborted(id))
            });
            if aborted {
                return "a job being sent was cancelled";
            }
            while sent < output.len() {
                match writing.try_write(&output[sent..]) {
                    Ok(n) => (sent, newly_written) = (sent + n, newly_written + n),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return "connection error",
                }
            }
            let written = sent == output.len();
            if newly_written > 0 {
                // Record the written bytes in the hub first; that may release more output.
                unwritten_since = None;
                continue;
            }
            if closing && (written || peer_closed) {
                return "closed by the server or by quit";
            }
            if peer_closed && (blocked || written) {
                return "closed by the peer";
            }
            if blocked
                && written
                && bytes.is_empty()
                && bytes.capacity().max(output.capacity()) > 2 * COMMAND_READ_BYTES
            {
                // A waiting reserve may be idle for long, so release large buffers.
                (bytes, output, sent) = (BytesMut::new(), Vec::new(), 0);
            }
            let is_incomplete = !blocked && (!bytes.is_empty() || reader.is_mid_item());
            incomplete_since = if is_incomplete {
                incomplete_since.or_else(|| Some(Instant::now()))
            } else {
                None
            };
            unwritten_since = if written {
                None
            } else {
                unwritten_since.or_else(|| Some(Instant::now()))
            };
            let read_deadline = incomplete_since.map(|at| at + self.limits.read_timeout);
            let due = read_deadline
                .into_iter()
                .chain(
                    unwritten_since.map(|at| at + self.limits.read_timeout * WRITE_TIMEOUT_FACTOR),
                )
                .min();
            let max_buffered = if blocked {
                READ_AHEAD_BYTES
            } else {
                reader.max_bytes_needed().max(READ_AHEAD_BYTES)
            };
            let wants_read = !peer_closed && bytes.len() < max_buffered && (written || blocked);
            if wants_read {
                bytes.reserve(if reader.is_mid_item() {
                    max_buffered - bytes.len()
                } else {
                    COMMAND_READ_BYTES
                });
            }
            tokio::select! {
                () = waker.notified() => {}
                read = reading.read_buf(&mut bytes), if wants_read => {
                    match read {
                        Ok(0) => peer_closed = true,
                        Ok(_) => {}
                        Err(_) => return "connection error",
                    }
                }
                ready = writing.writable(), if !written => {
                    if ready.is_err() {
                        return "connection error";
                    }
                }
                () = sleep_until_some(due), if due.is_some() => {
                    return if written { "timeout while receiving a command" } else { "timeout while writing a reply" };
                }
            }
        }
    }

    /// Runs the buffered commands until one blocks or too many reply bytes are queued.
    fn run_commands(
        &self,
        hub: &mut Hub,
        now: f64,
        id: u64,
        reader: &mut CommandReader,
        bytes: &mut BytesMut,
        body_permit: &mut Option<CapacityPermit>,
    ) {
        while !hub.is_blocked(id)
            && !hub.is_closing(id)
            && hub.queued_bytes(id) < MAX_UNSENT_REPLY_BYTES
        {
            match reader.next(bytes) {
                None => return,
                Some(Item::PutHeader(length)) => {
                    *body_permit = hub.reserve_body(length);
                    if body_permit.is_none() {
                        reader.refuse(ProtocolError::OutOfMemory);
                    }
                }
                Some(Item::Command(command)) => {
                    let permit = if matches!(command, Command::Put(..)) {
                        body_permit.take()
                    } else {
                        None
                    };
                    hub.command(now, id, command, permit);
                }
                Some(Item::ProtocolError(error)) => {
                    *body_permit = None;
                    hub.queue_output(id, error.reply());
                    if error == ProtocolError::UnknownBodyLength {
                        hub.close_when_flushed(id);
                    }
                }
            }
        }
    }
}

/// Adapts [`Server`] to the program's [`Subsystem`] interface.
pub struct ServerSubsystem(pub Arc<Server>);

impl Subsystem for ServerSubsystem {
    /// Forwards the list service's state of each machine, identified by the address of its workers.
    fn on_membership_update(&self, update: &MembershipUpdate) {
        let machines = update.members.iter().filter_map(|member| {
            let entry = &member.entry;
            let (zone, cell, kind, listed, start_time) = (
                entry.zone,
                entry.cell,
                entry.machine_kind,
                entry.state,
                entry.started_at,
            );
            Some((
                member.host?,
                MachineInfo {
                    zone,
                    cell,
                    kind,
                    listed,
                    start_time,
                },
            ))
        });
        self.0
            .with_hub(|hub, _| hub.apply_membership(update.full, machines));
    }

    /// Refuses new jobs from now on.
    fn begin_shutdown(&self) {
        self.0.with_hub(|hub, now| hub.begin_shutdown(now));
    }

    /// Refuses puts while `leaving` is set; accepted jobs continue.
    fn set_leaving(&self, leaving: bool) {
        self.0.with_hub(|hub, _| hub.leaving = leaving);
    }

    /// Whether all output and deliverable notices have been written.
    fn is_flushed(&self) -> bool {
        self.0.shared.lock().hub.is_idle()
    }

    /// Logs connection and refusal counts; silent if there is no connection and no refusal.
    fn log_counts(&self) {
        let mut shared = self.0.shared.lock();
        let refused = std::mem::take(&mut shared.hub.totals.refused);
        let (connected, groups) = (shared.wakers.len(), shared.hub.group_count());
        if connected > 0 || refused > 0 {
            info!(self.0.log, "beanstalkd"; "puts refused" => refused, "groups of workers" => groups,
                "connected" => connected);
        }
    }
}

/// Sleeps until `due`, or never completes if it is `None`.
async fn sleep_until_some(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => pending().await,
    }
}

/// Delivers the core's final answer to a job's request to the hub.
struct AnswerResponder {
    server: Arc<Server>,
    id: u64,
}

impl Responder for AnswerResponder {
    fn respond(self: Box<Self>, answer: Answer) {
        self.server
            .with_hub(|hub, now| hub.request_answered(now, self.id, answer));
    }
}

/// The core's endpoint for one generation of a worker group.
struct GroupEndpoint {
    server: Arc<Server>,
    machine: IpAddr,
    type_set: ProjectTypeSet,
    generation: u64,
}

impl Display for GroupEndpoint {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        self.machine.fmt(f)
    }
}

impl Endpoint for GroupEndpoint {
    fn send(&self, request: AttemptRequest) -> Box<dyn CancelHandle> {
        let attempt = request.attempt_id;
        // Commits the attempt's budget reservation now, because a waiting reserve is answered at once. If the commit
        // fails, the attempt never ran.
        if request
            .reservation
            .as_ref()
            .is_some_and(|reservation| !reservation.commit())
        {
            self.server
                .core_events
                .send(Event::Finished(AttemptResult::from_outcome(
                    attempt,
                    Outcome::Moot,
                )))
                .ok();
            return Box::new(());
        }
        self.server.with_hub(|hub, _| {
            hub.deliver_attempt(self.machine, self.type_set, self.generation, request)
        });
        Box::new(AttemptCancelHandle {
            server: self.server.clone(),
            attempt,
        })
    }

    /// Does nothing: the protocol has no load report.
    fn probe(&self, _worker: u64) {}
}

/// Cancels an attempt that was delivered to the hub.
struct AttemptCancelHandle {
    server: Arc<Server>,
    attempt: AttemptId,
}

impl CancelHandle for AttemptCancelHandle {
    fn cancel(self: Box<Self>) {
        self.server
            .with_hub(|hub, now| hub.cancel_attempt(now, self.attempt));
    }
}
