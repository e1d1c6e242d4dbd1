//! Leases: a session reserves a job, and the lease ends by the worker, by its deadline, or with the
//! connection.

use super::Hub;
use super::reply::with_body;
use super::timers::Timer;
use crate::codec::Put;
use crate::job::{Job, State};
use crate::session::{InFlight, Lease, Leased};
use bytes::Bytes;
use mintlb_core::work::AttemptRequest;
use mintlb_scheduler::Outcome;

/// The protocol's least urgent priority.
const LEAST_URGENT: u32 = u32::MAX;

/// A lease that is to begin.
pub(super) struct NewLease {
    pub(super) job: u64,
    pub(super) leased: Leased,
    /// When it expires, and the latest time that touches can move that to, in seconds of the clock.
    pub(super) deadline: f64,
    pub(super) latest: f64,
    pub(super) body: Bytes,
}

impl Hub {
    /// Gives a session an attempt as a lease.
    pub(super) fn lease_attempt(&mut self, now: f64, session: u64, order: AttemptRequest) {
        let job = order.attempt_id.0;
        if self.jobs.get(job).is_none() {
            let Some(record) = self.foreign_job(now, &order) else {
                return self.return_attempt(order.attempt_id, Outcome::Full);
            };
            self.jobs.add(job, record);
        }
        let Some(record) = self.jobs.get(job) else {
            return;
        };
        // An exclusive job could only be aborted before its hard limit; until then the worker may still do
        // it.
        let is_exclusive = self
            .plan
            .route(&record.tube)
            .is_some_and(|route| route.is_exclusive());
        let ttr_over = now + f64::from(record.put.ttr);
        let deadline = if is_exclusive {
            order.deadline
        } else {
            order.deadline.min(ttr_over)
        };
        let (leased, latest, body) = (
            Leased::Attempt(order.attempt_id),
            order.deadline,
            order.payload.body,
        );
        self.begin_lease(
            session,
            NewLease {
                job,
                leased,
                deadline,
                latest,
                body,
            },
        );
    }

    /// A record of a job whose request came through another protocol.
    fn foreign_job(&self, now: f64, order: &AttemptRequest) -> Option<Job> {
        let route = self
            .plan
            .routes
            .iter()
            .find(|route| route.project_type == order.project_type)?;
        let ttr = route.hard_limit.ceil().max(1.0) as u32;
        let put = Put {
            priority: LEAST_URGENT,
            delay: 0,
            ttr,
            bytes: order.payload.body.len(),
        };
        Some(Job {
            is_foreign: true,
            ..Job::new(route.tube.clone(), put, now, order.payload.body.clone())
        })
    }

    /// Begins a lease: the job is reserved, and its body queued for the session.
    pub(super) fn begin_lease(&mut self, id: u64, new: NewLease) {
        let NewLease {
            job,
            leased,
            deadline,
            latest,
            body,
        } = new;
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.holders += 1;
        record.last_holder = Some(id);
        record.counts.reserves += 1;
        let ttr = f64::from(record.put.ttr);
        self.jobs.set(job, State::Reserved);
        let timer = self.set_timer(deadline, Timer::LeaseExpiry { session: id, job });
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session
            .output
            .push(&with_body(&format!("RESERVED {job}"), &body));
        if let Leased::Attempt(_) = leased {
            session.in_flight = Some(InFlight {
                job,
                end: session.output.queued,
            });
        }
        session.leases.insert(
            job,
            Lease {
                leased,
                written: false,
                ttr,
                deadline,
                latest,
                timer,
            },
        );
    }

    /// Takes a session's lease on a job away.
    pub(super) fn end_lease(&mut self, session: u64, job: u64) -> Option<Lease> {
        let lease = self.sessions.get_mut(&session)?.leases.remove(&job)?;
        self.timers.cancel(lease.deadline, lease.timer);
        Some(lease)
    }

    /// Settles a lease that has ended: the core learns the attempt's outcome, and the job is in the given
    /// state from now on, or ready again.
    pub(super) fn settle_lease(
        &mut self,
        now: f64,
        job: u64,
        leased: Leased,
        outcome: Outcome,
        state: Option<State>,
    ) {
        if let Leased::Attempt(attempt) = leased {
            self.return_attempt(attempt, outcome);
        }
        self.drop_holder(job, state);
        if leased == Leased::Notice && state.is_none() {
            self.notice_ready(now, job);
        }
    }

    /// Counts one lease less on a job. Without any it is in the given state, or ready; a finished one stays
    /// as it is.
    pub(super) fn drop_holder(&mut self, id: u64, state: Option<State>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.holders -= 1;
        let is_last = job.holders == 0;
        let is_finished = matches!(job.state, State::Finished(_));
        match state {
            _ if job.is_foreign && is_last => drop(self.jobs.remove(id)),
            _ if is_finished => {}
            Some(state) => self.jobs.set(id, state),
            None if is_last => self.jobs.set(id, State::Ready),
            None => {}
        }
    }

    /// The expiry timer of a lease has expired. If it is still the lease's timer, the lease ends.
    pub(super) fn lease_expired(&mut self, now: f64, id: u64, job: u64, timer: u64) {
        let lease = self
            .sessions
            .get(&id)
            .and_then(|session| session.leases.get(&job));
        if lease.is_none_or(|lease| lease.timer != timer) {
            return;
        }
        let Some(lease) = self.end_lease(id, job) else {
            return;
        };
        if !lease.written && lease.leased != Leased::Notice {
            // The worker may have got it whole until the connection is closed, so it counts as perhaps run.
            self.cut(id);
        }
        self.totals.timeouts += 1;
        if let Some(job) = self.jobs.get_mut(job) {
            job.counts.timeouts += 1;
        }
        self.settle_lease(now, job, lease.leased, Outcome::TimedOut, None);
    }
}
