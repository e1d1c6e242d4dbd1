//! Timer queue of the hub.

use mintlb_core::work::AttemptId;
use std::collections::BTreeMap;

/// What to do when a timer expires.
pub(super) enum Timer {
    /// Expire a session's lease on a job, if this is still the lease's timer.
    LeaseExpiry { session: u64, job: u64 },
    /// Answer a reserve with a timeout or a deadline warning, if it still waits under this sequence number.
    ReserveTimeout { session: u64, sequence: u64 },
    /// End the delay of a job that the core does not know: a put with a delay, or a released notice.
    DelayOver { job: u64 },
    /// End the delay of a release: return its attempt to the core.
    ReleaseDelayOver { attempt: AttemptId },
    /// Return an attempt whose deadline passed before anything was sent, because its session accepts no output.
    DeliveryTimeout { session: u64, attempt: AttemptId },
    /// Remove worker groups that have had no connection for long enough.
    RemoveIdleGroups,
}

/// Timers ordered by time, then by id.
#[derive(Default)]
pub(super) struct Timers {
    /// By the bits of the time, which sort like the times since none is negative, and by id.
    queue: BTreeMap<(u64, u64), Timer>,
}

/// Sort key of a time in seconds of the clock.
fn key(at: f64) -> u64 {
    at.max(0.0).to_bits()
}

impl Timers {
    /// Sets a timer; the id must be unused.
    pub(super) fn set(&mut self, at: f64, id: u64, timer: Timer) {
        self.queue.insert((key(at), id), timer);
    }

    /// Removes the timer that was set for this time with this id.
    pub(super) fn cancel(&mut self, at: f64, id: u64) {
        self.queue.remove(&(key(at), id));
    }

    /// Time of the earliest timer.
    pub(super) fn next_due(&self) -> Option<f64> {
        self.queue
            .first_key_value()
            .map(|((at, _), _)| f64::from_bits(*at))
    }

    /// Takes the earliest timer, with its id, if it is due.
    pub(super) fn pop_due(&mut self, now: f64) -> Option<(u64, Timer)> {
        let first = self
            .queue
            .first_entry()
            .filter(|first| f64::from_bits(first.key().0) <= now)?;
        let ((_, id), timer) = first.remove_entry();
        Some((id, timer))
    }
}
