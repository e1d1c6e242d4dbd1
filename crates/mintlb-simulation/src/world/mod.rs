//! The world: machines, the network, operators, and one queue of events in virtual time.

mod external_callers;
mod fault_injection;
mod final_checks;
mod jobs;
mod machine;
mod network;
mod workers;

use crate::batch_oracle::BatchOracle;
use crate::checks::{Checks, Counts, Violation};
use crate::context::{Context, Out, Time, Timer};
use crate::controller::{Controller, Start};
use crate::dispatcher::Dispatcher;
use crate::job_client::JobClient;
use crate::message::{ClientRequest, ClientResponse, Packet};
use crate::mutations::Mutation;
use crate::operator::Operator;
use crate::process::{Disk, Process, Role};
use crate::random::Random;
use crate::scenario::{Fault, Scenario, Tier};
use crate::store::Store;
use crate::worker::Worker;
use external_callers::{Caller, PendingRequest};
use fault_injection::Ending;
use machine::Machine;
use network::Network;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::time::Instant;

/// `config_apply_ms`.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// All machines of a new tier start within this time.
const MAX_START_DELAY_MS: u64 = 300;
/// After so much calm all has to be in order.
const CALM: Duration = Duration::from_secs(12);
/// Before the end of it operators send nothing new.
const OPERATORS_END: Duration = Duration::from_secs(3);
/// Operators of a world.
const OPERATORS: usize = 2;
/// Workers.
const WORKERS: usize = 3;
/// Clients of the batch API.
const JOB_CLIENTS: usize = 2;
/// Events of a world at most; more are a fault of the model.
const MAX_EVENTS: u64 = 3_000_000;

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
    /// A timer of an incarnation runs out.
    Timer {
        /// The machine.
        machine: usize,
        /// The incarnation.
        incarnation: u64,
        /// The timer.
        timer: Timer,
    },
    /// A connection is broken.
    Unreachable {
        /// The machine that notices.
        machine: usize,
        /// Its incarnation.
        incarnation: u64,
        /// The other end.
        peer: SocketAddr,
    },
    /// A call came to nobody.
    CallLost {
        /// The calling machine.
        machine: usize,
        /// Its incarnation.
        incarnation: u64,
        /// Its number of the call.
        id: u64,
    },
    /// A call from outside comes.
    ClientRequest {
        /// To this machine.
        machine: usize,
        /// Its number.
        id: u64,
        /// The call.
        request: ClientRequest,
    },
    /// Its answer comes back.
    ClientResponse {
        /// Its number.
        id: u64,
        /// The answer.
        response: ClientResponse,
    },
    /// An operator's time has come.
    Operator {
        /// Which one.
        number: usize,
        /// What it waits for.
        turn: u64,
    },
    /// A caller's time has come.
    JobClient {
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
    /// A heartbeat comes a second time, late.
    LateHeartbeat {
        /// At this machine.
        machine: usize,
        /// The heartbeat.
        request: ClientRequest,
    },
    /// The operator goes on with a retirement.
    Retirement,
    /// It is looked at what machines in touch know.
    Watch,
    /// A fault begins.
    Fault(Fault),
    /// A fault ends.
    Ending(Ending),
    /// The correlated loss that waits for an acknowledgement strikes.
    CorrelatedLoss,
    /// The final reads of the configuration begin.
    FinalReads,
    /// The final reads of all jobs begin.
    FinalJobReads,
}

/// A scenario's outcome.
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
    mutation: Mutation,
    tier: Tier,
    machines: Vec<Machine>,
    seeds: Vec<SocketAddr>,
    network: Network,
    network_ok_since: Time,
    /// When a fault of a counted machine last began or ended.
    core_disturbed_at: Time,
    /// The loss that waits for an acknowledgement.
    armed: Option<Fault>,
    commit_ms: u64,
    operators: Vec<Operator>,
    job_clients: Vec<JobClient>,
    workers: Vec<Worker>,
    drained: Vec<workers::Drained>,
    jobs: BatchOracle,
    retiring: Option<jobs::Retiring>,
    operators_until: Time,
    pending: BTreeMap<u64, PendingRequest>,
    last_request_id: u64,
    next_incarnation: u64,
    next_identity: u64,
    addresses: Vec<u8>,
    checks: Checks,
    calm_from: Time,
    last_acknowledged: Time,
    pending_final_reads: usize,
    pending_final_job_reads: usize,
    final_versions: Vec<u64>,
    trace: Option<Vec<(Time, String)>>,
}

