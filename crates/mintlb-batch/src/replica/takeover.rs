//! A replica is to be the primary of a new epoch: it reads from so many of the previous replicas that every
//! committed entry is at one of them, takes the log that ends at the highest place, and begins its epoch on
//! top of that. A takeover that was begun before and did not come to be in charge may have left such a log at a
//! replica already: one that holds an entry of an epoch later than the settled one is read alone. So the previous
//! replicas are not needed any more once one replica has begun. Nor are the others if the settled epoch's primary has
//! its disk: it has all that was committed.

use super::primary::Primary;
use super::{AfterSync, DiskWrite, Effect, Replica, Role};
use crate::entry::Entry;
use crate::epoch_history::EpochHistory;
use crate::framing;
use crate::job_table::Timestamp;
use crate::peer::{Append, PeerMessage};
use bytes::Bytes;
use mintlb_common::placement::StoreId;
use std::time::Duration;

/// How often an unanswered question is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// A source that sent nothing for so long is given up, and the takeover begins anew.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// A takeover under way.
#[derive(Debug)]
pub(super) struct Takeover {
    /// The epoch to begin.
    pub epoch: u64,
    /// What the previous replicas have, this one included.
    acks: Vec<(StoreId, EpochHistory)>,
    /// Whose log is taken, up to which index, and when it last sent something.
    source: Option<(StoreId, EpochHistory, Timestamp)>,
    last_request: Timestamp,
}

impl Replica {
    /// Begins the epoch of the assignment, of which this replica is the primary.
    pub(super) fn begin_epoch(&mut self, now: Timestamp) {
        let epoch = self.assignment.epoch;
        self.advance_epoch(epoch);
        // With an entry of this epoch in the own log, everything older is in it, too: a restart.
        if self.meta.log.end().epoch == epoch {
            return self.become_primary(now);
        }
        if self.assignment.previous.is_empty() {
            // Only at the very first there is nothing to read.
            if epoch == 1 && self.meta.log.last() == 0 {
                return self.append_epoch_start(now);
            }
            log::error!(
                "lots: shard {}: epoch {epoch} was begun by this store, which lacks it",
                self.shard
            );
            return;
        }
        log::info!("lots: shard {}: takes over, epoch {epoch}", self.shard);
        self.role = Role::TakingOver(Takeover {
            epoch,
            acks: Vec::new(),
            source: None,
            last_request: now,
        });
        self.effects
            .push(Effect::AfterSync(AfterSync::EpochPersisted(epoch)));
        self.send_new_epoch(epoch);
    }

    /// Asks all that may have what was told.
    fn send_new_epoch(&mut self, epoch: u64) {
        let mut others = self.assignment.previous.clone();
        others.extend(
            self.assignment
                .replicas
                .iter()
                .filter(|id| !self.assignment.previous.contains(id)),
        );
        for id in others
            .into_iter()
            .filter(|id| *id != self.settings.store_id)
        {
            let collect = self.envelope(id, epoch, PeerMessage::NewEpoch);
            self.effects.push(Effect::Send(collect));
        }
    }

    pub(super) fn on_epoch_persisted(&mut self, epoch: u64, now: Timestamp) {
        let log = self.meta.log.clone();
        self.on_epoch_ack(self.settings.store_id, epoch, log, now);
    }

    /// Every committed entry is at `tolerance + 1` of the previous replicas, so all but `tolerance` have to
    /// be read.
    fn acks_needed(&self) -> usize {
        self.assignment
            .previous
            .len()
            .saturating_sub(self.settings.tolerance)
            .max(1)
    }

    /// Whether the log of this replica holds all that was told, so that no other has to be read. It does if it was
    /// begun after the settled epoch, from enough of the previous replicas, which have refused the settled epoch's
    /// primary since. And it does if it is the one of that primary: nobody else appended in that epoch, an entry is
    /// on its disk before it is committed, and with its promise it commits nothing more.
    fn is_complete(&self, from: StoreId, log: &EpochHistory) -> bool {
        let Some(last_active_epoch) = self.assignment.last_active_epoch else {
            return false;
        };
        let epoch = log.end().epoch;
        epoch > last_active_epoch
            || epoch == last_active_epoch && self.assignment.previous.first() == Some(&from)
    }

