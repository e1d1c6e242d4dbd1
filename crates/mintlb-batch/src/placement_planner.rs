//! Which stores hold which shard. Pure: the placement in force and what is known of the stores in, the next
//! placement out. The controller with the duty asks it again and again and writes what comes out into the
//! register.
//!
//! A shard changes one step at a time: a change names the old replicas as `previous`; the new primary reads
//! from them and reports that it is in charge; then `previous` is cleared, and the next change may follow.

mod decommission;
mod members;
mod view;

pub use decommission::{
    DecommissionStart, DecommissionStatus, decommission_status, start_decommission,
};
pub use view::{ClusterSnapshot, ShardActivity, StoreStatus, StoreTable};

use mintlb_common::placement::{Placement, SHARD_COUNT, ShardAssignment, StoreEntry, StoreId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A store that was silent for less counts as live.
pub const LIVE_TIMEOUT: Duration = Duration::from_millis(1000);
/// A primary that was silent for so long is replaced by another replica.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(1300);
/// The first placement waits so long after the first heartbeat,
const FIRST_WAIT: Duration = Duration::from_millis(800);
/// and so long after a store was first heard of,
const NEWEST_WAIT: Duration = Duration::from_millis(400);
/// but no longer than this.
const LONGEST_FIRST_WAIT: Duration = Duration::from_millis(2500);
/// A primary that does not get in charge for so long is replaced by another replica.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(3500);
/// A store that no shard names is forgotten when silent for so long.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// The same for one that was emptied.
const FORGET_RETIRED_AFTER: Duration = Duration::from_secs(600);
/// The next placement, if there is something to change.
pub fn plan(current: &Placement, view: &ClusterSnapshot, tolerance: usize) -> Option<Placement> {
    let mut next = Placement {
        epoch: current.epoch + 1,
        ..current.clone()
    };
    if current.shards.is_empty() {
        return first_placement(next, view, tolerance);
    }
    update_stores(&mut next, view);
    let mut planner = Planner {
        next,
        view,
        tolerance,
    };
    for shard in 0..current.shards.len() {
        planner.plan_shard(shard);
    }
    let next = planner.next;
    (next.stores != current.stores || next.shards != current.shards).then_some(next)
}

fn first_placement(
    mut next: Placement,
    view: &ClusterSnapshot,
    tolerance: usize,
) -> Option<Placement> {
    let live: Vec<&StoreStatus> = view.live_stores().collect();
    let oldest = live.iter().map(|store| store.since_first_heartbeat).max()?;
    let newest = live.iter().map(|store| store.since_first_heartbeat).min()?;
    let waited_enough = oldest >= FIRST_WAIT && newest >= NEWEST_WAIT;
    if live.len() <= tolerance || !(waited_enough || oldest >= LONGEST_FIRST_WAIT) {
        return None;
    }
    next.stores = live.iter().map(|store| store.entry()).collect();
    next.shards = vec![ShardAssignment::default(); SHARD_COUNT as usize];
    let mut planner = Planner {
        next,
        view,
        tolerance,
    };
    for shard in 0..SHARD_COUNT as usize {
        let size = planner.size();
        let mut replicas = Vec::with_capacity(size);
        while replicas.len() < size {
            let Some(store) = planner.candidate(shard, &replicas) else {
                break;
            };
            replicas.push(store);
            planner.next.shards[shard].replicas = replicas.clone();
        }
        planner.lead_with_least_loaded(shard, &mut replicas);
        planner.next.shards[shard] = ShardAssignment {
            epoch: 1,
            replicas,
            ..ShardAssignment::default()
        };
    }
    Some(planner.next)
}

/// Takes live stores in, keeps their addresses up to date and forgets those that are gone.
fn update_stores(next: &mut Placement, view: &ClusterSnapshot) {
    for store in view.live_stores() {
        match next.stores.iter_mut().find(|entry| entry.id == store.id) {
            Some(entry) => entry.address.clone_from(&store.address),
            None => next.stores.push(new_entry(next, store)),
        }
    }
    let named: Vec<StoreId> = next
        .shards
        .iter()
        .flat_map(|shard| shard.replicas.iter().chain(&shard.previous))
        .copied()
        .collect();
    let expired = |entry: &StoreEntry| {
        let timeout = if entry.decommissioning {
            FORGET_RETIRED_AFTER
        } else {
            FORGET_AFTER
        };
        view.since_heartbeat(entry.id) >= timeout
            || (!entry.decommissioning && view.is_replaced(entry))
    };
    next.stores
        .retain(|entry| named.contains(&entry.id) || !expired(entry));
}

/// A store that was not known. With an emptied disk the machine is still to be taken away if that was ordered.
fn new_entry(next: &Placement, store: &StoreStatus) -> StoreEntry {
    let is_ordered = |entry: &StoreEntry| {
        entry.decommissioning
            && entry.node_name == store.node_name
            && entry.address == store.address
    };
    StoreEntry {
        decommissioning: next.stores.iter().any(is_ordered),
        ..store.entry()
    }
}

struct Planner<'a> {
    next: Placement,
    view: &'a ClusterSnapshot,
    tolerance: usize,
}

