//! The peek commands, which show a job without leasing it.

use super::Hub;
use super::reply::{NOT_FOUND, Reply, with_body};
use crate::job::{State, TubeJobs};

impl Hub {
    /// `peek`: shows a job by its id, unless it has finished or came through another protocol.
    pub(super) fn peek(&self, id: u64) -> Reply {
        let job = self
            .jobs
            .get(id)
            .filter(|job| !matches!(job.state, State::Finished(_)) && !job.is_from_other_protocol);
        match job {
            Some(job) => Reply::Owned(with_body(&format!("FOUND {id}"), &job.body)),
            None => Reply::Borrowed(NOT_FOUND),
        }
    }

    /// `peek-ready`, `peek-delayed` and `peek-buried`: shows the first job in that state in the tube the session uses.
    pub(super) fn peek_first(
        &self,
        session: u64,
        first: impl Fn(&TubeJobs) -> Option<u64>,
    ) -> Reply {
        let used = self
            .sessions
            .get(&session)
            .and_then(|session| self.jobs.tube(&session.used));
        used.and_then(first)
            .map_or(Reply::Borrowed(NOT_FOUND), |job| self.peek(job))
    }
}
