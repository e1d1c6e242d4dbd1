//! The world: machines, the network, operators, and one queue of events in virtual time.

mod ending;
mod faults;
mod lots;
mod machine;
mod network;
mod outside;
mod workers;

use crate::checks::{Checks, Counts, Violation};
use crate::context::{Context, Out, Time, Timer};
use crate::controller::{Controller, Start};
use crate::dispatcher::Dispatcher;
use crate::history::{Fault, History, Tier};
use crate::lot_client::LotClient;
use crate::lots_told::LotsTold;
use crate::message::{Ask, Packet, Told};
use crate::operator::Operator;
use crate::planted::Planted;
use crate::process::{Disk, Process, Role};
use crate::random::Random;
use crate::store::Store;
use crate::worker::Worker;
use faults::Ending;
use machine::Machine;
use network::Network;
use outside::Open;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::time::Instant;

/// `config_apply_ms`.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// All machines of a new tier start within this time.
const STARTS_WITHIN_MS: u64 = 300;
/// After so much calm all has to be in order.
const CALM: Duration = Duration::from_secs(12);
/// Before the end of it operators send nothing new.
const OPERATORS_END: Duration = Duration::from_secs(3);
/// Operators of a world.
const OPERATORS: usize = 2;
/// Workers.
const WORKERS: usize = 3;
/// Callers with lots.
const LOT_CLIENTS: usize = 2;
/// Events of a world at most; more are a fault of the model.
const MOST_EVENTS: u64 = 3_000_000;

/// Something that happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message comes to its receiver's address.
    Packet {
        /// The sending machine.
        from: usize,
        /// The message.
        packet: Packet,
    },
    /// A timer of a life runs out.
    Timer {
        /// The machine.
        machine: usize,
        /// The life.
        life: u64,
        /// The timer.
        timer: Timer,
    },
    /// A connection is broken.
    Unreachable {
        /// The machine that notices.
        machine: usize,
        /// Its life.
        life: u64,
        /// The other end.
        peer: SocketAddr,
    },
    /// A call came to nobody.
    CallLost {
        /// The calling machine.
        machine: usize,
        /// Its life.
        life: u64,
        /// Its number of the call.
        id: u64,
    },
    /// A call from outside comes.
    Ask {
        /// To this machine.
        machine: usize,
        /// Its number.
        id: u64,
        /// The call.
        ask: Ask,
    },
    /// Its answer comes back.
    Told {
        /// Its number.
        id: u64,
        /// The answer.
        told: Told,
    },
    /// An operator's time has come.
    Operator {
        /// Which one.
        number: usize,
        /// What it waits for.
        turn: u64,
    },
    /// A caller's time has come.
    LotClient {
        /// Which one.
        number: usize,
        /// What it waits for.
        turn: u64,
    },
    /// A worker's time has come.
    Worker {
        /// Which one.
        number: usize,
        /// What it waits for.
        turn: u64,
        /// Its last call was not answered well.
        again: bool,
    },
    /// The operator goes on with a retirement.
    Retirement,
    /// It is looked at what machines in touch know.
    Watch,
    /// A fault begins.
    Fault(Fault),
    /// A fault ends.
    Ending(Ending),
    /// A loss that waits for an acknowledgement comes about.
    Strike,
    /// The last reads begin.
    LastReads,
    /// The last reads of lots begin.
    LastLots,
}

/// What came of a history.
#[derive(Debug, Default)]
pub struct Report {
    /// The first invariant that did not hold.
    pub violation: Option<Violation>,
    /// What happened.
    pub counts: Counts,
    /// What happened, line by line, if it was asked for.
    pub trace: Vec<(Time, String)>,
}

