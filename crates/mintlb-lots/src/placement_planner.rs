//! Which stores hold which shard. Pure: the placement in force and what is known of the stores in, the next
//! placement out. The controller with the duty asks it again and again and writes what comes out into the
//! register.
//!
//! A shard changes one step at a time: a change names the old replicas as `previous`; the new primary reads
//! from them and reports that it is in charge; then `previous` is cleared, and the next change may follow.

mod retirement;
mod view;

pub use retirement::{Retirement, RetirementOrder, order_retirement, retirement};
pub use view::{ShardView, StoreSeen, StoreTable, StoreView};

use mintlb_tier::placement::{Placement, SHARD_COUNT, ShardAssignment, StoreEntry, StoreId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A store that was silent for less counts as live.
pub const LIVE: Duration = Duration::from_millis(1000);
/// A primary that was silent for so long is replaced by another replica.
const PRIMARY_DEAD: Duration = Duration::from_millis(1300);
/// A replica that was silent for so long is replaced when its shard could not lose another one.
const REPLICA_DEAD: Duration = Duration::from_millis(2000);
/// The same while its shard could: a machine that comes back soon has its copy still.
const REPLICA_DEAD_AT_EASE: Duration = Duration::from_millis(7000);
/// The first placement waits so long after the first heartbeat,
const FIRST_WAIT: Duration = Duration::from_millis(800);
/// and so long after a store was first heard of,
const NEWEST_WAIT: Duration = Duration::from_millis(400);
/// but no longer than this.
const LONGEST_FIRST_WAIT: Duration = Duration::from_millis(2500);
/// A primary that does not get in charge for so long is replaced by another replica.
const TAKEOVER_PATIENCE: Duration = Duration::from_millis(3500);
/// A store that no shard names is forgotten when silent for so long.
const FORGET: Duration = Duration::from_secs(10);
/// The same for one that was emptied.
const FORGET_RETIRED: Duration = Duration::from_secs(600);
/// Shards that one store fills up with at a time.
const MOST_FILLING: usize = 2;

/// The next placement, if there is something to change.
pub fn plan(current: &Placement, view: &StoreView, tolerance: usize) -> Option<Placement> {
    let mut next = Placement { epoch: current.epoch + 1, ..current.clone() };
    if current.shards.is_empty() {
        return first_placement(next, view, tolerance);
    }
    update_stores(&mut next, view);
    let mut planner = Planner { next, view, tolerance };
    for shard in 0..current.shards.len() {
        planner.plan_shard(shard);
    }
    let next = planner.next;
    (next.stores != current.stores || next.shards != current.shards).then_some(next)
}

fn first_placement(mut next: Placement, view: &StoreView, tolerance: usize) -> Option<Placement> {
    let live: Vec<&StoreSeen> = view.live().collect();
    let oldest = live.iter().map(|store| store.known_for).max()?;
    let newest = live.iter().map(|store| store.known_for).min()?;
    let settled = oldest >= FIRST_WAIT && newest >= NEWEST_WAIT;
    if live.len() <= tolerance || !(settled || oldest >= LONGEST_FIRST_WAIT) {
        return None;
    }
    next.stores = live.iter().map(|store| store.entry()).collect();
    next.shards = vec![ShardAssignment::default(); SHARD_COUNT as usize];
    let mut planner = Planner { next, view, tolerance };
    for shard in 0..SHARD_COUNT as usize {
        let size = planner.size();
        let mut replicas = Vec::with_capacity(size);
        while replicas.len() < size {
            let Some(store) = planner.candidate(shard, &replicas) else { break };
            replicas.push(store);
            planner.next.shards[shard].replicas = replicas.clone();
        }
        planner.lead_with_least_loaded(shard, &mut replicas);
        planner.next.shards[shard] = ShardAssignment { epoch: 1, replicas, previous: Vec::new() };
    }
    Some(planner.next)
}

/// Takes live stores in, keeps their addresses up to date and forgets those that are gone.
fn update_stores(next: &mut Placement, view: &StoreView) {
    for store in view.live() {
        match next.stores.iter_mut().find(|entry| entry.id == store.id) {
            Some(entry) => entry.address.clone_from(&store.address),
            None => next.stores.push(store.entry()),
        }
    }
    let named: Vec<StoreId> =
        next.shards.iter().flat_map(|shard| shard.replicas.iter().chain(&shard.previous)).copied().collect();
    let gone = |entry: &StoreEntry| {
        let patience = if entry.retiring { FORGET_RETIRED } else { FORGET };
        view.silence(entry.id) >= patience || (!entry.retiring && view.is_replaced(entry))
    };
    next.stores.retain(|entry| named.contains(&entry.id) || !gone(entry));
}

struct Planner<'a> {
    next: Placement,
    view: &'a StoreView,
    tolerance: usize,
}

