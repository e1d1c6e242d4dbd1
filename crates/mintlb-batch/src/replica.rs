//! One shard at one store. Pure: inputs and the time in, [`Effect`]s out.
//!
//! A replica follows the primary of the highest epoch it has promised, or is that primary. Whatever it says
//! of its log or its promise is said after the disk has it: [`Effect::AfterSync`] comes back through
//! [`Replica::on_synced`]. A primary syncs an entry before it sends it to others, so after a restart within its
//! epoch it never gives another entry an index that was seen elsewhere.

mod follower;
mod primary;
mod serving;
mod takeover;

pub use serving::{LeasePlan, PagePlan, Proposal};

use crate::entry::Entry;
use crate::epoch_history::EpochHistory;
use crate::heartbeat::ShardReport;
use crate::job_table::{JobTable, Timestamp};
use crate::leases::Leases;
use crate::peer::{Append, Envelope, PeerMessage};
use bytes::Bytes;
use minicbor::{Decode, Encode};
use mintlb_common::placement::{ShardAssignment, StoreId};
use primary::Primary;
use std::time::Duration;
use takeover::Takeover;

/// How often [`Replica::tick`] is to be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// A process that was not ticked for so long has slept: what it knew of leases is old.
const MAX_TICK_GAP: Duration = Duration::from_millis(1000);
/// How often a shard is swept.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1000);

/// What a shard keeps on disk beside its entries.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ShardMeta {
    /// Messages of lower epochs are refused.
    #[n(0)]
    pub current_epoch: u64,
    /// The epochs of the log.
    #[n(1)]
    pub log: EpochHistory,
    /// Up to here the log is known to be committed; may lag.
    #[n(2)]
    pub commit_index: u64,
}

/// A change on disk. All changes of a replica are made in order.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskWrite {
    /// An entry, as [`crate::framing`] bytes.
    Put(u64, Bytes),
    /// No entries behind this index.
    Truncate(u64),
    /// These entries are gone.
    Remove(Vec<u64>),
    /// These entries lose what is raw in them.
    Strip(Vec<u64>),
    /// No entries at all.
    Clear,
    /// The shard's meta data.
    Meta(ShardMeta),
}

/// What the driver has to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Change the disk.
    Write(DiskWrite),
    /// Hand this back through [`Replica::on_synced`] once all writes before it are durable.
    AfterSync(AfterSync),
    /// Send this to a store.
    Send(Envelope),
    /// Send this with the entries at these indexes. The driver fills in `entries`; one that is gone is left
    /// out.
    SendEntries(Envelope, Vec<u64>),
    /// The log is committed up to here: calls that wait for it can be answered.
    Committed(u64),
    /// Readers that wait for a confirmation may look again.
    Confirmed,
    /// The replica is not the primary any more: calls that wait are unsure.
    SteppedDown,
    /// What [`Replica::report`] says has changed.
    ReportChanged,
    /// All followers have the log up to here.
    Replicated(u64),
}

/// What follows once the disk has it.
#[derive(Clone, Debug, PartialEq)]
pub enum AfterSync {
    /// A message can be sent.
    Send(Envelope),
    /// The primary's own log is durable up to here.
    LogPersisted {
        /// The epoch it was written in.
        epoch: u64,
        /// Up to here.
        through: u64,
    },
    /// The own promise to the takeover of this epoch holds.
    EpochPersisted(u64),
}

/// What a replica does in its shard.
#[derive(Debug)]
enum Role {
    /// Takes what a primary sends, if there is one.
    Follower,
    /// Is to be the primary, and reads what the previous replicas have.
    TakingOver(Takeover),
    /// Orders the shard's log.
    Primary(Primary),
}

/// Fixed figures of a store's replicas.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// The store's identity.
    pub store_id: StoreId,
    /// How many stores may be lost at once (`fault_tolerance.machines`).
    pub tolerance: usize,
    /// How long a lot has to be readable after it was sent (`status_s`).
    pub result_retention: Duration,
}

