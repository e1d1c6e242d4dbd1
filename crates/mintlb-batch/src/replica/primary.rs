//! The primary of an epoch: brings its log to the followers, and knows what is committed.

use super::follower::MAX_APPEND_BYTES;
use super::{AfterSync, DiskWrite, Effect, Replica, Role};
use crate::entry::Entry;
use crate::epoch_history::{EpochHistory, LogPosition};
use crate::framing;
use crate::job_table::Timestamp;
use crate::peer::{Append, PeerMessage};
use mintlb_common::placement::StoreId;
use std::time::Duration;

/// A follower that has not answered for so long is asked anew where it stands.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// The same at the beginning of an epoch or a process, when others may just have started, too.
const INITIAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long that is.
const STARTUP_PERIOD: Duration = Duration::from_millis(3000);
/// A primary that could commit nothing for so long, though there is something, does not count as in charge.
const COMMIT_STALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// A follower hears of what is committed at the latest so long after, when there is nothing else to send.
const COMMIT_NOTIFY_INTERVAL: Duration = Duration::from_millis(400);
/// A primary that was confirmed within this time knows of all that was committed before.
const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(400);
/// Between two empty messages that ask a follower for a confirmation.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(50);
/// A replica that lacks no more entries than this counts as caught up.
const CAUGHT_UP_LAG: u64 = 256;

/// What a primary knows.
#[derive(Debug)]
pub(super) struct Primary {
    /// Its epoch.
    pub epoch: u64,
    /// The end of the log when this process became the primary: the epoch's first entry, or, after a restart
    /// within the epoch, one behind it. All up to here may have been told to somebody.
    pub base_index: u64,
    /// The log is committed up to there.
    pub active: bool,
    /// The own log is on disk up to here.
    durable_index: u64,
    followers: Vec<Follower>,
    replicated_index: u64,
    started_at: Timestamp,
    /// Since when there is something to commit.
    uncommitted_since: Option<Timestamp>,
}

#[derive(Debug)]
struct Follower {
    id: StoreId,
    /// Its log is equal up to here, on its disk; `None` until it has said so.
    matched: Option<u64>,
    /// What it has not yet answered: when it was sent.
    in_flight_since: Option<Timestamp>,
    /// The last time it was sent anything.
    last_sent: Timestamp,
    /// The time at which the newest message that it answered was sent.
    last_confirmed: Option<Timestamp>,
    /// What it was last told to be committed.
    notified_commit_index: u64,
}

impl Primary {
    pub(super) fn new(
        epoch: u64,
        base_index: u64,
        followers: impl Iterator<Item = StoreId>,
        now: Timestamp,
    ) -> Primary {
        let follower = |id| Follower {
            id,
            matched: None,
            in_flight_since: None,
            last_sent: Timestamp::ZERO,
            last_confirmed: None,
            notified_commit_index: 0,
        };
        Primary {
            epoch,
            base_index,
            active: false,
            durable_index: 0,
            followers: followers.map(follower).collect(),
            replicated_index: 0,
            started_at: now,
            uncommitted_since: None,
        }
    }

    /// Whether it is in charge and gets on.
    pub(super) fn is_making_progress(&self, now: Timestamp) -> bool {
        self.active
            && self
                .uncommitted_since
                .is_none_or(|since| now.saturating_sub(since) < COMMIT_STALL_TIMEOUT)
    }

    /// The time at which `others` followers still followed.
    fn last_confirmed(&self, others: usize, now: Timestamp) -> Option<Timestamp> {
        let Some(rank) = others.checked_sub(1) else {
            return Some(now);
        };
        let mut times: Vec<Timestamp> = self
            .followers
            .iter()
            .filter_map(|follower| follower.last_confirmed)
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(rank).copied()
    }
}

impl Replica {
    /// Appends an entry to the log; returns its index. The caller has checked that this is the primary.
    pub(super) fn append_own(&mut self, entry: &Entry, raw: &[&[u8]], now: Timestamp) -> u64 {
        let index = self.meta.log.last() + 1;
        let epoch = self.meta.log.end().epoch;
        let raw_length: usize = raw.iter().map(|chunk| chunk.len()).sum();
        let bytes = framing::encode(entry, raw);
        self.meta.log.extend(index, epoch);
        self.meta_changed = true;
        self.jobs
            .apply(index, entry, bytes.len() as u64, raw_length as u64, now);
        self.effects
            .push(Effect::Write(DiskWrite::Put(index, bytes)));
        self.effects
            .push(Effect::AfterSync(AfterSync::LogPersisted {
                epoch,
                through: index,
            }));
        index
    }

