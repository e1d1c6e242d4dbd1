//! What the protocol knows and does, without a socket: commands and the core's words go in, bytes for sessions and
//! words for the core come out.
//!
//! Which worker gets which job is the core's decision alone. Here a waiting reserve is told as room, an order is
//! handed to one that waits, and what a worker does with its job is told as the allocation's outcome.

use crate::codec::{Command, Put, Tube};
use crate::job::{Counts, End, Job, Jobs, State};
use crate::machines::{Change, Machines, Place};
use crate::session::{Given, Reservation, Session, Wait};
use crate::table::{Plan, Reading};
use bytes::Bytes;
use mintlb::{Effect, Outcome, Runs};
use mintlb_core::reducer::Event;
use mintlb_core::room::{Held, Room};
use mintlb_core::work::{AllocId, Answer, Back, Numbers, Order};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// What is to be done outside.
pub enum Deed {
    /// A job is ready: it is a work unit from now on.
    Arrive {
        id: u64,
        project_type: usize,
        customer: Option<usize>,
        arrived: f64,
        time_budget: f64,
        body: Bytes,
    },
    /// The decisions must know of a group of workers.
    Member(Change),
    Tell(Event),
    /// A session has bytes to send, or is to end.
    Wake(u64),
}

enum Due {
    /// A reservation's time is over, if this is still what it is due by.
    Run(u64, u64),
    /// A reserve has waited for long enough, if it still stands at this place.
    Reserve(u64, u64),
    Delay(u64),
    /// A released job has rested: its allocation is back.
    Rested(AllocId),
    /// It did not leave before it was over, as its session takes nothing.
    Coming(u64, AllocId),
    Forget,
}

/// Where an allocation is.
enum At {
    Session(u64),
    /// Released by its worker, it is back with this outcome once it has rested.
    Resting(Outcome),
}

/// All that `stats` counts since the start.
#[derive(Default)]
pub struct Totals {
    pub commands: FxHashMap<&'static str, u64>,
    pub connections: u64,
    pub timeouts: u64,
    pub taken: u64,
    pub completed: u64,
    pub deferred: u64,
    pub aborted: u64,
    /// Deleted by a client before anybody held it.
    pub withdrawn: u64,
    /// Puts that were refused, since the last line of counts.
    pub refused: u64,
}

pub struct Hub {
    pub(crate) plan: Plan,
    pub(crate) name: String,
    pub(crate) began: f64,
    most: usize,
    numbers: Numbers,
    room: Room,
    pub(crate) sessions: FxHashMap<u64, Session>,
    pub(crate) jobs: Jobs,
    machines: Machines,
    allocs: FxHashMap<AllocId, At>,
    /// Waiting sessions by the tube that tells of ends, in their row.
    hopeful: HashMap<Tube, BTreeSet<(u64, u64)>>,
    pub(crate) pauses: HashMap<Tube, (f64, f64)>,
    due: BTreeMap<(u64, u64), Due>,
    counter: u64,
    /// The tube that each session uses and watches at first.
    pub(crate) usual: Tube,
    pub(crate) stopping: bool,
    /// Producers are to go elsewhere, for now.
    pub leaving: bool,
    /// Counts the work written whole to workers.
    pub sends: Arc<AtomicU64>,
    pub totals: Totals,
    deeds: Vec<Deed>,
}

/// The protocol's safety margin before a reservation ends, in seconds.
const SOON: f64 = 1.0;
/// A reserve that will not wait is given this part of a second, or the core could never hear of it.
const MOMENT: f64 = 1.0 / 256.0;
/// `kick` and the like look at no more jobs at once.
const MANY: usize = 10_000;

impl Hub {
    /// For jobs of so many bytes at the most.
    pub fn new(plan: Plan, name: String, now: f64, most: usize, numbers: Numbers, room: Room) -> Hub {
        let machines = Machines::new(plan.table.listed, plan.table.cold);
        Hub {
            plan,
            name,
            began: now,
            most,
            numbers,
            room,
            machines,
            usual: "default".into(),
            sessions: FxHashMap::default(),
            jobs: Jobs::default(),
            allocs: FxHashMap::default(),
            hopeful: HashMap::new(),
            pauses: HashMap::new(),
            due: BTreeMap::new(),
            counter: 0,
            stopping: false,
            leaving: false,
            sends: Arc::default(),
            totals: Totals::default(),
            deeds: Vec::new(),
        }
    }

    /// What was decided since this was last asked; the vector that is handed in must be empty, and is used again.
    pub fn deeds(&mut self, empty: Vec<Deed>) -> Vec<Deed> {
        std::mem::replace(&mut self.deeds, empty)
    }

    /// When it wants to be woken.
    pub fn next_due(&self) -> Option<f64> {
        let due = self.due.first_key_value().map(|((at, _), _)| f64::from_bits(*at));
        due.into_iter().chain(self.jobs.next_to_pass()).reduce(f64::min)
    }

    fn next(&mut self) -> u64 {
        self.counter += 1;
        self.counter
    }

    fn at(&mut self, when: f64, due: Due) -> u64 {
        let number = self.next();
        self.due.insert((when.max(0.0).to_bits(), number), due);
        number
    }

    fn tell(&mut self, event: Event) {
        self.deeds.push(Deed::Tell(event));
    }