/// A tier with its surroundings.
pub struct World {
    now: Time,
    queue: BTreeMap<(Time, u64), Event>,
    scheduled: u64,
    random: Random,
    planted: Planted,
    tier: Tier,
    machines: Vec<Machine>,
    seeds: Vec<SocketAddr>,
    network: Network,
    fair_since: Time,
    /// When a machine that counts last had trouble, or its end.
    core_touched: Time,
    /// The loss that waits for an acknowledgement.
    armed: Option<Fault>,
    commit_ms: u64,
    operators: Vec<Operator>,
    lot_clients: Vec<LotClient>,
    workers: Vec<Worker>,
    drained: Vec<workers::Drained>,
    lots: LotsTold,
    retiring: Option<lots::Retiring>,
    operators_until: Time,
    open: BTreeMap<u64, Open>,
    next_ask: u64,
    next_life: u64,
    next_identity: u64,
    addresses: Vec<u8>,
    checks: Checks,
    calm_from: Time,
    last_acknowledged: Time,
    last_reads_open: usize,
    last_lots_open: usize,
    last_versions: Vec<u64>,
    trace: Option<Vec<(Time, String)>>,
}

/// Plays a history to its end, or to the first invariant that does not hold.
pub fn play(history: &History, planted: Planted, traced: bool) -> Report {
    let mut world = World::new(history, planted, traced);
    world.run(history.calm_from + CALM);
    let mut counts = world.checks.counts;
    (counts.lots, counts.results) = (world.lots.accepted(), world.lots.recorded);
    Report {
        violation: world.checks.violation,
        counts,
        trace: world.trace.unwrap_or_default(),
    }
}

impl World {
    fn new(history: &History, planted: Planted, traced: bool) -> World {
        let mut random = Random::new(history.seed);
        let mut addresses: Vec<u8> = (1..=200).collect();
        for last in (1..addresses.len()).rev() {
            addresses.swap(last, random.below(last + 1));
        }
        let mut world = World {
            now: Time::ZERO,
            queue: BTreeMap::new(),
            scheduled: 0,
            random,
            planted,
            tier: history.tier,
            machines: Vec::new(),
            seeds: Vec::new(),
            network: Network::new(history.tier.machines()),
            fair_since: Time::ZERO,
            core_touched: Time::ZERO,
            armed: None,
            commit_ms: history.commit_ms,
            operators: (0..OPERATORS).map(Operator::new).collect(),
            operators_until: history.calm_from + CALM - OPERATORS_END,
            lot_clients: (0..LOT_CLIENTS).map(|_| LotClient::default()).collect(),
            lots: LotsTold::default(),
            workers: (0..WORKERS).map(Worker::new).collect(),
            drained: Vec::new(),
            retiring: None,
            open: BTreeMap::new(),
            next_ask: 0,
            next_life: 0,
            next_identity: 0,
            addresses,
            checks: Checks::default(),
            calm_from: history.calm_from,
            last_acknowledged: Time::ZERO,
            last_reads_open: 0,
            last_lots_open: 0,
            last_versions: Vec::new(),
            trace: traced.then(Vec::new),
        };
        world.prepare(history);
        world
    }

    fn prepare(&mut self, history: &History) {
        for number in 0..self.tier.machines() {
            let role = match number {
                _ if number < self.tier.controllers => Role::Controller,
                _ if number < self.tier.counted() => Role::Store,
                _ => Role::Dispatcher,
            };
            let (disk, address) = (self.new_disk(role), self.draw_address());
            self.machines.push(Machine::new(
                role,
                format!("{role:?}{number}"),
                address,
                disk,
            ));
            let delay = self.random.time(0, STARTS_WITHIN_MS);
            self.schedule(delay, Event::Ending(Ending::Start(number)));
        }
        self.seeds = self
            .machines
            .iter()
            .take(self.tier.controllers)
            .map(|m| m.address)
            .collect();
        for timed in &history.faults {
            self.schedule(timed.at, Event::Fault(timed.fault.clone()));
        }
        for number in 0..OPERATORS {
            let delay = self.random.time(300, 1500);
            self.schedule(delay, Event::Operator { number, turn: 0 });
        }
        let lot_clients = if self.tier.stores > 0 { LOT_CLIENTS } else { 0 };
        for number in 0..lot_clients {
            let delay = self.random.time(1500, 3000);
            self.schedule(delay, Event::LotClient { number, turn: 0 });
        }
        for number in 0..WORKERS {
            let delay = self.random.time(1000, 2000);
            self.schedule(
                delay,
                Event::Worker {
                    number,
                    turn: 0,
                    again: false,
                },
            );
        }
        self.schedule(STARTED, Event::Watch);
        self.schedule(history.calm_from + CALM - LAST_LOTS, Event::LastLots);
        self.schedule(
            history.calm_from + CALM - PATIENCE_OF_READERS,
            Event::LastReads,
        );
    }