    pub(super) fn on_log_persisted(&mut self, epoch: u64, through: u64, now: Timestamp) {
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        if primary.epoch != epoch || through <= primary.durable_index {
            return;
        }
        primary.durable_index = through;
        primary.uncommitted_since.get_or_insert(now);
        self.advance_commit(now);
        self.replicate_to_all(now);
    }

    pub(super) fn on_appended(
        &mut self,
        from: StoreId,
        epoch: u64,
        matched: u64,
        echo: u64,
        now: Timestamp,
    ) {
        let end = self.meta.log.last();
        let Some(follower) = self.follower(from, epoch) else {
            return;
        };
        if matched > end {
            return;
        }
        follower.matched = Some(follower.matched.unwrap_or(0).max(matched));
        self.on_response(from, echo, now);
    }

    pub(super) fn on_diverged(
        &mut self,
        from: StoreId,
        epoch: u64,
        log: EpochHistory,
        echo: u64,
        now: Timestamp,
    ) {
        let common = self.meta.log.common(&log);
        let Some(follower) = self.follower(from, epoch) else {
            return;
        };
        // It never has less than before: only a question about where it stands is answered like this.
        follower.matched = Some(follower.matched.unwrap_or(0).max(common));
        self.on_response(from, echo, now);
    }

    fn follower(&mut self, id: StoreId, epoch: u64) -> Option<&mut Follower> {
        let Role::Primary(primary) = &mut self.role else {
            return None;
        };
        if primary.epoch != epoch {
            return None;
        }
        primary
            .followers
            .iter_mut()
            .find(|follower| follower.id == id)
    }

    fn on_response(&mut self, from: StoreId, echo: u64, now: Timestamp) {
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        let Some(follower) = primary
            .followers
            .iter_mut()
            .find(|follower| follower.id == from)
        else {
            return;
        };
        let last_sent = Timestamp::from_millis(echo);
        if last_sent <= now {
            follower.last_confirmed = follower.last_confirmed.max(Some(last_sent));
            if follower
                .in_flight_since
                .is_some_and(|in_flight_since| in_flight_since.as_millis() as u64 <= echo)
            {
                follower.in_flight_since = None;
            }
        }
        self.effects.push(Effect::Confirmed);
        self.advance_commit(now);
        self.replicate_to(from, now);
    }

    /// Commits what enough replicas have.
    fn advance_commit(&mut self, now: Timestamp) {
        let quorum = self.quorum();
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        let mut matched: Vec<u64> = primary.followers.iter().filter_map(|f| f.matched).collect();
        let all = matched.len() == primary.followers.len();
        matched.push(primary.durable_index);
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let replicated_index = matched.last().copied().unwrap_or(0);
        if all && replicated_index > primary.replicated_index {
            primary.replicated_index = replicated_index;
            self.effects.push(Effect::Replicated(replicated_index));
        }
        let Some(&commit_index) = matched.get(quorum - 1) else {
            return;
        };
        // An entry of an older epoch is committed only together with one of this epoch.
        if commit_index < primary.base_index || commit_index > primary.durable_index {
            return;
        }
        if !primary.active {
            primary.active = true;
            log::info!(
                "lots: shard {}: in charge, epoch {}",
                self.shard,
                primary.epoch
            );
            self.effects.push(Effect::ReportChanged);
        }
        if commit_index == primary.durable_index {
            primary.uncommitted_since = None;
        } else if commit_index > self.meta.commit_index {
            primary.uncommitted_since = Some(now);
        }
        // Until the register says that the epoch is settled another takeover may begin without this log: it counts
        // as committed only then, so that no follower holds on to what may be replaced.
        if self.assignment.previous.is_empty() && self.set_committed(commit_index) {
            self.effects.push(Effect::Committed(commit_index));
        }
    }

    /// The register has heard that the epoch is in charge.
    pub(super) fn on_epoch_confirmed(&mut self, now: Timestamp) {
        self.advance_commit(now);
        self.replicate_to_all(now);
    }

    fn replicate_to_all(&mut self, now: Timestamp) {
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let ids: Vec<StoreId> = primary
            .followers
            .iter()
            .map(|follower| follower.id)
            .collect();
        ids.into_iter().for_each(|id| self.replicate_to(id, now));
    }

    /// Sends a follower what it lacks, one part at a time, or asks where it stands.
    fn replicate_to(&mut self, id: StoreId, now: Timestamp) {
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let (durable_index, commit_index) = (primary.durable_index, self.meta.commit_index);
        let Some(follower) = primary.followers.iter().find(|follower| follower.id == id) else {
            return;
        };
        if durable_index == 0 || follower.in_flight_since.is_some() {
            return;
        }
        match follower.matched {
            None => self.send_probe(id, durable_index, now),
            Some(matched) if matched < durable_index => {
                self.send_entries(id, matched, durable_index, now)
            }
            Some(matched) => {
                let idle = now.saturating_sub(follower.last_sent) >= COMMIT_NOTIFY_INTERVAL;
                if follower.notified_commit_index < commit_index.min(matched) && idle {
                    self.send_probe(id, matched, now);
                }
            }
        }
    }

