//! Attempts: the core orders one for a group of workers, or recalls it, and gets its outcome.

use super::Hub;
use super::timers::Timer;
use crate::job::State;
use crate::session::{Leased, PendingDelivery};
use mintlb_core::reducer::Event;
use mintlb_core::work::{AttemptId, AttemptRequest, AttemptResult};
use mintlb_scheduler::{Outcome, ProjectTypeSet};
use std::net::IpAddr;

/// Where an attempt is that has no outcome yet.
pub(super) enum Attempt {
    /// A session has it, as a pending delivery or as a lease.
    AtSession(u64),
    /// Its worker released it with a delay; it has this outcome once the delay is over.
    ReleaseDelayed(Outcome),
}

impl Hub {
    /// Takes an attempt for a group of workers, of this generation. It goes to the session that has waited
    /// for longest, and straight back to the core where none waits.
    pub fn order(
        &mut self,
        machine: IpAddr,
        runs: ProjectTypeSet,
        generation: u64,
        order: AttemptRequest,
    ) {
        let waiting = self.take_waiting(machine, runs, generation);
        let session = waiting.and_then(|id| Some((id, self.sessions.get_mut(&id)?)));
        let Some((id, session)) = session else {
            return self.tell(Event::Finished(AttemptResult::from_outcome(
                order.attempt_id,
                Outcome::Full,
            )));
        };
        let (attempt, attempt_until) = (order.attempt_id, order.deadline);
        let wait = session.wait.take();
        let reserve_until = wait.and_then(|wait| wait.until);
        session.pending = Some(PendingDelivery {
            order,
            reserve_until,
        });
        let is_flushed = session.output.is_flushed();
        if let Some(wait) = wait {
            self.leave_notice_waiters(id, wait);
        }
        self.attempts.insert(attempt, Attempt::AtSession(id));
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

    /// Counts an order to a group, and takes the session that has waited there for longest, if its machine
    /// accepts work.
    fn take_waiting(
        &mut self,
        machine: IpAddr,
        runs: ProjectTypeSet,
        generation: u64,
    ) -> Option<u64> {
        let accepts_work = self.machines.accepts_work(machine);
        let group = self
            .machines
            .group(machine, runs)
            .filter(|group| group.generation == generation)?;
        group.orders += 1;
        if !accepts_work {
            return None;
        }
        group.waiting.pop_first().map(|(_, session)| session)
    }

    /// Recalls an attempt: the core asks for no outcome of it any more.
    pub fn recall(&mut self, now: f64, attempt: AttemptId) {
        let Some(Attempt::AtSession(id)) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Some(pending) = session.take_pending(attempt) {
            return self.wait(now, id, pending.reserve_until);
        }
        let job = attempt.0;
        let lease = session
            .leases
            .get(&job)
            .filter(|lease| lease.leased == Leased::Attempt(attempt));
        let Some(lease) = lease else { return };
        if !lease.written {
            self.cut(id);
        }
        self.end_lease(id, job);
        self.drop_holder(job, None);
    }

    /// Tells the core the outcome of an attempt.
    pub(super) fn return_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.attempts.remove(&attempt);
        self.tell(Event::Finished(AttemptResult::from_outcome(
            attempt, outcome,
        )));
    }

    /// The delay of a release is over, or a kick has ended it: the attempt goes back to the core.
    pub(super) fn release_delay_over(&mut self, attempt: AttemptId) {
        let Some(Attempt::ReleaseDelayed(outcome)) = self.attempts.get(&attempt) else {
            return;
        };
        let outcome = *outcome;
        if self
            .jobs
            .get(attempt.0)
            .is_some_and(|job| matches!(job.state, State::Delayed { .. }))
        {
            self.jobs.set(attempt.0, State::Ready);
        }
        self.return_attempt(attempt, outcome);
    }

    /// The time of an attempt is over; if it is still pending it goes back, and the session's reserve waits
    /// on.
    pub(super) fn delivery_timed_out(&mut self, now: f64, id: u64, attempt: AttemptId) {
        let session = self.sessions.get_mut(&id);
        let Some(pending) = session.and_then(|session| session.take_pending(attempt)) else {
            return;
        };
        self.return_attempt(attempt, Outcome::Full);
        self.wait(now, id, pending.reserve_until);
    }
}