    pub fn say(&mut self, session: u64, bytes: &[u8]) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.out.put(bytes);
        }
    }

    // ---- sessions

    pub fn connect(&mut self, machine: IpAddr) -> u64 {
        self.totals.connections += 1;
        let id = self.next();
        self.sessions.insert(id, Session::new(machine, &self.usual));
        id
    }

    /// Whether its next command must wait.
    pub fn is_blocked(&self, session: u64) -> bool {
        self.sessions.get(&session).is_none_or(Session::is_blocked)
    }

    /// Nothing more may be written to it.
    pub fn is_cut(&self, session: u64) -> bool {
        self.sessions.get(&session).is_none_or(|s| s.cut)
    }

    pub fn is_over(&self, session: u64) -> bool {
        self.sessions.get(&session).is_none_or(|s| s.ends)
    }

    /// The bytes that it is to be sent, all before them being written. Work on its way to it is worded only now:
    /// a machine that drains meanwhile gets nothing new, and what was not worded never ran.
    /// The vector that is handed in must be empty, and is used again.
    pub fn take_out(&mut self, now: f64, id: u64, empty: Vec<u8>) -> Vec<u8> {
        let Some(session) = self.sessions.get_mut(&id) else { return empty };
        if session.out.waiting.is_empty()
            && session.out.written == session.out.queued
            && let Some((order, until)) = session.coming.take()
        {
            if self.machines.is_open(session.machine) {
                self.hand_over(now, id, order);
            } else {
                self.allocs.remove(&order.alloc);
                self.tell(Event::Back(Back::with(order.alloc, Outcome::Full)));
                self.wait(now, id, until);
            }
        }
        match self.sessions.get_mut(&id) {
            Some(session) => std::mem::replace(&mut session.out.waiting, empty),
            None => empty,
        }
    }

    /// So many more bytes were written to it.
    pub fn wrote(&mut self, id: u64, bytes: usize) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.out.written += bytes as u64;
        let written = session.out.written;
        let Some(job) = session.fresh.filter(|(at, _)| *at <= written).map(|(_, job)| job) else { return };
        session.fresh = None;
        if let Some(reservation) = session.held.get_mut(&job) {
            reservation.written = true;
            if let Given::Work(alloc) = reservation.given {
                self.sends.fetch_add(1, Relaxed);
                // It was waiting for this, so nothing is before it there.
                self.tell(Event::Started(alloc));
            }
        }
    }

    /// Its connection has ended.
    pub fn closed(&mut self, now: f64, id: u64) {
        self.stop_waiting(id);
        let Some(session) = self.sessions.remove(&id) else { return };
        if let Some(runs) = session.runs {
            self.leave(now, session.machine, runs);
        }
        if let Some((order, _)) = session.coming {
            self.allocs.remove(&order.alloc);
            self.tell(Event::Back(Back::with(order.alloc, Outcome::NoConnection)));
        }
        for (job, reservation) in session.held {
            let outcome = if reservation.written { Outcome::Dropped } else { Outcome::NoConnection };
            self.give_back(now, job, reservation.given, outcome, None);
        }
    }

    // ---- commands

    /// A command, and the room that its job's body has where it is a put.
    pub fn command(&mut self, now: f64, id: u64, command: Command, body_room: Option<Held>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        *self.totals.commands.entry(word(&command)).or_default() += 1;
        match command {
            Command::Put(put, body) => {
                let reply = self.put(now, id, put, body, body_room);
                self.say(id, reply.as_bytes());
            }
            Command::Use(tube) => {
                let reply = format!("USING {tube}\r\n");
                session.used = tube;
                self.say(id, reply.as_bytes());
            }
            Command::Watch(tube) => {
                if !session.watched.contains(&tube) {
                    if session.watched.len() >= self.plan.table.watched {
                        return self.say(id, b"OUT_OF_MEMORY\r\n");
                    }
                    session.watched.push(tube);
                }
                let reply = format!("WATCHING {}\r\n", session.watched.len());
                self.say(id, reply.as_bytes());
            }
            Command::Ignore(tube) => {
                if session.watched.len() == 1 && session.watched.contains(&tube) {
                    return self.say(id, b"NOT_IGNORED\r\n");
                }
                session.watched.retain(|watched| *watched != tube);
                let reply = format!("WATCHING {}\r\n", session.watched.len());
                self.say(id, reply.as_bytes());
            }
            Command::Reserve => self.reserve(now, id, None),
            Command::ReserveWithTimeout(seconds) => self.reserve(now, id, Some(f64::from(seconds))),
            Command::ReserveJob(job) => {
                // Which worker runs a work unit is decided by the core alone; only news may be picked.
                let news = self.jobs.get(job).is_some_and(|j| j.tells && j.state != State::Reserved);
                if news { self.give_news(now, id, job) } else { self.say(id, b"NOT_FOUND\r\n") }
            }
            Command::Delete(job) => {
                let reply = self.delete(now, id, job);
                self.say(id, reply);
            }
            Command::Release { id: job, priority, delay } => {
                let reply = self.release(now, id, job, priority, f64::from(delay));
                self.say(id, reply);
            }
            Command::Bury { id: job, priority } => {
                let reply = self.bury(now, id, job, priority);
                self.say(id, reply);
            }
            Command::Touch(job) => {
                let reply = self.touch(now, id, job);
                self.say(id, reply);
            }
            Command::Peek(job) => self.found(id, Some(job)),
            Command::PeekReady => {
                let tube = self.jobs.tube(&session.used);
                let first = tube.and_then(|t| t.ready.first_key_value()).map(|((_, job), ())| *job);
                self.found(id, first);
            }
            Command::PeekDelayed => {
                let tube = self.jobs.tube(&session.used);
                let first = tube.and_then(|t| t.delayed.first_key_value()).map(|((_, job), ())| *job);
                self.found(id, first);
            }
            Command::PeekBuried => {
                let first = self
                    .jobs
                    .tube(&session.used)
                    .and_then(|t| t.buried.first_key_value().map(|(_, job)| *job));
                self.found(id, first);
            }
            Command::Kick(bound) => {
                let used = session.used.clone();
                let kicked = self.kick(now, &used, bound as usize);
                self.say(id, format!("KICKED {kicked}\r\n").as_bytes());
            }
            Command::KickJob(job) => {
                let kicked = self.kick_job(now, job);
                self.say(id, if kicked { b"KICKED\r\n" } else { b"NOT_FOUND\r\n" });
            }
            Command::Stats => {
                let text = self.stats(now);
                self.say(id, &text);
            }
            Command::StatsJob(job) => {
                let text = self.stats_job(now, job);
                self.say(id, &text);
            }
            Command::StatsTube(tube) => {
                let text = self.stats_tube(now, &tube);
                self.say(id, &text);
            }
            Command::ListTubes => {
                let text = self.list_tubes();
                self.say(id, &text);
            }
            Command::ListTubeUsed => {
                let reply = format!("USING {}\r\n", session.used);
                self.say(id, reply.as_bytes());
            }
            Command::ListTubesWatched => {
                let text = crate::stats::list(session.watched.iter());
                self.say(id, &text);
            }
            Command::PauseTube(tube, delay) => {
                // Only those of the operator's file: what clients name must not add up.
                if self.plan.route(&tube).is_none() && !self.plan.tells_ends(&tube) {
                    return self.say(id, b"NOT_FOUND\r\n");
                }
                let seconds = f64::from(delay).min(self.plan.table.longest_delay);
                self.jobs.note(&tube, |tube| tube.paused += 1);
                self.pauses.insert(tube, (now + seconds, seconds));
                self.say(id, b"PAUSED\r\n");
            }
            Command::Quit => session.ends = true,
        }
    }

    fn put(&mut self, now: f64, id: u64, put: Put, body: Bytes, body_room: Option<Held>) -> String {
        let refused = |hub: &mut Hub, reply: &str| {
            hub.totals.refused += 1;
            reply.to_string()
        };
        let Some(session) = self.sessions.get_mut(&id) else { return String::new() };
        session.produces = true;
        let tube = session.used.clone();
        if self.stopping || self.leaving {
            return refused(self, "DRAINING\r\n");
        }
        let delay = f64::from(put.delay);
        if self.plan.route(&tube).is_none() || delay > self.plan.table.longest_delay {
            return refused(self, "BAD_FORMAT\r\n");
        }
        let Some(room) = body_room.and_then(|body| Some((body, self.room.work_unit()?))) else {
            return refused(self, "OUT_OF_MEMORY\r\n");
        };
        let number = self.numbers.next();
        let paused = self.pauses.get(&tube).map_or(0.0, |(until, _)| until - now);
        let delay = delay.max(paused);
        let state = if delay > 0.0 { State::Delayed { until: now + delay } } else { State::Ready };
        let job = Job {
            tube,
            put: Put { ttr: put.ttr.max(1), ..put },
            put_at: now,
            body,
            state,
            counts: Counts::default(),
            tells: false,
            foreign: false,
            holders: 0,
            holder: None,
            end: None,
            goes: None,
            room: Some(room),
        };
        self.totals.taken += 1;
        self.jobs.add(number, job);
        match state {
            State::Delayed { until } => drop(self.at(until, Due::Delay(number))),
            _ => self.arrive(now, number),
        }
        format!("INSERTED {number}\r\n")
    }

    /// A job is ready, and a work unit from now on: its hard limit counts from here.
    fn arrive(&mut self, now: f64, id: u64) {
        self.jobs.set(id, State::Ready);
        let Some(job) = self.jobs.get(id) else { return };
        let Some(route) = self.plan.route(&job.tube) else { return };
        let (project_type, customer, time_budget) = (route.project_type, route.customer, route.hard_limit);
        let body = job.body.clone();
        self.deeds.push(Deed::Arrive { id, project_type, customer, arrived: now, time_budget, body });
    }

    fn reserve(&mut self, now: f64, id: u64, timeout: Option<f64>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.works = true;
        if session.soonest().is_some_and(|deadline| deadline - now <= SOON) {
            return self.say(id, b"DEADLINE_SOON\r\n");
        }
        let news = session.watched.iter().filter_map(|tube| {
            let ready = &self.jobs.tube(tube).filter(|_| self.plan.tells_ends(tube))?.ready;
            ready.first_key_value().map(|(key, ())| *key)
        });
        if let Some((_, job)) = news.min() {
            return self.give_news(now, id, job);
        }
        self.wait(now, id, timeout.map(|t| now + t.max(MOMENT)));
    }

    /// Its reserve waits: room for a job at its group of workers.
    fn wait(&mut self, now: f64, id: u64, until: Option<f64>) {
        let place = self.next();
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.waits = Some(Wait { place, until });
        let soon = session.soonest().map(|deadline| deadline - SOON);
        let (machine, was) = (session.machine, session.runs);
        let runs = self.plan.runs_of(&session.watched);
        let tubes = session.watched.iter().filter(|tube| self.plan.tells_ends(tube));
        for tube in tubes {
            self.hopeful.entry(tube.clone()).or_default().insert((place, id));
        }
        session.runs = (!runs.is_none()).then_some(runs);
        let now_runs = session.runs;
        if was != now_runs {
            was.iter().for_each(|runs| self.leave(now, machine, *runs));
            let joins = now_runs.and_then(|runs| self.machines.join(now, machine, runs));
            self.deeds.extend(joins.map(Deed::Member));
        }
        if let Some(group) = now_runs.and_then(|runs| self.machines.group(machine, runs)) {
            group.waiting.insert(place, id);
            self.asks(machine, runs);
        }
        let when = until.into_iter().chain(soon).reduce(f64::min);
        when.map(|when| self.at(when, Due::Reserve(id, place)));
    }

    /// A connection is none of a group's any more; the last one leaves it to be forgotten.
    fn leave(&mut self, now: f64, machine: IpAddr, runs: Runs) {
        if self.machines.leave(now, machine, runs) {
            self.at(now + self.plan.table.keep_ends, Due::Forget);
        }
    }

    /// How many jobs a group asks for, and how many orders it had heard by then: what was sent it since is on
    /// its way and will take one each.
    fn asks(&mut self, machine: IpAddr, runs: Runs) {
        if let Some(group) = self.machines.group(machine, runs) {
            let (worker, waiting, orders) = (group.worker, group.waiting.len() as u64, group.orders);
            self.tell(Event::Asks { worker, waiting, orders });
        }
    }

    /// Its reserve waits no more.
    fn stop_waiting(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(Wait { place, .. }) = session.waits.take() else { return };
        for tube in &session.watched {
            if let Some(hopeful) = self.hopeful.get_mut(tube) {
                hopeful.remove(&(place, id));
            }
        }
        let (machine, runs) = (session.machine, session.runs);
        if let Some(runs) = runs
            && self.machines.group(machine, runs).is_some_and(|g| g.waiting.remove(&place).is_some())
        {
            self.asks(machine, runs);
        }
    }

    fn delete(&mut self, now: f64, id: u64, job: u64) -> &'static [u8] {
        let tube = self.jobs.get(job).map(|job| job.tube.clone());
        let reply = self.try_delete(now, id, job);
        if let Some(tube) = tube.filter(|_| reply == b"DELETED\r\n") {
            self.jobs.note(&tube, |tube| tube.deleted += 1);
        }
        reply
    }

    fn try_delete(&mut self, now: f64, id: u64, job: u64) -> &'static [u8] {
        if let Some(reservation) = self.let_go(id, job) {
            match reservation.given {
                Given::News => drop(self.jobs.remove(job)),
                given => {
                    self.give_back(now, job, given, Outcome::Completed, Some(State::Ended(End::Completed)));
                }
            }
            return b"DELETED\r\n";
        }
        let Some(found) = self.jobs.get(job).filter(|j| !j.foreign && j.holders == 0) else {
            return b"NOT_FOUND\r\n";
        };
        match found.state {
            State::Reserved | State::Ended(_) => return b"NOT_FOUND\r\n",
            // It was handed to the core: whoever put it wants no answer any more.
            State::Ready if !found.tells => {
                self.totals.withdrawn += 1;
                self.tell(Event::Left(job));
            }
            State::Delayed { .. } if !found.tells => {
                self.totals.withdrawn += 1;
                // One that was released rests; then the core has it.
                self.tell(Event::Left(job));
            }
            _ => {}
        }
        self.jobs.remove(job);
        b"DELETED\r\n"
    }

    fn release(&mut self, now: f64, id: u64, job: u64, priority: u32, delay: f64) -> &'static [u8] {
        let Some(reservation) = self.let_go(id, job) else { return b"NOT_FOUND\r\n" };
        let delay = delay.min(self.plan.table.longest_delay);
        let mut reading = Reading::MayHaveRun;
        if let Some(found) = self.jobs.get_mut(job) {
            found.put.priority = priority;
            found.counts.releases += 1;
            reading = self.plan.route(&found.tube).map(|route| route.release).unwrap_or_default();
        }
        // The worker may have begun it; only where the operator says that ours never do, it is taken back.
        let outcome = if reading == Reading::NeverRan { Outcome::Full } else { Outcome::Error };
        let until = now + delay;
        match reservation.given {
            Given::Work(alloc) if delay > 0.0 => {
                let until = until.min(reservation.until);
                self.allocs.insert(alloc, At::Resting(outcome));
                self.at(until, Due::Rested(alloc));
                self.free(job, Some(State::Delayed { until }));
            }
            Given::News if delay > 0.0 => {
                self.at(until, Due::Delay(job));
                self.free(job, Some(State::Delayed { until }));
            }
            given => self.give_back(now, job, given, outcome, None),
        }
        b"RELEASED\r\n"
    }

    /// The worker will not have it tried again: the work unit is given up. The job stays, to be looked at, and to
    /// be kicked if that can do no harm.
    fn bury(&mut self, now: f64, id: u64, job: u64, priority: u32) -> &'static [u8] {
        let Some(reservation) = self.let_go(id, job) else { return b"NOT_FOUND\r\n" };
        if let Some(found) = self.jobs.get_mut(job) {
            found.put.priority = priority;
            found.counts.buries += 1;
        }
        if let Given::Work(_) = reservation.given {
            self.tell(Event::GivenUp(job));
        }
        let place = self.next();
        self.give_back(now, job, reservation.given, Outcome::Error, Some(State::Buried(place)));
        b"BURIED\r\n"
    }

    fn touch(&mut self, now: f64, id: u64, job: u64) -> &'static [u8] {
        let held = self.sessions.get(&id).and_then(|session| session.held.get(&job));
        let Some(held) = held else { return b"NOT_FOUND\r\n" };
        // Never past the hard limit; nor less than it had, as what can't run twice is waited for in any case.
        let deadline = (now + held.ttr).min(held.until).max(held.deadline);
        self.due.remove(&(held.deadline.max(0.0).to_bits(), held.due));
        let due = self.at(deadline, Due::Run(id, job));
        if let Some(held) = self.sessions.get_mut(&id).and_then(|session| session.held.get_mut(&job)) {
            (held.deadline, held.due) = (deadline, due);
        }
        b"TOUCHED\r\n"
    }

    fn kick(&mut self, now: f64, tube: &Tube, bound: usize) -> usize {
        let Some(found) = self.jobs.tube(tube) else { return 0 };
        let of = |buried: bool| -> Vec<u64> {
            if buried {
                found.buried.values().take(MANY).copied().collect()
            } else {
                found.delayed.keys().take(bound.min(MANY)).map(|(_, id)| *id).collect()
            }
        };
        // As the protocol has it: buried ones, and only if there are none the delayed.
        let jobs = of(!found.buried.is_empty());
        let mut kicked = 0;
        for job in jobs {
            if kicked < bound && self.kick_job(now, job) {
                kicked += 1;
            }
        }
        kicked
    }

    fn kick_job(&mut self, now: f64, id: u64) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let effect = self.plan.route(&job.tube).map(|route| route.effect);
        match job.state {
            State::Buried(_) | State::Delayed { .. } if job.tells => self.news_ready(now, id),
            // The core has it: it rests until its allocation is back.
            State::Delayed { .. } if job.counts.releases > 0 => {
                let rests = |(alloc, at): &(&AllocId, &At)| alloc.0 == id && matches!(at, At::Resting(_));
                let Some(alloc) = self.allocs.iter().find(rests).map(|(alloc, _)| *alloc) else {
                    return false;
                };
                self.rested(alloc);
            }
            State::Delayed { .. } => self.arrive(now, id),
            // A new work unit for the same job: only where running again is harmless, whatever ran before, and
            // once the core has done with the first.
            State::Buried(_)
                if effect == Some(Effect::Rerunnable)
                    && !self.stopping
                    && job.end.is_some()
                    && job.room.is_some() =>
            {
                if let Some(job) = self.jobs.get_mut(id) {
                    (job.end, job.goes) = (None, None);
                }
                self.totals.taken += 1;
                self.arrive(now, id);
            }
            _ => return false,
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.counts.kicks += 1;
        }
        true
    }

    fn found(&mut self, session: u64, job: Option<u64>) {
        let found = job.and_then(|id| self.jobs.get(id).map(|job| (id, job)));
        let text = match found.filter(|(_, job)| !matches!(job.state, State::Ended(_)) && !job.foreign) {
            Some((id, job)) => bodied(&format!("FOUND {id}"), &job.body),
            None => b"NOT_FOUND\r\n".to_vec(),
        };
        self.say(session, &text);
    }

    /// Tubes come with the operator's file, and with being used or watched.
    pub(crate) fn is_tube(&self, tube: &str) -> bool {
        tube == &*self.usual
            || self.jobs.tube(tube).is_some()
            || self.plan.route(tube).is_some()
            || self.plan.tells_ends(tube)
            || self.sessions.values().any(|s| &*s.used == tube || s.watched.iter().any(|w| &**w == tube))
    }

    // ---- reservations

    /// Words an order as a reservation.
    fn hand_over(&mut self, now: f64, id: u64, order: Order) {
        let (job, until) = (order.alloc.0, order.until);
        if self.jobs.get(job).is_none() {
            let Some(record) = self.foreign(now, &order) else {
                self.allocs.remove(&order.alloc);
                return self.tell(Event::Back(Back::with(order.alloc, Outcome::Full)));
            };
            self.jobs.add(job, record);
        }
        let Some(found) = self.jobs.get_mut(job) else { return };
        found.holders += 1;
        found.holder = Some(id);
        found.counts.reserves += 1;
        let ttr = f64::from(found.put.ttr);
        // Ended early, exclusive work could only be aborted; up to its hard limit it may still be done.
        let exclusive = self.plan.route(&found.tube).is_some_and(|r| r.effect == Effect::Exclusive);
        let deadline = if exclusive { until } else { until.min(now + ttr) };
        let text = bodied(&format!("RESERVED {job}"), &order.payload.body);
        self.jobs.set(job, State::Reserved);
        let due = self.at(deadline, Due::Run(id, job));
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.out.put(&text);
        let written_at = session.out.queued;
        session.fresh = Some((written_at, job));
        let given = Given::Work(order.alloc);
        let reservation = Reservation { given, written: false, since: now, ttr, deadline, until, due };
        session.held.insert(job, reservation);
    }

    /// A record of work that came by another front.
    fn foreign(&self, now: f64, order: &Order) -> Option<Job> {
        let route = self.plan.routes.iter().find(|route| route.project_type == order.project_type)?;
        let ttr = route.hard_limit.ceil().max(1.0) as u32;
        Some(Job {
            tube: route.tube.clone(),
            put: Put { priority: URGENTLY_NOT, delay: 0, ttr, bytes: order.payload.body.len() },
            put_at: now,
            body: order.payload.body.clone(),
            state: State::Ready,
            counts: Counts::default(),
            tells: false,
            foreign: true,
            holders: 0,
            holder: None,
            end: None,
            goes: None,
            room: None,
        })
    }

    fn give_news(&mut self, now: f64, id: u64, job: u64) {
        let Some(found) = self.jobs.get_mut(job) else { return };
        found.holders += 1;
        found.holder = Some(id);
        found.counts.reserves += 1;
        let ttr = f64::from(found.put.ttr);
        let text = bodied(&format!("RESERVED {job}"), &found.body);
        self.jobs.set(job, State::Reserved);
        let deadline = now + ttr;
        let due = self.at(deadline, Due::Run(id, job));
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.out.put(&text);
        let reservation = Reservation {
            given: Given::News,
            written: false,
            since: now,
            ttr,
            deadline,
            until: f64::MAX,
            due,
        };
        session.held.insert(job, reservation);
    }

    /// The session holds the job no more.
    fn let_go(&mut self, session: u64, job: u64) -> Option<Reservation> {
        let reservation = self.sessions.get_mut(&session)?.held.remove(&job)?;
        self.due.remove(&(reservation.deadline.max(0.0).to_bits(), reservation.due));
        Some(reservation)
    }

    /// A reservation has ended: its outcome for the core, and how the job stands.
    fn give_back(&mut self, now: f64, job: u64, given: Given, outcome: Outcome, state: Option<State>) {
        match given {
            Given::Work(alloc) => {
                self.allocs.remove(&alloc);
                self.tell(Event::Back(Back::with(alloc, outcome)));
                self.free(job, state);
            }
            Given::News => {
                self.free(job, state);
                if state.is_none() {
                    self.news_ready(now, job);
                }
            }
        }
    }

    /// One holder less; without any it stands as told, or is ready.
    fn free(&mut self, id: u64, state: Option<State>) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.holders -= 1;
        let (left, foreign, over) = (job.holders, job.foreign, matches!(job.state, State::Ended(_)));
        match state {
            _ if foreign && left == 0 => drop(self.jobs.remove(id)),
            _ if over => {}
            Some(state) => self.jobs.set(id, state),
            None if left == 0 => self.jobs.set(id, State::Ready),
            None => {}
        }
    }

    fn rested(&mut self, alloc: AllocId) {
        let Some(At::Resting(outcome)) = self.allocs.get(&alloc) else { return };
        let outcome = *outcome;
        if self.allocs.remove(&alloc).is_some() {
            if self.jobs.get(alloc.0).is_some_and(|job| matches!(job.state, State::Delayed { .. })) {
                self.jobs.set(alloc.0, State::Ready);
            }
            self.tell(Event::Back(Back::with(alloc, outcome)));
        }
    }

    // ---- words of the core

    /// Work for a group of workers, of this generation.
    pub fn order(&mut self, machine: IpAddr, runs: Runs, generation: u64, order: Order) {
        let open = self.machines.is_open(machine);
        let group = self.machines.group(machine, runs).filter(|group| group.generation == generation);
        let first = group.and_then(|group| {
            group.orders += 1;
            let (place, session) = group.waiting.first_key_value().map(|(p, s)| (*p, *s))?;
            open.then(|| group.waiting.remove(&place)).map(|_| session)
        });
        let session = first.and_then(|id| Some((id, self.sessions.get_mut(&id)?)));
        let Some((id, session)) = session else {
            // Nobody waits there any more: it never left.
            return self.tell(Event::Back(Back::with(order.alloc, Outcome::Full)));
        };
        let wait = session.waits.take();
        for tube in &session.watched {
            if let Some((hopeful, wait)) = self.hopeful.get_mut(tube).zip(wait) {
                hopeful.remove(&(wait.place, id));
            }
        }
        let (alloc, over) = (order.alloc, order.until);
        session.coming = Some((order, wait.and_then(|wait| wait.until)));
        let stalled = session.out.written < session.out.queued;
        self.allocs.insert(alloc, At::Session(id));
        self.deeds.push(Deed::Wake(id));
        if stalled {
            self.at(over, Due::Coming(id, alloc));
        }
    }

    /// An allocation is called off; nothing more is told of it.
    pub fn recall(&mut self, now: f64, alloc: AllocId) {
        let Some(At::Session(id)) = self.allocs.remove(&alloc) else { return };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if let Some((_, until)) = session.coming.take_if(|(order, _)| order.alloc == alloc) {
            return self.wait(now, id, until);
        }
        let held = session.held.get(&alloc.0);
        if held.is_some_and(|reservation| reservation.given == Given::Work(alloc)) {
            if held.is_some_and(|reservation| !reservation.written) {
                // Part of it may be on its way: it must not come whole, and later.
                (session.ends, session.cut) = (true, true);
                self.deeds.push(Deed::Wake(id));
            }
            self.let_go(id, alloc.0);
            self.free(alloc.0, None);
        }
    }

    /// The final answer for a job's work unit.
    pub fn ended(&mut self, now: f64, id: u64, answer: Answer) {
        if answer == Answer::Repeated {
            // Kicked before the core had done with it: it stays as it was.
            self.totals.taken -= 1;
            let place = self.next();
            if let Some(job) = self.jobs.get_mut(id) {
                (job.end, job.goes) = (Some(End::Deferred(0.0)), Some(now + self.plan.table.keep_ends));
                self.jobs.set(id, State::Buried(place));
                self.passes(id, now + self.plan.table.keep_ends);
            }
            return;
        }
        let end = End::of(&answer);
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.foreign && job.end.is_none()) else { return };
        match end {
            End::Completed => self.totals.completed += 1,
            End::Deferred(_) => self.totals.deferred += 1,
            End::Aborted => self.totals.aborted += 1,
        }
        let goes = now + self.plan.table.keep_ends;
        (job.end, job.goes) = (Some(end), Some(goes));
        let tube = job.tube.clone();
        if matches!(job.state, State::Buried(_)) {
            let kickable = self.plan.route(&tube).is_some_and(|route| route.effect == Effect::Rerunnable);
            if !kickable {
                job.room = None;
            }
        } else {
            (job.room, job.body) = (None, Bytes::new());
            self.jobs.set(id, State::Ended(end));
        }
        self.passes(id, goes);
        let Some(ends) = self.plan.route(&tube).and_then(|route| route.ends.clone()) else { return };
        let mut body = format!("{id} {}", end.word());
        if let End::Deferred(come_back) = end {
            body += &format!(" {come_back:.3}");
        }
        let mut body = body.into_bytes();
        if let Answer::Completed(result) = &answer
            && !result.is_empty()
        {
            body.push(b'\n');
            body.extend_from_slice(result);
        }
        let number = self.numbers.next();
        let ttr = (self.plan.table.keep_ends.ceil() as u32).max(1);
        let news = Job {
            tube: ends,
            put: Put { priority: 0, delay: 0, ttr, bytes: body.len() },
            put_at: now,
            body: body.into(),
            state: State::Ready,
            counts: Counts::default(),
            tells: true,
            foreign: false,
            holders: 0,
            holder: None,
            end: None,
            goes: Some(goes),
            room: None,
        };
        self.jobs.add(number, news);
        self.passes(number, goes);
        self.news_ready(now, number);
    }

    /// It may go at that time, and the oldest such go now where there are too many.
    fn passes(&mut self, id: u64, at: f64) {
        for old in self.jobs.passes(id, at, self.plan.table.ends) {
            self.pass(f64::MAX, old);
        }
    }

    fn pass(&mut self, now: f64, id: u64) {
        // One that was kicked meanwhile lives again, and may have ended again since.
        if self.jobs.get(id).is_some_and(|job| job.goes.is_some_and(|goes| goes <= now)) {
            self.jobs.remove(id);
        }
    }

    /// A job that tells of an end is ready: for the first who waits for such.
    fn news_ready(&mut self, now: f64, id: u64) {
        self.jobs.set(id, State::Ready);
        let Some(tube) = self.jobs.get(id).map(|job| job.tube.clone()) else { return };
        let first = self.hopeful.get(&tube).and_then(|hopeful| hopeful.first()).map(|(_, session)| *session);
        if let Some(session) = first {
            self.stop_waiting(session);
            self.give_news(now, session, id);
            self.deeds.push(Deed::Wake(session));
        }
    }

    /// What the list says of machines.
    pub fn hear(&mut self, full: bool, told: impl Iterator<Item = (IpAddr, Place)>) {
        for change in self.machines.hear(full, told) {
            let (machine, runs) = (change.machine, change.runs);
            self.deeds.push(Deed::Member(change));
            self.asks(machine, runs);
        }
    }

    /// From now on nothing is taken; what is delayed will not run here any more.
    pub fn stop(&mut self, now: f64) {
        self.stopping = true;
        let tubes: Vec<Tube> = self.jobs.tubes().cloned().collect();
        for tube in tubes {
            let delayed = self.jobs.tube(&tube).map(|t| t.delayed.keys().map(|(_, id)| *id).collect());
            let delayed: Vec<u64> = delayed.unwrap_or_default();
            for id in delayed {
                let unheard = self.jobs.get(id).is_some_and(|job| !job.tells && job.counts.releases == 0);
                if unheard {
                    self.ended(now, id, Answer::Deferred(0.0));
                }
            }
        }
    }

    pub fn woke(&mut self, now: f64) {
        while let Some(first) = self.due.first_entry().filter(|f| f64::from_bits(f.key().0) <= now) {
            let number = first.key().1;
            match first.remove() {
                Due::Run(session, job) => self.run_out(now, session, job, number),
                Due::Reserve(session, place) => self.waited(now, session, place),
                Due::Delay(job) => {
                    let delayed = self.jobs.get(job).filter(|j| matches!(j.state, State::Delayed { .. }));
                    match delayed.map(|j| (j.tells, j.counts.releases)) {
                        Some((true, _)) => self.news_ready(now, job),
                        Some((false, 0)) => self.arrive(now, job),
                        // Kicked before its time, and given back by a worker since: the core has it.
                        Some((false, _)) | None => {}
                    }
                }
                Due::Rested(alloc) => self.rested(alloc),
                Due::Coming(session, alloc) => {
                    let here = self.sessions.get_mut(&session);
                    let coming = here.and_then(|s| s.coming.take_if(|(order, _)| order.alloc == alloc));
                    if let Some((_, until)) = coming {
                        self.allocs.remove(&alloc);
                        self.tell(Event::Back(Back::with(alloc, Outcome::Full)));
                        self.wait(now, session, until);
                    }
                }
                Due::Forget => {
                    let gone = self.machines.forget(now, self.plan.table.keep_ends);
                    self.deeds.extend(gone.into_iter().map(Deed::Member));
                }
            }
        }
        for id in self.jobs.passed(now) {
            self.pass(now, id);
        }
    }

    /// A reservation's time is over.
    fn run_out(&mut self, now: f64, id: u64, job: u64, due: u64) {
        let held = self.sessions.get(&id).and_then(|session| session.held.get(&job));
        if held.is_none_or(|reservation| reservation.due != due) {
            return;
        }
        let Some(reservation) = self.let_go(id, job) else { return };
        if !reservation.written && reservation.given != Given::News {
            // It must not come whole from now on; until the connection is closed it may, so it may have run.
            if let Some(session) = self.sessions.get_mut(&id) {
                (session.ends, session.cut) = (true, true);
            }
            self.deeds.push(Deed::Wake(id));
        }
        self.totals.timeouts += 1;
        if let Some(job) = self.jobs.get_mut(job) {
            job.counts.timeouts += 1;
        }
        self.give_back(now, job, reservation.given, Outcome::TimedOut, None);
    }

    fn waited(&mut self, now: f64, id: u64, place: u64) {
        let Some(session) = self.sessions.get(&id) else { return };
        let Some(wait) = session.waits.filter(|wait| wait.place == place) else { return };
        let soon = session.soonest().is_some_and(|deadline| deadline - now <= SOON);
        let over = wait.until.is_some_and(|until| until <= now);
        if soon || over {
            self.stop_waiting(id);
            self.say(id, if soon { b"DEADLINE_SOON\r\n" } else { b"TIMED_OUT\r\n" });
            self.deeds.push(Deed::Wake(id));
            return;
        }
        // What was due soon has been taken from it: there is another time to wake for.
        let soon = session.soonest().map(|deadline| deadline - SOON);
        let when = wait.until.into_iter().chain(soon).reduce(f64::min);
        when.map(|when| self.at(when, Due::Reserve(id, place)));
    }

    /// Bytes that wait to be written to a session.
    pub fn waiting_out(&self, session: u64) -> usize {
        self.sessions.get(&session).map_or(0, |s| s.out.waiting.len())
    }

    /// All that was said to sessions is written, nothing is on its way to one, and no end waits for somebody who
    /// is there to be told.
    pub fn is_quiet(&self) -> bool {
        let untold = |tube: &Tube| {
            self.plan.tells_ends(tube) && self.jobs.tube(tube).is_some_and(|t| !t.ready.is_empty())
        };
        let settled = |s: &Session| s.coming.is_none() && s.out.written == s.out.queued;
        self.sessions.values().all(|s| settled(s) && !s.watched.iter().any(untold))
    }

    /// The session ends once what was said to it is written.
    pub fn end(&mut self, session: u64) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.ends = true;
        }
    }

    /// The largest job, in bytes.
    pub fn most_bytes(&self) -> usize {
        self.most
    }

    /// The room for a job's body, if there is any.
    pub fn body_room(&self, bytes: usize) -> Option<Held> {
        self.room.body(bytes)
    }

    /// Groups of workers that are known.
    pub fn groups(&self) -> usize {
        self.machines.len()
    }
}