    pub(super) fn on_epoch_ack(
        &mut self,
        from: StoreId,
        epoch: u64,
        log: EpochHistory,
        now: Timestamp,
    ) {
        let needed = self.acks_needed();
        let is_previous = self.assignment.previous.contains(&from);
        let is_complete = self.is_complete(from, &log);
        let Role::TakingOver(takeover) = &mut self.role else {
            return;
        };
        if takeover.epoch != epoch || !(is_previous || is_complete) || takeover.source.is_some() {
            return;
        }
        takeover.acks.retain(|(id, _)| *id != from);
        takeover.acks.push((from, log));
        if takeover.acks.len() < needed && !is_complete {
            return;
        }
        let best = takeover
            .acks
            .iter()
            .max_by_key(|(_, log)| log.end())
            .cloned();
        let Some((source, log)) = best else { return };
        if log.end() <= self.meta.log.end() {
            return self.append_epoch_start(now);
        }
        takeover.source = Some((source, log, now));
        self.fetch();
    }

    fn fetch(&mut self) {
        let Role::TakingOver(takeover) = &self.role else {
            return;
        };
        let Some((source, log, _)) = &takeover.source else {
            return;
        };
        let after = self.meta.log.common(log);
        let fetch = self.envelope(*source, takeover.epoch, PeerMessage::Fetch { after });
        self.effects.push(Effect::Send(fetch));
    }

    pub(super) fn on_fetched(
        &mut self,
        from: StoreId,
        epoch: u64,
        append: Append,
        raw: Bytes,
        now: Timestamp,
    ) {
        let Role::TakingOver(takeover) = &mut self.role else {
            return;
        };
        let Some((source, log, last_received)) = &mut takeover.source else {
            return;
        };
        if takeover.epoch != epoch || *source != from {
            return;
        }
        *last_received = now;
        let end = log.end();
        if self.apply_append(&append, raw, now).is_err() {
            return;
        }
        match self.meta.log.end() >= end {
            true => self.append_epoch_start(now),
            false => self.fetch(),
        }
    }

    pub(super) fn tick_takeover(&mut self, now: Timestamp) {
        let Role::TakingOver(takeover) = &mut self.role else {
            return;
        };
        let epoch = takeover.epoch;
        let silent = |last_received: Timestamp| now.saturating_sub(last_received) >= SOURCE_TIMEOUT;
        if takeover
            .source
            .as_ref()
            .is_some_and(|(_, _, last_received)| silent(*last_received))
        {
            takeover.source = None;
            takeover.acks.clear();
            self.effects
                .push(Effect::AfterSync(AfterSync::EpochPersisted(epoch)));
        }
        let Role::TakingOver(takeover) = &mut self.role else {
            return;
        };
        if now.saturating_sub(takeover.last_request) < RETRY_INTERVAL {
            return;
        }
        takeover.last_request = now;
        match takeover.source {
            Some(_) => self.fetch(),
            None => self.send_new_epoch(epoch),
        }
    }

    /// The own log holds all that is committed: the epoch's first entry goes on top.
    fn append_epoch_start(&mut self, now: Timestamp) {
        let index = self.meta.log.last() + 1;
        let bytes = framing::encode(&Entry::EpochStart, &[]);
        self.meta.log.extend(index, self.assignment.epoch);
        self.meta_changed = true;
        self.jobs
            .apply(index, &Entry::EpochStart, bytes.len() as u64, 0, now);
        self.effects
            .push(Effect::Write(DiskWrite::Put(index, bytes)));
        self.become_primary(now);
    }

    fn become_primary(&mut self, now: Timestamp) {
        let epoch = self.assignment.epoch;
        let followers = self
            .assignment
            .replicas
            .iter()
            .copied()
            .filter(|id| *id != self.settings.store_id);
        let through = self.meta.log.last();
        self.role = Role::Primary(Primary::new(epoch, through, followers, now));
        self.leases.restart(now);
        self.effects
            .push(Effect::AfterSync(AfterSync::LogPersisted {
                epoch,
                through,
            }));
    }
}
