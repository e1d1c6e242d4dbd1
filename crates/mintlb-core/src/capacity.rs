//! Limits on the work units and request bodies held at once, shared by all frontends of the process.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Capacity left for work units, and for their bodies in units of 1024 bytes.
#[derive(Clone)]
pub struct Capacity {
    work_units: Arc<Semaphore>,
    body_kilobytes: Arc<Semaphore>,
}

/// Reserved capacity for a body or a work unit, released on drop.
pub type CapacityPermit = OwnedSemaphorePermit;

/// Bytes of a body per semaphore permit.
const BYTES_PER_PERMIT: usize = 1024;

impl Capacity {
    /// Limits the work units held at once, and the bytes of their bodies.
    pub fn new(work_units: usize, body_bytes: usize) -> Capacity {
        Capacity {
            work_units: Arc::new(Semaphore::new(work_units)),
            body_kilobytes: Arc::new(Semaphore::new(body_bytes / BYTES_PER_PERMIT)),
        }
    }

    /// Reserves capacity for a body of this many bytes; `None` if too little is left.
    pub fn reserve_body(&self, bytes: usize) -> Option<CapacityPermit> {
        self.body_kilobytes
            .clone()
            .try_acquire_many_owned(bytes.div_ceil(BYTES_PER_PERMIT) as u32)
            .ok()
    }

    /// Reserves capacity for one work unit; `None` if none is left.
    pub fn reserve_work_unit(&self) -> Option<CapacityPermit> {
        self.work_units.clone().try_acquire_owned().ok()
    }
}
