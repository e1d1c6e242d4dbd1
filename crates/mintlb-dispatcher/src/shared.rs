//! State shared by the dispatcher's tasks: clock, worker table, routing table, request ids in progress and counters.

use crate::admission_statistics::AdmissionCounters;
use crate::load::InstanceLoad;
use crate::occupancy::ServiceOccupancies;
use crate::routing::{RouteTarget, RoutingTable};
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
pub struct SharedState {
    /// The clock that all times in seconds refer to.
    pub clock: Clock,
    /// Generates the numbers under which the reducer knows requests.
    pub work_unit_ids: WorkUnitIds,
    /// Sends events to the reducer.
    pub event_sender: UnboundedSender<Event>,
    /// The workers known from gossip records.
    pub workers: WorkerTable,
    routing: ArcSwapOption<RoutingTable>,
    dispatcher_count: AtomicUsize,
    exiting: AtomicBool,
    rng: Mutex<Rng>,
    reserved_request_ids: Mutex<FxHashSet<HeaderValue>>,
    occupancies: Mutex<ServiceOccupancies>,
    /// Counts requests by route.
    pub counters: RequestCounters,
    /// Counts admissions by outcome.
    pub admissions: AdmissionCounters,
}

/// Reserves the id of a non-idempotent request while its client waits for the response.
pub struct RequestIdReservation {
    shared: Arc<SharedState>,
    id: HeaderValue,
}

impl Drop for RequestIdReservation {
    fn drop(&mut self) {
        self.shared.reserved_request_ids.lock().remove(&self.id);
    }
}

impl SharedState {
    /// Creates the state of a dispatcher that knows no routes or workers.
    pub fn new(clock: Clock, event_sender: UnboundedSender<Event>, seed: u64) -> SharedState {
        let (work_unit_ids, workers, routing) = Default::default();
        SharedState {
            clock,
            work_unit_ids,
            event_sender,
            workers,
            routing,
            dispatcher_count: AtomicUsize::new(1),
            exiting: AtomicBool::new(false),
            rng: Mutex::new(Rng::new(seed)),
            reserved_request_ids: Mutex::default(),
            occupancies: Mutex::default(),
            counters: RequestCounters::default(),
            admissions: AdmissionCounters::default(),
        }
    }

    /// Reserves the id of a non-idempotent request; `None` if a request with this id is in progress here, as it would run
    /// twice.
    pub fn reserve_request_id(self: &Arc<Self>, id: &HeaderValue) -> Option<RequestIdReservation> {
        let is_new = self.reserved_request_ids.lock().insert(id.clone());
        is_new.then(|| RequestIdReservation {
            shared: self.clone(),
            id: id.clone(),
        })
    }

    /// The routing table in force; `None` before the first configuration.
    pub fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.routing.load_full()
    }

    /// Replaces the routing table.
    pub fn set_routing(&self, table: RoutingTable) {
        self.routing.store(Some(Arc::new(table)));
    }

    /// Number of known dispatchers, including this one. Initially 1.
    pub fn dispatcher_count(&self) -> usize {
        self.dispatcher_count.load(Relaxed)
    }

    /// Sets the number of known dispatchers, including this one.
    pub fn set_dispatcher_count(&self, count: usize) {
        self.dispatcher_count.store(count.max(1), Relaxed);
    }

    /// Whether the process is about to exit, so that no request is retried any more.
    pub fn is_exiting(&self) -> bool {
        self.exiting.load(Relaxed)
    }

    /// Stops all retries, because the process is about to exit.
    pub fn set_exiting(&self) {
        self.exiting.store(true, Relaxed);
    }

    /// Records a worker's load report in the estimates of its own load and of its service's occupancy.
    pub fn record_load(&self, worker: &WorkerEntry, load: InstanceLoad) {
        let now = self.clock.now();
        worker.record_load(load, now);
        self.occupancies.lock().record(&worker.service, load, now);
    }

    /// The share of a service's slots that is in use; `None` without recent load reports.
    pub fn occupancy(&self, service: &str) -> Option<f64> {
        self.occupancies.lock().get(service, self.clock.now())
    }

    /// The routing decision for a request by this table. Chooses the service at random by weight. `priority` is the tenant's,
    /// if it has one.
    pub fn target(
        &self,
        table: &RoutingTable,
        host: &str,
        path: &str,
        priority: Option<u32>,
    ) -> Option<RouteTarget> {
        let draw = self.rng.lock().uniform();
        table.target(host, path, priority, draw, |service| {
            self.workers.serves(service)
        })
    }
}
