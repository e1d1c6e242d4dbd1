//! Applying log entries to the table.

use super::{BatchJob, EntryKind, JobTable, RecordedResult, StoredEntry};
use crate::entry::{Entry, JobHeader};
use crate::epoch_history::LogIndex;
use crate::timestamp::Timestamp;

impl JobTable {
    /// Applies the entry appended at `index`. `length` is the size of the encoded entry on disk,
    /// `raw_length` that of the raw bytes behind its head, both in bytes.
    pub fn apply(
        &mut self,
        index: LogIndex,
        entry: &Entry,
        length: u64,
        raw_length: u64,
        now: Timestamp,
    ) {
        let kind = match entry {
            Entry::EpochStart => EntryKind::Unreferenced,
            Entry::Accepted(header) => self.apply_accepted(index, header, raw_length, now),
            Entry::Result { job, item, state } => {
                let result = RecordedResult {
                    index,
                    item: *item,
                    state: *state,
                    length,
                };
                self.apply_result(*job, result)
            }
            Entry::Ended { job } => self.apply_ended(index, *job),
            Entry::AttemptsFailed {
                job,
                item,
                attempts,
            } => self.apply_attempts_failed(index, *job, *item, *attempts),
        };
        if matches!(kind, EntryKind::Unreferenced) {
            self.unreferenced.insert(index);
        }
        self.disk_bytes += length;
        self.entries.insert(index, StoredEntry { length, kind });
    }

    fn apply_accepted(
        &mut self,
        index: LogIndex,
        header: &JobHeader,
        raw_length: u64,
        now: Timestamp,
    ) -> EntryKind {
        let job = BatchJob::new(index, header, raw_length, now);
        self.queued_tokens.add(&job, job.queued_tokens());
        if !job.is_done() {
            self.open_by_due_time.insert(job.due_order());
        }
        self.by_name.insert(job.name.clone(), index);
        self.jobs.insert(index, job);
        EntryKind::Accepted
    }

    /// Only the first result of an item counts.
    fn apply_result(&mut self, job: LogIndex, result: RecordedResult) -> EntryKind {
        let Some(job) = self.jobs.get_mut(&job) else {
            return EntryKind::Unreferenced;
        };
        let position = job.results.len() as u32;
        let Some(item) = job
            .items
            .get_mut(result.item as usize)
            .filter(|item| item.position.is_none())
        else {
            return EntryKind::Unreferenced;
        };
        item.position = Some(position);
        // The tokens of an ended job were subtracted when it ended.
        let tokens = match job.ended {
            Some(_) => 0,
            None => item.tokens,
        };
        job.results.push(result);
        if job.is_done() {
            self.open_by_due_time.remove(&job.due_order());
            self.strip_candidates.insert(job.index);
        }
        self.queued_tokens.subtract(job, tokens);
        EntryKind::Result { job: job.index }
    }

    fn apply_ended(&mut self, index: LogIndex, job: LogIndex) -> EntryKind {
        let Some(job) = self.jobs.get_mut(&job).filter(|job| job.ended.is_none()) else {
            return EntryKind::Unreferenced;
        };
        let tokens = job.queued_tokens();
        job.ended = Some(index);
        self.open_by_due_time.remove(&job.due_order());
        self.strip_candidates.insert(job.index);
        self.queued_tokens.subtract(job, tokens);
        EntryKind::Ended { job: job.index }
    }

    /// A count never falls: reports of owners may be delayed.
    fn apply_attempts_failed(
        &mut self,
        index: LogIndex,
        job: LogIndex,
        item: u32,
        attempts: u32,
    ) -> EntryKind {
        let Some(job) = self.jobs.get_mut(&job).filter(|job| job.is_pending(item)) else {
            return EntryKind::Unreferenced;
        };
        let counted = &mut job.items[item as usize].failed_attempts;
        if attempts <= *counted {
            return EntryKind::Unreferenced;
        }
        let previous = std::mem::replace(counted, attempts);
        job.failure_entries.push(index);
        EntryKind::AttemptsFailed {
            job: job.index,
            item,
            previous,
        }
    }
}
