//! The worker table: each worker with its connection pool, its reported load, and this dispatcher's requests in flight to
//! it.

use crate::connection::Pool;
use crate::load::{InstanceLoad, LoadEstimate};
use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_core::membership::{Member, worker_id};
use mintlb_core::work::Endpoint;
use mintlb_scheduler::{ListEntry, ListState, ProjectTypeSet};
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::time::Duration;
use tokio::time::Instant;

/// A worker that has been unresponsive for this long is removed; its gossip record has expired by then.
const UNRESPONSIVE_RETENTION: Duration = Duration::from_secs(60);

/// One incarnation of a worker. Its address and service never change.
pub struct WorkerEntry {
    /// The worker's id, derived from its instance id and so the same at all dispatchers.
    pub id: u64,
    /// The instance id, which requests carry so that no other worker runs them.
    pub instance_id: String,
    /// Name of the worker's service.
    pub service: String,
    /// Connections to the worker.
    pub pool: Pool,
    /// The scheduler's ids of its zone and service.
    scheduler_ids: SchedulerIds,
    in_service: AtomicBool,
    /// When its record first said that its heartbeats have stopped, if it does now.
    unresponsive_since: Mutex<Option<Instant>>,
    requests: AtomicUsize,
    tokens: AtomicU64,
    load: Mutex<LoadEstimate>,
}

impl WorkerEntry {
    fn list_entry(&self, list_state: ListState) -> ListEntry {
        ListEntry {
            id: self.id,
            zone: self.scheduler_ids.zone,
            cell: 0,
            machine_kind: self.scheduler_ids.service,
            state: list_state,
            started_at: 0.0,
            project_types: ProjectTypeSet::default(),
            pulls_work: false,
        }
    }

    /// Whether the worker accepts new requests.
    pub fn in_service(&self) -> bool {
        self.in_service.load(Relaxed)
    }

    /// Takes the worker out of service until its next record, because it responded that it is not the incarnation named in
    /// the records. Closes its idle connections.
    pub fn take_out_of_service(&self) {
        self.in_service.store(false, Relaxed);
        self.pool.sweep(true);
    }

    /// Number of this dispatcher's requests in flight to the worker.
    pub fn requests(&self) -> usize {
        self.requests.load(Relaxed)
    }

    /// KV cache demand of these requests in tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Relaxed)
    }

    /// Records a load report that was received at `now` (seconds of the clock).
    pub fn record_load(&self, load: InstanceLoad, now: f64) {
        self.load.lock().record(load, now);
    }

    /// The current estimate of the worker's load.
    pub fn load(&self) -> LoadEstimate {
        *self.load.lock()
    }

    /// Counts a request with this KV cache demand as in flight to the worker until the guard is dropped.
    pub fn track_request(self: &Arc<Self>, tokens: u64) -> InFlightGuard {
        self.requests.fetch_add(1, Relaxed);
        self.tokens.fetch_add(tokens, Relaxed);
        self.load.lock().record_sent();
        InFlightGuard {
            worker: self.clone(),
            tokens,
        }
    }
}

/// Counts a request as in flight to a worker until dropped.
pub struct InFlightGuard {
    worker: Arc<WorkerEntry>,
    tokens: u64,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.worker.requests.fetch_sub(1, Relaxed);
        self.worker.tokens.fetch_sub(self.tokens, Relaxed);
    }
}

/// All known workers by id.
#[derive(Default)]
pub struct WorkerTable {
    entries: Mutex<FxHashMap<u64, Arc<WorkerEntry>>>,
    /// See [`WorkerTable::generation`].
    generation: AtomicU64,
}

/// The scheduler's ids of a worker's zone and service.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerIds {
    /// Id of the zone.
    pub zone: u16,
    /// Id of the service.
    pub service: u16,
}

impl WorkerTable {
    /// Generation of the table, incremented with each worker record that is applied.
    pub fn generation(&self) -> u64 {
        self.generation.load(Relaxed)
    }

    /// The worker with this id.
    pub fn get(&self, id: u64) -> Option<Arc<WorkerEntry>> {
        self.entries.lock().get(&id).cloned()
    }

    /// Number of workers that accept requests.
    pub fn in_service(&self) -> usize {
        self.entries
            .lock()
            .values()
            .filter(|entry| entry.in_service())
            .count()
    }

