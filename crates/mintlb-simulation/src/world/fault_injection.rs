//! Injection of the faults of a scenario.

use super::{Event, World};
use crate::controller::vote::VoteDisk;
use crate::mutations::Mutation;
use crate::process::{Disk, Role};
use crate::scenario::{Fault, LossScope, NetworkFaults, STRIKE_TIMEOUT};
use crate::store::disk::StoreDisk;
use mintlb_common::placement::StoreId;
use mintlb_register::replica_set::ReplicaId;
use std::time::Duration;

/// What ends with a fault.
#[derive(Clone, Debug)]
pub enum Ending {
    /// The machine starts.
    Start(usize),
    /// It goes on.
    Thaw(usize),
    /// Its disk takes writes again.
    Flow(usize),
    /// These links are restored.
    Join(Vec<(usize, usize)>),
    /// The network is fine.
    Fair,
}

impl World {
    /// A fault begins.
    pub(super) fn begin_fault(&mut self, fault: Fault) {
        self.checks.counts.faults += 1;
        self.note(|| format!("fault: {fault:?}"));
        match fault {
            Fault::Kill(machine, time) | Fault::PowerLoss(machine, time) => {
                self.restart(machine, time)
            }
            Fault::Wipe(machine, time) => {
                self.restart(machine, time);
                self.wipe(machine);
            }
            Fault::Stall(machine, time) => {
                self.machines[machine].stalled_until = self.now + time;
                self.record_disturbance(machine);
                self.schedule(time, Event::Ending(Ending::Flow(machine)));
            }
            Fault::Freeze(machine, time) => {
                self.record_disturbance(machine);
                self.machines[machine].frozen = true;
                self.schedule(time, Event::Ending(Ending::Thaw(machine)));
            }
            Fault::CutOff(machine, time) => self.cut(self.links(machine, true, true), time),
            Fault::Deaf(machine, time) => self.cut(self.links(machine, true, false), time),
            Fault::Mute(machine, time) => self.cut(self.links(machine, false, true), time),
            Fault::Apart(one, other, time) if one != other => {
                self.cut(vec![(one, other), (other, one)], time);
            }
            Fault::Apart(..) => (),
            Fault::Replace(machine, time) => self.replace(machine, time),
            Fault::CorrelatedLoss { .. } => {
                self.armed = Some(fault);
                self.schedule(STRIKE_TIMEOUT, Event::CorrelatedLoss);
            }
            Fault::Island(machine, dispatcher, time) => {
                let mut links = self.links(machine, true, true);
                links.extend(self.links(dispatcher, true, true));
                let is_within = |link: &(usize, usize)| {
                    *link == (machine, dispatcher) || *link == (dispatcher, machine)
                };
                links.retain(|link| !is_within(link));
                self.cut(links, time);
            }
            Fault::Partial(machine, others, time) => {
                let mut links = self.links(machine, true, true);
                links.retain(|(from, to)| others >> (from + to - machine) & 1 == 1);
                self.cut(links, time);
            }
            Fault::ClockBack(machine, ms) => {
                self.machines[machine].clock_behind += ms;
                self.record_disturbance(machine);
            }
            Fault::Retire(machine) => self.retire(machine),
            Fault::NetworkFaults(network_faults, time) => {
                self.network.network_faults = network_faults;
                self.schedule(time, Event::Ending(Ending::Fair));
            }
        }
    }

    /// A fault ends.
    pub(super) fn end_fault(&mut self, ending: Ending) {
        match ending {
            Ending::Start(machine) => self.start(machine),
            Ending::Thaw(machine) => {
                self.machines[machine].frozen = false;
                self.record_disturbance(machine);
                let deferred_events = std::mem::take(&mut self.machines[machine].deferred_events);
                deferred_events
                    .into_iter()
                    .for_each(|event| self.schedule(Duration::ZERO, event));
            }
            Ending::Join(links) => {
                for (from, to) in links {
                    self.network.join(from, to);
                    self.record_link_disturbance(from, to);
                }
            }
            Ending::Flow(machine) => self.record_disturbance(machine),
            Ending::Fair => {
                self.network.network_faults = NetworkFaults::default();
                self.network_ok_since = self.now;
            }
        }
    }

    fn restart(&mut self, machine: usize, after: Duration) {
        if !self.machines[machine].removed {
            self.stop(machine);
            self.schedule(after, Event::Ending(Ending::Start(machine)));
        }
    }

