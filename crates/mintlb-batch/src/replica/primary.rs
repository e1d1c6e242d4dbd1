//! The primary of an epoch: brings its log to the followers, and knows what is committed.

use super::follower::PART_BYTES;
use super::{AfterSync, DiskWrite, Effect, Replica, Role};
use crate::entry::Entry;
use crate::framing;
use crate::job_table::Timestamp;
use crate::log_index::{LogIndex, LogPosition};
use crate::peer::{Append, PeerMessage};
use mintlb_common::placement::StoreId;
use std::time::Duration;

/// A follower that has not answered for so long is asked anew where it stands.
const ANSWER_PATIENCE: Duration = Duration::from_millis(700);
/// The same at the beginning of an epoch or a process, when others may just have started, too.
const FIRST_PATIENCE: Duration = Duration::from_millis(250);
/// How long that is.
const BEGINNING: Duration = Duration::from_millis(3000);
/// A primary that could commit nothing for so long, though there is something, does not count as in charge.
const STUCK: Duration = Duration::from_millis(2000);
/// A follower hears of what is committed at the latest so long after, when there is nothing else to send.
const TELL_COMMITTED: Duration = Duration::from_millis(400);
/// A primary that was confirmed within this time knows of all that was committed before.
const FRESH: Duration = Duration::from_millis(400);
/// Between two empty messages that ask a follower for a confirmation.
const CONFIRM_AGAIN: Duration = Duration::from_millis(50);
/// A replica that lacks no more entries than this counts as caught up.
const CAUGHT_UP_LAG: u64 = 256;

/// What a primary knows.
#[derive(Debug)]
pub(super) struct Primary {
    /// Its epoch.
    pub epoch: u64,
    /// The end of the log when this process became the primary: the epoch's first entry, or, after a restart
    /// within the epoch, one behind it. All up to here may have been told to somebody.
    pub base: u64,
    /// The log is committed up to there.
    pub active: bool,
    /// The own log is on disk up to here.
    durable: u64,
    followers: Vec<Follower>,
    replicated: u64,
    since: Timestamp,
    /// Since when there is something to commit.
    uncommitted: Option<Timestamp>,
}

#[derive(Debug)]
struct Follower {
    id: StoreId,
    /// Its log is equal up to here, on its disk; `None` until it has said so.
    matched: Option<u64>,
    /// What it has not yet answered: when it was sent.
    outstanding: Option<Timestamp>,
    /// The last time it was sent anything.
    sent: Timestamp,
    /// The time at which the newest message that it answered was sent.
    confirmed: Option<Timestamp>,
    /// What it was last told to be committed.
    told: u64,
}

impl Primary {
    pub(super) fn new(
        epoch: u64,
        base: u64,
        followers: impl Iterator<Item = StoreId>,
        now: Timestamp,
    ) -> Primary {
        let follower = |id| Follower {
            id,
            matched: None,
            outstanding: None,
            sent: Timestamp::ZERO,
            confirmed: None,
            told: 0,
        };
        Primary {
            epoch,
            base,
            active: false,
            durable: 0,
            followers: followers.map(follower).collect(),
            replicated: 0,
            since: now,
            uncommitted: None,
        }
    }

    /// Whether it is in charge and gets on.
    pub(super) fn gets_on(&self, now: Timestamp) -> bool {
        self.active
            && self
                .uncommitted
                .is_none_or(|since| now.saturating_sub(since) < STUCK)
    }

    /// The time at which `others` followers still followed.
    fn confirmed(&self, others: usize, now: Timestamp) -> Option<Timestamp> {
        let Some(place) = others.checked_sub(1) else {
            return Some(now);
        };
        let mut times: Vec<Timestamp> = self
            .followers
            .iter()
            .filter_map(|follower| follower.confirmed)
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(place).copied()
    }
}

impl Replica {
    /// Appends an entry to the log; returns its index. The caller has checked that this is the primary.
    pub(super) fn append_own(&mut self, entry: &Entry, raw: &[&[u8]], now: Timestamp) -> u64 {
        let index = self.meta.log.last() + 1;
        let epoch = self.meta.log.end().epoch;
        let raw_length: usize = raw.iter().map(|part| part.len()).sum();
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
        if primary.epoch != epoch || through <= primary.durable {
            return;
        }
        primary.durable = through;
        primary.uncommitted.get_or_insert(now);
        self.advance(now);
        self.feed_all(now);
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
        self.answered(from, echo, now);
    }