/// One shard at one store.
#[derive(Debug)]
pub struct Replica {
    shard: u32,
    settings: ReplicaSettings,
    meta: ShardMeta,
    meta_changed: bool,
    jobs: JobTable,
    leases: Leases,
    assignment: ShardAssignment,
    role: Role,
    effects: Vec<Effect>,
    last_tick: Timestamp,
    last_sweep: Timestamp,
}

impl Replica {
    /// A replica with what its disk holds: the entries in order, each with its length and the raw part of it.
    pub fn load(
        shard: u32,
        settings: ReplicaSettings,
        meta: ShardMeta,
        entries: impl Iterator<Item = (u64, Entry, u64, u64)>,
        now: Timestamp,
    ) -> Replica {
        let mut jobs = JobTable::default();
        for (index, entry, length, raw) in entries {
            jobs.apply(index, &entry, length, raw, now);
        }
        Replica {
            shard,
            settings,
            meta,
            meta_changed: false,
            jobs,
            leases: Leases::default(),
            assignment: ShardAssignment::default(),
            role: Role::Follower,
            effects: Vec::new(),
            last_tick: now,
            last_sweep: now,
        }
    }

    /// What is to be done now.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        if self.meta_changed {
            self.meta_changed = false;
            // Before the first effect that waits for the disk, so that it is covered.
            self.effects
                .insert(0, Effect::Write(DiskWrite::Meta(self.meta.clone())));
        }
        std::mem::take(&mut self.effects)
    }

    /// The placement of the shard that is in force.
    pub fn set_assignment(&mut self, assignment: &ShardAssignment, now: Timestamp) {
        if assignment.epoch < self.assignment.epoch || *assignment == self.assignment {
            return;
        }
        let is_new = assignment.epoch > self.assignment.epoch;
        self.assignment = assignment.clone();
        if assignment.epoch < self.meta.current_epoch {
            return;
        }
        if is_new {
            self.step_down();
            if assignment.replicas.first() == Some(&self.settings.store_id) {
                self.begin_epoch(now);
            }
        } else if assignment.previous.is_empty() {
            self.on_epoch_confirmed(now);
        }
        self.clear_if_unassigned();
    }

    /// Drops everything if the placement names this store no more. A replica that is counted somewhere has
    /// promised that epoch on disk, so an old placement after a restart does no harm.
    fn clear_if_unassigned(&mut self) {
        let assignment = &self.assignment;
        let named = assignment.replicas.contains(&self.settings.store_id)
            || assignment.previous.contains(&self.settings.store_id);
        if named || !assignment.previous.is_empty() || assignment.epoch < self.meta.current_epoch {
            return;
        }
        if self.meta.log.last() > 0 {
            log::info!(
                "lots: shard {}: given up, epoch {}",
                self.shard,
                assignment.epoch
            );
            self.meta = ShardMeta {
                current_epoch: assignment.epoch,
                ..ShardMeta::default()
            };
            self.jobs.clear();
            self.effects.push(Effect::Write(DiskWrite::Clear));
            self.meta_changed = true;
        }
    }

    /// A message of another replica, with its raw part.
    pub fn on_message(&mut self, envelope: Envelope, raw: Bytes, now: Timestamp) {
        if envelope.to != self.settings.store_id {
            return;
        }
        let Envelope {
            from,
            epoch,
            message,
            ..
        } = envelope;
        match message {
            PeerMessage::Append(append) => self.on_append(from, epoch, append, raw, now),
            PeerMessage::NewEpoch => self.on_new_epoch(from, epoch),
            PeerMessage::Fetch { after } => self.on_fetch(from, epoch, after),
            PeerMessage::Fenced => self.on_fenced(epoch),
            PeerMessage::EpochAck { log } => self.on_epoch_ack(from, epoch, log, now),
            PeerMessage::Fetched(append) => self.on_fetched(from, epoch, append, raw, now),
            PeerMessage::Appended { matched, echo } => {
                self.on_appended(from, epoch, matched, echo, now)
            }
            PeerMessage::Diverged { log, echo } => self.on_diverged(from, epoch, log, echo, now),
        }
    }

    /// The disk has what came before this.
    pub fn on_synced(&mut self, after: AfterSync, now: Timestamp) {
        match after {
            AfterSync::Send(envelope) => {
                // Another promise may have been given since.
                if envelope.epoch >= self.meta.current_epoch {
                    self.effects.push(Effect::Send(envelope));
                }
            }
            AfterSync::LogPersisted { epoch, through } => {
                self.on_log_persisted(epoch, through, now)
            }
            AfterSync::EpochPersisted(epoch) => self.on_epoch_persisted(epoch, now),
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: Timestamp) {
        if now.saturating_sub(self.last_tick) > MAX_TICK_GAP {
            self.leases.pause(now);
        }
        self.last_tick = now;
        match self.role {
            Role::Follower => (),
            Role::TakingOver(_) => self.tick_takeover(now),
            Role::Primary(_) => self.tick_primary(now),
        }
        if now.saturating_sub(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep(now);
        }
    }

    fn sweep(&mut self, now: Timestamp) {
        let sweep = self
            .jobs
            .sweep(self.meta.commit_index, self.settings.result_retention, now);
        if !sweep.strip.is_empty() {
            self.effects
                .push(Effect::Write(DiskWrite::Strip(sweep.strip)));
        }
        if !sweep.remove.is_empty() {
            self.effects
                .push(Effect::Write(DiskWrite::Remove(sweep.remove)));
        }
        self.leases.sweep(&self.jobs);
    }

    /// What the controllers are told of this shard; only its primary says something.
    pub fn report(&self) -> Option<ShardReport> {
        let Role::Primary(primary) = &self.role else {
            return None;
        };
        Some(ShardReport {
            shard: self.shard,
            epoch: primary.epoch,
            active: primary.is_making_progress(self.last_tick),
            caught_up: self.caught_up(primary),
        })
    }

    /// Bytes of this shard on disk.
    pub fn bytes(&self) -> u64 {
        self.jobs.bytes()
    }

    /// The highest epoch promised.
    pub fn current_epoch(&self) -> u64 {
        self.meta.current_epoch
    }

    /// Up to here the log is known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.meta.commit_index
    }

    /// The log's epochs.
    pub fn log(&self) -> &EpochHistory {
        &self.meta.log
    }

    /// The lots.
    pub fn jobs(&self) -> &JobTable {
        &self.jobs
    }

    /// How many replicas have to have an entry before it is committed.
    fn quorum(&self) -> usize {
        self.settings.tolerance + 1
    }

    fn step_down(&mut self) {
        if let Role::Primary(_) = std::mem::replace(&mut self.role, Role::Follower) {
            self.effects.push(Effect::SteppedDown);
            self.effects.push(Effect::ReportChanged);
        }
    }

    fn advance_epoch(&mut self, epoch: u64) {
        if epoch > self.meta.current_epoch {
            self.meta.current_epoch = epoch;
            self.meta_changed = true;
        }
    }

    fn envelope(&self, to: StoreId, epoch: u64, message: PeerMessage) -> Envelope {
        Envelope {
            from: self.settings.store_id,
            to,
            shard: self.shard,
            epoch,
            message,
        }
    }

    /// The part of the own log behind `after`, up to `through`, as far as it fits into `max_bytes` bytes, and the
    /// indexes of its entries.
    fn log_after(&self, after: u64, through: u64, max_bytes: u64) -> (Append, Vec<u64>) {
        let mut indexes = Vec::new();
        let (mut bytes, mut end) = (0, through.max(after));
        for (index, length) in self.jobs.entries_after(after) {
            if index > through {
                break;
            }
            if bytes + length > max_bytes && !indexes.is_empty() {
                end = index - 1;
                break;
            }
            bytes += length;
            indexes.push(index);
        }
        let previous = crate::epoch_history::LogPosition {
            epoch: self.meta.log.epoch_at(after).unwrap_or(0),
            index: after,
        };
        let runs = self.meta.log.runs(after + 1, end);
        let left_out = (indexes.len() as u64) < end - after;
        let jobs = left_out.then(|| self.jobs.job_indexes_through(end));
        let append = Append {
            previous,
            through: end,
            runs,
            jobs,
            ..Append::default()
        };
        (append, indexes)
    }
}
