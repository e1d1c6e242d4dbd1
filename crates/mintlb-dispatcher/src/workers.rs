//! The worker table: each worker with its connection pool, reported load, and this dispatcher's requests there.

use crate::connection::Pool;
use crate::load::{KnownLoad, Load};
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

/// A worker that is unresponsive for so long is removed; its record has expired by then.
const UNRESPONSIVE_RETENTION: Duration = Duration::from_secs(60);

/// One worker: an incarnation, which never changes its address or service.
pub struct WorkerEntry {
    /// Its number, the same at all dispatchers.
    pub id: u64,
    /// Its instance id.
    pub instance_id: String,
    /// The service that it serves.
    pub service: String,
    /// Its connections.
    pub pool: Pool,
    /// Its zone and service at the scheduler.
    numbers: EndpointNumbers,
    in_service: AtomicBool,
    /// When its heartbeats stopped, if they have.
    unresponsive_since: Mutex<Option<Instant>>,
    requests: AtomicUsize,
    tokens: AtomicU64,
    load: Mutex<KnownLoad>,
}

impl WorkerEntry {
    fn endpoint(&self, listed: ListState) -> ListEntry {
        ListEntry {
            id: self.id,
            zone: self.numbers.zone,
            cell: 0,
            machine_kind: self.numbers.kind,
            state: listed,
            started_at: 0.0,
            project_types: ProjectTypeSet::default(),
            pulls_work: false,
        }
    }

    /// Whether it accepts new requests.
    pub fn in_service(&self) -> bool {
        self.in_service.load(Relaxed)
    }

    /// Takes it out of service: it is not the incarnation that the records name.
    pub fn take_out_of_service(&self) {
        self.in_service.store(false, Relaxed);
        self.pool.sweep(true);
    }

    /// This dispatcher's requests there.
    pub fn requests(&self) -> usize {
        self.requests.load(Relaxed)
    }

    /// The KV cache demand of these, in tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Relaxed)
    }

    /// Records a load report of the worker.
    pub fn record_load(&self, load: Load, now: f64) {
        self.load.lock().record(load, now);
    }

    /// The estimate of its load.
    pub fn load(&self) -> KnownLoad {
        *self.load.lock()
    }

    /// Counts a request there until it is dropped.
    pub fn occupy(self: &Arc<Self>, tokens: u64) -> Occupied {
        self.requests.fetch_add(1, Relaxed);
        self.tokens.fetch_add(tokens, Relaxed);
        self.load.lock().sent();
        Occupied {
            worker: self.clone(),
            tokens,
        }
    }
}

/// A request that is at a worker.
pub struct Occupied {
    worker: Arc<WorkerEntry>,
    tokens: u64,
}

impl Drop for Occupied {
    fn drop(&mut self) {
        self.worker.requests.fetch_sub(1, Relaxed);
        self.worker.tokens.fetch_sub(self.tokens, Relaxed);
    }
}

/// The workers by number.
#[derive(Default)]
pub struct WorkerTable {
    entries: Mutex<FxHashMap<u64, Arc<WorkerEntry>>>,
    /// Incremented whenever a worker is added, removed, or changes whether it accepts requests.
    age: AtomicU64,
}

/// The scheduler's numbers of a worker's zone and service.
#[derive(Clone, Copy, Debug)]
pub struct EndpointNumbers {
    /// Of the zone.
    pub zone: u16,
    /// Of the service.
    pub kind: u16,
}

impl WorkerTable {
    /// Incremented whenever a worker is added, removed, or changes whether it accepts requests.
    pub fn age(&self) -> u64 {
        self.age.load(Relaxed)
    }

    /// The worker with this number.
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

    /// Calls `call` with the numbers of all workers of a service that accept requests.
    pub fn with_service<T>(
        &self,
        service: &str,
        call: impl FnOnce(&mut dyn Iterator<Item = u64>) -> T,
    ) -> T {
        let entries = self.entries.lock();
        let ready = |entry: &&Arc<WorkerEntry>| entry.service == service && entry.in_service();
        call(&mut entries.values().filter(ready).map(|entry| entry.id))
    }

    /// Closes idle connections that can't be reused.
    pub fn sweep(&self) {
        self.entries
            .lock()
            .values()
            .for_each(|entry| entry.pool.sweep(!entry.in_service()));
    }

    /// Applies a record and returns the change for the reducer; `None` for a record without a usable address.
    pub fn apply_record(
        &self,
        record: &WorkerRecord,
        numbers: EndpointNumbers,
        reach: impl FnOnce(Arc<WorkerEntry>) -> Arc<dyn Endpoint>,
    ) -> Option<Member> {
        // A controller that did not know the worker publishes its end without an address.
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
                    numbers,
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
        self.age.fetch_add(1, Relaxed);
        let listed = match record.state {
            WorkerState::InService => ListState::Ready,
            WorkerState::Draining | WorkerState::Unresponsive => ListState::Draining,
            WorkerState::Deregistered => ListState::Gone,
        };
        let (name, endpoint) = (record.instance_id.clone(), entry.endpoint(listed));
        Some(Member {
            name,
            entry: endpoint,
            host: address.map(|address| address.ip()),
            endpoint: Some(reach(entry)),
        })
    }

    /// Removes workers that were unresponsive for long and have none of our requests; one that returns has to register
    /// again. Returns the changes for the reducer.
    pub fn remove_unresponsive(&self) -> Vec<Member> {
        let mut entries = self.entries.lock();
        let is_over = |entry: &WorkerEntry| {
            let since = *entry.unresponsive_since.lock();
            entry.requests() == 0
                && since.is_some_and(|since| since.elapsed() >= UNRESPONSIVE_RETENTION)
        };
        let over: Vec<_> = entries
            .values()
            .filter(|entry| is_over(entry))
            .cloned()
            .collect();
        over.iter()
            .for_each(|entry| drop(entries.remove(&entry.id)));
        let member = |entry: &Arc<WorkerEntry>| Member {
            name: entry.instance_id.clone(),
            entry: entry.endpoint(ListState::Gone),
            host: None,
            endpoint: None,
        };
        over.iter().map(member).collect()
    }
}
