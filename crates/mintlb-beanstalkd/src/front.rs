//! The sockets towards producers and workers, and the way from the core to a waiting worker.

use crate::codec::{Command, Fault, Item, Reader};
use crate::hub::{Deed, Hub};
use crate::machines::Place;
use bytes::BytesMut;
use mintlb::{Effect, Outcome, ProjectType, Runs};
use mintlb_core::clock::Clock;
use mintlb_core::members::{Member, Source, Told};
use mintlb_core::reducer::Event;
use mintlb_core::room::Held;
use mintlb_core::subsystem::Subsystem;
use mintlb_core::work::{AllocId, Answer, Arrival, Back, Order, Payload, Reach, Recall, Settle};
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

/// What a connection may hold of commands that it can't be given yet, and of replies not yet written, in bytes.
const AHEAD: usize = 4 << 10;
const REPLIES: usize = 16 << 10;
/// What is read at once where only commands are to come.
const LITTLE: usize = 512;

/// Times and counts that bound the sockets.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub connections: usize,
    /// A command is whole by then, from its first byte on.
    pub read: Duration,
    /// Between tries to accept where that fails.
    pub pause: Duration,
}

struct Inside {
    hub: Hub,
    bells: FxHashMap<u64, Arc<Notify>>,
    /// An empty vector, to be filled again.
    spare: Vec<Deed>,
    /// When the timer will ring, by the clock.
    armed: f64,
}

pub struct Front {
    inside: Mutex<Inside>,
    timer: Notify,
    places: Arc<Semaphore>,
    bounds: Bounds,
    /// What a job has beside its body.
    nothing: Arc<dyn Any + Send + Sync>,
    /// By project type: it may not simply run again.
    once: Vec<bool>,
    clock: Clock,
    tell: UnboundedSender<Event>,
    log: Logger,
}

impl Front {
    pub fn new(
        hub: Hub,
        types: &[ProjectType],
        bounds: Bounds,
        clock: Clock,
        tell: UnboundedSender<Event>,
        log: Logger,
    ) -> Arc<Front> {
        Arc::new(Front {
            inside: Mutex::new(Inside {
                hub,
                bells: FxHashMap::default(),
                spare: Vec::new(),
                armed: f64::MAX,
            }),
            timer: Notify::new(),
            nothing: Arc::new(()),
            places: Arc::new(Semaphore::new(bounds.connections)),
            bounds,
            once: types.iter().map(|t| t.effect != Effect::Rerunnable).collect(),
            clock,
            tell,
            log,
        })
    }

    /// Calls the hub, and does what it decided.
    fn with<R>(self: &Arc<Front>, call: impl FnOnce(&mut Hub, f64) -> R) -> R {
        let now = self.clock.now();
        let mut inside = self.inside.lock();
        let result = call(&mut inside.hub, now);
        let spare = std::mem::take(&mut inside.spare);
        let mut deeds = inside.hub.deeds(spare);
        for deed in deeds.drain(..) {
            match deed {
                Deed::Arrive { id, project_type, customer, arrived, time_budget, body } => {
                    let once = self.once[project_type];
                    let answer = Box::new(JobEnd { front: self.clone(), id });
                    let payload = Payload { body, once, own: self.nothing.clone() };
                    let (client_id, slots) = (None, 1.0);
                    let arrival = Arrival {
                        id,
                        client_id,
                        project_type,
                        customer,
                        slots,
                        arrived,
                        time_budget,
                        payload,
                        answer,
                    };
                    self.tell.send(Event::Arrived(arrival)).ok();
                }
                Deed::Member(change) => {
                    let (machine, runs, generation) = (change.machine, change.runs, change.generation);
                    let way = Arc::new(Way { front: self.clone(), machine, runs, generation });
                    let member = Member {
                        name: change.name,
                        line: change.line,
                        host: Some(machine),
                        reach: Some(way),
                    };
                    let told = Told { source: Source::Callers, full: false, members: vec![member] };
                    self.tell.send(Event::Members(None, told)).ok();
                }
                Deed::Tell(event) => drop(self.tell.send(event)),
                Deed::Wake(session) => {
                    if let Some(bell) = inside.bells.get(&session) {
                        bell.notify_one();
                    }
                }
            }
        }
        inside.spare = deeds;
        if inside.hub.next_due().is_some_and(|due| due < inside.armed) {
            self.timer.notify_one();
        }
        result
    }