    pub(super) fn on_diverged(
        &mut self,
        from: StoreId,
        epoch: u64,
        log: LogIndex,
        echo: u64,
        now: Timestamp,
    ) {
        let common = self.meta.log.common(&log);
        let Some(follower) = self.follower(from, epoch) else {
            return;
        };
        // It never has less than before: only a question about where it stands is answered like this.
        follower.matched = Some(follower.matched.unwrap_or(0).max(common));
        self.answered(from, echo, now);
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

    fn answered(&mut self, from: StoreId, echo: u64, now: Timestamp) {
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
        let sent = Timestamp::from_millis(echo);
        if sent <= now {
            follower.confirmed = follower.confirmed.max(Some(sent));
            if follower
                .outstanding
                .is_some_and(|outstanding| outstanding.as_millis() as u64 <= echo)
            {
                follower.outstanding = None;
            }
        }
        self.effects.push(Effect::Confirmed);
        self.advance(now);
        self.feed(from, now);
    }

    /// Commits what enough replicas have.
    fn advance(&mut self, now: Timestamp) {
        let quorum = self.quorum();
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        let mut matched: Vec<u64> = primary.followers.iter().filter_map(|f| f.matched).collect();
        let all = matched.len() == primary.followers.len();
        matched.push(primary.durable);
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let replicated = matched.last().copied().unwrap_or(0);
        if all && replicated > primary.replicated {
            primary.replicated = replicated;
            self.effects.push(Effect::Replicated(replicated));
        }
        let Some(&committed) = matched.get(quorum - 1) else {
            return;
        };
        // An entry of an older epoch is committed only together with one of this epoch.
        if committed < primary.base || committed > primary.durable {
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
        if committed == primary.durable {
            primary.uncommitted = None;
        } else if committed > self.meta.committed {
            primary.uncommitted = Some(now);
        }
        // Until the register says that the epoch is settled another takeover may begin without this log: it counts
        // as committed only then, so that no follower holds on to what may be replaced.
        if self.assignment.previous.is_empty() && self.set_committed(committed) {
            self.effects.push(Effect::Committed(committed));
        }
    }

    /// The register has heard that the epoch is in charge.
    pub(super) fn on_epoch_confirmed(&mut self, now: Timestamp) {
        self.advance(now);
        self.feed_all(now);
    }

    fn feed_all(&mut self, now: Timestamp) {
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let ids: Vec<StoreId> = primary
            .followers
            .iter()
            .map(|follower| follower.id)
            .collect();
        ids.into_iter().for_each(|id| self.feed(id, now));
    }

    /// Sends a follower what it lacks, one part at a time, or asks where it stands.
    fn feed(&mut self, id: StoreId, now: Timestamp) {
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let (durable, committed) = (primary.durable, self.meta.committed);
        let Some(follower) = primary.followers.iter().find(|follower| follower.id == id) else {
            return;
        };
        if durable == 0 || follower.outstanding.is_some() {
            return;
        }
        match follower.matched {
            None => self.send_empty(id, durable, now),
            Some(matched) if matched < durable => self.send_part(id, matched, durable, now),
            Some(matched) => {
                let idle = now.saturating_sub(follower.sent) >= TELL_COMMITTED;
                if follower.told < committed.min(matched) && idle {
                    self.send_empty(id, matched, now);
                }
            }
        }
    }

    fn send_part(&mut self, id: StoreId, after: u64, through: u64, now: Timestamp) {
        let (part, indexes) = self.part(after, through, PART_BYTES);
        self.send(id, part, indexes, now);
    }

    /// An empty part behind this index: the answer says whether the follower's log is equal up to there.
    fn send_empty(&mut self, id: StoreId, index: u64, now: Timestamp) {
        let epoch = self.meta.log.epoch_at(index).unwrap_or(0);
        let part = Append {
            previous: LogPosition { epoch, index },
            through: index,
            ..Append::default()
        };
        self.send(id, part, Vec::new(), now);
    }

    fn send(&mut self, id: StoreId, mut part: Append, indexes: Vec<u64>, now: Timestamp) {
        let committed = self.meta.committed;
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
        follower.outstanding.get_or_insert(now);
        follower.sent = now;
        follower.told = committed.min(part.through);
        part.committed = committed;
        part.sent_at = now.as_millis() as u64;
        let envelope = self.envelope(id, epoch, PeerMessage::Append(part));
        self.effects.push(Effect::SendEntries(envelope, indexes));
    }

    pub(super) fn tick_primary(&mut self, now: Timestamp) {
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        let beginning = now.saturating_sub(primary.since) < BEGINNING;
        let mut ids = Vec::with_capacity(primary.followers.len());
        for follower in &mut primary.followers {
            let first = beginning && follower.matched.is_none();
            let patience = if first {
                FIRST_PATIENCE
            } else {
                ANSWER_PATIENCE
            };
            let late = follower
                .outstanding
                .is_some_and(|sent| now.saturating_sub(sent) >= patience);
            if late && now.saturating_sub(follower.sent) >= patience {
                // It may have lost anything sent since; what it said to have on disk it still has.
                follower.outstanding = None;
                ids.push((follower.id, true));
            } else {
                ids.push((follower.id, false));
            }
        }
        for (id, late) in ids {
            match late {
                true => self.probe(id, now),
                false => self.feed(id, now),
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
        let index = follower.matched.unwrap_or(primary.durable);
        if primary.durable > 0 {
            self.send_empty(id, index, now);
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
            .confirmed(others, now)
            .is_some_and(|at| now.saturating_sub(at) <= FRESH)
        {
            return true;
        }
        let asked = |follower: &&Follower| now.saturating_sub(follower.sent) >= CONFIRM_AGAIN;
        let asks = primary.followers.iter().filter(asked);
        let asks: Vec<(StoreId, u64)> = asks
            .map(|follower| (follower.id, follower.matched.unwrap_or(primary.durable)))
            .collect();
        for (id, index) in asks {
            self.send_empty(id, index, now);
        }
        false
    }

    /// The replicas that have all but the newest entries. Whether they are alive their heartbeats tell.
    pub(super) fn caught_up(&self, primary: &Primary) -> Vec<StoreId> {
        let needed = self
            .meta
            .committed
            .saturating_sub(CAUGHT_UP_LAG)
            .max(primary.base);
        let has = |follower: &&Follower| follower.matched.is_some_and(|matched| matched >= needed);
        let others = primary
            .followers
            .iter()
            .filter(has)
            .map(|follower| follower.id);
        let own = primary.active.then_some(self.settings.own);
        own.into_iter().chain(others).collect()
    }
}