/// Runs a scenario to its end, or to the first invariant that does not hold.
pub fn play(scenario: &Scenario, mutation: Mutation, traced: bool) -> Report {
    let mut world = World::new(scenario, mutation, traced);
    world.run(scenario.calm_from + CALM);
    let mut counts = world.checks.counts;
    (counts.jobs, counts.results) = (world.jobs.accepted(), world.jobs.recorded);
    Report {
        violation: world.checks.violation,
        counts,
        trace: world.trace.unwrap_or_default(),
    }
}

impl World {
    fn new(scenario: &Scenario, mutation: Mutation, traced: bool) -> World {
        let mut random = Random::new(scenario.seed);
        let mut addresses: Vec<u8> = (1..=200).collect();
        for last in (1..addresses.len()).rev() {
            addresses.swap(last, random.below(last + 1));
        }
        let mut world = World {
            now: Time::ZERO,
            queue: BTreeMap::new(),
            scheduled: 0,
            random,
            mutation,
            tier: scenario.tier,
            machines: Vec::new(),
            seeds: Vec::new(),
            network: Network::new(scenario.tier.machines()),
            network_ok_since: Time::ZERO,
            core_disturbed_at: Time::ZERO,
            armed: None,
            commit_ms: scenario.commit_ms,
            operators: (0..OPERATORS).map(Operator::new).collect(),
            operators_until: scenario.calm_from + CALM - OPERATORS_END,
            job_clients: (0..JOB_CLIENTS).map(|_| JobClient::default()).collect(),
            jobs: BatchOracle::default(),
            workers: (0..WORKERS).map(Worker::new).collect(),
            drained: Vec::new(),
            retiring: None,
            pending: BTreeMap::new(),
            last_request_id: 0,
            next_incarnation: 0,
            next_identity: 0,
            addresses,
            checks: Checks::default(),
            calm_from: scenario.calm_from,
            last_acknowledged: Time::ZERO,
            pending_final_reads: 0,
            pending_final_job_reads: 0,
            final_versions: Vec::new(),
            trace: traced.then(Vec::new),
        };
        world.prepare(scenario);
        world
    }

    fn prepare(&mut self, scenario: &Scenario) {
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
            let delay = self.random.time(0, MAX_START_DELAY_MS);
            self.schedule(delay, Event::Ending(Ending::Start(number)));
        }
        self.seeds = self
            .machines
            .iter()
            .take(self.tier.controllers)
            .map(|m| m.address)
            .collect();
        for timed in &scenario.faults {
            self.schedule(timed.at, Event::Fault(timed.fault.clone()));
        }
        for number in 0..OPERATORS {
            let delay = self.random.time(300, 1500);
            self.schedule(delay, Event::Operator { number, turn: 0 });
        }
        let job_clients = if self.tier.stores > 0 { JOB_CLIENTS } else { 0 };
        for number in 0..job_clients {
            let delay = self.random.time(1500, 3000);
            self.schedule(delay, Event::JobClient { number, turn: 0 });
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
        self.schedule(
            scenario.calm_from + CALM - FINAL_JOB_READS_LEAD,
            Event::FinalJobReads,
        );
        self.schedule(
            scenario.calm_from + CALM - FINAL_READS_LEAD,
            Event::FinalReads,
        );
    }

