//! What is asked, beside the decisions, whether work may go to a worker now: a limit of its own, or room that only the
//! front's protocol knows of.

use crate::work::Payload;
use mintlb_scheduler::{WorkUnit, Worker};

/// An answer to the question.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Permission {
    /// It may.
    Granted,
    /// It may not, until something else changes.
    Refused,
    /// It may not before this time of the clock.
    NotBefore(f64),
}

/// Who is asked. It is asked for each request that waits and each worker with room, so it has to be quick.
pub trait DispatchPolicy: Send + Sync {
    /// Whether this may go there now.
    fn permits(
        &self,
        now: f64,
        work_unit: &WorkUnit,
        payload: &Payload,
        worker: &Worker,
    ) -> Permission;

    /// The worker that would serve this best, where one is known to. Asked once, as the request arrives.
    fn preferred_worker(&self, _payload: &Payload) -> Option<u64> {
        None
    }
}