    /// Wakes the hub when it wants to be woken.
    async fn ring(self: Arc<Front>) {
        loop {
            let due = {
                let mut inside = self.inside.lock();
                inside.armed = inside.hub.next_due().unwrap_or(f64::MAX);
                inside.armed
            };
            let rung = async {
                match due < f64::MAX {
                    true => sleep_until(self.clock.instant(due)).await,
                    false => pending().await,
                }
            };
            tokio::select! { () = rung => self.with(|hub, now| hub.woke(now)), () = self.timer.notified() => () }
        }
    }

    pub async fn listen(self: Arc<Front>, listener: TcpListener) {
        tokio::spawn(self.clone().ring());
        let mut failing = false;
        loop {
            let accepted = listener.accept().await;
            match accepted {
                Ok((stream, peer)) => {
                    let machine = peer.ip().to_canonical();
                    match self.places.clone().try_acquire_owned() {
                        Ok(place) => {
                            let session = self.clone().session(stream, machine);
                            tokio::spawn(async move {
                                session.await;
                                drop(place);
                            });
                        }
                        // In the protocol's words, and at once: it may come back.
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

    async fn session(self: Arc<Front>, mut stream: TcpStream, machine: IpAddr) {
        stream.set_nodelay(true).ok();
        let bell = Arc::new(Notify::new());
        let id = self.with(|hub, _| hub.connect(machine));
        self.inside.lock().bells.insert(id, bell.clone());
        let ended = self.converse(&mut stream, id, &bell).await;
        self.inside.lock().bells.remove(&id);
        self.with(|hub, now| hub.closed(now, id));
        debug!(self.log, "a session has ended"; "why" => ended, "machine" => %machine);
        stream.shutdown().await.ok();
    }

    /// Serves a session to its end; why it has ended.
    async fn converse(self: &Arc<Front>, stream: &mut TcpStream, id: u64, bell: &Notify) -> &'static str {
        let mut reader = Reader::new(self.with(|hub, _| hub.most_bytes()));
        let (mut bytes, mut body_room): (BytesMut, Option<Held>) = Default::default();
        let (mut out, mut sent, mut left) = (Vec::new(), 0, false);
        // Since when a command has come in part, and since when its replies have not been taken.
        let (mut part, mut stuck): (Option<Instant>, Option<Instant>) = (None, None);
        let mut wrote = 0;
        // Read by the library, which knows from a short read that no more has come: one system call less.
        let (mut reading, writing) = stream.split();
        loop {
            let (blocked, over, cut) = self.with(|hub, now| {
                if wrote > 0 {
                    hub.wrote(id, std::mem::take(&mut wrote));
                }
                self.commands(hub, now, id, &mut reader, &mut bytes, &mut body_room);
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
                // It must be known before anything else, and more may have been waiting for this.
                stuck = None;
                continue;
            }
            if over && (written || left) {
                return "it was to end";
            }
            if left && (blocked || written) {
                return "the other side has left";
            }
            if blocked && written && bytes.is_empty() && bytes.capacity().max(out.capacity()) > 2 * LITTLE {
                // Idle for long, perhaps: it keeps no large buffers.
                (bytes, out, sent) = (BytesMut::new(), Vec::new(), 0);
            }
            let partial = !blocked && (!bytes.is_empty() || reader.is_within());
            part = if partial { part.or_else(|| Some(Instant::now())) } else { None };
            stuck = if written { None } else { stuck.or_else(|| Some(Instant::now())) };
            let slow = part.map(|at| at + self.bounds.read);
            let due = slow.into_iter().chain(stuck.map(|at| at + self.bounds.read * 8)).min();
            let most = if blocked { AHEAD } else { reader.wants().max(AHEAD) };
            let reads = !left && bytes.len() < most && (written || blocked);
            if reads {
                bytes.reserve(if reader.is_within() { most - bytes.len() } else { LITTLE });
            }
            tokio::select! {
                () = bell.notified() => {}
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

    /// All commands that have come, until one must wait or there is enough to say.
    fn commands(
        &self,
        hub: &mut Hub,
        now: f64,
        id: u64,
        reader: &mut Reader,
        bytes: &mut BytesMut,
        body_room: &mut Option<Held>,
    ) {
        while !hub.is_blocked(id) && !hub.is_over(id) && hub.waiting_out(id) < REPLIES {
            match reader.next(bytes) {
                None => return,
                Some(Item::Coming(length)) => {
                    *body_room = hub.body_room(length);
                    if body_room.is_none() {
                        reader.refuse(Fault::OutOfMemory);
                    }
                }
                Some(Item::Command(command)) => {
                    let room = if matches!(command, Command::Put(..)) { body_room.take() } else { None };
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

/// The front, as the program's loop speaks to it.
pub struct Joint(pub Arc<Front>);

impl Subsystem for Joint {
    /// What the list tells of machines: they are known by the addresses of its workers.
    fn hear(&self, told: &Told) {
        let places = told.members.iter().filter_map(|member| {
            let line = &member.line;
            let (zone, cell, kind, listed, came_up) =
                (line.zone, line.cell, line.kind, line.listed, line.came_up);
            Some((member.host?, Place { zone, cell, kind, listed, came_up }))
        });
        self.0.with(|hub, _| hub.hear(told.full, places));
    }

    /// From now on no job is taken.
    fn stop(&self) {
        self.0.with(|hub, now| hub.stop(now));
    }

    /// Whether producers are to go elsewhere; what is here already runs on.
    fn leave(&self, leaving: bool) {
        self.0.with(|hub, _| hub.leaving = leaving);
    }

    /// Nothing waits to be written.
    fn is_quiet(&self) -> bool {
        self.0.inside.lock().hub.is_quiet()
    }

    /// One line of counts, where there is something to count.
    fn count(&self) {
        let mut inside = self.0.inside.lock();
        let refused = std::mem::take(&mut inside.hub.totals.refused);
        let (connected, machines) = (inside.bells.len(), inside.hub.groups());
        if connected > 0 || refused > 0 {
            info!(self.0.log, "beanstalkd"; "puts refused" => refused, "groups of workers" => machines,
                "connected" => connected);
        }
    }
}

async fn sleep_until_some(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => pending().await,
    }
}

/// Where a job's final answer goes.
struct JobEnd {
    front: Arc<Front>,
    id: u64,
}

impl Settle for JobEnd {
    fn settle(self: Box<Self>, answer: Answer) {
        self.front.with(|hub, now| hub.ended(now, self.id, answer));
    }
}

/// The way to a group of waiting workers, as it stood at its last start.
struct Way {
    front: Arc<Front>,
    machine: IpAddr,
    runs: Runs,
    generation: u64,
}

impl Display for Way {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        self.machine.fmt(f)
    }
}

impl Reach for Way {
    fn send(&self, order: Order) -> Box<dyn Recall> {
        let alloc = order.alloc;
        // A waiting reserve is answered in the same moment. Unpaid it does not go, and is known never to have run.
        if order.slip.as_ref().is_some_and(|slip| !slip.pay()) {
            self.front.tell.send(Event::Back(Back::with(alloc, Outcome::Moot))).ok();
            return Box::new(());
        }
        self.front.with(|hub, _| hub.order(self.machine, self.runs, self.generation, order));
        Box::new(Out { front: self.front.clone(), alloc })
    }
    /// A waiting reserve is all that there is to tell.
    fn probe(&self, _worker: u64) {}
}

struct Out {
    front: Arc<Front>,
    alloc: AllocId,
}

impl Recall for Out {
    fn recall(self: Box<Self>) {
        self.front.with(|hub, now| hub.recall(now, self.alloc));
    }
}
