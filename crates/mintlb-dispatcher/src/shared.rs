//! State shared by the dispatcher's tasks: clock, worker table, routes in force, ids in progress.

use crate::admission_statistics::AdmissionCounters;
use crate::load::Load;
use crate::occupancy::ServiceOccupancies;
use crate::routing::{RoutingTable, Target};
use crate::statistics::RequestCounters;
use crate::workers::{WorkerEntry, WorkerTable};
use arc_swap::ArcSwapOption;
use axum::http::HeaderValue;
use mintlb_core::clock::Clock;
use mintlb_core::reducer::Event;
use mintlb_core::work::WorkUnitIds;
use mintlb_scheduler::util::Rng;
use parking_lot::Mutex;
use rustc_hash::FxHashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use tokio::sync::mpsc::UnboundedSender;

/// State shared by the dispatcher's tasks.
pub struct Shared {
    /// The clock of all tasks.
    pub clock: Clock,
    /// Generator of request numbers.
    pub numbers: WorkUnitIds,
    /// Channel to the reducer.
    pub event_sender: UnboundedSender<Event>,
    /// The workers known from gossip records.
    pub workers: WorkerTable,
    routing: ArcSwapOption<RoutingTable>,
    dispatcher_count: AtomicUsize,
    ending: AtomicBool,
    rng: Mutex<Rng>,
    reserved_request_ids: Mutex<FxHashSet<HeaderValue>>,
    occupancies: Mutex<ServiceOccupancies>,
    /// Counts of the requests of all routes.
    pub counters: RequestCounters,
    /// Counts of admissions.
    pub admissions: AdmissionCounters,
}

/// Reserves the id of a non-idempotent request while its client waits for the response.
pub struct RequestIdReservation {
    shared: Arc<Shared>,
    id: HeaderValue,
}

impl Drop for RequestIdReservation {
    fn drop(&mut self) {
        self.shared.reserved_request_ids.lock().remove(&self.id);
    }
}

impl Shared {
    /// Without routes or workers.
    pub fn new(clock: Clock, event_sender: UnboundedSender<Event>, seed: u64) -> Shared {
        let (numbers, workers, routing) = Default::default();
        Shared {
            clock,
            numbers,
            event_sender,
            workers,
            routing,
            dispatcher_count: AtomicUsize::new(1),
            ending: AtomicBool::new(false),
            rng: Mutex::new(Rng::new(seed)),
            reserved_request_ids: Mutex::default(),
            occupancies: Mutex::default(),
            counters: RequestCounters::default(),
            admissions: AdmissionCounters::default(),
        }
    }

    /// Reserves the id of a non-idempotent request; `None` if one with this id is in progress here and would run twice.
    pub fn reserve_request_id(self: &Arc<Self>, id: &HeaderValue) -> Option<RequestIdReservation> {
        let is_new = self.reserved_request_ids.lock().insert(id.clone());
        is_new.then(|| RequestIdReservation {
            shared: self.clone(),
            id: id.clone(),
        })
    }

    /// The routes in force, once a configuration is known.
    pub fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.routing.load_full()
    }

    /// Puts a routing table in force.
    pub fn set_routing(&self, table: RoutingTable) {
        self.routing.store(Some(Arc::new(table)));
    }

    /// Number of known dispatchers, this one included.
    pub fn dispatcher_count(&self) -> usize {
        self.dispatcher_count.load(Relaxed)
    }

    /// See [`Shared::dispatcher_count`].
    pub fn set_dispatcher_count(&self, count: usize) {
        self.dispatcher_count.store(count.max(1), Relaxed);
    }

    /// Whether the process is about to exit: nothing is retried any more.
    pub fn is_exiting(&self) -> bool {
        self.ending.load(Relaxed)
    }

    /// See [`Shared::is_exiting`].
    pub fn end(&self) {
        self.ending.store(true, Relaxed);
    }

    /// Records a worker's load report.
    pub fn record_load(&self, worker: &WorkerEntry, load: Load) {
        let now = self.clock.now();
        worker.record_load(load, now);
        self.occupancies.lock().record(&worker.service, load, now);
    }

    /// The share of a service's slots that is in use, as far as recent responses tell.
    pub fn occupancy(&self, service: &str) -> Option<f64> {
        self.occupancies.lock().get(service, self.clock.now())
    }

    /// The target of a request by these routes; draws the service by weight. `priority` is its tenant's, if that has one.
    pub fn target(
        &self,
        table: &RoutingTable,
        host: &str,
        path: &str,
        priority: Option<u32>,
    ) -> Option<Target> {
        let draw = self.rng.lock().uniform();
        table.target(host, path, priority, draw, |service| {
            self.workers.serves(service)
        })
    }
}
