//! Worker commands on a leased job: delete, release, bury, touch.

use super::Hub;
use super::attempts::AttemptState;
use super::reply::NOT_FOUND;
use super::timers::Timer;
use crate::job::{FinalStatus, State};
use crate::session::{Lease, LeaseKind};
use crate::table::ReleaseMeaning;
use mintlb_core::reducer::Event;
use mintlb_scheduler::Outcome;

const DELETED: &[u8] = b"DELETED\r\n";

impl Hub {
    /// `delete`: completes a job leased by the session, or withdraws a job that no worker holds.
    pub(super) fn delete(&mut self, now: f64, id: u64, job: u64) -> &'static [u8] {
        let tube = self.jobs.get(job).map(|job| job.tube.clone());
        let is_deleted = match self.end_lease(id, job) {
            Some(lease) => {
                self.complete(now, job, lease);
                true
            }
            None => self.withdraw(job),
        };
        if !is_deleted {
            return NOT_FOUND;
        }
        if let Some(tube) = tube {
            self.jobs.update_tube(&tube, |tube| tube.deleted += 1);
        }
        DELETED
    }

    /// Completes a job whose worker deleted it.
    fn complete(&mut self, now: f64, job: u64, lease: Lease) {
        if lease.kind == LeaseKind::Notice {
            self.jobs.remove(job);
        } else {
            let state = State::Finished(FinalStatus::Completed);
            self.settle_lease(now, job, lease.kind, Outcome::Completed, Some(state));
        }
    }

    /// Deletes a job that no worker holds, and tells the core that its client has left. Returns whether it was deleted.
    fn withdraw(&mut self, id: u64) -> bool {
        let Some(job) = self
            .jobs
            .get(id)
            .filter(|job| !job.is_from_other_protocol && job.lease_count == 0)
        else {
            return false;
        };
        match job.state {
            State::Reserved | State::Finished(_) => return false,
            // The core knows a ready job, and a delayed one if it was released with a delay.
            State::Ready | State::Delayed { .. } if !job.is_notice => {
                self.totals.withdrawn += 1;
                self.emit(Event::ClientLeft(id));
            }
            State::Ready | State::Delayed { .. } | State::Buried(_) => {}
        }
        self.jobs.remove(id);
        true
    }

    /// `release`: returns the job to be tried again, at once or after a delay.
    pub(super) fn release(
        &mut self,
        now: f64,
        id: u64,
        job: u64,
        priority: u32,
        delay: u32,
    ) -> &'static [u8] {
        let Some(lease) = self.end_lease(id, job) else {
            return NOT_FOUND;
        };
        let outcome = self.release_outcome(job);
        if let Some(record) = self.jobs.get_mut(job) {
            record.put.priority = priority;
            record.counts.releases += 1;
        }
        let delay = f64::from(delay).min(self.plan.table.longest_delay);
        if delay > 0.0 {
            self.release_later(now + delay, job, lease, outcome);
        } else {
            self.settle_lease(now, job, lease.kind, outcome, None);
        }
        b"RELEASED\r\n"
    }

    /// Outcome of a released attempt. The worker may have begun the job, unless the operator's settings for the tube
    /// state that its workers release only jobs they have not begun.
    fn release_outcome(&self, job: u64) -> Outcome {
        let route = self
            .jobs
            .get(job)
            .and_then(|job| self.plan.route(&job.tube));
        match route.map(|route| route.release).unwrap_or_default() {
            ReleaseMeaning::NeverRan => Outcome::Full,
            ReleaseMeaning::MayHaveRun => Outcome::Error,
        }
    }

    /// Delays a released job until `until`, but not past its attempt's deadline.
    fn release_later(&mut self, until: f64, job: u64, lease: Lease, outcome: Outcome) {
        let until = match lease.kind {
            LeaseKind::Attempt(attempt) => {
                let until = until.min(lease.max_deadline);
                self.attempts
                    .insert(attempt, AttemptState::ReleaseDelayed(outcome));
                self.set_timer(until, Timer::ReleaseDelayOver { attempt });
                until
            }
            LeaseKind::Notice => {
                self.set_timer(until, Timer::DelayOver { job });
                until
            }
        };
        self.drop_lease(job, Some(State::Delayed { until }));
    }

    /// `bury`: the job is not tried again, so the core makes no more attempts at its request. The record is kept
    /// for the retention period; it can be peeked at, and kicked if the job is idempotent.
    pub(super) fn bury(&mut self, now: f64, id: u64, job: u64, priority: u32) -> &'static [u8] {
        let Some(lease) = self.end_lease(id, job) else {
            return NOT_FOUND;
        };
        if let Some(record) = self.jobs.get_mut(job) {
            record.put.priority = priority;
            record.counts.buries += 1;
        }
        if let LeaseKind::Attempt(_) = lease.kind {
            self.emit(Event::NoMoreAttempts(job));
        }
        let sequence = self.next_number();
        self.settle_lease(
            now,
            job,
            lease.kind,
            Outcome::Error,
            Some(State::Buried(sequence)),
        );
        b"BURIED\r\n"
    }

    /// `touch`: extends the lease to a full time-to-run from now.
    pub(super) fn touch(&mut self, now: f64, id: u64, job: u64) -> &'static [u8] {
        let lease = self
            .sessions
            .get(&id)
            .and_then(|session| session.leases.get(&job));
        let Some(lease) = lease else { return NOT_FOUND };
        // Not past the hard limit, and not earlier than before: an exclusive job's lease lasts until the hard
        // limit from the start.
        let deadline = (now + lease.ttr)
            .min(lease.max_deadline)
            .max(lease.deadline);
        self.timers.cancel(lease.deadline, lease.timer);
        let timer = self.set_timer(deadline, Timer::LeaseExpiry { session: id, job });
        let lease = self
            .sessions
            .get_mut(&id)
            .and_then(|session| session.leases.get_mut(&job));
        if let Some(lease) = lease {
            (lease.deadline, lease.timer) = (deadline, timer);
        }
        b"TOUCHED\r\n"
    }
}
