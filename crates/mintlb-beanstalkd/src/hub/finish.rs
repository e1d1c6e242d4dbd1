//! Final answers to jobs, retention of finished jobs, and shutdown.

use super::Hub;
use crate::codec::Tube;
use crate::job::{FinalStatus, Job, State};
use bytes::Bytes;
use mintlb_core::work::Answer;

impl Hub {
    /// Handles the core's final answer to a job's request.
    pub fn request_answered(&mut self, now: f64, id: u64, answer: Answer) {
        if answer == Answer::Duplicate {
            return self.restart_refused(now, id);
        }
        let status = FinalStatus::from_answer(&answer);
        let Some(tube) = self.record_final_status(now, id, status) else {
            return;
        };
        self.retain(id, now + self.plan.table.keep_ends);
        if let Some(notice_tube) = self.plan.route(&tube).and_then(|route| route.ends.clone()) {
            self.add_notice(now, notice_tube, id, status, &answer);
        }
    }

    /// Handles the core's refusal of a kicked job's new request, because its first request has not completely
    /// ended. The job is buried again.
    fn restart_refused(&mut self, now: f64, id: u64) {
        self.totals.accepted -= 1;
        let expires_at = now + self.plan.table.keep_ends;
        let sequence = self.next_number();
        if let Some(job) = self.jobs.get_mut(id) {
            (job.final_status, job.expires_at) =
                (Some(FinalStatus::Deferred(0.0)), Some(expires_at));
            self.jobs.set_state(id, State::Buried(sequence));
            self.retain(id, expires_at);
        }
    }

    /// Records a job's final status; returns its tube. `None` if the job already has a final status or its request came
    /// through another protocol.
    fn record_final_status(&mut self, now: f64, id: u64, status: FinalStatus) -> Option<Tube> {
        let expires_at = now + self.plan.table.keep_ends;
        let job = self
            .jobs
            .get_mut(id)
            .filter(|job| !job.is_from_other_protocol && job.final_status.is_none())?;
        (job.final_status, job.expires_at) = (Some(status), Some(expires_at));
        let tube = job.tube.clone();
        let is_idempotent = self
            .plan
            .route(&tube)
            .is_some_and(|route| route.is_idempotent());
        if matches!(job.state, State::Buried(_)) {
            // Only an idempotent job can be kicked later, so only that one keeps its capacity.
            if !is_idempotent {
                job.capacity = None;
            }
        } else {
            (job.capacity, job.body) = (None, Bytes::new());
            self.jobs.set_state(id, State::Finished(status));
        }
        self.totals.count_finished(status);
        Some(tube)
    }

    /// Keeps a finished job or a notice until a time. If there are too many, the oldest are discarded at once.
    pub(super) fn retain(&mut self, id: u64, until: f64) {
        for old in self.jobs.expire_at(id, until, self.plan.table.ends) {
            self.discard(f64::MAX, old);
        }
    }

    /// Discards a job if it has expired by `now`.
    pub(super) fn discard(&mut self, now: f64, id: u64) {
        // A job kicked since has no expiry time, or a later one if it finished again.
        let is_expired = |job: &Job| job.expires_at.is_some_and(|at| at <= now);
        if self.jobs.get(id).is_some_and(is_expired) {
            self.jobs.remove(id);
        }
    }

    /// Refuses new jobs from now on. Delayed jobs that were not submitted to the core finish as deferred.
    pub fn begin_shutdown(&mut self, now: f64) {
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
                self.request_answered(now, id, Answer::Deferred(0.0));
            }
        }
    }
}
