//! The replica of one shard at one store: primary-backup replication with epochs.
//!
//! Pure: messages and the time go in, [`Effect`]s come out; the driver owns disk, network and
//! clock.
//!
//! - An entry is committed once it is on the disks of a write quorum of the replicas, so that it
//!   outlasts any tolerated loss of them ([`mintlb_common::quorum`]).
//! - Each assignment of the shard starts a new epoch with one primary. A replica that has entered
//!   an epoch rejects messages of earlier ones, so that a deposed primary can't commit anything
//!   more.
//! - A replica says nothing about its log or epoch that is not durable: [`Effect::AfterSync`] comes
//!   back through [`Replica::on_synced`]. In particular a primary syncs an entry before it sends
//!   it, so that after a restart within its epoch it never assigns an index again that was seen
//!   elsewhere.
//! - Positions of results never change, as results are appended in the order of the log and
//!   committed entries are never undone.

mod effect;
mod follower;
mod log_transfer;
mod primary;
mod replication;
mod role;
mod serving;
mod state;
mod takeover;

pub use effect::{AfterSync, DiskWrite, Effect};
pub use serving::{LeasePlan, PagePlan, PayloadLocation, Proposal};
pub use state::{LoadedEntry, ReplicaSettings, ShardMeta};

use crate::backlog::Backlog;
use crate::entry::Entry;
use crate::epoch_history::{Epoch, EpochHistory, LogIndex};
use crate::framing;
use crate::heartbeat::ShardReport;
use crate::job_table::JobTable;
use crate::leases::Leases;
use crate::peer::{Envelope, PeerMessage};
use crate::quota::Allowances;
use crate::timestamp::Timestamp;
use bytes::Bytes;
use mintlb_common::placement::{ReplicaQuorums, ShardAssignment, StoreId};
use role::Role;
use std::time::Duration;

/// Interval of calls of [`Replica::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// After a longer gap between ticks the process must have been suspended, and renewals of leases
/// may have been missed.
const MAX_TICK_GAP: Duration = Duration::from_millis(1000);
/// Interval of sweeps of a shard.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1000);

/// The replica of one shard at one store.
#[derive(Debug)]
pub struct Replica {
    shard: u32,
    settings: ReplicaSettings,
    meta: ShardMeta,
    /// `meta` differs from what was last written.
    meta_changed: bool,
    jobs: JobTable,
    leases: Leases,
    allowances: Allowances,
    assignment: ShardAssignment,
    /// The quorums of the assignment's replicas.
    quorums: ReplicaQuorums,
    role: Role,
    effects: Vec<Effect>,
    last_tick: Timestamp,
    last_sweep: Timestamp,
}

impl Replica {
    /// A replica with the state on its disk: the metadata, and the entries in ascending order.
    pub fn load(
        shard: u32,
        settings: ReplicaSettings,
        meta: ShardMeta,
        entries: impl Iterator<Item = LoadedEntry>,
        now: Timestamp,
    ) -> Replica {
        let mut jobs = JobTable::default();
        for loaded in entries {
            jobs.apply(
                loaded.index,
                &loaded.entry,
                loaded.length,
                loaded.raw_length,
                now,
            );
        }
        Replica {
            shard,
            settings,
            meta,
            meta_changed: false,
            jobs,
            leases: Leases::default(),
            allowances: Allowances::default(),
            assignment: ShardAssignment::default(),
            quorums: ReplicaQuorums::default(),
            role: Role::Follower,
            effects: Vec::new(),
            last_tick: now,
            last_sweep: now,
        }
    }

