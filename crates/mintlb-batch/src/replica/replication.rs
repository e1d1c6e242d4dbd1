//! The primary brings its log to the followers, and commits what a write quorum has.

use super::log_transfer::{LogRange, MAX_APPEND_BYTES};
use super::primary::{FollowerProgress, Primary};
use super::{AfterSync, Effect, Replica};
use crate::entry::Entry;
use crate::epoch_history::{Epoch, EpochHistory, LogIndex, LogPosition};
use crate::peer::{Append, PeerMessage};
use crate::timestamp::Timestamp;
use mintlb_common::placement::StoreId;
use std::time::Duration;

/// A follower gets the commit index at the latest this long after the last message, if there is
/// nothing else to send.
const COMMIT_NOTIFY_INTERVAL: Duration = Duration::from_millis(400);
/// A primary that a quorum confirmed within this time may answer reads.
const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(400);
/// Minimum interval between probes that ask a follower for a confirmation.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(50);
/// A replica that lacks at most this many entries counts as caught up.
const CAUGHT_UP_LAG: u64 = 256;

impl Replica {
    /// Appends an entry to the primary's log; returns its index. The caller has checked that this
    /// is the primary.
    pub(super) fn append_as_primary(
        &mut self,
        entry: &Entry,
        raw: &[&[u8]],
        now: Timestamp,
    ) -> LogIndex {
        let epoch = self.meta.log.end().epoch;
        let through = self.append_entry(epoch, entry, raw, now);
        self.after_sync(AfterSync::LogPersisted { epoch, through });
        through
    }

    pub(super) fn on_log_persisted(&mut self, epoch: Epoch, through: LogIndex, now: Timestamp) {
        let Some(primary) = self.primary_of(epoch) else {
            return;
        };
        if primary.on_durable(through, now) {
            self.advance_commit(now);
            self.replicate_to_all(now);
        }
    }

    pub(super) fn on_appended(
        &mut self,
        from: StoreId,
        epoch: Epoch,
        matched: LogIndex,
        echo: u64,
        now: Timestamp,
    ) {
        if matched <= self.meta.log.last() {
            self.on_matched(from, epoch, matched, echo, now);
        }
    }

    /// Only a probe for the follower's log gets this response; it still has all that it has
    /// acknowledged.
    pub(super) fn on_diverged(
        &mut self,
        from: StoreId,
        epoch: Epoch,
        log: EpochHistory,
        echo: u64,
        now: Timestamp,
    ) {
        let common = self.meta.log.common(&log);
        self.on_matched(from, epoch, common, echo, now);
    }

    fn on_matched(
        &mut self,
        from: StoreId,
        epoch: Epoch,
        matched: LogIndex,
        echo: u64,
        now: Timestamp,
    ) {
        let primary = self.primary_of(epoch);
        let Some(follower) = primary.and_then(|primary| primary.follower_mut(from)) else {
            return;
        };
        follower.advance_matched(matched);
        follower.on_response(echo, now);
        self.effects.push(Effect::Confirmed);
        self.advance_commit(now);
        self.replicate_to(from, now);
    }

    fn primary_of(&mut self, epoch: Epoch) -> Option<&mut Primary> {
        self.role
            .primary_mut()
            .filter(|primary| primary.epoch == epoch)
    }

    /// Commits what a write quorum of the replicas has on disk.
    fn advance_commit(&mut self, now: Timestamp) {
        let Some(primary) = self.role.primary_mut() else {
            return;
        };
        if let Some(replicated) = primary.advance_replicated() {
            self.effects.push(Effect::Replicated(replicated));
        }
        let Some(quorum_index) = primary.quorum_index(&self.quorums) else {
            return;
        };
        if !primary.is_active {
            primary.is_active = true;
            log::info!(
                "batch: shard {}: active as primary, epoch {}",
                self.shard,
                primary.epoch
            );
            self.effects.push(Effect::ReportChanged);
        }
        primary.note_progress(quorum_index, quorum_index > self.meta.commit_index, now);
        // Until the register has confirmed the epoch another takeover may begin without this log.
        // Committing only after that keeps followers from holding on to entries that may be
        // replaced.
        if self.assignment.previous.is_empty() && self.advance_commit_index(quorum_index) {
            self.effects.push(Effect::Committed(quorum_index));
        }
    }

    /// Handles that the register has confirmed the epoch's primary as active.
    pub(super) fn on_epoch_confirmed(&mut self, now: Timestamp) {
        self.advance_commit(now);
        self.replicate_to_all(now);
    }

