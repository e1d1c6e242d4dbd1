//! The queue of timers.

use mintlb_core::work::AttemptId;
use std::collections::BTreeMap;

/// What is due when a timer expires.
pub(super) enum Timer {
    /// A session's lease on a job expires, if this is still the lease's timer.
    LeaseExpiry { session: u64, job: u64 },
    /// A reserve times out or is told of a deadline, if it still waits under this sequence number.
    ReserveTimeout { session: u64, sequence: u64 },
    /// The delay of a job is over.
    DelayOver { job: u64 },
    /// The delay of a release is over: its attempt goes back to the core.
    ReleaseDelayOver { attempt: AttemptId },
    /// An attempt's time is over before anything of it was sent, since its session takes no output.
    DeliveryTimeout { session: u64, attempt: AttemptId },
    /// Groups of workers without a connection may be forgotten.
    ForgetGroups,
}

/// Timers in the order of their times, and of their numbers where the times are equal.
#[derive(Default)]
pub(super) struct Timers {
    /// By the bits of the time, which sort as the times do since none is negative, and by number.
    queue: BTreeMap<(u64, u64), Timer>,
}

/// The sorting key of a time in seconds of the clock.
fn key(at: f64) -> u64 {
    at.max(0.0).to_bits()
}

impl Timers {
    /// Sets a timer under a number that no other has.
    pub(super) fn set(&mut self, at: f64, number: u64, timer: Timer) {
        self.queue.insert((key(at), number), timer);
    }

    /// Removes the timer that was set for this time under this number.
    pub(super) fn cancel(&mut self, at: f64, number: u64) {
        self.queue.remove(&(key(at), number));
    }

    /// The time of the first timer.
    pub(super) fn next_due(&self) -> Option<f64> {
        self.queue
            .first_key_value()
            .map(|((at, _), _)| f64::from_bits(*at))
    }

    /// Takes the first timer if it is due, with its number.
    pub(super) fn pop_due(&mut self, now: f64) -> Option<(u64, Timer)> {
        let first = self
            .queue
            .first_entry()
            .filter(|first| f64::from_bits(first.key().0) <= now)?;
        let ((_, number), timer) = first.remove_entry();
        Some((number, timer))
    }
}
