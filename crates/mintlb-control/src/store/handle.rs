//! The store's shared state: the replicas behind one lock, their clock, and whether the store is
//! shutting down.

use super::limits::StoreLimits;
use super::load::LoadCounters;
use super::quota::Quotas;
use super::shard_host::ShardHost;
use super::storage::commit_queue::ShardContinuation;
use super::storage::{LoadedShards, OpenedStorage};
use bytes::Bytes;
use mintlb_batch::backlog::Backlog;
use mintlb_batch::heartbeat::ShardReport;
use mintlb_batch::peer::Envelope;
use mintlb_batch::replica::{Replica, ReplicaSettings};
use mintlb_batch::timestamp::Timestamp;
use mintlb_common::placement::{Placement, StoreId};
use mintlb_common::transport::Transport;
use parking_lot::{Mutex, MutexGuard};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Bits of the random seed that don't go into the clock's offset: 40 bits of milliseconds remain,
/// about 35 years.
const CLOCK_OFFSET_SHIFT: u32 = 24;

/// What a store reports to the controllers.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreReport {
    /// The shards whose primary this store is.
    pub shards: Vec<ShardReport>,
    /// Epoch of the placement that this store has applied.
    pub placement_epoch: u64,
}

/// A store. Each kind of request is answered in a module of `requests`.
pub struct Store {
    shard_host: Mutex<ShardHost>,
    transport: Arc<Transport>,
    quotas: Quotas,
    id: StoreId,
    started: Instant,
    /// Each process's monotonic clock begins at an offset of its own, so that no echo of another
    /// process's time fits.
    clock_offset: Duration,
    limits: StoreLimits,
    report_changed: Arc<Notify>,
    load: Arc<LoadCounters>,
    draining: AtomicBool,
}

impl Store {
    /// A store on an opened file.
    pub fn new(
        transport: Arc<Transport>,
        opened: OpenedStorage,
        settings: ReplicaSettings,
        limits: StoreLimits,
        random_seed: u64,
    ) -> Arc<Store> {
        let clock_offset = Duration::from_millis(random_seed >> CLOCK_OFFSET_SHIFT);
        let report_changed = Arc::new(Notify::new());
        let load = Arc::new(LoadCounters::default());
        let shard_host = ShardHost::new(
            transport.clone(),
            opened,
            settings,
            report_changed.clone(),
            load.clone(),
            clock_offset.into(),
        );
        Arc::new(Store {
            shard_host: Mutex::new(shard_host),
            transport,
            quotas: Quotas::default(),
            id: settings.store_id,
            started: Instant::now(),
            clock_offset,
            limits,
            report_changed,
            load,
            draining: AtomicBool::new(false),
        })
    }

    /// The present time on the replicas' clock.
    pub(super) fn now(&self) -> Timestamp {
        Timestamp::from(self.clock_offset + self.started.elapsed())
    }

    /// Locks the replicas.
    pub(super) fn shard_host(&self) -> MutexGuard<'_, ShardHost> {
        self.shard_host.lock()
    }

    /// The store's identity.
    pub fn id(&self) -> StoreId {
        self.id
    }

    /// What the controllers are to know at present.
    pub fn report(&self) -> StoreReport {
        let shard_host = self.shard_host();
        StoreReport {
            shards: shard_host.reports(),
            placement_epoch: shard_host.placement().epoch,
        }
    }

    /// Notified when [`Store::report`] has changed.
    pub fn report_changed(&self) -> &Notify {
        &self.report_changed
    }

    /// The messaging endpoint of this store.
    pub(super) fn transport(&self) -> &Arc<Transport> {
        &self.transport
    }

    /// The quotas that this store counts or acquires.
    pub(super) fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// The counters of what this store carries.
    pub fn load(&self) -> &LoadCounters {
        &self.load
    }

    /// The work that waits in the shards that this store leads.
    pub fn backlog(&self) -> Backlog {
        self.shard_host().backlog(self.now())
    }

    /// Applies a placement, unless it is older than the present one.
    pub fn apply_placement(&self, placement: Placement) {
        self.shard_host().apply_placement(placement, self.now());
    }

    /// Handles a message from another store's replica.
    pub(super) fn on_peer_message(&self, envelope: Envelope, raw: Bytes) {
        let now = self.now();
        self.shard_host().on_peer_message(envelope, raw, now);
    }

    /// Runs the continuations of a commit.
    pub fn on_commit(&self, continuations: Vec<ShardContinuation>) {
        self.shard_host().on_commit(continuations, self.now());
    }

    /// Advances the replicas' time.
    pub fn tick(&self) {
        self.shard_host().tick(self.now());
    }

    /// After a failed commit: closes the file, and acknowledges and promises nothing until
    /// [`Store::resume`].
    pub fn suspend(&self) {
        let storage = {
            let mut shard_host = self.shard_host();
            shard_host.suspend(self.now());
            shard_host.storage().clone()
        };
        storage.close();
        self.report_changed.notify_one();
    }

    /// Continues with the contents of the file that was opened again.
    pub fn resume(&self, shards: LoadedShards) {
        self.shard_host().resume(shards, self.now());
        self.report_changed.notify_one();
    }

    /// Whether the disk has failed or does not respond: the store then sends no heartbeats, so that
    /// it counts as down.
    pub fn is_without_disk(&self) -> bool {
        self.shard_host().is_without_disk(std::time::Instant::now())
    }

    /// Whether the disk has failed and could not be opened again yet.
    pub fn is_suspended(&self) -> bool {
        self.shard_host().is_suspended()
    }

    /// Whether the disk has no capacity for a batch job of so many bytes.
    pub(super) fn is_disk_full(&self, job_bytes: u64) -> bool {
        self.shard_host()
            .is_disk_full(job_bytes, self.limits.disk_bytes)
    }

    /// Whether too many bytes wait for the store's connections to accept a batch job.
    pub(super) fn is_overloaded(&self) -> bool {
        self.transport.queued_bytes() > self.limits.queued_bytes
    }

    /// Reports to the controllers that this store shuts down, so that its shards get other
    /// primaries.
    pub fn start_draining(&self) {
        self.draining.store(true, Relaxed);
        self.report_changed.notify_one();
    }

    /// Whether this store shuts down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Relaxed)
    }

    /// Whether other stores still need this one: it is the primary of a shard, or a shard is being
    /// moved away from it and a takeover may have to read its replica.
    pub fn has_shards_to_hand_over(&self) -> bool {
        let shard_host = self.shard_host();
        let is_takeover_source = shard_host
            .placement()
            .shards
            .iter()
            .any(|shard| shard.previous.contains(&self.id));
        is_takeover_source || shard_host.replicas().iter().any(Replica::is_primary)
    }

    /// Batch jobs that readers wait for.
    pub fn jobs_with_waiting_readers(&self) -> usize {
        self.shard_host().jobs_with_waiting_readers()
    }
}
