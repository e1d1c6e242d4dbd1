//! A check, in addition to the scheduling decisions, whether a work unit may be sent to a worker now: a limit of its
//! own, or capacity that only the frontend's protocol knows.

use crate::work::Payload;
use mintlb_scheduler::{WorkUnit, Worker};

/// The result of a check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Permission {
    /// The work unit may be sent.
    Granted,
    /// The work unit may not be sent until some other state changes.
    Refused,
    /// The work unit may not be sent before this Unix time, in seconds.
    NotBefore(f64),
}

/// Decides whether a work unit may be sent to a worker. Called for each pair of a queued work unit and a worker with
/// capacity, so it must be fast.
pub trait DispatchPolicy: Send + Sync {
    /// Whether the work unit may be sent to the worker now.
    fn permits(
        &self,
        now: f64,
        work_unit: &WorkUnit,
        payload: &Payload,
        worker: &Worker,
    ) -> Permission;

    /// The worker that would serve the work unit best, if one is known. Called once, when it arrives.
    fn preferred_worker(&self, _payload: &Payload) -> Option<u64> {
        None
    }
}
