//! What all parts of a dispatcher share.

use crate::routing::RoutingTable;
use crate::workers::WorkerTable;
use arc_swap::ArcSwapOption;
use mintlb::tools::Chance;
use mintlb_core::clock::Clock;
use mintlb_core::reducer::Event;
use mintlb_core::work::Numbers;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use tokio::sync::mpsc::UnboundedSender;

/// What all parts of a dispatcher share.
pub struct Hub {
    /// The one clock.
    pub clock: Clock,
    /// Numbers of work units.
    pub numbers: Numbers,
    /// The way to the reducer.
    pub tell: UnboundedSender<Event>,
    /// The workers, as the overlay's records tell.
    pub workers: WorkerTable,
    routing: ArcSwapOption<RoutingTable>,
    dispatchers: AtomicUsize,
    chance: Mutex<Chance>,
}

impl Hub {
    /// With no routes and no workers yet.
    pub fn new(clock: Clock, tell: UnboundedSender<Event>, seed: u64) -> Hub {
        let (numbers, workers, routing) = Default::default();
        Hub {
            clock,
            numbers,
            tell,
            workers,
            routing,
            dispatchers: AtomicUsize::new(1),
            chance: Mutex::new(Chance::new(seed)),
        }
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

    /// See [`Hub::dispatchers`].
    pub fn take_dispatchers(&self, count: usize) {
        self.dispatchers.store(count.max(1), Relaxed);
    }

    /// A number from 0 up to 1.
    pub fn draw(&self) -> f64 {
        self.chance.lock().draw()
    }
}