    fn run(&mut self, end: Time) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end || self.checks.violation.is_some() {
                break;
            }
            self.now = at;
            self.checks.counts.events += 1;
            if self.checks.counts.events > MOST_EVENTS {
                return self
                    .checks
                    .violates("model", at, "too many events".to_string());
            }
            self.happen(event);
        }
        if self.checks.violation.is_none() {
            self.now = end;
            self.check_end();
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Packet { from, packet } => self.deliver(from, packet),
            Event::Timer {
                machine,
                life,
                timer,
            } => self.timer(machine, life, timer),
            Event::Unreachable {
                machine,
                life,
                peer,
            } => {
                if !self.hold(
                    machine,
                    Event::Unreachable {
                        machine,
                        life,
                        peer,
                    },
                ) && self.machines[machine].runs(life)
                {
                    self.with(machine, |process, context| {
                        process.unreachable(context, peer)
                    });
                }
            }
            Event::CallLost { machine, life, id } => {
                if !self.hold(machine, Event::CallLost { machine, life, id })
                    && self.machines[machine].runs(life)
                {
                    self.with(machine, |process, context| process.call_lost(context, id));
                }
            }
            Event::Ask { machine, id, ask } => self.asked(machine, id, ask),
            Event::Told { id, told } => self.told(id, &told),
            Event::Operator { number, turn } => self.operator_wakes(number, turn),
            Event::LotClient { number, turn } => self.lot_client_wakes(number, turn),
            Event::Worker {
                number,
                turn,
                again,
            } => self.worker_wakes(number, turn, again),
            Event::Retirement => self.go_on_retiring(),
            Event::Watch => self.watch(),
            Event::Fault(fault) => self.begin_fault(fault),
            Event::Ending(ending) => self.end_fault(ending),
            Event::Strike => self.strike(),
            Event::LastLots => self.read_lots_at_last(),
            Event::LastReads => self.ask_last_readers(),
        }
    }

    /// Keeps an event for a machine that stands still; whether it does.
    fn hold(&mut self, machine: usize, event: Event) -> bool {
        let machine = &mut self.machines[machine];
        if machine.frozen {
            machine.held.push(event);
        }
        machine.frozen
    }

    fn timer(&mut self, number: usize, life: u64, timer: Timer) {
        let event = Event::Timer {
            machine: number,
            life,
            timer,
        };
        if self.hold(number, event.clone()) || !self.machines[number].runs(life) {
            return;
        }
        let stalled_until = self.machines[number].stalled_until;
        if timer == Timer::Disk && stalled_until > self.now {
            return self.schedule(stalled_until - self.now, event);
        }
        self.with(number, |process, context| process.timer(context, timer));
    }

    /// A machine's process starts.
    fn start(&mut self, number: usize) {
        if self.machines[number].process.is_some() {
            return;
        }
        self.next_life += 1;
        let life = self.next_life;
        let seeds = self.seeds();
        let machine = &mut self.machines[number];
        let gone = machine.gone;
        machine.life = life;
        let (role, name, first_start) = (machine.role, machine.name.clone(), machine.first_start);
        let disk = std::mem::replace(&mut machine.disk, Disk::None);
        self.touch(number);
        if gone {
            return;
        }
        self.note(|| format!("{name} starts"));
        let mut context = self.context(number);
        let process = match disk {
            Disk::Vote(disk) => {
                let start = Start {
                    name,
                    seeds,
                    first_start,
                };
                Process::Controller(Box::new(Controller::start(&mut context, start, disk)))
            }
            Disk::Lots(disk) => {
                Process::Store(Box::new(Store::start(&mut context, &name, &seeds, disk)))
            }
            Disk::None => {
                Process::Dispatcher(Box::new(Dispatcher::start(&mut context, &name, &seeds)))
            }
        };
        let out = context.out;
        debug_assert_eq!(
            role == Role::Controller,
            matches!(process, Process::Controller(_))
        );
        self.machines[number].process = Some(process);
        self.carry_out(number, out);
    }

    /// The seeds of a process that starts now: the operators' list as it is.
    fn seeds(&self) -> Vec<SocketAddr> {
        match self.now < Duration::from_secs(1) {
            true => self.seeds.clone(),
            false => self
                .machines
                .iter()
                .take(self.tier.controllers)
                .map(|m| m.address)
                .collect(),
        }
    }

    /// Lets a process handle something, and carries out what it wants done.
    fn with(&mut self, number: usize, handle: impl FnOnce(&mut Process, &mut Context)) {
        let Some(mut process) = self.machines[number].process.take() else {
            return;
        };
        let mut context = self.context(number);
        handle(&mut process, &mut context);
        let out = context.out;
        self.machines[number].process = Some(process);
        self.carry_out(number, out);
    }

    fn context(&mut self, number: usize) -> Context<'_> {
        let commit_time = self.random.time(1, self.commit_ms);
        let machine = &self.machines[number];
        Context {
            now: self.now,
            instant: began() + self.now,
            wall_ms: WALL_MS + self.now.as_millis() as u64 - machine.clock_behind,
            own: machine.address,
            life: machine.life,
            random: &mut self.random,
            planted: self.planted,
            commit_time,
            out: Vec::new(),
        }
    }

    fn carry_out(&mut self, number: usize, out: Vec<Out>) {
        let (now, life) = (self.now, self.machines[number].life);
        for out in out {
            match out {
                Out::Send(packet) => self.send(number, *packet),
                Out::Wake(after, timer) => {
                    self.schedule(
                        after,
                        Event::Timer {
                            machine: number,
                            life,
                            timer,
                        },
                    );
                }
                Out::Tell(id, told) => self.tell(id, told),
                Out::Chosen(accepted) => self.checks.chosen(now, &accepted),
                Out::InForce(record) => {
                    self.checks
                        .in_force(now, number, life, &record.key, record.version);
                }
                Out::Note(line) => self.note(|| line),
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.queue.insert((self.now + after, self.scheduled), event);
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push((self.now, line()));
        }
    }

    /// Whether callers begin nothing new any more.
    fn is_ending(&self) -> bool {
        self.now >= self.operators_until
    }

    fn draw_identity(&mut self) -> u64 {
        self.next_identity += 1;
        self.next_identity
    }

    fn draw_address(&mut self) -> SocketAddr {
        let last = self.addresses.pop().unwrap_or(201);
        SocketAddr::from(([10, 0, 0, last], 7661))
    }
}

/// A new tier has started by then.
const STARTED: Duration = Duration::from_millis(3000);
/// The last reads of lots begin so long before the end.
const LAST_LOTS: Duration = Duration::from_millis(2000);
/// The last readers are as patient as operators.
const PATIENCE_OF_READERS: Duration = Duration::from_millis(1100);
/// The time of day at the model's start.
const WALL_MS: u64 = 1_790_000_000_000;

/// An instant that all worlds begin at.
fn began() -> Instant {
    static BEGAN: OnceLock<Instant> = OnceLock::new();
    *BEGAN.get_or_init(|| Instant::now() + Duration::from_secs(3600))
}
