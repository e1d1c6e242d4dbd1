//! The commands of a worker on a job that it holds: delete, release, bury, touch.

use super::Hub;
use super::attempts::Attempt;
use super::reply::NOT_FOUND;
use super::timers::Timer;
use crate::job::{FinalStatus, State};
use crate::session::{Lease, Leased};
use crate::table::Reading;
use mintlb_core::reducer::Event;
use mintlb_scheduler::Outcome;

const DELETED: &[u8] = b"DELETED\r\n";

impl Hub {
    /// `delete`: a worker has done its job, or a producer withdraws one that no worker holds.
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

    /// A worker has done the job that it held.
    fn complete(&mut self, now: f64, job: u64, lease: Lease) {
        if lease.leased == Leased::Notice {
            self.jobs.remove(job);
        } else {
            let state = State::Finished(FinalStatus::Completed);
            self.settle_lease(now, job, lease.leased, Outcome::Completed, Some(state));
        }
    }

    /// Deletes a job that no worker holds, and tells the core that nobody wants its answer any more.
    fn withdraw(&mut self, id: u64) -> bool {
        let Some(job) = self
            .jobs
            .get(id)
            .filter(|job| !job.is_foreign && job.holders == 0)
        else {
            return false;
        };
        match job.state {
            State::Reserved | State::Finished(_) => return false,
            // The core knows a ready job, and a delayed one if the delay is a release's.
            State::Ready | State::Delayed { .. } if !job.is_notice => {
                self.totals.withdrawn += 1;
                self.tell(Event::ClientLeft(id));
            }
            State::Ready | State::Delayed { .. } | State::Buried(_) => {}
        }
        self.jobs.remove(id);
        true
    }

    /// `release`: the worker gives the job back, to be tried again at once or after a delay.
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
            self.settle_lease(now, job, lease.leased, outcome, None);
        }
        b"RELEASED\r\n"
    }

    /// The outcome of an attempt that its worker releases. It may have begun the job, unless the operator's
    /// file promises that the workers of this tube never do.
    fn release_outcome(&self, job: u64) -> Outcome {
        let route = self
            .jobs
            .get(job)
            .and_then(|job| self.plan.route(&job.tube));
        match route.map(|route| route.release).unwrap_or_default() {
            Reading::NeverRan => Outcome::Full,
            Reading::MayHaveRun => Outcome::Error,
        }
    }

    /// Delays a job that was released until a time, but no longer than its attempt may take.
    fn release_later(&mut self, until: f64, job: u64, lease: Lease, outcome: Outcome) {
        let until = match lease.leased {
            Leased::Attempt(attempt) => {
                let until = until.min(lease.latest);
                self.attempts
                    .insert(attempt, Attempt::ReleaseDelayed(outcome));
                self.set_timer(until, Timer::ReleaseDelayOver { attempt });
                until
            }
            Leased::Notice => {
                self.set_timer(until, Timer::DelayOver { job });
                until
            }
        };
        self.drop_holder(job, Some(State::Delayed { until }));
    }

    /// `bury`: the job is not to be tried again, so its request is given up. The record stays for a while, to
    /// be peeked at, and to be kicked if the job is idempotent.
    pub(super) fn bury(&mut self, now: f64, id: u64, job: u64, priority: u32) -> &'static [u8] {
        let Some(lease) = self.end_lease(id, job) else {
            return NOT_FOUND;
        };
        if let Some(record) = self.jobs.get_mut(job) {
            record.put.priority = priority;
            record.counts.buries += 1;
        }
        if let Leased::Attempt(_) = lease.leased {
            self.tell(Event::NoMoreAttempts(job));
        }
        let sequence = self.next_number();
        self.settle_lease(
            now,
            job,
            lease.leased,
            Outcome::Error,
            Some(State::Buried(sequence)),
        );
        b"BURIED\r\n"
    }

    /// `touch`: the lease lasts for another time-to-run from now.
    pub(super) fn touch(&mut self, now: f64, id: u64, job: u64) -> &'static [u8] {
        let lease = self
            .sessions
            .get(&id)
            .and_then(|session| session.leases.get(&job));
        let Some(lease) = lease else { return NOT_FOUND };
        // Not past the hard limit, and no earlier than before: an exclusive job's lease lasts up to the hard
        // limit from the start.
        let deadline = (now + lease.ttr).min(lease.latest).max(lease.deadline);
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
