//! Runs due timers and expires jobs.

use super::Hub;
use super::timers::Timer;
use crate::job::State;

impl Hub {
    /// When [`Hub::run_due`] must be called next, in seconds of the clock; `None` if nothing is scheduled.
    pub fn next_due(&self) -> Option<f64> {
        self.timers
            .next_due()
            .into_iter()
            .chain(self.jobs.next_expiry())
            .reduce(f64::min)
    }

    /// Runs the due timers and discards the expired jobs.
    pub fn run_due(&mut self, now: f64) {
        while let Some((number, timer)) = self.timers.pop_due(now) {
            self.run_timer(now, number, timer);
        }
        for id in self.jobs.take_expired(now) {
            self.discard(now, id);
        }
    }

    fn run_timer(&mut self, now: f64, number: u64, timer: Timer) {
        match timer {
            Timer::LeaseExpiry { session, job } => self.lease_expired(now, session, job, number),
            Timer::ReserveTimeout { session, sequence } => {
                self.reserve_timer_expired(now, session, sequence)
            }
            Timer::DelayOver { job } => self.delay_over(now, job),
            Timer::ReleaseDelayOver { attempt } => self.release_delay_over(attempt),
            Timer::DeliveryTimeout { session, attempt } => {
                self.delivery_timed_out(now, session, attempt)
            }
            Timer::RemoveIdleGroups => self.remove_idle_groups(now),
        }
    }

    /// Handles the end of the delay of a put, or of a notice's release.
    fn delay_over(&mut self, now: f64, id: u64) {
        let job = self
            .jobs
            .get(id)
            .filter(|job| matches!(job.state, State::Delayed { .. }));
        match job.map(|job| (job.is_notice, job.counts.releases)) {
            Some((true, _)) => self.notice_ready(now, id),
            Some((false, 0)) => self.submit(now, id),
            // The job was kicked before its delay ended and has since been released with a delay; the core knows
            // it and its release has a timer of its own.
            Some((false, _)) | None => {}
        }
    }
}
