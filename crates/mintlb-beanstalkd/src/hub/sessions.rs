//! Connections: their begin and end, and their output.

use super::Hub;
use crate::codec::Tube;
use crate::session::{InFlight, Leased, PendingDelivery, Session};
use mintlb_core::reducer::Event;
use mintlb_scheduler::Outcome;
use std::net::IpAddr;
use std::sync::atomic::Ordering::Relaxed;

impl Hub {
    /// Opens a session for a connection from a machine; returns the session's id.
    pub fn connect(&mut self, machine: IpAddr) -> u64 {
        self.totals.connections += 1;
        let id = self.next_number();
        self.sessions
            .insert(id, Session::new(machine, &self.default_tube));
        id
    }

    /// Closes a session whose connection has ended. What it held goes back to the core: as never run where a
    /// job was not written whole.
    pub fn closed(&mut self, now: f64, id: u64) {
        self.stop_waiting(id);
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        if let Some(runs) = session.runs {
            self.leave_group(now, session.machine, runs);
        }
        if let Some(pending) = session.pending {
            self.return_attempt(pending.order.attempt_id, Outcome::NoConnection);
        }
        for (job, lease) in session.leases {
            let outcome = if lease.written {
                Outcome::Dropped
            } else {
                Outcome::NoConnection
            };
            self.settle_lease(now, job, lease.leased, outcome, None);
        }
    }

    /// Has a session closed once its output is written.
    pub fn end(&mut self, session: u64) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.closing = true;
        }
    }

    /// Has a session closed at once: a job that is being written to it must not arrive whole any more.
    pub(super) fn cut(&mut self, id: u64) {
        if let Some(session) = self.sessions.get_mut(&id) {
            (session.closing, session.cut) = (true, true);
        }
        self.wake_session(id);
    }

    /// A session's next command must wait for the answer to its last one.
    pub fn is_blocked(&self, session: u64) -> bool {
        self.sessions.get(&session).is_none_or(Session::is_blocked)
    }

    /// Nothing more may be written to a session.
    pub fn is_cut(&self, session: u64) -> bool {
        self.sessions
            .get(&session)
            .is_none_or(|session| session.cut)
    }

    /// A session is to be closed.
    pub fn is_over(&self, session: u64) -> bool {
        self.sessions
            .get(&session)
            .is_none_or(|session| session.closing)
    }

    /// Queues bytes for a session.
    pub fn say(&mut self, session: u64, bytes: &[u8]) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.output.push(bytes);
        }
    }

    /// The number of bytes that are queued for a session and not taken yet.
    pub fn queued_bytes(&self, session: u64) -> usize {
        self.sessions
            .get(&session)
            .map_or(0, |session| session.output.waiting.len())
    }

    /// Takes the bytes to be sent to a session. Call it only once all bytes taken before are written.
    ///
    /// A pending delivery becomes a lease only now, so that a machine that drains in the meantime gets
    /// nothing new, and what was not queued never ran. The caller hands in an empty vector, whose memory is
    /// used again.
    pub fn take_out(&mut self, now: f64, id: u64, empty: Vec<u8>) -> Vec<u8> {
        self.deliver_pending(now, id);
        match self.sessions.get_mut(&id) {
            Some(session) => std::mem::replace(&mut session.output.waiting, empty),
            None => empty,
        }
    }

    /// Queues a session's pending delivery if there is no output before it and its machine still accepts
    /// work.
    fn deliver_pending(&mut self, now: f64, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if !session.output.waiting.is_empty() || !session.output.is_flushed() {
            return;
        }
        let machine = session.machine;
        let Some(PendingDelivery {
            order,
            reserve_until,
        }) = session.pending.take()
        else {
            return;
        };
        if self.machines.accepts_work(machine) {
            self.lease_attempt(now, id, order);
        } else {
            self.return_attempt(order.attempt_id, Outcome::Full);
            self.wait(now, id, reserve_until);
        }
    }

    /// Counts bytes as written to a session.
    pub fn wrote(&mut self, id: u64, bytes: usize) {
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
        if let Leased::Attempt(attempt) = lease.leased {
            self.sends.fetch_add(1, Relaxed);
            // The session waited for this job, so the worker has nothing before it.
            self.tell(Event::Started(attempt));
        }
    }

    /// All output is written, no delivery is pending, and no notice is ready for a session that watches for
    /// it.
    pub fn is_quiet(&self) -> bool {
        let has_notice = |tube: &Tube| {
            self.plan.tells_ends(tube)
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
