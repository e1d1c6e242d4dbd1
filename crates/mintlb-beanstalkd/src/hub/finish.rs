//! Final answers: how a job has finished, and how long its record is kept.

use super::Hub;
use crate::codec::Tube;
use crate::job::{FinalStatus, Job, State};
use bytes::Bytes;
use mintlb_core::work::Answer;

impl Hub {
    /// Takes the core's final answer to a job's request.
    pub fn ended(&mut self, now: f64, id: u64, answer: Answer) {
        if answer == Answer::Duplicate {
            return self.restart_refused(now, id);
        }
        let status = FinalStatus::of(&answer);
        let Some(tube) = self.record_final_status(now, id, status) else {
            return;
        };
        self.retain(id, now + self.plan.table.keep_ends);
        if let Some(notice_tube) = self.plan.route(&tube).and_then(|route| route.ends.clone()) {
            self.add_notice(now, notice_tube, id, status, &answer);
        }
    }

    /// The core refuses the new request of a job that was kicked before the first one was done with: the job
    /// stays buried, as it was.
    fn restart_refused(&mut self, now: f64, id: u64) {
        self.totals.taken -= 1;
        let expires_at = now + self.plan.table.keep_ends;
        let sequence = self.next_number();
        if let Some(job) = self.jobs.get_mut(id) {
            (job.final_status, job.expires_at) =
                (Some(FinalStatus::Deferred(0.0)), Some(expires_at));
            self.jobs.set(id, State::Buried(sequence));
            self.retain(id, expires_at);
        }
    }

    /// Records a job's final status; returns its tube. None if the job has a final status already, or if its
    /// request is another protocol's.
    fn record_final_status(&mut self, now: f64, id: u64, status: FinalStatus) -> Option<Tube> {
        let expires_at = now + self.plan.table.keep_ends;
        let job = self
            .jobs
            .get_mut(id)
            .filter(|job| !job.is_foreign && job.final_status.is_none())?;
        (job.final_status, job.expires_at) = (Some(status), Some(expires_at));
        let tube = job.tube.clone();
        let is_idempotent = self
            .plan
            .route(&tube)
            .is_some_and(|route| route.is_idempotent());
        if matches!(job.state, State::Buried(_)) {
            // Only an idempotent job can be kicked later and needs its capacity then.
            if !is_idempotent {
                job.capacity = None;
            }
        } else {
            (job.capacity, job.body) = (None, Bytes::new());
            self.jobs.set(id, State::Finished(status));
        }
        self.totals.count_finished(status);
        Some(tube)
    }

    /// Keeps a finished job or a notice until a time. The oldest of such go at once where there are too many.
    pub(super) fn retain(&mut self, id: u64, until: f64) {
        for old in self.jobs.expire_at(id, until, self.plan.table.ends) {
            self.discard(f64::MAX, old);
        }
    }

    /// Discards a job that has expired by a time.
    pub(super) fn discard(&mut self, now: f64, id: u64) {
        // One that was kicked has no expiry time any more, or a new one if it has finished again.
        let is_expired = |job: &Job| job.expires_at.is_some_and(|at| at <= now);
        if self.jobs.get(id).is_some_and(is_expired) {
            self.jobs.remove(id);
        }
    }

    /// Stops taking jobs as the program ends. Jobs that are delayed and that the core does not know finish as
    /// deferred.
    pub fn stop(&mut self, now: f64) {
        self.stopping = true;
        let delayed = self.jobs.tubes().filter_map(|tube| self.jobs.tube(tube));
        let delayed: Vec<u64> = delayed
            .flat_map(|tube| tube.delayed.keys().map(|(_, id)| *id))
            .collect();
        for id in delayed {
            if self
                .jobs
                .get(id)
                .is_some_and(|job| !job.is_notice && job.counts.releases == 0)
            {
                self.ended(now, id, Answer::Deferred(0.0));
            }
        }
    }
}
