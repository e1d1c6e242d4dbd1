//! The machines of the model: what happens to them and which of them count as lost, and the controller.

use super::{Disk, Model, START};
use mintlb_batch::heartbeat::StoreHeartbeat;
use mintlb_batch::placement_planner::{
    DecommissionStart, DecommissionStatus, decommission_status, plan, start_decommission,
};
use mintlb_common::placement::{Placement, ShardAssignment, StoreId};
use std::time::Duration;

/// How long a lost disk counts beside more troubles than the promise allows.
const AFTER_LOSS: Duration = Duration::from_secs(5);
/// How long a store that was told to stop goes on at most.
const HAND_OVER: Duration = Duration::from_millis(4000);
/// And at least.
const LEAST_HAND_OVER: Duration = Duration::from_millis(800);

pub struct Machine {
    /// Its address.
    number: u64,
    /// Up or reached again since; `None` for those that were there at first.
    back_at: Option<Duration>,
    /// Since when its disk has lasted.
    pub disk_since: Duration,
    /// Starts again, is reached again or goes on then.
    pub returns_at: Option<Duration>,
    /// Told to stop then.
    pub stops_at: Option<Duration>,
    /// The machine and its disk are gone.
    pub removed: bool,
    /// It stops for good.
    for_good: bool,
    /// The place of the machine that comes instead; when it comes.
    successor: Option<usize>,
    successor_at: Option<Duration>,
    retired: bool,
}

impl Machine {
    pub fn new(number: u64, now: Duration) -> Machine {
        Machine {
            number,
            back_at: None,
            disk_since: now,
            returns_at: None,
            stops_at: None,
            removed: false,
            for_good: false,
            successor: None,
            successor_at: None,
            retired: false,
        }
    }

    pub fn node(&self) -> String {
        format!("node-{}", self.number)
    }

    /// Its process started.
    pub fn started(&mut self, now: Duration) {
        self.back_at = (now > START).then_some(now);
    }
}

impl Model {
    /// Whether a machine counts as lost: down, cut off or frozen, and for `catch_up` after its return or, if it is
    /// new, its start. A removed one counts until its successor is there.
    fn counts(&self, place: usize) -> bool {
        let store = &self.stores[place];
        let machine = &store.machine;
        if machine.removed {
            return !machine.retired && machine.successor.is_none();
        }
        let recent = machine
            .back_at
            .is_some_and(|at| self.now < at + self.catch_up);
        store.replica.is_none() || store.cut || store.frozen || recent || machine.stops_at.is_some()
    }

    pub fn lost(&self) -> usize {
        let pauses = self.paused_until > START && self.now < self.paused_until + self.catch_up;
        (0..self.stores.len())
            .filter(|place| self.counts(*place))
            .count()
            + usize::from(pauses)
    }

    /// Whether the operators' promise lets this machine be lost now.
    pub fn may_lose(&self, place: usize) -> bool {
        let machine = &self.stores[place].machine;
        let is_changing =
            machine.removed || machine.successor.is_some() || machine.stops_at.is_some();
        !is_changing && (self.counts(place) || self.lost() < self.tolerance)
    }

    /// The process ends; of what was on its way to the disk a first part has got there, or nothing.
    pub fn crash(&mut self, place: usize) {
        let store = &mut self.stores[place];
        store.replica = None;
        store.frozen = false;
        store.waiting.clear();
        let written = self.random.below(store.pending.len() as u64 + 1) as usize;
        for (writes, _) in store.pending.drain(..).take(written) {
            store.disk.apply(writes);
        }
        store.pending.clear();
    }

    /// Its disk is lost amid troubles in any number, more than the promise allows: for that a lost one counts until the
    /// newest placement names it no more and for a while after. `may_lose` is the promise itself.
    pub fn lose_disk(&mut self, place: usize) -> bool {
        let id = self.stores[place].id;
        let Some(shard) = self.placements.last().and_then(|p| p.shards.first()) else {
            return false;
        };
        let named = |id: &StoreId| shard.replicas.contains(id) || shard.previous.contains(id);
        let counts = |id: &StoreId, at: &Duration| named(id) || *at + AFTER_LOSS > self.now;
        let lost = self
            .lost_disks
            .iter()
            .filter(|(other, at)| **other != id && counts(other, at))
            .count();
        if lost >= self.tolerance {
            return false;
        }
        self.wipe(place);
        true
    }

    /// The process ends and its disk is empty: it comes back as another store at the same address.
    pub fn wipe(&mut self, place: usize) {
        self.crash(place);
        self.losses += 1;
        let store = &mut self.stores[place];
        self.lost_disks.insert(store.id, self.now);
        store.disk = Disk::default();
        store.id = self.next_id;
        store.machine.disk_since = self.now;
        self.next_id += 1;
    }

    /// It is gone for good; an empty one comes later at another address.
    pub fn replace(&mut self, place: usize, after: Duration) {
        self.crash(place);
        self.losses += 1;
        let machine = &mut self.stores[place].machine;
        (machine.removed, machine.successor_at) = (true, Some(self.now + after));
    }

