//! Attempts: delivered by the core to a worker group, cancelled by the core, or returned to it with an outcome.

use super::Hub;
use super::timers::Timer;
use crate::job::State;
use crate::session::{LeaseKind, PendingDelivery};
use mintlb_core::reducer::Event;
use mintlb_core::work::{AttemptId, AttemptRequest, AttemptResult};
use mintlb_scheduler::{Outcome, ProjectTypeSet};
use std::net::IpAddr;

/// State of an attempt that has no outcome yet.
pub(super) enum AttemptState {
    /// Held by a session, as a pending delivery or as a lease.
    AtSession(u64),
    /// Released by its worker with a delay; the outcome is reported once the delay has ended.
    ReleaseDelayed(Outcome),
}

impl Hub {
    /// Delivers an attempt to the longest-waiting session of a worker group. Returns it to the core at once if no
    /// session waits, or if the group has another generation.
    pub fn deliver_attempt(
        &mut self,
        machine: IpAddr,
        type_set: ProjectTypeSet,
        generation: u64,
        request: AttemptRequest,
    ) {
        let waiting = self.take_waiting(machine, type_set, generation);
        let session = waiting.and_then(|id| Some((id, self.sessions.get_mut(&id)?)));
        let Some((id, session)) = session else {
            return self.emit(Event::Finished(AttemptResult::from_outcome(
                request.attempt_id,
                Outcome::Full,
            )));
        };
        let (attempt, attempt_until) = (request.attempt_id, request.deadline);
        let wait = session.wait.take();
        let reserve_until = wait.and_then(|wait| wait.until);
        session.pending = Some(PendingDelivery {
            request,
            reserve_until,
        });
        let is_flushed = session.output.is_flushed();
        if let Some(wait) = wait {
            self.leave_notice_waiters(id, wait);
        }
        self.attempts.insert(attempt, AttemptState::AtSession(id));
        self.wake_session(id);
        if !is_flushed {
            self.set_timer(
                attempt_until,
                Timer::DeliveryTimeout {
                    session: id,
                    attempt,
                },
            );
        }
    }

    /// Counts an attempt for a group, and takes the session that has waited there longest, if its machine accepts work.
    fn take_waiting(
        &mut self,
        machine: IpAddr,
        type_set: ProjectTypeSet,
        generation: u64,
    ) -> Option<u64> {
        let accepts_work = self.machines.accepts_work(machine);
        let group = self
            .machines
            .group(machine, type_set)
            .filter(|group| group.generation == generation)?;
        group.requests_received += 1;
        if !accepts_work {
            return None;
        }
        group.waiting.pop_first().map(|(_, session)| session)
    }

    /// Cancels an attempt; the core expects no outcome for it.
    pub fn cancel_attempt(&mut self, now: f64, attempt: AttemptId) {
        let Some(AttemptState::AtSession(id)) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Some(pending) = session.take_pending(attempt) {
            return self.start_waiting(now, id, pending.reserve_until);
        }
        let job = attempt.0;
        let lease = session
            .leases
            .get(&job)
            .filter(|lease| lease.kind == LeaseKind::Attempt(attempt));
        let Some(lease) = lease else { return };
        if !lease.written {
            self.abort(id);
        }
        self.end_lease(id, job);
        self.drop_lease(job, None);
    }

    /// Reports the outcome of an attempt to the core.
    pub(super) fn return_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.attempts.remove(&attempt);
        self.emit(Event::Finished(AttemptResult::from_outcome(
            attempt, outcome,
        )));
    }

    /// Returns a released attempt to the core when its delay has ended or the job was kicked.
    pub(super) fn release_delay_over(&mut self, attempt: AttemptId) {
        let Some(AttemptState::ReleaseDelayed(outcome)) = self.attempts.get(&attempt) else {
            return;
        };
        let outcome = *outcome;
        if self
            .jobs
            .get(attempt.0)
            .is_some_and(|job| matches!(job.state, State::Delayed { .. }))
        {
            self.jobs.set_state(attempt.0, State::Ready);
        }
        self.return_attempt(attempt, outcome);
    }

    /// Handles an attempt's deadline: if the attempt is still pending, it is returned to the core and the
    /// session's reserve waits again.
    pub(super) fn delivery_timed_out(&mut self, now: f64, id: u64, attempt: AttemptId) {
        let session = self.sessions.get_mut(&id);
        let Some(pending) = session.and_then(|session| session.take_pending(attempt)) else {
            return;
        };
        self.return_attempt(attempt, Outcome::Full);
        self.start_waiting(now, id, pending.reserve_until);
    }
}