    fn run(&mut self, end: Time) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end || self.checks.violation.is_some() {
                break;
            }
            self.now = at;
            self.checks.counts.events += 1;
            if self.checks.counts.events > MAX_EVENTS {
                return self
                    .checks
                    .violates("model", at, "too many events".to_string());
            }
            self.handle_event(event);
        }
        if self.checks.violation.is_none() {
            self.now = end;
            self.check_end();
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Packet { from, packet } => self.deliver(from, packet),
            Event::Timer {
                machine,
                incarnation,
                timer,
            } => self.timer(machine, incarnation, timer),
            Event::Unreachable {
                machine,
                incarnation,
                peer,
            } => {
                if !self.defer_if_frozen(
                    machine,
                    Event::Unreachable {
                        machine,
                        incarnation,
                        peer,
                    },
                ) && self.machines[machine].runs(incarnation)
                {
                    self.with(machine, |process, context| {
                        process.unreachable(context, peer)
                    });
                }
            }
            Event::CallLost {
                machine,
                incarnation,
                id,
            } => {
                if !self.defer_if_frozen(
                    machine,
                    Event::CallLost {
                        machine,
                        incarnation,
                        id,
                    },
                ) && self.machines[machine].runs(incarnation)
                {
                    self.with(machine, |process, context| process.call_lost(context, id));
                }
            }
            Event::ClientRequest {
                machine,
                id,
                request,
            } => self.on_client_request(machine, id, request),
            Event::ClientResponse { id, response } => self.on_response(id, &response),
            Event::Operator { number, turn } => self.operator_wakes(number, turn),
            Event::JobClient { number, turn } => self.job_client_wakes(number, turn),
            Event::Worker {
                number,
                turn,
                again,
            } => self.worker_wakes(number, turn, again),
            Event::Retirement => self.continue_retirement(),
            Event::Watch => self.watch(),
            Event::Fault(fault) => self.begin_fault(fault),
            Event::Ending(ending) => self.end_fault(ending),
            Event::LateHeartbeat { machine, request } => {
                self.send_request(machine, request, Caller::LateHeartbeat, None);
            }
            Event::CorrelatedLoss => self.trigger_correlated_loss(),
            Event::FinalJobReads => self.begin_final_job_reads(),
            Event::FinalReads => self.begin_final_reads(),
        }
    }

    /// Defers an event of a frozen machine; returns whether the machine is frozen.
    fn defer_if_frozen(&mut self, machine: usize, event: Event) -> bool {
        let machine = &mut self.machines[machine];
        if machine.frozen {
            machine.deferred_events.push(event);
        }
        machine.frozen
    }

    fn timer(&mut self, number: usize, incarnation: u64, timer: Timer) {
        let event = Event::Timer {
            machine: number,
            incarnation,
            timer,
        };
        if self.defer_if_frozen(number, event.clone()) || !self.machines[number].runs(incarnation) {
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
        self.next_incarnation += 1;
        let incarnation = self.next_incarnation;
        let seeds = self.seeds();
        let machine = &mut self.machines[number];
        let removed = machine.removed;
        machine.incarnation = incarnation;
        let (role, name, first_start) = (machine.role, machine.name.clone(), machine.first_start);
        let disk = std::mem::replace(&mut machine.disk, Disk::None);
        self.record_disturbance(number);
        if removed {
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
            Disk::Batch(disk) => {
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
            incarnation: machine.incarnation,
            random: &mut self.random,
            mutation: self.mutation,
            commit_time,
            out: Vec::new(),
        }
    }

    fn carry_out(&mut self, number: usize, out: Vec<Out>) {
        let (now, incarnation) = (self.now, self.machines[number].incarnation);
        for out in out {
            match out {
                Out::Send(packet) => self.send(number, *packet),
                Out::Wake(after, timer) => {
                    self.schedule(
                        after,
                        Event::Timer {
                            machine: number,
                            incarnation,
                            timer,
                        },
                    );
                }
                Out::Respond(id, response) => self.respond(id, response),
                Out::Chosen(accepted) => self.checks.chosen(now, &accepted),
                Out::InForce(record) => {
                    self.checks
                        .in_force(now, number, incarnation, &record.key, record.version);
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
/// The time before the end at which the final reads of all jobs begin.
const FINAL_JOB_READS_LEAD: Duration = Duration::from_millis(2000);
/// The last readers are as patient as operators.
const FINAL_READS_LEAD: Duration = Duration::from_millis(1100);
/// The time of day at the model's start.
const WALL_MS: u64 = 1_790_000_000_000;

/// An instant that all worlds begin at.
fn began() -> Instant {
    static BEGAN: OnceLock<Instant> = OnceLock::new();
    *BEGAN.get_or_init(|| Instant::now() + Duration::from_secs(3600))
}
