//! The kick commands, which make buried and delayed jobs ready.

use super::Hub;
use super::attempts::AttemptState;
use super::reply::{NOT_FOUND, Reply, line};
use crate::job::{Job, State, TubeJobs};
use mintlb_core::work::AttemptId;

/// Maximum number of jobs that one `kick` considers, which bounds the time it takes.
const MAX_KICK_CANDIDATES: usize = 10_000;

impl Hub {
    /// `kick`: kicks up to `bound` jobs of the tube that the session uses.
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

    /// `kick-job`: kicks one job by its id.
    pub(super) fn kick_job(&mut self, now: f64, id: u64) -> &'static [u8] {
        if self.try_kick(now, id) {
            b"KICKED\r\n"
        } else {
            NOT_FOUND
        }
    }

    /// Kicks a job if it is buried or delayed and may run; returns whether it was kicked.
    fn try_kick(&mut self, now: f64, id: u64) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        match job.state {
            State::Buried(_) | State::Delayed { .. } if job.is_notice => self.notice_ready(now, id),
            // The core still waits for the outcome of the released attempt.
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

    /// The job's attempt that was released with a delay, if any.
    fn delayed_attempt(&self, job: u64) -> Option<AttemptId> {
        let is_delayed = |(attempt, state): &(&AttemptId, &AttemptState)| {
            attempt.0 == job && matches!(state, AttemptState::ReleaseDelayed(_))
        };
        self.attempts
            .iter()
            .find(is_delayed)
            .map(|(attempt, _)| *attempt)
    }

    /// Whether a buried job may run again: it must be idempotent, since earlier attempts may have run, and the
    /// core must have answered its first request.
    fn may_restart(&self, job: &Job) -> bool {
        let is_idempotent = self
            .plan
            .route(&job.tube)
            .is_some_and(|route| route.is_idempotent());
        is_idempotent && !self.stopping && job.final_status.is_some() && job.capacity.is_some()
    }

    /// Submits a buried job as a new request with the same id.
    fn restart(&mut self, now: f64, id: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            (job.final_status, job.expires_at) = (None, None);
        }
        self.totals.accepted += 1;
        self.submit(now, id);
    }
}

/// The jobs that a kick considers: buried jobs, or delayed jobs if there are no buried ones, as the protocol defines.
fn kick_candidates(tube: &TubeJobs, bound: usize) -> Vec<u64> {
    if tube.buried.is_empty() {
        tube.delayed
            .keys()
            .take(bound.min(MAX_KICK_CANDIDATES))
            .map(|(_, id)| *id)
            .collect()
    } else {
        // Some of these may not run again, so the caller applies the bound to the jobs actually kicked.
        tube.buried
            .values()
            .take(MAX_KICK_CANDIDATES)
            .copied()
            .collect()
    }
}