    /// Whether a worker of this service accepts requests.
    pub fn serves(&self, service: &str) -> bool {
        self.entries
            .lock()
            .values()
            .any(|entry| entry.service == service && entry.in_service())
    }

    /// Whether another worker of its service accepts requests.
    pub fn has_alternative(&self, worker: &WorkerEntry) -> bool {
        let entries = self.entries.lock();
        entries
            .values()
            .any(|e| e.id != worker.id && e.service == worker.service && e.in_service())
    }

    /// Calls `call` with the ids of all workers of a service that accept requests, while the table is locked.
    pub fn with_service<T>(
        &self,
        service: &str,
        call: impl FnOnce(&mut dyn Iterator<Item = u64>) -> T,
    ) -> T {
        let entries = self.entries.lock();
        let ready = |entry: &&Arc<WorkerEntry>| entry.service == service && entry.in_service();
        call(&mut entries.values().filter(ready).map(|entry| entry.id))
    }

    /// Closes idle connections that can no longer be reused, and all of workers that are out of service.
    pub fn sweep(&self) {
        self.entries
            .lock()
            .values()
            .for_each(|entry| entry.pool.sweep(!entry.in_service()));
    }

    /// Applies a worker record and returns the membership change for the reducer; `None` if the worker is unknown and the
    /// record has no valid address.
    pub fn apply_record(
        &self,
        record: &WorkerRecord,
        scheduler_ids: SchedulerIds,
        make_endpoint: impl FnOnce(Arc<WorkerEntry>) -> Arc<dyn Endpoint>,
    ) -> Option<Member> {
        // A controller that did not know the worker publishes its deregistration without an address.
        let address: Option<SocketAddr> = record.address.parse().ok();
        let id = worker_id(&record.instance_id);
        let is_deregistered = record.state == WorkerState::Deregistered;
        let mut entries = self.entries.lock();
        let entry = match entries.get(&id) {
            Some(entry) => entry.clone(),
            None => {
                let entry = Arc::new(WorkerEntry {
                    id,
                    instance_id: record.instance_id.clone(),
                    service: record.service.clone(),
                    pool: Pool::new(address?),
                    scheduler_ids,
                    in_service: AtomicBool::new(false),
                    unresponsive_since: Mutex::default(),
                    requests: AtomicUsize::new(0),
                    tokens: AtomicU64::new(0),
                    load: Mutex::default(),
                });
                if !is_deregistered {
                    entries.insert(id, entry.clone());
                }
                entry
            }
        };
        entry
            .in_service
            .store(record.state == WorkerState::InService, Relaxed);
        let is_unresponsive = record.state == WorkerState::Unresponsive;
        let since =
            is_unresponsive.then(|| entry.unresponsive_since.lock().unwrap_or_else(Instant::now));
        *entry.unresponsive_since.lock() = since;
        if is_deregistered {
            entries.remove(&id);
            entry.pool.sweep(true);
        }
        self.generation.fetch_add(1, Relaxed);
        let list_state = match record.state {
            WorkerState::InService => ListState::Ready,
            WorkerState::Draining | WorkerState::Unresponsive => ListState::Draining,
            WorkerState::Deregistered => ListState::Gone,
        };
        let (name, list_entry) = (record.instance_id.clone(), entry.list_entry(list_state));
        Some(Member {
            name,
            entry: list_entry,
            host: address.map(|address| address.ip()),
            endpoint: Some(make_endpoint(entry)),
        })
    }

    /// Removes workers that have been unresponsive for `UNRESPONSIVE_RETENTION` and have no requests of this dispatcher
    /// in flight. Such a worker has to register again. Returns the membership changes for the reducer.
    pub fn remove_unresponsive(&self) -> Vec<Member> {
        let mut entries = self.entries.lock();
        let is_expired = |entry: &WorkerEntry| {
            let since = *entry.unresponsive_since.lock();
            entry.requests() == 0
                && since.is_some_and(|since| since.elapsed() >= UNRESPONSIVE_RETENTION)
        };
        let expired: Vec<_> = entries
            .values()
            .filter(|entry| is_expired(entry))
            .cloned()
            .collect();
        expired
            .iter()
            .for_each(|entry| drop(entries.remove(&entry.id)));
        let member = |entry: &Arc<WorkerEntry>| Member {
            name: entry.instance_id.clone(),
            entry: entry.list_entry(ListState::Gone),
            host: None,
            endpoint: None,
        };
        expired.iter().map(member).collect()
    }
}
