//! Taking over a shard as the primary of a new epoch.
//!
//! The new primary makes replicas enter its epoch and reads which log each has, adopts the log that
//! ends at the highest position among a read quorum of the previous replicas, and starts its epoch on
//! top of that. Every committed entry is in that log, as each write quorum of the previous replicas
//! intersects with those read (the view change of Viewstamped Replication; the discovery and
//! synchronization phases of Zab). Both go by the rule of the previous assignment.
//!
//! Fewer logs are enough in two cases, see [`Replica::is_complete`]: an earlier takeover that never
//! became active may already have left such a log at a replica, and the primary of the last active
//! epoch has everything that was committed in it.

use super::primary::Primary;
use super::{AfterSync, Effect, Replica, Role};
use crate::entry::Entry;
use crate::epoch_history::{Epoch, EpochHistory};
use crate::peer::{Append, PeerMessage};
use crate::timestamp::Timestamp;
use bytes::Bytes;
use mintlb_common::placement::StoreId;
use std::time::Duration;

/// Interval at which unanswered requests are repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// A source that sent nothing for this long is given up, and the logs are collected anew.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// A takeover in progress.
#[derive(Debug)]
pub(super) struct Takeover {
    /// The epoch to start.
    pub epoch: Epoch,
    /// The logs of replicas that have entered the epoch, this one included.
    acks: Vec<EpochAck>,
    /// The replica whose log is being fetched.
    source: Option<Source>,
    last_request: Timestamp,
}

/// A replica that has entered the epoch, and its log.
#[derive(Clone, Debug)]
struct EpochAck {
    store: StoreId,
    log: EpochHistory,
}

#[derive(Debug)]
struct Source {
    store: StoreId,
    /// The log to adopt.
    log: EpochHistory,
    last_received: Timestamp,
}

impl Takeover {
    fn new(epoch: Epoch, now: Timestamp) -> Takeover {
        Takeover {
            epoch,
            acks: Vec::new(),
            source: None,
            last_request: now,
        }
    }

    /// Notes a replica's log, in place of an earlier one.
    fn add(&mut self, ack: EpochAck) {
        self.acks.retain(|other| other.store != ack.store);
        self.acks.push(ack);
    }

    /// The log that ends at the highest position.
    fn best(&self) -> Option<EpochAck> {
        self.acks.iter().max_by_key(|ack| ack.log.end()).cloned()
    }

    /// Gives up a source that has timed out; whether it has.
    fn drop_silent_source(&mut self, now: Timestamp) -> bool {
        let is_silent =
            |source: &Source| now.saturating_since(source.last_received) >= SOURCE_TIMEOUT;
        if !self.source.as_ref().is_some_and(is_silent) {
            return false;
        }
        self.source = None;
        self.acks.clear();
        true
    }
}

impl Replica {
    /// Begins the epoch of the assignment, whose primary this replica is.
    pub(super) fn begin_epoch(&mut self, now: Timestamp) {
        let epoch = self.assignment.epoch;
        self.enter_epoch(epoch);
        // A restart within the epoch: with an entry of this epoch in the own log, everything older
        // is in it as well.
        if self.meta.log.end().epoch == epoch {
            return self.become_primary(now);
        }
        if self.assignment.previous.is_empty() {
            // Only the very first epoch has nothing to read.
            if epoch == 1 && self.meta.log.last() == 0 {
                return self.append_epoch_start(now);
            }
            log::error!(
                "batch: shard {}: this store started epoch {epoch}, but its disk lacks the epoch's entries",
                self.shard
            );
            return;
        }
        log::info!(
            "batch: shard {}: taking over as primary, epoch {epoch}",
            self.shard
        );
        self.role = Role::TakingOver(Takeover::new(epoch, now));
        self.after_sync(AfterSync::EpochPersisted(epoch));
        self.send_new_epoch(epoch);
    }

    /// Requests the logs of all replicas that may have committed entries.
    fn send_new_epoch(&mut self, epoch: Epoch) {
        let previous = self.assignment.previous.iter();
        let new = self.assignment.replicas.iter();
        let new = new.filter(|id| !self.assignment.previous.contains(id));
        let others: Vec<StoreId> = previous
            .chain(new)
            .copied()
            .filter(|id| *id != self.settings.store_id)
            .collect();
        for id in others {
            let envelope = self.envelope(id, epoch, PeerMessage::NewEpoch);
            self.effects.push(Effect::Send(envelope));
        }
    }

    /// The own log counts as read once the own disk has the epoch, too.
    pub(super) fn on_epoch_persisted(&mut self, epoch: Epoch, now: Timestamp) {
        let log = self.meta.log.clone();
        self.on_epoch_ack(self.settings.store_id, epoch, log, now);
    }

