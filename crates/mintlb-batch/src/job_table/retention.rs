//! Which payloads, results and jobs no longer have to be kept.

use super::{BatchJob, JobTable};
use crate::epoch_history::LogIndex;
use crate::timestamp::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// A finished job is dropped this long after the time for which it has to be readable.
const FINISHED_JOB_GRACE: Duration = Duration::from_secs(10);
/// A job that nobody finishes is dropped this long after its items could be given up and its
/// results be read.
const ABANDONED_JOB_GRACE: Duration = Duration::from_secs(120);

/// Disk space that a sweep found to be reclaimable, as indexes of log entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reclaimable {
    /// Entries that lose their payloads and keep their heads.
    pub strip: Vec<LogIndex>,
    /// Entries to be removed, in ascending order.
    pub remove: Vec<LogIndex>,
}

impl JobTable {
    /// Drops what is no longer needed: payloads of jobs that are done, jobs whose retention has
    /// expired, and committed entries of no job. `result_retention` is how long a job has to be
    /// readable.
    ///
    /// Retention is measured from when this process applied the job, so that neither a step of the
    /// wall clock nor a restart makes anything expire early. Nothing uncommitted is dropped.
    pub fn sweep(
        &mut self,
        commit_index: LogIndex,
        result_retention: Duration,
        now: Timestamp,
    ) -> Reclaimable {
        let strip = self.strip_done_jobs(commit_index);
        let mut remove = Vec::new();
        for job in self.expired_jobs(commit_index, result_retention, now) {
            self.drop_job(job, &mut remove);
        }
        let uncommitted = self.unreferenced.split_off(&(commit_index + 1));
        remove.extend(std::mem::replace(&mut self.unreferenced, uncommitted));
        self.remove_entries(&mut remove);
        Reclaimable { strip, remove }
    }

    /// Drops all jobs accepted up to `through` but those in `retained`; returns the entries to be
    /// removed.
    pub fn drop_jobs_except(&mut self, retained: &[LogIndex], through: LogIndex) -> Vec<LogIndex> {
        let retained: BTreeSet<LogIndex> = retained.iter().copied().collect();
        let mut dropped = self.job_indexes_through(through);
        dropped.retain(|job| !retained.contains(job));
        let mut remove = Vec::new();
        for job in dropped {
            self.drop_job(job, &mut remove);
        }
        self.remove_entries(&mut remove);
        remove
    }

    fn expired_jobs(
        &self,
        commit_index: LogIndex,
        result_retention: Duration,
        now: Timestamp,
    ) -> Vec<LogIndex> {
        let is_expired = |job: &&BatchJob| {
            now.saturating_since(job.applied_at) > retention(job, result_retention)
        };
        self.iter()
            .filter(|job| job.last_index() <= commit_index)
            .filter(is_expired)
            .map(|job| job.index)
            .collect()
    }

    /// Drops a job; adds its entries to `remove`.
    fn drop_job(&mut self, index: LogIndex, remove: &mut Vec<LogIndex>) {
        let Some(job) = self.jobs.get(&index) else {
            return;
        };
        remove.extend(job.results.iter().map(|result| result.index));
        remove.extend(&job.failure_entries);
        remove.extend(job.ended);
        remove.push(index);
        self.forget(index);
    }

    /// Removes entries from the table, and sorts their indexes.
    fn remove_entries(&mut self, indexes: &mut [LogIndex]) {
        for index in indexes.iter() {
            let stored = self.entries.remove(index);
            self.disk_bytes -= stored.map_or(0, |stored| stored.length);
        }
        indexes.sort_unstable();
    }

    /// Drops the payloads of jobs whose end is committed; returns their entries.
    fn strip_done_jobs(&mut self, commit_index: LogIndex) -> Vec<LogIndex> {
        let is_final = |index: &LogIndex| {
            self.jobs
                .get(index)
                .is_none_or(|job| job.last_index() <= commit_index)
        };
        let candidates = self.strip_candidates.iter().copied();
        let done: Vec<LogIndex> = candidates.filter(is_final).collect();
        done.into_iter()
            .filter(|index| self.strip(*index))
            .collect()
    }

    /// Drops the payloads of one job; false if it has none.
    fn strip(&mut self, index: LogIndex) -> bool {
        self.strip_candidates.remove(&index);
        let Some(job) = self.jobs.get_mut(&index).filter(|job| job.has_payloads) else {
            return false;
        };
        job.has_payloads = false;
        let payload_bytes = job.payload_bytes();
        if let Some(stored) = self.entries.get_mut(&index) {
            stored.length -= payload_bytes;
            self.disk_bytes -= payload_bytes;
        }
        true
    }
}

/// How long a job is kept.
fn retention(job: &BatchJob, result_retention: Duration) -> Duration {
    match job.is_done() {
        true => result_retention + FINISHED_JOB_GRACE,
        false => {
            let give_up_after = Duration::from_millis(job.terms.retention_ms);
            result_retention + ABANDONED_JOB_GRACE + give_up_after
        }
    }
}