    fn send_entries(&mut self, id: StoreId, after: u64, through: u64, now: Timestamp) {
        let (append, indexes) = self.log_after(after, through, MAX_APPEND_BYTES);
        self.send(id, append, indexes, now);
    }

    /// An empty part behind this index: the answer says whether the follower's log is equal up to there.
    fn send_probe(&mut self, id: StoreId, index: u64, now: Timestamp) {
        let epoch = self.meta.log.epoch_at(index).unwrap_or(0);
        let append = Append {
            previous: LogPosition { epoch, index },
            through: index,
            ..Append::default()
        };
        self.send(id, append, Vec::new(), now);
    }

    fn send(&mut self, id: StoreId, mut append: Append, indexes: Vec<u64>, now: Timestamp) {
        let commit_index = self.meta.commit_index;
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        let epoch = primary.epoch;
        let Some(follower) = primary
            .followers
            .iter_mut()
            .find(|follower| follower.id == id)
        else {
            return;
        };
        follower.in_flight_since.get_or_insert(now);
        follower.last_sent = now;
        follower.notified_commit_index = commit_index.min(append.through);
        append.commit_index = commit_index;
        append.sent_at = now.as_millis() as u64;
        let envelope = self.envelope(id, epoch, PeerMessage::Append(append));
        self.effects.push(Effect::SendEntries(envelope, indexes));
    }

    pub(super) fn tick_primary(&mut self, now: Timestamp) {
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        let beginning = now.saturating_sub(primary.started_at) < STARTUP_PERIOD;
        let mut ids = Vec::with_capacity(primary.followers.len());
        for follower in &mut primary.followers {
            let first = beginning && follower.matched.is_none();
            let response_timeout = if first {
                INITIAL_RESPONSE_TIMEOUT
            } else {
                RESPONSE_TIMEOUT
            };
            let late = follower
                .in_flight_since
                .is_some_and(|last_sent| now.saturating_sub(last_sent) >= response_timeout);
            if late && now.saturating_sub(follower.last_sent) >= response_timeout {
                // It may have lost anything sent since; what it said to have on disk it still has.
                follower.in_flight_since = None;
                ids.push((follower.id, true));
            } else {
                ids.push((follower.id, false));
            }
        }
        for (id, late) in ids {
            match late {
                true => self.probe(id, now),
                false => self.replicate_to(id, now),
            }
        }
    }

    /// Asks a follower that is late for a sign of life; once it answers it is fed again.
    fn probe(&mut self, id: StoreId, now: Timestamp) {
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let Some(follower) = primary.followers.iter().find(|follower| follower.id == id) else {
            return;
        };
        let index = follower.matched.unwrap_or(primary.durable_index);
        if primary.durable_index > 0 {
            self.send_probe(id, index, now);
        }
    }

    /// Whether all that was committed until shortly ago is known here. If not, the followers are asked to
    /// confirm.
    pub fn confirm(&mut self, now: Timestamp) -> bool {
        let others = self.quorum() - 1;
        let Role::Primary(primary) = &self.role else {
            return false;
        };
        if primary
            .last_confirmed(others, now)
            .is_some_and(|at| now.saturating_sub(at) <= CONFIRMATION_VALIDITY)
        {
            return true;
        }
        let may_ask =
            |follower: &&Follower| now.saturating_sub(follower.last_sent) >= CONFIRM_INTERVAL;
        let unconfirmed = primary.followers.iter().filter(may_ask);
        let unconfirmed: Vec<(StoreId, u64)> = unconfirmed
            .map(|follower| {
                (
                    follower.id,
                    follower.matched.unwrap_or(primary.durable_index),
                )
            })
            .collect();
        for (id, index) in unconfirmed {
            self.send_probe(id, index, now);
        }
        false
    }

    /// The replicas that have all but the newest entries. Whether they are alive their heartbeats tell.
    pub(super) fn caught_up(&self, primary: &Primary) -> Vec<StoreId> {
        let needed = self
            .meta
            .commit_index
            .saturating_sub(CAUGHT_UP_LAG)
            .max(primary.base_index);
        let has = |follower: &&Follower| follower.matched.is_some_and(|matched| matched >= needed);
        let others = primary
            .followers
            .iter()
            .filter(has)
            .map(|follower| follower.id);
        let store_id = primary.active.then_some(self.settings.store_id);
        store_id.into_iter().chain(others).collect()
    }
}
