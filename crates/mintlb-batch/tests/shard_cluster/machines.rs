//! Faults and maintenance of machines, and which of them count as lost.

use super::{Disk, START, ShardCluster};
use mintlb_batch::placement_planner::{DecommissionStart, start_decommission};
use mintlb_common::placement::StoreId;
use std::time::Duration;

/// How long a lost disk counts while more faults happen than the guarantee allows.
const LOSS_RECOVERY: Duration = Duration::from_secs(5);
/// Maximum duration of a graceful shutdown.
const MAX_HAND_OVER: Duration = Duration::from_millis(4000);
/// Minimum duration of a graceful shutdown.
const MIN_HAND_OVER: Duration = Duration::from_millis(800);

pub struct Machine {
    /// Its address and name.
    number: u64,
    /// When it was last started or reconnected; `None` if it has been up since the start.
    returned_at: Option<Duration>,
    /// Since when its disk exists.
    pub disk_since: Duration,
    /// When it restarts, reconnects or resumes.
    pub returns_at: Option<Duration>,
    /// When its graceful shutdown is requested.
    pub stops_at: Option<Duration>,
    /// The machine and its disk are gone.
    pub removed: bool,
    /// Its shutdown is for good.
    stops_for_good: bool,
    /// Index of the store that replaces it, and when that starts.
    successor: Option<usize>,
    successor_at: Option<Duration>,
    pub decommissioned: bool,
}

impl Machine {
    pub fn new(number: u64, now: Duration) -> Machine {
        Machine {
            number,
            returned_at: None,
            disk_since: now,
            returns_at: None,
            stops_at: None,
            removed: false,
            stops_for_good: false,
            successor: None,
            successor_at: None,
            decommissioned: false,
        }
    }

    pub fn node(&self) -> String {
        format!("node-{}", self.number)
    }

    /// Notes that its process started.
    pub fn on_started(&mut self, now: Duration) {
        self.returned_at = (now > START).then_some(now);
    }
}

impl ShardCluster {
    /// Whether a machine counts as lost: down, partitioned or frozen, and for `catch_up` after its
    /// return or, if it is new, its start. A removed one counts until its successor has started.
    fn counts_as_lost(&self, store_index: usize) -> bool {
        let store = &self.stores[store_index];
        let machine = &store.machine;
        if machine.removed {
            return !machine.decommissioned && machine.successor.is_none();
        }
        let recent = machine
            .returned_at
            .is_some_and(|at| self.now < at + self.catch_up);
        store.replica.is_none()
            || store.partitioned
            || store.frozen
            || recent
            || machine.stops_at.is_some()
    }

    /// How many machines count as lost, the controller included.
    pub fn lost_count(&self) -> usize {
        let pauses = self.paused_until > START && self.now < self.paused_until + self.catch_up;
        (0..self.stores.len())
            .filter(|store_index| self.counts_as_lost(*store_index))
            .count()
            + usize::from(pauses)
    }

    /// Whether the guarantee to the operators permits that this machine is lost now.
    pub fn may_lose(&self, store_index: usize) -> bool {
        let machine = &self.stores[store_index].machine;
        let is_changing =
            machine.removed || machine.successor.is_some() || machine.stops_at.is_some();
        !is_changing
            && (self.counts_as_lost(store_index) || self.lost_count() < self.tolerance.machines)
    }

    /// Kills the process; a prefix of its unsynced writes, perhaps an empty one, becomes durable.
    pub fn crash(&mut self, store_index: usize) {
        let store = &mut self.stores[store_index];
        store.replica = None;
        store.frozen = false;
        store.pending.clear();
        let written = self.random.below(store.unsynced.len() as u64 + 1) as usize;
        for (writes, _) in store.unsynced.drain(..).take(written) {
            store.disk.apply(writes);
        }
        store.unsynced.clear();
    }

    /// Loses a disk during other faults in any number, more than the guarantee permits (see
    /// `may_lose`). At most `tolerance` disks are lost at a time: one counts until the newest
    /// placement doesn't name it any more, and for a while after.
    pub fn lose_disk(&mut self, store_index: usize) -> bool {
        let id = self.stores[store_index].id;
        let Some(shard) = self.placements.last().and_then(|p| p.shards.first()) else {
            return false;
        };
        let named = |id: &StoreId| shard.replicas.contains(id) || shard.previous.contains(id);
        let counts_as_lost =
            |id: &StoreId, at: &Duration| named(id) || *at + LOSS_RECOVERY > self.now;
        let lost_count = self
            .lost_disks
            .iter()
            .filter(|(other, at)| **other != id && counts_as_lost(other, at))
            .count();
        if lost_count >= self.tolerance.machines {
            return false;
        }
        self.wipe(store_index);
        true
    }

