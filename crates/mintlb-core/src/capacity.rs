//! What may be held at once, by all fronts together: one grant of the machine's, whoever brings the work.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Work units that may still be taken, and kilobytes of their bodies.
#[derive(Clone)]
pub struct Capacity {
    open: Arc<Semaphore>,
    bodies: Arc<Semaphore>,
}

/// Held for a body; and for a work unit. Dropped, it is free again.
pub type CapacityPermit = OwnedSemaphorePermit;

const KILO: usize = 1024;

impl Capacity {
    /// For so many work units, and so many bytes of their bodies.
    pub fn new(open: usize, bodies: usize) -> Capacity {
        Capacity {
            open: Arc::new(Semaphore::new(open)),
            bodies: Arc::new(Semaphore::new(bodies / KILO)),
        }
    }

    /// For a body of so many bytes.
    pub fn reserve_body(&self, bytes: usize) -> Option<CapacityPermit> {
        self.bodies
            .clone()
            .try_acquire_many_owned(bytes.div_ceil(KILO) as u32)
            .ok()
    }

    pub fn reserve_work_unit(&self) -> Option<CapacityPermit> {
        self.open.clone().try_acquire_owned().ok()
    }
}