    /// Removes a machine for good, after its decommission.
    pub(super) fn decommission(&mut self, machine: usize) {
        let name = self.machines[machine].name.clone();
        self.note(|| format!("{name} is taken away"));
        self.stop(machine);
        let address = self.draw_address();
        self.machines[machine].removed = true;
        self.machines[machine].address = address;
        self.machines[machine].disk = Disk::None;
    }

    /// The correlated loss strikes.
    pub(super) fn trigger_correlated_loss(&mut self) {
        let Some(Fault::CorrelatedLoss {
            one,
            wiped,
            scope,
            time,
        }) = self.armed.take()
        else {
            return;
        };
        self.note(|| format!("correlated loss: {one:?}, wiped: {wiped}, {scope:?}"));
        match scope {
            LossScope::One => one
                .into_iter()
                .for_each(|machine| self.restart(machine, time)),
            LossScope::Counted => self.restart_first(self.tier.counted(), time),
            LossScope::Everyone => self.restart_first(self.tier.machines(), time),
        }
        if let (Some(machine), true) = (one, wiped) {
            self.wipe(machine);
        }
    }

    /// So many machines; those that count come first.
    fn restart_first(&mut self, count: usize, longest: Duration) {
        for machine in 0..count {
            let longest = longest.as_millis() as u64;
            let after = self.random.time(longest / 4, longest);
            self.restart(machine, after);
        }
    }

    /// The process ends.
    fn stop(&mut self, machine: usize) {
        let Some(process) = self.machines[machine].process.take() else {
            return;
        };
        self.machines[machine].disk = process.crash(&mut self.random);
        self.record_disturbance(machine);
    }

    /// A fault of a machine begins or ends.
    pub(super) fn record_disturbance(&mut self, machine: usize) {
        self.machines[machine].disturbed_at = self.now;
        if machine < self.tier.counted() {
            self.core_disturbed_at = self.now;
        }
    }

    /// The same for the link between two machines; a counted machine is not disturbed by its link to one that is not.
    fn record_link_disturbance(&mut self, from: usize, to: usize) {
        self.machines[from].cut_at = Some(self.now);
        self.machines[to].cut_at = Some(self.now);
        let in_core = |machine: usize| machine < self.tier.counted();
        if in_core(from) && in_core(to) {
            self.core_disturbed_at = self.now;
        }
        for machine in [from, to]
            .into_iter()
            .filter(|machine| !in_core(*machine))
            .collect::<Vec<_>>()
        {
            self.machines[machine].disturbed_at = self.now;
        }
    }

    fn wipe(&mut self, machine: usize) {
        let keeps = self.mutation == Mutation::VoteAfterWipe;
        let new_id = self.draw_identity();
        match &mut self.machines[machine].disk {
            Disk::Vote(disk) => {
                let id = if keeps { disk.id } else { ReplicaId(new_id) };
                *disk = VoteDisk {
                    id,
                    ..VoteDisk::default()
                };
            }
            Disk::Batch(disk) => {
                *disk = StoreDisk {
                    id: StoreId(new_id),
                    ..StoreDisk::default()
                }
            }
            Disk::None => (),
        }
    }

    /// Another machine takes the place of this one, at another address.
    fn replace(&mut self, machine: usize, after: Duration) {
        if self.machines[machine].removed {
            return;
        }
        self.stop(machine);
        let address = self.draw_address();
        let disk = self.new_disk(self.machines[machine].role);
        let old = &mut self.machines[machine];
        old.address = address;
        old.name = format!("{}'", old.name);
        old.disk = disk;
        old.first_start = false;
        self.schedule(after, Event::Ending(Ending::Start(machine)));
    }

    fn links(&self, machine: usize, to_it: bool, from_it: bool) -> Vec<(usize, usize)> {
        let others = (0..self.machines.len()).filter(|other| *other != machine);
        let links = others.flat_map(|other| {
            let to = to_it.then_some((other, machine));
            to.into_iter().chain(from_it.then_some((machine, other)))
        });
        links.collect()
    }

    fn cut(&mut self, links: Vec<(usize, usize)>, time: Duration) {
        for (from, to) in links.iter().copied() {
            self.network.cut(from, to);
            self.record_link_disturbance(from, to);
        }
        self.schedule(time, Event::Ending(Ending::Join(links)));
    }

    /// An empty disk.
    pub(super) fn new_disk(&mut self, role: Role) -> Disk {
        match role {
            Role::Controller => Disk::Vote(VoteDisk {
                id: ReplicaId(self.draw_identity()),
                ..VoteDisk::default()
            }),
            Role::Store => Disk::Batch(StoreDisk {
                id: StoreId(self.draw_identity()),
                ..StoreDisk::default()
            }),
            Role::Dispatcher => Disk::None,
        }
    }
}