    /// The new one first, then the old one is told to stop.
    pub fn replace_planned(&mut self, place: usize, after: Duration) {
        self.add_store();
        let successor = self.stores.len() - 1;
        let machine = &mut self.stores[place].machine;
        (machine.successor, machine.for_good) = (Some(successor), true);
        machine.stops_at = Some(self.now + after);
    }

    /// Orders that this store is emptied.
    pub fn retire(&mut self, place: usize) -> bool {
        let node = self.stores[place].machine.node();
        let current = self.placements.last().unwrap().clone();
        let view = self.table.snapshot(&current, self.now);
        let order = start_decommission(&current, &view, &node, self.tolerance);
        let Ok(DecommissionStart::Planned(next)) = order else {
            return false;
        };
        self.placements.push(next);
        self.decommissioning.push(node);
        true
    }

    /// What is due happens to the machines.
    pub fn move_machines(&mut self) {
        for place in 0..self.stores.len() {
            let machine = &self.stores[place].machine;
            if machine.returns_at.is_some_and(|at| at <= self.now) {
                self.give_back(place);
            }
            if self.stores[place]
                .machine
                .successor_at
                .is_some_and(|at| at <= self.now)
            {
                let successor = self.stores.len();
                let machine = &mut self.stores[place].machine;
                (machine.successor_at, machine.successor) = (None, Some(successor));
                self.add_store();
            }
            self.stop(place);
        }
    }

    /// The machine runs and is reached again.
    pub fn give_back(&mut self, place: usize) {
        self.stores[place].machine.returns_at = None;
        if self.stores[place].machine.removed {
            return;
        }
        self.join_again(place);
        if self.stores[place].replica.is_none() {
            self.start(place);
        }
    }

    /// A machine that was cut off or frozen is reached again and goes on; it counts as lost for a while yet.
    pub fn join_again(&mut self, place: usize) {
        (self.stores[place].cut, self.stores[place].frozen) = (false, false);
        self.stores[place].machine.started(self.now);
    }

    /// A store that was told to stop ends once it is not needed.
    fn stop(&mut self, place: usize) {
        let store = &self.stores[place];
        let Some(told) = store.machine.stops_at.filter(|told| *told <= self.now) else {
            return;
        };
        let Some(replica) = &store.replica else {
            return;
        };
        let Some(shard) = self.placements[store.placement].shards.first() else {
            return;
        };
        let needed = replica.is_primary() || shard.previous.contains(&store.id);
        let passed = self.now - told;
        if passed < LEAST_HAND_OVER || needed && passed < HAND_OVER {
            return;
        }
        self.crash(place);
        let machine = &mut self.stores[place].machine;
        machine.stops_at = None;
        match machine.for_good {
            true => machine.removed = true,
            false => machine.returns_at = Some(self.now + Duration::from_secs(1)),
        }
    }

    /// Stores that are reached report; the controller plans.
    pub fn control(&mut self) {
        for store in self
            .stores
            .iter()
            .filter(|store| !store.cut && !store.frozen)
        {
            let Some(replica) = &store.replica else {
                continue;
            };
            let node = store.machine.node();
            let heartbeat = StoreHeartbeat {
                id: store.id,
                address: format!("{node}:1"),
                node_name: node,
                zone: store.zone.clone(),
                shards: replica.report().into_iter().collect(),
                placement: 0,
                draining: store.machine.stops_at.is_some_and(|at| at <= self.now),
            };
            self.table.record_heartbeat(heartbeat, self.now);
        }
        if self.now < self.paused_until {
            return;
        }
        let current = self.placements.last().unwrap().clone();
        let view = self.table.snapshot(&current, self.now);
        if let Some(mut next) = plan(&current, &view, self.tolerance) {
            // One shard is enough here.
            next.shards.truncate(1);
            if next.shards.first().map(epoch_of) != current.shards.first().map(epoch_of) {
                self.takeovers += 1;
            }
            self.placements.push(next);
        }
        self.finish_retirements();
    }

    /// Stores that are emptied are taken away with their disks.
    fn finish_retirements(&mut self) {
        let current: Placement = self.placements.last().unwrap().clone();
        let view = self.table.snapshot(&current, self.now);
        for node in self.decommissioning.clone() {
            if decommission_status(&current, &view, &node, self.tolerance)
                != Some(DecommissionStatus::Decommissioned)
            {
                continue;
            }
            self.note(format!("{node} is emptied and taken away"));
            self.decommissioning.retain(|other| *other != node);
            for place in 0..self.stores.len() {
                if self.stores[place].machine.node() == node {
                    self.crash(place);
                    let machine = &mut self.stores[place].machine;
                    (machine.removed, machine.retired) = (true, true);
                }
            }
        }
    }

    pub fn note(&mut self, text: String) {
        let placement = self
            .placements
            .last()
            .and_then(|placement| placement.shards.first().cloned());
        let ids: Vec<StoreId> = self.stores.iter().map(|store| store.id).collect();
        self.history.push(format!(
            "{:>8.2} {text}; {ids:?} {placement:?}",
            (self.now - START).as_secs_f64()
        ));
    }
}

fn epoch_of(shard: &ShardAssignment) -> u64 {
    shard.epoch
}
