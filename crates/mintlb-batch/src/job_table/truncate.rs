//! Undoing uncommitted entries that another log contradicts.

use super::{EntryKind, JobTable};
use crate::epoch_history::LogIndex;

impl JobTable {
    /// Undoes all entries after `last`, the newest first.
    pub fn truncate(&mut self, last: LogIndex) {
        while let Some(entry) = self
            .entries
            .last_entry()
            .filter(|entry| *entry.key() > last)
        {
            let (index, stored) = entry.remove_entry();
            self.disk_bytes -= stored.length;
            match stored.kind {
                EntryKind::Unreferenced => _ = self.unreferenced.remove(&index),
                EntryKind::Accepted => self.forget(index),
                EntryKind::Result { job } => self.undo_result(job),
                EntryKind::Ended { job } => self.undo_ended(job),
                EntryKind::AttemptsFailed {
                    job,
                    item,
                    previous,
                } => self.undo_attempts_failed(job, item, previous),
            }
        }
    }

    fn undo_result(&mut self, job: LogIndex) {
        let Some(job) = self.jobs.get_mut(&job) else {
            return;
        };
        let Some(result) = job.results.pop() else {
            return;
        };
        let item = &mut job.items[result.item as usize];
        item.position = None;
        if job.ended.is_none() {
            let tokens = item.tokens;
            self.queued_tokens.add(job, tokens);
            self.open_by_due_time.insert(job.due_order());
            self.strip_candidates.remove(&job.index);
        }
    }

    fn undo_attempts_failed(&mut self, job: LogIndex, item: u32, previous: u32) {
        let Some(job) = self.jobs.get_mut(&job) else {
            return;
        };
        job.failure_entries.pop();
        job.items[item as usize].failed_attempts = previous;
    }

    fn undo_ended(&mut self, job: LogIndex) {
        let Some(job) = self.jobs.get_mut(&job) else {
            return;
        };
        job.ended = None;
        if !job.is_done() {
            self.queued_tokens.add(job, job.queued_tokens());
            self.open_by_due_time.insert(job.due_order());
            self.strip_candidates.remove(&job.index);
        }
    }
}