impl Planner<'_> {
    /// How many replicas a shard is to have.
    fn size(&self) -> usize {
        (2 * self.tolerance + 1).min(self.usable().count())
    }

    /// Live stores that are not to be emptied.
    fn usable(&self) -> impl Iterator<Item = &StoreEntry> {
        self.next.stores.iter().filter(|entry| !entry.retiring && self.view.silence(entry.id) < LIVE)
    }

    fn is_retiring(&self, id: StoreId) -> bool {
        self.next.store(id).is_none_or(|entry| entry.retiring)
    }

    fn is_live(&self, id: StoreId) -> bool {
        self.view.silence(id) < LIVE
    }

    fn plan_shard(&mut self, shard: usize) {
        let Some(assignment) = self.next.shards.get(shard).cloned() else { return };
        let Some(&primary) = assignment.replicas.first() else { return };
        let report = self.view.report(primary, shard, assignment.epoch);
        let in_charge = report.is_some_and(|report| report.in_charge);
        if in_charge && !assignment.previous.is_empty() {
            self.next.shards[shard].previous.clear();
            return;
        }
        let leaves = self.view.is_leaving(primary);
        let dead = self.view.silence(primary) >= PRIMARY_DEAD || leaves && in_charge;
        let stuck = !in_charge && self.view.unsettled_for(shard, assignment.epoch) >= TAKEOVER_PATIENCE;
        if stuck && !assignment.previous.is_empty() {
            return self.choose_anew(shard, &assignment);
        }
        if dead || stuck {
            return self.replace_primary(shard, &assignment);
        }
        let caught_up = report.map(|report| report.caught_up.clone()).unwrap_or_default();
        if in_charge {
            self.change_members(shard, &assignment, &caught_up);
        }
    }

    /// Another live replica becomes the primary; the set stays.
    fn replace_primary(&mut self, shard: usize, assignment: &ShardAssignment) {
        let caught_up = self.view.last_caught_up(shard);
        let primary = assignment.replicas[0];
        let places = assignment.replicas.iter().skip(1).enumerate();
        let others = places.filter(|(_, id)| self.is_live(**id) && !self.view.is_leaving(**id));
        let chosen = others.min_by_key(|(place, id)| {
            let behind = !caught_up.contains(id) && !assignment.previous.contains(id);
            (self.is_retiring(**id), behind, self.primaries_of(**id), *place)
        });
        let Some((_, &chosen)) = chosen else { return };
        let rest = assignment.replicas.iter().copied().filter(|id| *id != chosen && *id != primary);
        let replicas: Vec<StoreId> = [chosen].into_iter().chain(rest).chain([primary]).collect();
        self.change(shard, assignment, replicas);
    }

    /// A takeover does not get on: with another primary, and live replicas in place of silent ones. All that
    /// is told lies with the previous replicas, so any others will do.
    fn choose_anew(&mut self, shard: usize, assignment: &ShardAssignment) {
        let size = self.size().max(assignment.replicas.len().min(2 * self.tolerance + 1));
        let suits = |id: &StoreId| self.is_live(*id) && !self.is_retiring(*id);
        let mut replicas: Vec<StoreId> = Vec::with_capacity(size);
        for id in assignment.previous.iter().chain(&assignment.replicas).filter(|id| suits(id)) {
            if !replicas.contains(id) && replicas.len() < size {
                replicas.push(*id);
            }
        }
        while replicas.len() < size
            && let Some(candidate) = self.candidate(shard, &replicas)
        {
            replicas.push(candidate);
        }
        if replicas.len() > 1 && replicas.first() == assignment.replicas.first() {
            replicas.rotate_left(1);
        }
        for id in &assignment.replicas {
            if !replicas.contains(id) && replicas.len() < size {
                replicas.push(*id);
            }
        }
        if replicas.first().is_some_and(|id| self.is_live(*id)) {
            self.change(shard, assignment, replicas);
        }
    }

    /// Brings the set to its size, without dead and retiring stores, as far as that takes nothing that is
    /// needed.
    fn change_members(&mut self, shard: usize, assignment: &ShardAssignment, caught_up: &[StoreId]) {
        let replicas = &assignment.replicas;
        let good: Vec<StoreId> =
            replicas.iter().copied().filter(|id| self.is_live(*id) && caught_up.contains(id)).collect();
        let at_ease = replicas.iter().filter(|id| self.is_live(**id)).count() > self.tolerance + 1;
        let leaving = replicas.iter().copied().find(|id| self.is_to_leave(*id, at_ease));
        let candidate = self.candidate(shard, replicas);
        if candidate.is_some_and(|id| self.filling(id) >= MOST_FILLING) {
            return;
        }
        let stays = |leaving: StoreId| good.iter().filter(|id| **id != leaving).count() > self.tolerance;
        let changed = match (leaving, candidate) {
            (Some(leaving), Some(candidate)) if stays(leaving) => {
                Some(replace(replicas, leaving, Some(candidate)))
            }
            // One more for a while, until there are enough copies without the one that leaves.
            (Some(_), Some(candidate)) if replicas.len() <= self.size() => Some(with(replicas, candidate)),
            (Some(leaving), None) if stays(leaving) && self.may_shrink(leaving, replicas.len()) => {
                Some(replace(replicas, leaving, None))
            }
            (None, Some(candidate)) if replicas.len() < self.size() => Some(with(replicas, candidate)),
            (None, _) if replicas.len() > 2 * self.tolerance + 1 => {
                replicas.last().copied().filter(|last| stays(*last)).map(|last| replace(replicas, last, None))
            }
            _ => None,
        };
        let Some(mut changed) = changed else { return };
        // The primary has to be one with the whole log.
        if let Some(place) = changed.iter().position(|id| good.contains(id)) {
            changed.swap(0, place);
        }
        self.change(shard, assignment, changed);
    }

    fn is_to_leave(&self, id: StoreId, at_ease: bool) -> bool {
        let patience = if at_ease { REPLICA_DEAD_AT_EASE } else { REPLICA_DEAD };
        let replaced = self.next.store(id).is_some_and(|entry| self.view.is_replaced(entry));
        self.is_retiring(id) || replaced || self.view.silence(id) >= patience
    }

    /// Without a store to take its place, a silent replica stays: it may come back. A retiring one has to go,
    /// and one whose disk is lost is of no use.
    fn may_shrink(&self, leaving: StoreId, size: usize) -> bool {
        let replaced = self.next.store(leaving).is_none_or(|entry| self.view.is_replaced(entry));
        size > self.tolerance + 1 && (self.is_retiring(leaving) || replaced)
    }

    fn change(&mut self, shard: usize, assignment: &ShardAssignment, replicas: Vec<StoreId>) {
        let previous = match assignment.previous.is_empty() {
            true => assignment.replicas.clone(),
            // Nothing was committed by the replicas of an epoch that was not reported in charge.
            false => assignment.previous.clone(),
        };
        self.next.shards[shard] = ShardAssignment { epoch: assignment.epoch + 1, replicas, previous };
    }

    /// The usable store that suits best as one more replica: of a zone with few of them, with few shards.
    fn candidate(&self, shard: usize, replicas: &[StoreId]) -> Option<StoreId> {
        let zone_of = |id: &StoreId| self.next.store(*id).map(|entry| entry.zone.as_str());
        let others =
            self.usable().filter(|entry| !replicas.contains(&entry.id) && !self.view.is_leaving(entry.id));
        let best = others.min_by_key(|entry| {
            let live = replicas.iter().filter(|id| self.is_live(**id) && !self.is_retiring(**id));
            let of_zone = live.filter(|id| zone_of(id) == Some(entry.zone.as_str())).count();
            (of_zone, self.shards_of(entry.id), hash(shard, entry.id))
        });
        best.map(|entry| entry.id)
    }

    fn shards_of(&self, id: StoreId) -> usize {
        self.next.shards.iter().filter(|shard| shard.replicas.contains(&id)).count()
    }

    fn primaries_of(&self, id: StoreId) -> usize {
        self.next.shards.iter().filter(|shard| shard.replicas.first() == Some(&id)).count()
    }

    /// Shards of a store whose entries it has yet to be sent.
    fn filling(&self, id: StoreId) -> usize {
        let lacks = |(shard, assignment): &(usize, &ShardAssignment)| {
            let Some(&primary) = assignment.replicas.first() else { return false };
            let report = self.view.report(primary, *shard, assignment.epoch);
            assignment.replicas.contains(&id)
                && primary != id
                && report.is_none_or(|report| !report.caught_up.contains(&id))
        };
        self.next.shards.iter().enumerate().filter(lacks).count()
    }

    fn lead_with_least_loaded(&self, shard: usize, replicas: &mut [StoreId]) {
        let load = |id: &StoreId| {
            let shards = self.next.shards.iter().enumerate().filter(|(other, _)| *other != shard);
            shards.filter(|(_, assignment)| assignment.replicas.first() == Some(id)).count()
        };
        let least = (0..replicas.len()).min_by_key(|place| (load(&replicas[*place]), *place));
        if let Some(least) = least {
            replicas.swap(0, least);
        }
    }
}

fn replace(replicas: &[StoreId], leaving: StoreId, by: Option<StoreId>) -> Vec<StoreId> {
    replicas.iter().copied().filter(|id| *id != leaving).chain(by).collect()
}

fn with(replicas: &[StoreId], one_more: StoreId) -> Vec<StoreId> {
    replicas.iter().copied().chain([one_more]).collect()
}

/// Spreads equally suited stores over the shards.
fn hash(shard: usize, id: StoreId) -> u64 {
    let mixed =
        (id ^ (shard as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 31)
}

/// The shards' assignments by primary, for logs and tests.
pub fn primaries(placement: &Placement) -> BTreeMap<StoreId, usize> {
    let mut primaries = BTreeMap::new();
    for id in placement.shards.iter().filter_map(|shard| shard.replicas.first()) {
        *primaries.entry(*id).or_default() += 1;
    }
    primaries
}
