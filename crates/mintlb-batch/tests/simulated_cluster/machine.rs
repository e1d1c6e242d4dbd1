//! Machines of the simulated cluster: what happens to them, and which of them count as lost.

use super::{START, SimulatedCluster};
use mintlb_batch::placement_planner::StoreTable;
use mintlb_common::placement::StoreId;
use mintlb_common::quorum::{FailureDomain, QuorumSystem};
use std::cell::Cell;
use std::time::Duration;

/// How long a store that is shutting down waits while a shard needs it.
const MAX_HANDOVER: Duration = Duration::from_millis(4000);
/// How long it waits at least.
const MIN_HANDOVER: Duration = Duration::from_millis(800);
/// How long a restart takes.
const RESTART_TIME: Duration = Duration::from_millis(1000);

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Up,
    /// Neither runs nor can be reached until then.
    DownUntil(Duration),
    /// Gone for good, with its disk.
    Removed,
}

/// A shutdown that is under way.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    since: Duration,
    /// Whether the machine is removed after it.
    is_final: bool,
}

#[derive(Clone, Debug)]
pub struct Machine {
    /// The identity of the store; a store with another disk has another one.
    pub id: StoreId,
    /// The number of the machine, in its name and address.
    number: u64,
    /// Where it runs.
    pub domain: FailureDomain,
    state: State,
    up_since: Duration,
    /// Since when the machine has its disk.
    pub disk_since: Duration,
    pub shutdown: Option<Shutdown>,
    /// When a final shutdown is to begin.
    shutdown_at: Option<Duration>,
    /// The index of the machine that replaces it, once that one is there.
    successor: Option<usize>,
    /// When the machine that replaces it is to come.
    successor_at: Option<Duration>,
    was_decommissioned: bool,
    /// The number of active shards in the last heartbeat.
    pub reported_active: Cell<usize>,
}

impl Machine {
    pub fn new(id: StoreId, domain: FailureDomain, now: Duration) -> Machine {
        Machine {
            id,
            number: id.0,
            domain,
            state: State::Up,
            up_since: now,
            disk_since: now,
            shutdown: None,
            shutdown_at: None,
            successor: None,
            successor_at: None,
            was_decommissioned: false,
            reported_active: Cell::new(0),
        }
    }

    pub fn node(&self) -> String {
        format!("node-{}", self.number)
    }

    pub fn is_up(&self) -> bool {
        self.state == State::Up
    }

    /// Takes the decommissioned machine away: this is no loss.
    pub fn remove_decommissioned(&mut self) {
        self.state = State::Removed;
        self.was_decommissioned = true;
    }

    /// Whether something is still to happen to it.
    pub fn has_pending_event(&self) -> bool {
        matches!(self.state, State::DownUntil(_))
            || self.shutdown.is_some() && self.state != State::Removed
            || self.shutdown_at.is_some()
            || self.successor_at.is_some()
    }
}

impl SimulatedCluster {
    pub(super) fn step_machines(&mut self) {
        for machine in 0..self.machines.len() {
            self.start_if_due(machine);
            self.add_successor_if_due(machine);
            self.begin_shutdown_if_due(machine);
            self.stop_if_handed_over(machine);
        }
    }

    fn start_if_due(&mut self, machine: usize) {
        let now = self.now;
        let machine = &mut self.machines[machine];
        if matches!(machine.state, State::DownUntil(until) if until <= now) {
            machine.state = State::Up;
            machine.up_since = now;
            machine.shutdown = None;
        }
    }

    fn add_successor_if_due(&mut self, machine: usize) {
        let successor_at = self.machines[machine].successor_at;
        if successor_at.is_some_and(|at| at <= self.now) {
            let successor = self.add_successor(machine);
            self.machines[machine].successor_at = None;
            self.machines[machine].successor = Some(successor);
        }
    }

    fn begin_shutdown_if_due(&mut self, machine: usize) {
        let now = self.now;
        let machine = &mut self.machines[machine];
        if machine.shutdown_at.is_some_and(|at| at <= now) {
            machine.shutdown_at = None;
            machine.shutdown = Some(Shutdown {
                since: now,
                is_final: true,
            });
        }
    }

    fn stop_if_handed_over(&mut self, machine: usize) {
        let Machine {
            id,
            state: State::Up,
            shutdown: Some(shutdown),
            ..
        } = self.machines[machine]
        else {
            return;
        };
        let mut shards = self.placement.shards.iter();
        let is_needed =
            shards.any(|shard| shard.replicas.first() == Some(&id) || shard.previous.contains(&id));
        let wait = if is_needed {
            MAX_HANDOVER
        } else {
            MIN_HANDOVER
        };
        if self.now >= shutdown.since + wait {
            self.machines[machine].state = if shutdown.is_final {
                State::Removed
            } else {
                State::DownUntil(self.now + RESTART_TIME)
            };
        }
    }

    /// Whether a machine counts as lost. One that doesn't count may be lost at any time.
    fn counts_as_lost(&self, machine: usize) -> bool {
        let machine = &self.machines[machine];
        if !machine.domain.counts_toward_quorum {
            return false;
        }
        match machine.state {
            State::Up => {
                self.is_catching_up(machine)
                    || machine.shutdown.is_some()
                    || machine.shutdown_at.is_some()
            }
            State::DownUntil(_) => true,
            State::Removed if machine.was_decommissioned => false,
            State::Removed => machine.successor.is_none_or(|successor| {
                self.now < self.machines[successor].up_since + self.times.catch_up
            }),
        }
    }

