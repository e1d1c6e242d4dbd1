//! Controllers in virtual time: the state of a run, and its events.

use super::machine::Machine;
use crate::support::checker::Checker;
use crate::support::rng::Rng;
use crate::support::{accepted_first, address, replica_at, replica_set, state};
use mintlb_common::quorum::FaultTolerance;
use mintlb_register::message::{Reply, Request};
use mintlb_register::proposal::Input;
use mintlb_register::replica_set::ReplicaId;
use std::collections::BTreeMap;

/// Percentage of messages that are lost, in most runs and after the faults.
pub const USUAL_LOSS_PERCENT: u64 = 2;
/// Percentage of messages that are lost in the other runs.
const HIGH_LOSS_PERCENT: u64 = 5;

/// A fault of the program, planted to see that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlantedFault {
    None,
    /// Acceptors reply before the write is synced.
    RepliesBeforeSync,
    /// A replica whose disk was lost goes on under its old identity.
    KeepsIdentityOfLostDisk,
    /// A machine that is replaced as planned stops without having removed itself.
    StopsWithoutRemoval,
    /// Neither the proposer of a joint set nor any other ends it.
    NeverLeavesJoint,
    /// A machine whose disk was lost does not join again.
    NeverRejoins,
    /// A replica that has missed a change waits for the next one.
    NeverCatchesUp,
}

/// An event on the machine with an index.
pub enum Event {
    Request {
        address: String,
        from: usize,
        operation: u64,
        request: Request,
    },
    Reply {
        to: usize,
        operation: u64,
        from: ReplicaId,
        reply: Reply,
    },
    /// The oldest unsynced write is on disk.
    Synced {
        machine: usize,
        incarnation: u64,
    },
    /// A proposal's timer has expired.
    Timer {
        machine: usize,
        operation: u64,
        timer: u64,
    },
    /// The time of an operation is over.
    Deadline {
        machine: usize,
        operation: u64,
    },
    /// A controller polls the register.
    Poll {
        machine: usize,
        incarnation: u64,
    },
    /// The operator changes the configuration.
    OperatorCall,
    /// The next fault.
    Fault,
    Start {
        machine: usize,
    },
    /// A network partition ends.
    Heal {
        machine: usize,
    },
    /// A machine is told to stop.
    Stop {
        machine: usize,
    },
    /// A machine has stopped.
    Stopped {
        machine: usize,
    },
}

/// What happened in a run, to see that runs are worth it.
#[derive(Default)]
pub struct Stats {
    /// Configurations acknowledged as applied.
    pub applied: u64,
    /// Those, and configurations that were found to be applied by another proposal.
    pub acknowledged: u64,
    pub lost_disks: u64,
    pub set_changes: u64,
}

/// One run.
pub struct Simulation {
    /// Time since the start, in ms.
    pub now: u64,
    pub tolerated_failures: usize,
    pub planted: PlantedFault,
    pub machines: Vec<Machine>,
    /// No more faults are injected.
    pub is_calm: bool,
    pub is_operator_active: bool,
    pub loss_percent: u64,
    events: BTreeMap<(u64, u64), Event>,
    pub last_number: u64,
    rng: Rng,
    pub checker: Checker,
    pub stats: Stats,
    /// The first invariant that was violated.
    pub violation: Option<String>,
    /// Faults so far.
    pub log: Vec<String>,
}

impl Simulation {
    /// Machines that all hold the first value.
    pub fn new(
        seed: u64,
        tolerated_failures: usize,
        size: usize,
        planted: PlantedFault,
    ) -> Simulation {
        let members =
            (0..size as u64).map(|index| replica_at(ReplicaId(index + 1), &address(index)));
        let first = accepted_first(state(replica_set(members)));
        let has_high_loss = tolerated_failures == 1 && seed.is_multiple_of(3);
        let mut simulation = Simulation {
            now: 0,
            tolerated_failures,
            planted,
            machines: (0..size)
                .map(|index| Machine::with_value(index, first.clone()))
                .collect(),
            is_calm: false,
            is_operator_active: true,
            loss_percent: if has_high_loss {
                HIGH_LOSS_PERCENT
            } else {
                USUAL_LOSS_PERCENT
            },
            events: BTreeMap::new(),
            last_number: 1000,
            rng: Rng::with_state(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            checker: Checker::new(first),
            stats: Stats::default(),
            violation: None,
            log: Vec::new(),
        };
        (0..size).for_each(|machine| simulation.schedule_poll(machine, 1000));
        simulation.schedule(100, Event::OperatorCall);
        simulation.schedule(500, Event::Fault);
        simulation
    }

    /// The failures that are tolerated.
    pub fn tolerance(&self) -> FaultTolerance {
        FaultTolerance::of_machines(self.tolerated_failures)
    }

    /// The smallest set that tolerates the failures.
    pub fn min_replicas(&self) -> usize {
        2 * self.tolerated_failures + 1
    }

    /// A random number below `limit`.
    pub fn random_below(&mut self, limit: u64) -> u64 {
        self.rng.below(limit)
    }

    /// A random one of these machines.
    pub fn random_of(&mut self, machines: &[usize]) -> usize {
        machines[self.random_below(machines.len() as u64) as usize]
    }

    /// A number that was not used before.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub fn schedule(&mut self, delay_ms: u64, event: Event) {
        let number = self.next_number();
        self.events.insert((self.now + delay_ms, number), event);
    }

    pub fn schedule_poll(&mut self, machine: usize, delay_ms: u64) {
        let spread = self.random_below(delay_ms / 4 + 1);
        let incarnation = self.machines[machine].incarnation;
        self.schedule(
            delay_ms + spread,
            Event::Poll {
                machine,
                incarnation,
            },
        );
    }

    /// Runs until this time, or until an invariant is violated.
    pub fn run_until(&mut self, end: u64) {
        while self.violation.is_none() {
            let Some(next) = self.events.first_entry() else {
                return;
            };
            if next.key().0 > end {
                break;
            }
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request {
                address,
                from,
                operation,
                request,
            } => self.handle_request(address, from, operation, request),
            Event::Reply {
                to,
                operation,
                from,
                reply,
            } => self.handle_input(to, operation, Input::Reply { from, reply }),
            Event::Synced {
                machine,
                incarnation,
            } => self.handle_synced(machine, incarnation),
            Event::Timer {
                machine,
                operation,
                timer,
            } => self.handle_timer(machine, operation, timer),
            Event::Deadline { machine, operation } => self.handle_deadline(machine, operation),
            Event::Poll {
                machine,
                incarnation,
            } => self.poll(machine, incarnation),
            Event::OperatorCall => self.call_as_operator(),
            Event::Fault => self.inject_fault(),
            Event::Start { machine } => self.start(machine),
            Event::Heal { machine } => self.heal(machine),
            Event::Stop { machine } => self.stop(machine),
            Event::Stopped { machine } => self.handle_stopped(machine),
        }
    }
}
