//! The kick commands: buried and delayed jobs become ready.

use super::Hub;
use super::attempts::Attempt;
use super::reply::{NOT_FOUND, Reply, line};
use crate::job::{Job, State, TubeJobs};
use mintlb_core::work::AttemptId;

/// The most jobs that one `kick` looks at.
const MAX_KICKED: usize = 10_000;

impl Hub {
    /// `kick`: up to `bound` jobs of the tube that the session uses.
    pub(super) fn kick(&mut self, now: f64, id: u64, bound: usize) -> Reply {
        let used = self
            .sessions
            .get(&id)
            .and_then(|session| self.jobs.tube(&session.used));
        let candidates = used
            .map(|tube| kick_candidates(tube, bound))
            .unwrap_or_default();
        let mut kicked = 0;
        for job in candidates {
            if kicked < bound && self.try_kick(now, job) {
                kicked += 1;
            }
        }
        line(format!("KICKED {kicked}"))
    }

    /// `kick-job`: one job by its id.
    pub(super) fn kick_job(&mut self, now: f64, id: u64) -> &'static [u8] {
        if self.try_kick(now, id) {
            b"KICKED\r\n"
        } else {
            NOT_FOUND
        }
    }

    /// Kicks a job if it is buried or delayed and may run.
    fn try_kick(&mut self, now: f64, id: u64) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        match job.state {
            State::Buried(_) | State::Delayed { .. } if job.is_notice => self.notice_ready(now, id),
            // The core still waits for the outcome of the attempt that was released.
            State::Delayed { .. } if job.counts.releases > 0 => {
                let Some(attempt) = self.delayed_attempt(id) else {
                    return false;
                };
                self.release_delay_over(attempt);
            }
            State::Delayed { .. } => self.submit(now, id),
            State::Buried(_) if self.may_restart(job) => self.restart(now, id),
            _ => return false,
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.counts.kicks += 1;
        }
        true
    }

    /// A job's attempt that was released with a delay.
    fn delayed_attempt(&self, job: u64) -> Option<AttemptId> {
        let is_delayed = |(attempt, place): &(&AttemptId, &Attempt)| {
            attempt.0 == job && matches!(place, Attempt::ReleaseDelayed(_))
        };
        self.attempts
            .iter()
            .find(is_delayed)
            .map(|(attempt, _)| *attempt)
    }

    /// A buried job may run again if it is idempotent, since attempts may have run before, and only once the
    /// core has answered its first request.
    fn may_restart(&self, job: &Job) -> bool {
        let is_idempotent = self
            .plan
            .route(&job.tube)
            .is_some_and(|route| route.is_idempotent());
        is_idempotent && !self.stopping && job.final_status.is_some() && job.capacity.is_some()
    }

    /// Makes a new request of a buried job, under the same id.
    fn restart(&mut self, now: f64, id: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            (job.final_status, job.expires_at) = (None, None);
        }
        self.totals.taken += 1;
        self.submit(now, id);
    }
}

/// The jobs that a kick tries: buried ones, and the delayed ones only if none is buried, as the protocol has
/// it.
fn kick_candidates(tube: &TubeJobs, bound: usize) -> Vec<u64> {
    if tube.buried.is_empty() {
        tube.delayed
            .keys()
            .take(bound.min(MAX_KICKED))
            .map(|(_, id)| *id)
            .collect()
    } else {
        // Some of these may not run again, so the bound holds for those that are kicked.
        tube.buried.values().take(MAX_KICKED).copied().collect()
    }
}