    /// Whether a machine has come so lately that it still counts as lost. Those of the start don't.
    fn is_catching_up(&self, machine: &Machine) -> bool {
        self.now < machine.up_since + self.times.catch_up && machine.up_since > START
    }

    /// How many machines count as lost. A machine and its successor count once; the controller that
    /// led counts as well.
    pub fn lost_machines(&self) -> usize {
        let is_counted_at_successor = |machine: usize| {
            let successor = self.machines[machine].successor;
            successor.is_some_and(|successor| self.counts_as_lost(successor))
        };
        let stores = (0..self.machines.len())
            .filter(|machine| self.counts_as_lost(*machine) && !is_counted_at_successor(*machine))
            .count();
        stores + usize::from(self.is_controller_lost())
    }

    fn is_controller_lost(&self) -> bool {
        let back_at = self.controller_lost_until + self.times.catch_up;
        self.controller_lost_until > Duration::ZERO && self.now < back_at
    }

    /// The leading controller is lost, and another one leads after a pause: one that has received
    /// all heartbeats, or one that has just started.
    pub fn lose_controller(&mut self, pause: Duration, has_just_started: bool) {
        self.log(format!(
            "the controller is lost, another one leads in {pause:?}, just started: \
             {has_just_started}"
        ));
        self.controller_lost_until = self.now + pause;
        if has_just_started {
            self.table = StoreTable::new(self.now);
        }
    }

    /// Whether the operators' limits let this machine be lost now.
    pub fn may_lose(&self, machine: usize) -> bool {
        self.may_lose_all(&[machine])
    }

    /// Whether the operators' limits let these machines be lost now: together with those that count as
    /// lost they fit into one tolerated loss.
    pub fn may_lose_all(&self, machines: &[usize]) -> bool {
        let is_able = |machine: &usize| {
            let state = &self.machines[*machine];
            state.is_up() && state.shutdown.is_none() && state.successor.is_none()
        };
        let is_new_loss = |machine: &&usize| {
            let counts = self.machines[**machine].domain.counts_toward_quorum;
            counts && !self.counts_as_lost(**machine)
        };
        let new_losses = machines.iter().filter(is_new_loss).count();
        let is_within_machines = self.lost_machines() + new_losses <= self.tolerance.machines;
        machines.iter().all(is_able)
            && (new_losses == 0 || is_within_machines || self.fit_into_a_domain_loss(machines))
    }

    /// Whether these machines and those that count as lost lie in so many zones, or regions, as may be
    /// lost. A lost controller may be anywhere.
    fn fit_into_a_domain_loss(&self, machines: &[usize]) -> bool {
        let domains = self.machines.iter().map(|machine| &machine.domain);
        let system = QuorumSystem::new(self.tolerance, domains);
        let is_left =
            |machine: usize| !machines.contains(&machine) && !self.counts_as_lost(machine);
        !self.is_controller_lost() && system.is_read_quorum(is_left)
    }

    /// The machine loses power and comes back with its disk.
    pub fn power_off(&mut self, machine: usize, time: Duration) {
        let node = self.machines[machine].node();
        self.log(format!("{node} is down for {time:?}"));
        self.machines[machine].state = State::DownUntil(self.now + time);
    }

    /// The machine comes back with an empty disk: another store at the same address.
    pub fn wipe(&mut self, machine: usize, time: Duration) {
        let node = self.machines[machine].node();
        self.log(format!("{node} loses its disk, back in {time:?}"));
        let id = self.new_store_id();
        let back_at = self.now + time;
        let machine = &mut self.machines[machine];
        machine.id = id;
        machine.disk_since = back_at;
        machine.state = State::DownUntil(back_at);
    }

    /// The machine is lost for good, and no other one comes.
    pub fn remove(&mut self, machine: usize) {
        let node = self.machines[machine].node();
        self.log(format!("{node} is gone for good"));
        self.machines[machine].state = State::Removed;
    }

    /// The machine is lost for good; an empty one comes later at another address.
    pub fn replace(&mut self, machine: usize, after: Duration) {
        let node = self.machines[machine].node();
        self.log(format!("{node} is gone, its successor comes in {after:?}"));
        self.machines[machine].state = State::Removed;
        self.machines[machine].successor_at = Some(self.now + after);
    }

    /// The successor comes first; later the old machine shuts down for good.
    pub fn replace_planned(&mut self, machine: usize, after: Duration) {
        let node = self.machines[machine].node();
        self.log(format!("{node} is replaced, shuts down in {after:?}"));
        let successor = self.add_successor(machine);
        self.machines[machine].successor = Some(successor);
        self.machines[machine].shutdown_at = Some(self.now + after);
    }

    /// The store shuts down and starts again with its disk.
    pub fn restart(&mut self, machine: usize) {
        let node = self.machines[machine].node();
        self.log(format!("{node} is restarted"));
        self.machines[machine].shutdown = Some(Shutdown {
            since: self.now,
            is_final: false,
        });
    }
}