    /// Kills the process and empties its disk: it returns as another store at the same address.
    pub fn wipe(&mut self, store_index: usize) {
        self.crash(store_index);
        self.losses += 1;
        let store = &mut self.stores[store_index];
        self.lost_disks.insert(store.id, self.now);
        store.disk = Disk::default();
        store.id = StoreId(self.next_id);
        store.machine.disk_since = self.now;
        self.next_id += 1;
    }

    /// Removes a store for good; an empty one starts later at another address.
    pub fn replace(&mut self, store_index: usize, after: Duration) {
        self.crash(store_index);
        self.losses += 1;
        let machine = &mut self.stores[store_index].machine;
        (machine.removed, machine.successor_at) = (true, Some(self.now + after));
    }

    /// Replaces a store: the new one starts first, then the old one is shut down.
    pub fn replace_planned(&mut self, store_index: usize, after: Duration) {
        self.add_store();
        let successor = self.stores.len() - 1;
        let machine = &mut self.stores[store_index].machine;
        (machine.successor, machine.stops_for_good) = (Some(successor), true);
        machine.stops_at = Some(self.now + after);
    }

    /// Starts to decommission a store; false if that is rejected.
    pub fn decommission(&mut self, store_index: usize) -> bool {
        let node = self.stores[store_index].machine.node();
        let current = self.placements.last().unwrap().clone();
        let view = self.table.snapshot(&current, self.now);
        let order = start_decommission(&current, &view, &node, &self.policy());
        let Ok(DecommissionStart::Planned(next)) = order else {
            return false;
        };
        self.placements.push(next);
        self.decommissioning.push(node);
        true
    }

    /// Carries out what is due: restarts, replacements and shutdowns.
    pub fn advance_machines(&mut self) {
        for store_index in 0..self.stores.len() {
            let machine = &self.stores[store_index].machine;
            if machine.returns_at.is_some_and(|at| at <= self.now) {
                self.restore(store_index);
            }
            if self.stores[store_index]
                .machine
                .successor_at
                .is_some_and(|at| at <= self.now)
            {
                let successor = self.stores.len();
                let machine = &mut self.stores[store_index].machine;
                (machine.successor_at, machine.successor) = (None, Some(successor));
                self.add_store();
            }
            self.stop(store_index);
        }
    }

    /// Starts a machine if it is down, and reconnects it.
    pub fn restore(&mut self, store_index: usize) {
        self.stores[store_index].machine.returns_at = None;
        if self.stores[store_index].machine.removed {
            return;
        }
        self.reconnect(store_index);
        if self.stores[store_index].replica.is_none() {
            self.start(store_index);
        }
    }

    /// Reconnects or resumes a machine; it counts as lost for a while yet.
    pub fn reconnect(&mut self, store_index: usize) {
        (
            self.stores[store_index].partitioned,
            self.stores[store_index].frozen,
        ) = (false, false);
        self.stores[store_index].machine.on_started(self.now);
    }

    /// Ends a graceful shutdown once the store is not needed any more, or its time is over.
    fn stop(&mut self, store_index: usize) {
        let store = &self.stores[store_index];
        let Some(requested_at) = store
            .machine
            .stops_at
            .filter(|requested_at| *requested_at <= self.now)
        else {
            return;
        };
        let Some(replica) = &store.replica else {
            return;
        };
        let Some(shard) = self.placements[store.placement].shards.first() else {
            return;
        };
        let needed = replica.is_primary() || shard.previous.contains(&store.id);
        let passed = self.now - requested_at;
        if passed < MIN_HAND_OVER || needed && passed < MAX_HAND_OVER {
            return;
        }
        self.crash(store_index);
        let machine = &mut self.stores[store_index].machine;
        machine.stops_at = None;
        match machine.stops_for_good {
            true => machine.removed = true,
            false => machine.returns_at = Some(self.now + Duration::from_secs(1)),
        }
    }
}
