//! The reserve commands and waiting reserves.

use super::Hub;
use super::reply::{NOT_FOUND, Reply};
use super::timers::Timer;
use crate::job::State;
use crate::session::{Session, Wait};

/// A reserve is answered with `DEADLINE_SOON` when one of the session's leases expires within this time; the value is
/// the protocol's.
const DEADLINE_MARGIN_S: f64 = 1.0;
/// Minimum wait of a reserve, even with timeout 0, since the core needs time to assign a job.
const MIN_RESERVE_WAIT_S: f64 = 1.0 / 256.0;

const DEADLINE_SOON: &[u8] = b"DEADLINE_SOON\r\n";
const TIMED_OUT: &[u8] = b"TIMED_OUT\r\n";

impl Hub {
    /// `reserve` and `reserve-with-timeout`: leases a ready notice, or else waits for a job or a notice.
    pub(super) fn reserve(&mut self, now: f64, id: u64, timeout: Option<f64>) -> Option<Reply> {
        let session = self.sessions.get_mut(&id)?;
        session.is_worker = true;
        if session.has_deadline_soon(now) {
            return Some(Reply::Borrowed(DEADLINE_SOON));
        }
        match self.first_notice(id) {
            Some(notice) => self.lease_notice(now, id, notice),
            None => self.start_waiting(
                now,
                id,
                timeout.map(|timeout| now + timeout.max(MIN_RESERVE_WAIT_S)),
            ),
        }
        None
    }

    /// `reserve-job`: works only for notices, as the core alone decides which worker runs a job.
    pub(super) fn reserve_job(&mut self, now: f64, id: u64, job: u64) -> Option<Reply> {
        if !self
            .jobs
            .get(job)
            .is_some_and(|job| job.is_notice && job.state != State::Reserved)
        {
            return Some(Reply::Borrowed(NOT_FOUND));
        }
        self.lease_notice(now, id, job);
        None
    }

    /// The ready notice with the lowest priority number and id in the tubes that a session watches.
    fn first_notice(&self, id: u64) -> Option<u64> {
        let session = self.sessions.get(&id)?;
        let notices = session.watched.iter().filter_map(|tube| {
            let ready = &self
                .jobs
                .tube(tube)
                .filter(|_| self.plan.is_notice_tube(tube))?
                .ready;
            ready.first_key_value().map(|(key, ())| *key)
        });
        notices.min().map(|(_, job)| job)
    }

    /// Starts the wait of a session's reserve, up to `until` if given. The group announces capacity for one more job to
    /// the core, and new notices in watched tubes may go to the session.
    pub(super) fn start_waiting(&mut self, now: f64, id: u64, until: Option<f64>) {
        let sequence = self.next_number();
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.wait = Some(Wait { sequence, until });
        let wake_at = session.reserve_due(until);
        for tube in session
            .watched
            .iter()
            .filter(|tube| self.plan.is_notice_tube(tube))
        {
            self.notice_waiters
                .entry(tube.clone())
                .or_default()
                .insert((sequence, id));
        }
        self.choose_group(now, id);
        self.join_waiting(id, sequence);
        if let Some(at) = wake_at {
            self.set_timer(
                at,
                Timer::ReserveTimeout {
                    session: id,
                    sequence,
                },
            );
        }
    }

    /// Ends the wait of a session's reserve, if it is waiting.
    pub(super) fn stop_waiting(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(wait) = session.wait.take() else {
            return;
        };
        let (machine, type_set) = (session.machine, session.type_set);
        self.leave_notice_waiters(id, wait);
        let Some(type_set) = type_set else { return };
        let group = self.machines.group(machine, type_set);
        if group.is_some_and(|group| group.waiting.remove(&wait.sequence).is_some()) {
            self.announce_waiting(machine, type_set);
        }
    }

    /// Removes a waiting reserve from the queues for notices.
    pub(super) fn leave_notice_waiters(&mut self, id: u64, wait: Wait) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        for tube in &session.watched {
            if let Some(waiters) = self.notice_waiters.get_mut(tube) {
                waiters.remove(&(wait.sequence, id));
            }
        }
    }

    /// Handles the timer of a waiting reserve: answers the reserve if it is due, or sets the timer again.
    pub(super) fn reserve_timer_expired(&mut self, now: f64, id: u64, sequence: u64) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let Some(wait) = session.wait.filter(|wait| wait.sequence == sequence) else {
            return;
        };
        let soon = session.has_deadline_soon(now);
        if soon || wait.until.is_some_and(|until| until <= now) {
            self.stop_waiting(id);
            self.queue_output(id, if soon { DEADLINE_SOON } else { TIMED_OUT });
            return self.wake_session(id);
        }
        // The lease whose deadline was near has ended, so the next wake-up is at another time.
        if let Some(at) = session.reserve_due(wait.until) {
            self.set_timer(
                at,
                Timer::ReserveTimeout {
                    session: id,
                    sequence,
                },
            );
        }
    }
}

impl Session {
    /// Whether a lease expires within the protocol's margin.
    fn has_deadline_soon(&self, now: f64) -> bool {
        self.next_deadline()
            .is_some_and(|deadline| deadline - now <= DEADLINE_MARGIN_S)
    }

    /// When a waiting reserve must be answered: at its timeout, or when a lease is close to its deadline.
    fn reserve_due(&self, until: Option<f64>) -> Option<f64> {
        let deadline_soon = self
            .next_deadline()
            .map(|deadline| deadline - DEADLINE_MARGIN_S);
        until.into_iter().chain(deadline_soon).reduce(f64::min)
    }
}