    /// Takes the effects that are to be carried out now.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        if self.meta_changed {
            self.meta_changed = false;
            // Ahead of the first effect that waits for the disk, so that the wait covers it.
            self.effects
                .insert(0, Effect::Write(DiskWrite::Meta(self.meta.clone())));
        }
        std::mem::take(&mut self.effects)
    }

    /// Applies the shard's assignment in force; older ones are ignored.
    pub fn set_assignment(&mut self, assignment: &ShardAssignment, now: Timestamp) {
        if assignment.epoch < self.assignment.epoch || *assignment == self.assignment {
            return;
        }
        let is_new_epoch = assignment.epoch > self.assignment.epoch;
        self.assignment = assignment.clone();
        self.quorums = assignment.quorums(self.settings.tolerance);
        if assignment.epoch < self.meta.current_epoch {
            return;
        }
        if is_new_epoch {
            self.allowances = Allowances::default();
            self.step_down();
            if assignment.replicas.first() == Some(&self.settings.store_id) {
                self.begin_epoch(now);
            }
        } else if assignment.previous.is_empty() {
            self.on_epoch_confirmed(now);
        }
        self.clear_if_unassigned();
    }

    /// Drops all data if the assignment doesn't name this store any more. A replica that counts
    /// towards a quorum has entered that epoch durably, so that an outdated assignment after a
    /// restart does no harm.
    fn clear_if_unassigned(&mut self) {
        let assignment = &self.assignment;
        let is_named = assignment.replicas.contains(&self.settings.store_id)
            || assignment.previous.contains(&self.settings.store_id);
        if is_named
            || !assignment.previous.is_empty()
            || assignment.epoch < self.meta.current_epoch
            || self.meta.log.last() == 0
        {
            return;
        }
        log::info!(
            "batch: shard {}: dropped this replica, it is not assigned in epoch {}",
            self.shard,
            assignment.epoch
        );
        self.meta = ShardMeta {
            current_epoch: assignment.epoch,
            ..ShardMeta::default()
        };
        self.meta_changed = true;
        self.jobs.clear();
        self.write(DiskWrite::Clear);
    }

    /// Handles a message of another replica with the raw bytes behind it.
    pub fn on_message(&mut self, envelope: Envelope, raw: Bytes, now: Timestamp) {
        if envelope.to != self.settings.store_id {
            return;
        }
        let (from, epoch) = (envelope.from, envelope.epoch);
        match envelope.message {
            PeerMessage::Append(append) => self.on_append(from, epoch, append, raw, now),
            PeerMessage::Appended { matched, echo } => {
                self.on_appended(from, epoch, matched, echo, now)
            }
            PeerMessage::Diverged { log, echo } => self.on_diverged(from, epoch, log, echo, now),
            PeerMessage::Fenced => self.on_fenced(epoch),
            PeerMessage::NewEpoch => self.on_new_epoch(from, epoch),
            PeerMessage::EpochAck { log } => self.on_epoch_ack(from, epoch, log, now),
            PeerMessage::Fetch { after } => self.on_fetch(from, epoch, after),
            PeerMessage::Fetched(append) => self.on_fetched(from, epoch, append, raw, now),
        }
    }

    /// Handles an [`Effect::AfterSync`] whose preceding writes are durable.
    pub fn on_synced(&mut self, after: AfterSync, now: Timestamp) {
        match after {
            AfterSync::Send(envelope) => {
                // A later epoch may have been entered since.
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

    /// Handles time-outs and sweeps; call it every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Timestamp) {
        if now.saturating_since(self.last_tick) > MAX_TICK_GAP {
            self.leases.pause(now);
        }
        self.last_tick = now;
        match self.role {
            Role::Follower => (),
            Role::TakingOver(_) => self.tick_takeover(now),
            Role::Primary(_) => self.tick_primary(now),
        }
        if now.saturating_since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep(now);
        }
    }

    fn sweep(&mut self, now: Timestamp) {
        let reclaimable =
            self.jobs
                .sweep(self.meta.commit_index, self.settings.result_retention, now);
        if !reclaimable.strip.is_empty() {
            self.write(DiskWrite::Strip(reclaimable.strip));
        }
        if !reclaimable.remove.is_empty() {
            self.write(DiskWrite::Remove(reclaimable.remove));
        }
        self.leases.sweep(&self.jobs);
    }

    /// What the store reports of this shard to the controllers; `None` unless it is the primary.
    pub fn report(&self) -> Option<ShardReport> {
        let primary = self.role.primary()?;
        Some(ShardReport {
            shard: self.shard,
            epoch: primary.epoch,
            active: primary.is_making_progress(self.last_tick),
            caught_up: self.caught_up(primary),
        })
    }

    /// The work that waits in this shard; none unless this is the active primary.
    pub fn backlog(&self, now: Timestamp) -> Backlog {
        let mut backlog = Backlog::default();
        if !self.is_serving() {
            return backlog;
        }
        for job in self.jobs.open() {
            backlog.open_jobs += 1;
            backlog.pending_items += job.pending_items().count();
            backlog.oldest_job = backlog.oldest_job.max(job.age(now));
        }
        backlog.unleased_items = self.unleased_items(now).count();
        backlog
    }

    /// Bytes of this shard on disk.
    pub fn bytes(&self) -> u64 {
        self.jobs.bytes()
    }

    /// The highest epoch that the replica has entered.
    pub fn current_epoch(&self) -> Epoch {
        self.meta.current_epoch
    }

    /// The log is known to be committed up to this index.
    pub fn commit_index(&self) -> LogIndex {
        self.meta.commit_index
    }

    /// The epochs of the log.
    pub fn log(&self) -> &EpochHistory {
        &self.meta.log
    }

    /// The jobs, including uncommitted ones.
    pub fn jobs(&self) -> &JobTable {
        &self.jobs
    }

    /// Gives up the role of primary, or the takeover.
    fn step_down(&mut self) {
        if let Role::Primary(_) = std::mem::replace(&mut self.role, Role::Follower) {
            self.effects.push(Effect::SteppedDown);
            self.effects.push(Effect::ReportChanged);
        }
    }

    /// Enters an epoch, so that earlier ones are fenced from here on.
    fn enter_epoch(&mut self, epoch: Epoch) {
        if epoch > self.meta.current_epoch {
            self.meta.current_epoch = epoch;
            self.meta_changed = true;
        }
    }

    /// Appends an entry of this epoch to the own log, on disk as well; returns its index.
    fn append_entry(
        &mut self,
        epoch: Epoch,
        entry: &Entry,
        raw: &[&[u8]],
        now: Timestamp,
    ) -> LogIndex {
        let index = self.meta.log.last() + 1;
        let raw_length: usize = raw.iter().map(|chunk| chunk.len()).sum();
        let bytes = framing::encode(entry, raw);
        self.meta.log.extend(index, epoch);
        self.meta_changed = true;
        self.jobs
            .apply(index, entry, bytes.len() as u64, raw_length as u64, now);
        self.write(DiskWrite::Put(index, bytes));
        index
    }

    /// Advances the commit index; false if it is not above the present one.
    fn advance_commit_index(&mut self, commit_index: LogIndex) -> bool {
        let has_advanced = commit_index > self.meta.commit_index;
        if has_advanced {
            // Written with the next change only: a replica that restarts gets it again.
            self.meta.commit_index = commit_index;
        }
        has_advanced
    }

    fn write(&mut self, write: DiskWrite) {
        self.effects.push(Effect::Write(write));
    }

    fn after_sync(&mut self, after: AfterSync) {
        self.effects.push(Effect::AfterSync(after));
    }

    fn envelope(&self, to: StoreId, epoch: Epoch, message: PeerMessage) -> Envelope {
        Envelope {
            from: self.settings.store_id,
            to,
            shard: self.shard,
            epoch,
            message,
        }
    }
}