    fn replicate_to_all(&mut self, now: Timestamp) {
        let Some(primary) = self.role.primary() else {
            return;
        };
        for id in primary.follower_ids() {
            self.replicate_to(id, now);
        }
    }

    /// Sends a follower what it lacks, one message at a time, or probes for its log.
    fn replicate_to(&mut self, id: StoreId, now: Timestamp) {
        let Some(primary) = self.role.primary() else {
            return;
        };
        let Some(follower) = primary.follower(id) else {
            return;
        };
        let durable = primary.durable_index;
        if durable == 0 || follower.in_flight_since.is_some() {
            return;
        }
        match follower.matched {
            None => self.send_probe(id, durable, now),
            Some(matched) if matched < durable => self.send_entries(id, matched, durable, now),
            Some(matched) => {
                let is_idle = now.saturating_since(follower.last_sent) >= COMMIT_NOTIFY_INTERVAL;
                let commit_index = self.meta.commit_index.min(matched);
                if is_idle && follower.notified_commit_index < commit_index {
                    self.send_probe(id, matched, now);
                }
            }
        }
    }

    fn send_entries(&mut self, id: StoreId, after: LogIndex, through: LogIndex, now: Timestamp) {
        let range = self.log_range(after, through, MAX_APPEND_BYTES);
        self.send_append(id, range, now);
    }

    /// Sends an empty append after this index: the response tells whether the follower's log is
    /// equal up to there.
    fn send_probe(&mut self, id: StoreId, index: LogIndex, now: Timestamp) {
        let epoch = self.meta.log.epoch_at(index).unwrap_or(0);
        let append = Append {
            previous: LogPosition { epoch, index },
            through: index,
            ..Append::default()
        };
        let entries = Vec::new();
        self.send_append(id, LogRange { append, entries }, now);
    }

    fn send_append(&mut self, id: StoreId, range: LogRange, now: Timestamp) {
        let LogRange {
            mut append,
            entries,
        } = range;
        append.commit_index = self.meta.commit_index;
        append.sent_at = now.as_millis();
        let Some(primary) = self.role.primary_mut() else {
            return;
        };
        let epoch = primary.epoch;
        let Some(follower) = primary.follower_mut(id) else {
            return;
        };
        follower.on_sent(append.commit_index.min(append.through), now);
        let envelope = self.envelope(id, epoch, PeerMessage::Append(append));
        self.effects.push(Effect::SendEntries(envelope, entries));
    }

    pub(super) fn tick_primary(&mut self, now: Timestamp) {
        let Some(primary) = self.role.primary_mut() else {
            return;
        };
        for (id, is_overdue) in primary.take_timeouts(now) {
            match is_overdue {
                true => self.probe_overdue(id, now),
                false => self.replicate_to(id, now),
            }
        }
    }

    /// Probes a follower whose response is overdue; once it responds it is sent entries again.
    fn probe_overdue(&mut self, id: StoreId, now: Timestamp) {
        let Some(primary) = self.role.primary() else {
            return;
        };
        let Some(follower) = primary.follower(id) else {
            return;
        };
        if primary.durable_index > 0 {
            let index = follower.matched.unwrap_or(primary.durable_index);
            self.send_probe(id, index, now);
        }
    }

    /// Whether reads may be answered: a write quorum has confirmed a moment ago that this is still the
    /// primary, so that everything committed before is known here (cf. Raft's ReadIndex). If not,
    /// the followers are probed; [`Effect::Confirmed`] tells when to call again.
    pub fn confirm(&mut self, now: Timestamp) -> bool {
        let Some(primary) = self.role.primary() else {
            return false;
        };
        if primary
            .confirmed_at(&self.quorums, now)
            .is_some_and(|at| now.saturating_since(at) <= CONFIRMATION_VALIDITY)
        {
            return true;
        }
        let is_due = |follower: &&FollowerProgress| {
            now.saturating_since(follower.last_sent) >= CONFIRM_INTERVAL
        };
        let durable = primary.durable_index;
        let probes: Vec<(StoreId, LogIndex)> = primary
            .followers
            .iter()
            .filter(is_due)
            .map(|follower| (follower.id, follower.matched.unwrap_or(durable)))
            .collect();
        for (id, index) in probes {
            self.send_probe(id, index, now);
        }
        false
    }

    /// The replicas that have all but the newest entries. Whether they are live is left to their
    /// heartbeats.
    pub(super) fn caught_up(&self, primary: &Primary) -> Vec<StoreId> {
        let needed = self.meta.commit_index.saturating_sub(CAUGHT_UP_LAG);
        let own = primary.is_active.then_some(self.settings.store_id);
        own.into_iter()
            .chain(primary.followers_with(needed))
            .collect()
    }
}