    /// Whether the log of this replica alone is sure to have everything that was committed.
    ///
    /// It has if it holds an entry of an epoch after the last active one: that epoch was started on
    /// top of the logs of enough previous replicas, which have rejected the primary of the last
    /// active epoch since. And it has if it is the log of the last active epoch's primary: nobody
    /// else appended in that epoch, its own disk has an entry before it is committed, and having
    /// entered the new epoch it commits nothing more.
    fn is_complete(&self, from: StoreId, log: &EpochHistory) -> bool {
        let Some(last_active) = self.assignment.last_active_epoch else {
            return false;
        };
        let epoch = log.end().epoch;
        let is_last_primary = self.assignment.previous.first() == Some(&from);
        epoch > last_active || epoch == last_active && is_last_primary
    }

    pub(super) fn on_epoch_ack(
        &mut self,
        from: StoreId,
        epoch: Epoch,
        log: EpochHistory,
        now: Timestamp,
    ) {
        let is_previous = self.assignment.previous.contains(&from);
        let is_complete = self.is_complete(from, &log);
        let previous_quorums = self.assignment.previous_quorums(self.settings.tolerance);
        let Some(takeover) = self.role.takeover_mut() else {
            return;
        };
        if takeover.epoch != epoch || !(is_previous || is_complete) || takeover.source.is_some() {
            return;
        }
        takeover.add(EpochAck { store: from, log });
        let has_acked = |id| takeover.acks.iter().any(|ack| ack.store == id);
        if !previous_quorums.is_read_quorum(has_acked) && !is_complete {
            return;
        }
        if let Some(best) = takeover.best() {
            self.adopt_log(best, now);
        }
    }

    /// Adopts a log: fetches what the own one lacks of it, then starts the epoch.
    fn adopt_log(&mut self, ack: EpochAck, now: Timestamp) {
        if ack.log.end() <= self.meta.log.end() {
            return self.append_epoch_start(now);
        }
        if let Some(takeover) = self.role.takeover_mut() {
            takeover.source = Some(Source {
                store: ack.store,
                log: ack.log,
                last_received: now,
            });
        }
        self.fetch();
    }

    fn fetch(&mut self) {
        let Role::TakingOver(takeover) = &self.role else {
            return;
        };
        let Some(source) = &takeover.source else {
            return;
        };
        let after = self.meta.log.common(&source.log);
        let fetch = PeerMessage::Fetch { after };
        let envelope = self.envelope(source.store, takeover.epoch, fetch);
        self.effects.push(Effect::Send(envelope));
    }

    pub(super) fn on_fetched(
        &mut self,
        from: StoreId,
        epoch: Epoch,
        append: Append,
        raw: Bytes,
        now: Timestamp,
    ) {
        let takeover = self.role.takeover_mut();
        let Some(takeover) = takeover.filter(|takeover| takeover.epoch == epoch) else {
            return;
        };
        let Some(source) = takeover.source.as_mut().filter(|s| s.store == from) else {
            return;
        };
        source.last_received = now;
        let end = source.log.end();
        if self.apply_append(&append, raw, now).is_err() {
            return;
        }
        match self.meta.log.end() >= end {
            true => self.append_epoch_start(now),
            false => self.fetch(),
        }
    }

    pub(super) fn tick_takeover(&mut self, now: Timestamp) {
        let Some(takeover) = self.role.takeover_mut() else {
            return;
        };
        let epoch = takeover.epoch;
        let has_lost_source = takeover.drop_silent_source(now);
        let is_due = now.saturating_since(takeover.last_request) >= RETRY_INTERVAL;
        if is_due {
            takeover.last_request = now;
        }
        let is_fetching = takeover.source.is_some();
        if has_lost_source {
            self.after_sync(AfterSync::EpochPersisted(epoch));
        }
        match (is_due, is_fetching) {
            (false, _) => (),
            (true, true) => self.fetch(),
            (true, false) => self.send_new_epoch(epoch),
        }
    }

    /// Starts the epoch: the own log has everything that is committed, and its first entry goes on
    /// top.
    fn append_epoch_start(&mut self, now: Timestamp) {
        self.append_entry(self.assignment.epoch, &Entry::EpochStart, &[], now);
        self.become_primary(now);
    }

    fn become_primary(&mut self, now: Timestamp) {
        let epoch = self.assignment.epoch;
        let own = self.settings.store_id;
        let replicas = self.assignment.replicas.iter().copied();
        let followers = replicas.filter(|id| *id != own);
        let through = self.meta.log.last();
        self.role = Role::Primary(Primary::new(epoch, own, through, followers, now));
        self.leases.restart(now);
        self.after_sync(AfterSync::LogPersisted { epoch, through });
    }
}
