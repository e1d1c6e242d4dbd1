//! Notices: jobs that report how other jobs finished, for sessions that watch their tube.

use super::Hub;
use super::leases::NewLease;
use crate::codec::{Put, Tube};
use crate::job::{FinalStatus, Job, State};
use crate::session::LeaseKind;
use mintlb_core::work::Answer;

impl Hub {
    /// Adds a notice for a finished job.
    pub(super) fn add_notice(
        &mut self,
        now: f64,
        tube: Tube,
        job: u64,
        status: FinalStatus,
        answer: &Answer,
    ) {
        let body = notice_body(job, status, answer);
        let keep_seconds = self.plan.table.keep_ends;
        let ttr = (keep_seconds.ceil() as u32).max(1);
        let put = Put {
            priority: 0,
            delay: 0,
            ttr,
            bytes: body.len(),
        };
        let expires_at = now + keep_seconds;
        let notice = Job {
            is_notice: true,
            expires_at: Some(expires_at),
            ..Job::new(tube, put, now, body.into())
        };
        let id = self.job_ids.next();
        self.jobs.add(id, notice);
        self.retain(id, expires_at);
        self.notice_ready(now, id);
    }

    /// Makes a notice ready and leases it to the longest-waiting reserve for its tube, if any.
    pub(super) fn notice_ready(&mut self, now: f64, id: u64) {
        self.jobs.set_state(id, State::Ready);
        let Some(notice) = self.jobs.get(id) else {
            return;
        };
        let waiters = self.notice_waiters.get(&notice.tube);
        let Some((_, session)) = waiters.and_then(|waiters| waiters.first().copied()) else {
            return;
        };
        self.stop_waiting(session);
        self.lease_notice(now, session, id);
        self.wake_session(session);
    }

    /// Leases a notice to a session.
    pub(super) fn lease_notice(&mut self, now: f64, session: u64, job: u64) {
        let Some(notice) = self.jobs.get(job) else {
            return;
        };
        let deadline = now + f64::from(notice.put.ttr);
        let body = notice.body.clone();
        self.begin_lease(
            session,
            NewLease {
                job,
                kind: LeaseKind::Notice,
                deadline,
                max_deadline: f64::MAX,
                body,
            },
        );
    }
}

/// Body of a notice: the job's id and status; for a deferred job, the seconds after which to put it again; and after a
/// line feed the worker's result, if there is one.
fn notice_body(job: u64, status: FinalStatus, answer: &Answer) -> Vec<u8> {
    let mut text = format!("{job} {}", status.as_str());
    if let FinalStatus::Deferred(retry_after) = status {
        text += &format!(" {retry_after:.3}");
    }
    let mut body = text.into_bytes();
    if let Answer::Completed(result) = answer
        && !result.is_empty()
    {
        body.push(b'\n');
        body.extend_from_slice(result);
    }
    body
}
