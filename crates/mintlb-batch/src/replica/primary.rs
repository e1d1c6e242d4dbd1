//! State of the primary of an epoch.

mod progress;

pub(super) use progress::FollowerProgress;

use crate::epoch_history::{Epoch, LogIndex};
use crate::timestamp::Timestamp;
use mintlb_common::placement::{ReplicaQuorums, StoreId};
use std::time::Duration;

/// For this long after its start a primary expects its followers to be starting as well.
const STARTUP_PERIOD: Duration = Duration::from_millis(3000);
/// A primary that could commit nothing for this long, though entries are pending, is not reported
/// as active.
const COMMIT_STALL_TIMEOUT: Duration = Duration::from_millis(2000);

/// What a primary knows of its log and its followers.
#[derive(Debug)]
pub(super) struct Primary {
    pub epoch: Epoch,
    /// This store.
    own: StoreId,
    /// End of the log when this process became the primary: the first entry of the epoch or, after
    /// a restart within it, a later one. Anything up to here may have been acknowledged to a
    /// client, so nothing is served before it is committed.
    base_index: LogIndex,
    /// A quorum has the log up to `base_index`.
    pub is_active: bool,
    /// The own log is on disk up to this index.
    pub durable_index: LogIndex,
    pub followers: Vec<FollowerProgress>,
    /// All followers have the log up to this index.
    replicated_index: LogIndex,
    started_at: Timestamp,
    /// Since when entries wait to be committed, without any progress.
    stalled_since: Option<Timestamp>,
}

impl Primary {
    pub(super) fn new(
        epoch: Epoch,
        own: StoreId,
        base_index: LogIndex,
        followers: impl Iterator<Item = StoreId>,
        now: Timestamp,
    ) -> Primary {
        Primary {
            epoch,
            own,
            base_index,
            is_active: false,
            durable_index: 0,
            followers: followers.map(FollowerProgress::new).collect(),
            replicated_index: 0,
            started_at: now,
            stalled_since: None,
        }
    }

    pub(super) fn follower(&self, id: StoreId) -> Option<&FollowerProgress> {
        self.followers.iter().find(|follower| follower.id == id)
    }

    pub(super) fn follower_mut(&mut self, id: StoreId) -> Option<&mut FollowerProgress> {
        self.followers.iter_mut().find(|follower| follower.id == id)
    }

    pub(super) fn follower_ids(&self) -> Vec<StoreId> {
        self.followers.iter().map(|follower| follower.id).collect()
    }

    /// Whether it is active and its commit index advances.
    pub(super) fn is_making_progress(&self, now: Timestamp) -> bool {
        let is_stalled = |since: Timestamp| now.saturating_since(since) >= COMMIT_STALL_TIMEOUT;
        self.is_active && !self.stalled_since.is_some_and(is_stalled)
    }

    /// Notes that the own log is durable up to `through`; false if that was known.
    pub(super) fn on_durable(&mut self, through: LogIndex, now: Timestamp) -> bool {
        if through <= self.durable_index {
            return false;
        }
        self.durable_index = through;
        self.stalled_since.get_or_insert(now);
        true
    }

    /// The index up to which all followers have the log, if that has advanced.
    pub(super) fn advance_replicated(&mut self) -> Option<LogIndex> {
        let matched: Option<Vec<LogIndex>> = self.followers.iter().map(|f| f.matched).collect();
        let replicated = matched?.into_iter().fold(self.durable_index, LogIndex::min);
        let has_advanced = replicated > self.replicated_index;
        has_advanced.then(|| {
            self.replicated_index = replicated;
            replicated
        })
    }

    /// The highest index that a write quorum of the replicas has on disk; `None` if no entry may be
    /// committed yet.
    ///
    /// As in Raft (section 5.4.2), entries of earlier epochs are committed only together with one
    /// of this epoch.
    pub(super) fn quorum_index(&self, quorums: &ReplicaQuorums) -> Option<LogIndex> {
        let followers = self.followers.iter();
        let matched = followers.filter_map(|follower| Some((follower.id, follower.matched?)));
        let index = self.highest_at_quorum(quorums, self.durable_index, matched)?;
        (self.base_index..=self.durable_index)
            .contains(&index)
            .then_some(index)
    }

    /// Notes the index up to which the log may be committed, and whether that is an advance.
    pub(super) fn note_progress(&mut self, index: LogIndex, has_advanced: bool, now: Timestamp) {
        if index == self.durable_index {
            self.stalled_since = None;
        } else if has_advanced {
            self.stalled_since = Some(now);
        }
    }

    /// The latest time up to which a write quorum of the replicas, this one among them, is known not
    /// to have entered a later epoch.
    pub(super) fn confirmed_at(
        &self,
        quorums: &ReplicaQuorums,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let followers = self.followers.iter();
        let times = followers.filter_map(|follower| Some((follower.id, follower.confirmed_at?)));
        self.highest_at_quorum(quorums, now, times)
    }

    /// The highest value that a write quorum of the replicas has reached, where `own` is what this
    /// one has.
    fn highest_at_quorum<T: Ord + Copy>(
        &self,
        quorums: &ReplicaQuorums,
        own: T,
        followers: impl Iterator<Item = (StoreId, T)>,
    ) -> Option<T> {
        let reached: Vec<(StoreId, T)> = followers.chain([(self.own, own)]).collect();
        let mut values: Vec<T> = reached.iter().map(|(_, value)| *value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().find(|least| {
            let has_reached = |id| {
                reached
                    .iter()
                    .any(|(other, value)| *other == id && value >= least)
            };
            quorums.is_write_quorum(has_reached)
        })
    }

    /// The followers that have the log up to `index`, or up to the base of the epoch if that is
    /// higher.
    pub(super) fn followers_with(&self, index: LogIndex) -> impl Iterator<Item = StoreId> {
        let needed = index.max(self.base_index);
        self.followers
            .iter()
            .filter(move |follower| follower.matched.is_some_and(|matched| matched >= needed))
            .map(|follower| follower.id)
    }

    /// Each follower, and whether its response is overdue.
    pub(super) fn take_timeouts(&mut self, now: Timestamp) -> Vec<(StoreId, bool)> {
        let is_starting = now.saturating_since(self.started_at) < STARTUP_PERIOD;
        self.followers
            .iter_mut()
            .map(|follower| (follower.id, follower.take_timeout(is_starting, now)))
            .collect()
    }
}