/// The protocol's least urgent priority.
const URGENTLY_NOT: u32 = u32::MAX;

/// A reply with a body: the words, its length, and itself.
pub(crate) fn bodied(words: &str, body: &[u8]) -> Vec<u8> {
    let mut text = Vec::with_capacity(words.len() + body.len() + 16);
    text.extend_from_slice(words.as_bytes());
    text.push(b' ');
    text.extend_from_slice(itoa::Buffer::new().format(body.len()).as_bytes());
    text.extend_from_slice(b"\r\n");
    text.extend_from_slice(body);
    text.extend_from_slice(b"\r\n");
    text
}

/// What `stats` counts a command as.
fn word(command: &Command) -> &'static str {
    match command {
        Command::Put(..) => "put",
        Command::Use(_) => "use",
        Command::Watch(_) => "watch",
        Command::Ignore(_) => "ignore",
        Command::Reserve => "reserve",
        Command::ReserveWithTimeout(_) => "reserve-with-timeout",
        Command::ReserveJob(_) => "reserve-job",
        Command::Delete(_) => "delete",
        Command::Release { .. } => "release",
        Command::Bury { .. } => "bury",
        Command::Touch(_) => "touch",
        Command::Peek(_) => "peek",
        Command::PeekReady => "peek-ready",
        Command::PeekDelayed => "peek-delayed",
        Command::PeekBuried => "peek-buried",
        Command::Kick(_) => "kick",
        Command::KickJob(_) => "kick-job",
        Command::Stats => "stats",
        Command::StatsJob(_) => "stats-job",
        Command::StatsTube(_) => "stats-tube",
        Command::ListTubes => "list-tubes",
        Command::ListTubeUsed => "list-tube-used",
        Command::ListTubesWatched => "list-tubes-watched",
        Command::PauseTube(..) => "pause-tube",
        Command::Quit => "quit",
    }
}
