//! What all parts of a dispatcher share.

use crate::routing::{RoutingTable, Target};
use crate::workers::WorkerTable;
use arc_swap::ArcSwapOption;
use axum::http::HeaderValue;
use mintlb_core::clock::Clock;
use mintlb_core::reducer::Event;
use mintlb_core::work::Numbers;
use mintlb_scheduler::tools::Chance;
use parking_lot::Mutex;
use rustc_hash::FxHashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use tokio::sync::mpsc::UnboundedSender;

/// What all parts of a dispatcher share.
pub struct Shared {
    /// The one clock.
    pub clock: Clock,
    /// Numbers of requests.
    pub numbers: Numbers,
    /// The way to the reducer.
    pub event_sender: UnboundedSender<Event>,
    /// The workers, as the overlay's records tell.
    pub workers: WorkerTable,
    routing: ArcSwapOption<RoutingTable>,
    dispatchers: AtomicUsize,
    ending: AtomicBool,
    rng: Mutex<Chance>,
    once_ids: Mutex<FxHashSet<HeaderValue>>,
}

/// The id of a request that may run once only, for as long as its client waits for the answer.
pub struct OnceId {
    shared: Arc<Shared>,
    id: HeaderValue,
}

impl Drop for OnceId {
    fn drop(&mut self) {
        self.shared.once_ids.lock().remove(&self.id);
    }
}

impl Shared {
    /// With no routes and no workers yet.
    pub fn new(clock: Clock, event_sender: UnboundedSender<Event>, seed: u64) -> Shared {
        let (numbers, workers, routing) = Default::default();
        Shared {
            clock,
            numbers,
            event_sender,
            workers,
            routing,
            dispatchers: AtomicUsize::new(1),
            ending: AtomicBool::new(false),
            rng: Mutex::new(Chance::new(seed)),
            once_ids: Mutex::default(),
        }
    }

    /// Takes a request in that may run once only; none if one with its id is under way here, which would run again.
    pub fn once(self: &Arc<Self>, id: &HeaderValue) -> Option<OnceId> {
        let is_new = self.once_ids.lock().insert(id.clone());
        is_new.then(|| OnceId {
            shared: self.clone(),
            id: id.clone(),
        })
    }

    /// The routes in force, once a configuration is known.
    pub fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.routing.load_full()
    }

    /// These routes are in force from now on.
    pub fn take_routing(&self, table: RoutingTable) {
        self.routing.store(Some(Arc::new(table)));
    }

    /// How many dispatchers there are, this one included, as far as is known.
    pub fn dispatchers(&self) -> usize {
        self.dispatchers.load(Relaxed)
    }

    /// See [`Shared::dispatchers`].
    pub fn take_dispatchers(&self, count: usize) {
        self.dispatchers.store(count.max(1), Relaxed);
    }

    /// Whether the process ends now: nothing is sent again.
    pub fn is_ending(&self) -> bool {
        self.ending.load(Relaxed)
    }

    /// See [`Shared::is_ending`].
    pub fn end(&self) {
        self.ending.store(true, Relaxed);
    }

    /// Where a request goes by these routes.
    pub fn target(&self, table: &RoutingTable, host: &str, path: &str) -> Option<Target> {
        let draw = self.rng.lock().draw();
        table.target(host, path, draw, |service| self.workers.serves(service))
    }
}