impl Planner<'_> {
    /// How many replicas a shard is to have.
    fn size(&self) -> usize {
        (2 * self.tolerance + 1).min(self.usable().count())
    }

    /// Live stores that are not to be emptied, or all live ones while the others are too few.
    fn usable(&self) -> impl Iterator<Item = &StoreEntry> {
        self.next
            .stores
            .iter()
            .filter(|entry| self.is_live(entry.id) && !self.can_be_drained(entry))
    }

    /// Whether a store is to be emptied, and can be: the others are enough to commit.
    fn can_be_drained(&self, entry: &StoreEntry) -> bool {
        entry.decommissioning && self.staying().count() > self.tolerance
    }

    /// Live stores that nobody is to take away.
    fn staying(&self) -> impl Iterator<Item = &StoreEntry> {
        let stays =
            |entry: &&StoreEntry| !entry.decommissioning && !self.view.is_draining(entry.id);
        self.next
            .stores
            .iter()
            .filter(stays)
            .filter(|entry| self.is_live(entry.id))
    }

    fn is_decommissioning(&self, id: StoreId) -> bool {
        self.next
            .store(id)
            .is_none_or(|entry| self.can_be_drained(entry))
    }

    fn is_live(&self, id: StoreId) -> bool {
        self.view.since_heartbeat(id) < LIVE_TIMEOUT
    }

    fn plan_shard(&mut self, shard: usize) {
        let Some(assignment) = self.next.shards.get(shard).cloned() else {
            return;
        };
        let Some(&primary) = assignment.replicas.first() else {
            return;
        };
        let report = self.view.report(primary, shard, assignment.epoch);
        let active = report.is_some_and(|report| report.active);
        if active && !assignment.previous.is_empty() {
            self.next.shards[shard].previous.clear();
            return;
        }
        let leaves = self.view.is_draining(primary);
        let dead = self.view.since_heartbeat(primary) >= PRIMARY_TIMEOUT || leaves && active;
        let stuck = !active && self.view.inactive_for(shard, assignment.epoch) >= TAKEOVER_TIMEOUT;
        if !active && self.lacks_quorum(&assignment) && self.choose_anew(shard, &assignment, false)
        {
            return;
        }
        if stuck && !assignment.previous.is_empty() {
            self.choose_anew(shard, &assignment, true);
            return;
        }
        let caught_up = report
            .map(|report| report.caught_up.clone())
            .unwrap_or_default();
        if active && self.hand_over(shard, &assignment, &caught_up) {
            return;
        }
        if dead || stuck {
            return self.replace_primary(shard, &assignment);
        }
        if active {
            self.change_members(shard, &assignment, &caught_up);
        }
    }

    /// Another live replica becomes the primary; the set stays.
    fn replace_primary(&mut self, shard: usize, assignment: &ShardAssignment) {
        let caught_up = self.view.last_caught_up(shard);
        let primary = assignment.replicas[0];
        let candidates = assignment.replicas.iter().skip(1).enumerate();
        let others =
            candidates.filter(|(_, id)| self.is_live(**id) && !self.view.is_draining(**id));
        let chosen = others.min_by_key(|(rank, id)| {
            let behind = !caught_up.contains(id) && !assignment.previous.contains(id);
            (
                self.is_decommissioning(**id),
                behind,
                self.primaries_of(**id),
                *rank,
            )
        });
        let Some((_, &chosen)) = chosen else { return };
        let rest = assignment
            .replicas
            .iter()
            .copied()
            .filter(|id| *id != chosen && *id != primary);
        let replicas: Vec<StoreId> = [chosen].into_iter().chain(rest).chain([primary]).collect();
        self.change(shard, assignment, replicas);
    }

    fn change(&mut self, shard: usize, assignment: &ShardAssignment, replicas: Vec<StoreId>) {
        let (previous, last_active_epoch) = match assignment.previous.is_empty() {
            true => (assignment.replicas.clone(), Some(assignment.epoch)),
            // Nothing was told by the replicas of an epoch that was not reported in charge.
            false => (assignment.previous.clone(), assignment.last_active_epoch),
        };
        self.next.shards[shard] = ShardAssignment {
            epoch: assignment.epoch + 1,
            replicas,
            previous,
            last_active_epoch,
        };
    }

    fn shards_of(&self, id: StoreId) -> usize {
        self.next
            .shards
            .iter()
            .filter(|shard| shard.replicas.contains(&id))
            .count()
    }

    fn primaries_of(&self, id: StoreId) -> usize {
        self.next
            .shards
            .iter()
            .filter(|shard| shard.replicas.first() == Some(&id))
            .count()
    }

    fn lead_with_least_loaded(&self, shard: usize, replicas: &mut [StoreId]) {
        let load = |id: &StoreId| {
            let shards = self
                .next
                .shards
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != shard);
            shards
                .filter(|(_, assignment)| assignment.replicas.first() == Some(id))
                .count()
        };
        let least = (0..replicas.len()).min_by_key(|rank| (load(&replicas[*rank]), *rank));
        if let Some(least) = least {
            replicas.swap(0, least);
        }
    }
}

/// Spreads equally suited stores over the shards.
fn hash(shard: usize, id: StoreId) -> u64 {
    let mixed = (id ^ (shard as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 31)
}

/// The shards' assignments by primary, for logs and tests.
pub fn primaries(placement: &Placement) -> BTreeMap<StoreId, usize> {
    let mut primaries = BTreeMap::new();
    for id in placement
        .shards
        .iter()
        .filter_map(|shard| shard.replicas.first())
    {
        *primaries.entry(*id).or_default() += 1;
    }
    primaries
}
