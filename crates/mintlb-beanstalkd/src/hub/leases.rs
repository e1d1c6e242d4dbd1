//! Leases: a session reserves a job; the lease ends by a worker's command, at its deadline, or with the connection.

use super::Hub;
use super::reply::with_body;
use super::timers::Timer;
use crate::codec::Put;
use crate::job::{Job, State};
use crate::session::{InFlight, Lease, LeaseKind};
use bytes::Bytes;
use mintlb_core::work::AttemptRequest;
use mintlb_scheduler::Outcome;

/// The protocol's least urgent priority, given to jobs from other protocols.
const LEAST_URGENT_PRIORITY: u32 = u32::MAX;

/// Parameters of a lease to begin.
pub(super) struct NewLease {
    pub(super) job: u64,
    pub(super) kind: LeaseKind,
    /// When the lease expires, and the latest deadline that touches can set, in seconds of the clock.
    pub(super) deadline: f64,
    pub(super) max_deadline: f64,
    pub(super) body: Bytes,
}

impl Hub {
    /// Leases an attempt to a session.
    pub(super) fn lease_attempt(&mut self, now: f64, session: u64, request: AttemptRequest) {
        let job = request.attempt_id.0;
        if self.jobs.get(job).is_none() {
            let Some(record) = self.job_from_other_protocol(now, &request) else {
                return self.return_attempt(request.attempt_id, Outcome::Full);
            };
            self.jobs.add(job, record);
        }
        let Some(record) = self.jobs.get(job) else {
            return;
        };
        // If an exclusive job's lease expired before its hard limit, the job could only be aborted, although the worker
        // may still complete it. So its lease lasts until the hard limit.
        let is_exclusive = self
            .plan
            .route(&record.tube)
            .is_some_and(|route| route.is_exclusive());
        let ttr_over = now + f64::from(record.put.ttr);
        let deadline = if is_exclusive {
            request.deadline
        } else {
            request.deadline.min(ttr_over)
        };
        let (kind, max_deadline, body) = (
            LeaseKind::Attempt(request.attempt_id),
            request.deadline,
            request.payload.body,
        );
        self.begin_lease(
            session,
            NewLease {
                job,
                kind,
                deadline,
                max_deadline,
                body,
            },
        );
    }

    /// Creates a record for a job whose request came through another protocol; `None` if no tube has its project type.
    fn job_from_other_protocol(&self, now: f64, request: &AttemptRequest) -> Option<Job> {
        let route = self
            .plan
            .routes
            .iter()
            .find(|route| route.project_type == request.project_type)?;
        let ttr = route.hard_limit.ceil().max(1.0) as u32;
        let put = Put {
            priority: LEAST_URGENT_PRIORITY,
            delay: 0,
            ttr,
            bytes: request.payload.body.len(),
        };
        Some(Job {
            is_from_other_protocol: true,
            ..Job::new(route.tube.clone(), put, now, request.payload.body.clone())
        })
    }

    /// Begins a lease: marks the job reserved and queues its body for the session.
    pub(super) fn begin_lease(&mut self, id: u64, new: NewLease) {
        let NewLease {
            job,
            kind,
            deadline,
            max_deadline,
            body,
        } = new;
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.lease_count += 1;
        record.last_session = Some(id);
        record.counts.reserves += 1;
        let ttr = f64::from(record.put.ttr);
        self.jobs.set_state(job, State::Reserved);
        let timer = self.set_timer(deadline, Timer::LeaseExpiry { session: id, job });
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session
            .output
            .push(&with_body(&format!("RESERVED {job}"), &body));
        if let LeaseKind::Attempt(_) = kind {
            session.in_flight = Some(InFlight {
                job,
                end: session.output.queued,
            });
        }
        session.leases.insert(
            job,
            Lease {
                kind,
                written: false,
                ttr,
                deadline,
                max_deadline,
                timer,
            },
        );
    }

    /// Removes a session's lease on a job and cancels its timer.
    pub(super) fn end_lease(&mut self, session: u64, job: u64) -> Option<Lease> {
        let lease = self.sessions.get_mut(&session)?.leases.remove(&job)?;
        self.timers.cancel(lease.deadline, lease.timer);
        Some(lease)
    }

    /// Settles a lease that has ended: reports the attempt's outcome to the core, and moves the job to `state`, or to
    /// ready if that is `None`.
    pub(super) fn settle_lease(
        &mut self,
        now: f64,
        job: u64,
        kind: LeaseKind,
        outcome: Outcome,
        state: Option<State>,
    ) {
        if let LeaseKind::Attempt(attempt) = kind {
            self.return_attempt(attempt, outcome);
        }
        self.drop_lease(job, state);
        if kind == LeaseKind::Notice && state.is_none() {
            self.notice_ready(now, job);
        }
    }

    /// Removes one lease from a job's count and moves the job to `state`, if given. Otherwise the job becomes
    /// ready when it has no lease left. A finished job keeps its state.
    pub(super) fn drop_lease(&mut self, id: u64, state: Option<State>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.lease_count -= 1;
        let is_last = job.lease_count == 0;
        let is_finished = matches!(job.state, State::Finished(_));
        match state {
            _ if job.is_from_other_protocol && is_last => drop(self.jobs.remove(id)),
            _ if is_finished => {}
            Some(state) => self.jobs.set_state(id, state),
            None if is_last => self.jobs.set_state(id, State::Ready),
            None => {}
        }
    }

    /// Handles a lease's expiry timer; ends the lease if the timer is still current.
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
        if !lease.written && lease.kind != LeaseKind::Notice {
            // The worker may receive the whole job before the connection is closed, so the attempt may have run.
            self.abort(id);
        }
        self.totals.timeouts += 1;
        if let Some(job) = self.jobs.get_mut(job) {
            job.counts.timeouts += 1;
        }
        self.settle_lease(now, job, lease.kind, Outcome::TimedOut, None);
    }
}
