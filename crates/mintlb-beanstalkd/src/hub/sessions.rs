//! Session lifecycle and output.

use super::Hub;
use crate::codec::Tube;
use crate::session::{InFlight, LeaseKind, PendingDelivery, Session};
use mintlb_core::reducer::Event;
use mintlb_scheduler::Outcome;
use std::net::IpAddr;
use std::sync::atomic::Ordering::Relaxed;

impl Hub {
    /// Opens a session for a new connection; returns the session's id.
    pub fn connect(&mut self, machine: IpAddr) -> u64 {
        self.totals.connections += 1;
        let id = self.next_number();
        self.sessions
            .insert(id, Session::new(machine, &self.default_tube));
        id
    }

    /// Closes a session whose connection has ended and returns its attempts to the core. A job that was not written
    /// completely is reported as never run.
    pub fn connection_closed(&mut self, now: f64, id: u64) {
        self.stop_waiting(id);
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        if let Some(type_set) = session.type_set {
            self.leave_group(now, session.machine, type_set);
        }
        if let Some(pending) = session.pending {
            self.return_attempt(pending.request.attempt_id, Outcome::NoConnection);
        }
        for (job, lease) in session.leases {
            let outcome = if lease.written {
                Outcome::Dropped
            } else {
                Outcome::NoConnection
            };
            self.settle_lease(now, job, lease.kind, outcome, None);
        }
    }

    /// Marks a session to be closed once its output is written.
    pub fn close_when_flushed(&mut self, session: u64) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.closing = true;
        }
    }

    /// Marks a session to be closed at once, so that the job being written to it does not arrive completely.
    pub(super) fn abort(&mut self, id: u64) {
        if let Some(session) = self.sessions.get_mut(&id) {
            (session.closing, session.aborted) = (true, true);
        }
        self.wake_session(id);
    }

    /// Whether a session's next command must wait for the reply to its last one.
    pub fn is_blocked(&self, session: u64) -> bool {
        self.sessions.get(&session).is_none_or(Session::is_blocked)
    }

    /// Whether nothing more may be written to a session.
    pub fn is_aborted(&self, session: u64) -> bool {
        self.sessions
            .get(&session)
            .is_none_or(|session| session.aborted)
    }

    /// Whether a session is to be closed.
    pub fn is_closing(&self, session: u64) -> bool {
        self.sessions
            .get(&session)
            .is_none_or(|session| session.closing)
    }

    /// Queues bytes for a session.
    pub fn queue_output(&mut self, session: u64, bytes: &[u8]) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.output.push(bytes);
        }
    }

    /// Number of bytes queued for a session and not taken yet.
    pub fn queued_bytes(&self, session: u64) -> usize {
        self.sessions
            .get(&session)
            .map_or(0, |session| session.output.waiting.len())
    }

    /// Takes the bytes to send to a session. Call only when all bytes taken before are written.
    ///
    /// A pending delivery becomes a lease only here, so that a machine that has started draining gets no new job,
    /// and an attempt that was not queued can be reported as never run. `empty` is an empty vector whose
    /// memory is reused.
    pub fn take_output(&mut self, now: f64, id: u64, empty: Vec<u8>) -> Vec<u8> {
        self.deliver_pending(now, id);
        match self.sessions.get_mut(&id) {
            Some(session) => std::mem::replace(&mut session.output.waiting, empty),
            None => empty,
        }
    }

    /// Leases a session's pending delivery once all earlier output is written. If the machine no longer accepts work,
    /// the attempt is returned to the core and the reserve waits again.
    fn deliver_pending(&mut self, now: f64, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if !session.output.waiting.is_empty() || !session.output.is_flushed() {
            return;
        }
        let machine = session.machine;
        let Some(PendingDelivery {
            request,
            reserve_until,
        }) = session.pending.take()
        else {
            return;
        };
        if self.machines.accepts_work(machine) {
            self.lease_attempt(now, id, request);
        } else {
            self.return_attempt(request.attempt_id, Outcome::Full);
            self.start_waiting(now, id, reserve_until);
        }
    }

    /// Records bytes as written to a session; reports an attempt as started once its job is completely written.
    pub fn record_written(&mut self, id: u64, bytes: usize) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.output.written += bytes as u64;
        let written = session.output.written;
        let Some(InFlight { job, .. }) = session.in_flight.take_if(|sent| sent.end <= written)
        else {
            return;
        };
        let Some(lease) = session.leases.get_mut(&job) else {
            return;
        };
        lease.written = true;
        if let LeaseKind::Attempt(attempt) = lease.kind {
            self.sends.fetch_add(1, Relaxed);
            // The session was waiting in a reserve, so the worker starts on this job at once.
            self.emit(Event::Started(attempt));
        }
    }

    /// Whether all output is written, no delivery is pending, and no notice is ready in a watched tube.
    pub fn is_idle(&self) -> bool {
        let has_notice = |tube: &Tube| {
            self.plan.is_notice_tube(tube)
                && self
                    .jobs
                    .tube(tube)
                    .is_some_and(|jobs| !jobs.ready.is_empty())
        };
        self.sessions.values().all(|session| {
            session.pending.is_none()
                && session.output.is_flushed()
                && !session.watched.iter().any(has_notice)
        })
    }
}
