//! Which stores a shard's set has: dead, leaving and retiring ones go, others come.

use super::Planner;
use mintlb_common::placement::{ShardAssignment, StoreEntry, StoreId};
use std::time::Duration;

/// A replica that was silent for so long is replaced when its shard could not lose another one.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(2000);
/// The same while its shard could and no other store has come since: a machine that comes back soon has its copy still.
const REDUNDANT_REPLICA_TIMEOUT: Duration = Duration::from_millis(7000);
/// A store that was first heard of so lately may be there to replace one that leaves.
const NEW_STORE: Duration = Duration::from_secs(60);
/// Shards that one store fills up with at a time, while no copy is missing.
const MAX_CONCURRENT_FILLS: usize = 4;

impl Planner<'_> {
    /// Whether too few replicas are left to commit anything: the others are silent for long, or their disks are
    /// lost.
    pub(super) fn lacks_quorum(&self, assignment: &ShardAssignment) -> bool {
        let left = assignment
            .replicas
            .iter()
            .filter(|id| !self.is_lost(**id, REPLICA_TIMEOUT))
            .count();
        left <= self.tolerance
    }

    /// A shard whose primary is not in charge: live replicas in place of silent ones. What was told lies with the
    /// previous replicas, or with a store that began a later epoch, so any others will do. False if nothing can be
    /// done. A takeover that does not get on gets another primary.
    pub(super) fn choose_anew(
        &mut self,
        shard: usize,
        assignment: &ShardAssignment,
        another_primary: bool,
    ) -> bool {
        let size = self
            .size()
            .max(assignment.replicas.len().min(2 * self.tolerance + 1));
        let mut replicas = self.live_sources(assignment, size);
        while replicas.len() < size
            && let Some(candidate) = self.candidate(shard, &replicas)
        {
            replicas.push(candidate);
        }
        if !another_primary && replicas.iter().all(|id| assignment.replicas.contains(id)) {
            return false;
        }
        if another_primary && replicas.len() > 1 && replicas.first() == assignment.replicas.first()
        {
            replicas.rotate_left(1);
        }
        for id in &assignment.replicas {
            if !replicas.contains(id) && replicas.len() < size {
                replicas.push(*id);
            }
        }
        let begins = replicas.first().is_some_and(|id| self.is_live(*id));
        if begins {
            self.change(shard, assignment, replicas);
        }
        begins
    }

    /// Live stores that may have the shard's log, those first that are sure to be of use.
    fn live_sources(&self, assignment: &ShardAssignment, size: usize) -> Vec<StoreId> {
        let suits = |id: &&StoreId| {
            self.is_live(**id) && !self.is_decommissioning(**id) && !self.view.is_draining(**id)
        };
        let previous: Vec<StoreId> = assignment.previous.iter().filter(suits).copied().collect();
        let current: Vec<StoreId> = assignment.replicas.iter().filter(suits).copied().collect();
        // With too few of the previous ones left, only a replica of the epoch that was begun may have it all.
        let enough = previous.len() + self.tolerance >= assignment.previous.len();
        let ordered = if enough {
            [previous, current]
        } else {
            [current, previous]
        };
        let mut replicas = Vec::with_capacity(size);
        for id in ordered.into_iter().flatten() {
            if !replicas.contains(&id) && replicas.len() < size {
                replicas.push(id);
            }
        }
        replicas
    }

    /// A replica was told to stop and a store that may be its successor is there: the copy moves at once, while the
    /// one that leaves can still be read. If the successor has a copy already, the other one goes. False if there is
    /// nothing to do: without a successor the store comes back with its disk.
    pub(super) fn hand_over(
        &mut self,
        shard: usize,
        assignment: &ShardAssignment,
        caught_up: &[StoreId],
    ) -> bool {
        let replicas = &assignment.replicas;
        let leaves = |id: &&StoreId| {
            self.is_live(**id) && self.view.is_draining(**id) && !self.is_decommissioning(**id)
        };
        let Some(draining) = replicas.iter().find(leaves).copied() else {
            return false;
        };
        let candidate = self
            .candidate(shard, replicas)
            .filter(|id| self.is_new(*id) || self.is_kept_for_quorum(*id));
        let mut changed = replace(replicas, draining, candidate);
        let is_good = |id: &StoreId| {
            self.is_live(*id) && !self.view.is_draining(*id) && caught_up.contains(id)
        };
        let good: Vec<StoreId> = changed.iter().copied().filter(is_good).collect();
        let may_shrink = good.len() > self.tolerance && good.iter().any(|id| self.is_new(*id));
        if good.is_empty() || candidate.is_none() && !may_shrink {
            return false;
        }
        if let Some(rank) = changed.iter().position(|id| good.contains(id)) {
            changed.swap(0, rank);
        }
        self.change(shard, assignment, changed);
        true
    }

    /// Whether a store is to be emptied but can't be spared yet.
    fn is_kept_for_quorum(&self, id: StoreId) -> bool {
        self.next
            .store(id)
            .is_some_and(|entry| entry.decommissioning && !self.can_be_drained(entry))
    }

    fn is_new(&self, id: StoreId) -> bool {
        self.view
            .store(id)
            .is_some_and(|store| store.since_first_heartbeat < NEW_STORE)
    }

    /// Brings the set to its size, without dead and retiring stores, as far as that takes nothing that is
    /// needed.
    pub(super) fn change_members(
        &mut self,
        shard: usize,
        assignment: &ShardAssignment,
        caught_up: &[StoreId],
    ) {
        let replicas = &assignment.replicas;
        let good: Vec<StoreId> = replicas
            .iter()
            .copied()
            .filter(|id| self.is_live(*id) && caught_up.contains(id))
            .collect();
        let at_ease = replicas.iter().filter(|id| self.is_live(**id)).count() > self.tolerance + 1;
        // First of all a copy that is missing, then one that is to move.
        let lost = replicas
            .iter()
            .find(|id| self.is_lost(**id, self.timeout(**id, at_ease)));
        let draining = lost
            .or(replicas.iter().find(|id| self.is_decommissioning(**id)))
            .copied();
        let candidate = self.candidate(shard, replicas);
        // A copy that is missing is made good at once: the next loss may come as soon as the new store counts no
        // more.
        let is_missing =
            draining.is_some_and(|id| !self.is_live(id)) || replicas.len() < self.size();
        if !is_missing && candidate.is_some_and(|id| self.filling(id) >= MAX_CONCURRENT_FILLS) {
            return;
        }
        let stays =
            |draining: StoreId| good.iter().filter(|id| **id != draining).count() > self.tolerance;
        let changed = match (draining, candidate) {
            // One that is lost makes no quorum: beside its successor it would only be one more that can't be read.
            (Some(draining), Some(candidate))
                if stays(draining) || self.is_lost(draining, REPLICA_TIMEOUT) =>
            {
                Some(replace(replicas, draining, Some(candidate)))
            }
            // One more for a while, until there are enough copies without the one that leaves.
            (Some(_), Some(candidate)) if replicas.len() <= self.size().max(self.tolerance + 1) => {
                Some(with(replicas, candidate))
            }
            (Some(draining), None) if stays(draining) && self.may_shrink(draining) => {
                Some(replace(replicas, draining, None))
            }
            (None, Some(candidate)) if replicas.len() < self.size() => {
                Some(with(replicas, candidate))
            }
            (None, _) if replicas.len() > 2 * self.tolerance + 1 => self
                .surplus(replicas)
                .filter(|one| stays(*one))
                .map(|one| replace(replicas, one, None)),
            _ => None,
        };
        let Some(mut changed) = changed else { return };
        // The primary has to be one with the whole log.
        if let Some(rank) = changed.iter().position(|id| good.contains(id)) {
            changed.swap(0, rank);
        }
        self.change(shard, assignment, changed);
    }

    /// Of a set that is too large: a silent replica, or the last one.
    fn surplus(&self, replicas: &[StoreId]) -> Option<StoreId> {
        let silent = replicas.iter().find(|id| !self.is_live(**id));
        silent.or(replicas.last()).copied()
    }

    /// How long a replica may be silent before its copy is made anew.
    fn timeout(&self, id: StoreId, at_ease: bool) -> Duration {
        if at_ease && !self.has_successor(id) {
            REDUNDANT_REPLICA_TIMEOUT
        } else {
            REPLICA_TIMEOUT
        }
    }

    /// Whether its disk is lost, or it was silent for so long.
    fn is_lost(&self, id: StoreId, timeout: Duration) -> bool {
        self.next
            .store(id)
            .is_none_or(|entry| self.view.is_replaced(entry))
            || self.view.since_heartbeat(id) >= timeout
    }

    /// Without a store to take its place, a silent replica stays: it may come back. A retiring one has to go, one
    /// whose disk is lost is of no use, and one whose successor is there will not come back: if it stayed in the
    /// set, the next loss would leave too few to read from.
    fn may_shrink(&self, draining: StoreId) -> bool {
        let replaced = self
            .next
            .store(draining)
            .is_none_or(|entry| self.view.is_replaced(entry));
        self.is_decommissioning(draining) || replaced || self.has_successor(draining)
    }

    /// Whether a silent store was told to stop, or another one came after its last word.
    fn has_successor(&self, id: StoreId) -> bool {
        let since_heartbeat = self.view.since_heartbeat(id);
        let newer_store = self.usable().any(|entry| {
            self.view
                .store(entry.id)
                .is_some_and(|store| store.since_first_heartbeat <= since_heartbeat)
        });
        since_heartbeat >= REPLICA_TIMEOUT && (self.view.is_draining(id) || newer_store)
    }

    /// The usable store that suits best as one more replica: of a zone with few of them, with few shards.
    pub(super) fn candidate(&self, shard: usize, replicas: &[StoreId]) -> Option<StoreId> {
        let zone_of = |id: &StoreId| self.next.store(*id).map(|entry| entry.zone.as_str());
        let others = self
            .usable()
            .filter(|entry| !replicas.contains(&entry.id) && !self.view.is_draining(entry.id));
        let best = others.min_by_key(|entry: &&StoreEntry| {
            let live = replicas
                .iter()
                .filter(|id| self.is_live(**id) && !self.is_decommissioning(**id));
            let of_zone = live
                .filter(|id| zone_of(id) == Some(entry.zone.as_str()))
                .count();
            (
                of_zone,
                self.shards_of(entry.id),
                super::hash(shard, entry.id),
            )
        });
        best.map(|entry| entry.id)
    }

    /// Shards of a store whose entries it has yet to be sent.
    fn filling(&self, id: StoreId) -> usize {
        let lacks = |(shard, assignment): &(usize, &ShardAssignment)| {
            let Some(&primary) = assignment.replicas.first() else {
                return false;
            };
            let report = self.view.report(primary, *shard, assignment.epoch);
            assignment.replicas.contains(&id)
                && primary != id
                && report.is_none_or(|report| !report.caught_up.contains(&id))
        };
        self.next.shards.iter().enumerate().filter(lacks).count()
    }
}

fn replace(replicas: &[StoreId], draining: StoreId, by: Option<StoreId>) -> Vec<StoreId> {
    replicas
        .iter()
        .copied()
        .filter(|id| *id != draining)
        .chain(by)
        .collect()
}

fn with(replicas: &[StoreId], one_more: StoreId) -> Vec<StoreId> {
    replicas.iter().copied().chain([one_more]).collect()
}
