//! Sending ranges of the log, and applying received ones.

use super::{DiskWrite, Replica};
use crate::entry::Entry;
use crate::epoch_history::{LogIndex, LogPosition, epoch_in_runs};
use crate::framing;
use crate::peer::Append;
use crate::timestamp::Timestamp;
use bytes::Bytes;

/// Maximum bytes of entries in one message; a single longer entry is sent alone.
pub(super) const MAX_APPEND_BYTES: u64 = 512 << 10;

/// Why a range of a log was not applied.
#[derive(Debug, thiserror::Error)]
pub(super) enum AppendError {
    /// The position before the range is not in the own log: an earlier range has to be sent first.
    #[error("the position before the range is not in the log")]
    Diverged,
    /// The message is malformed, or contradicts a committed entry; sending it again is of no use.
    #[error("the range is malformed or contradicts a committed entry")]
    Invalid,
}

/// A range of the own log.
pub(super) struct LogRange {
    /// The message, without its entries.
    pub append: Append,
    /// Indexes of the entries to send with it.
    pub entries: Vec<LogIndex>,
}

/// An entry out of a received message.
struct ReceivedEntry {
    index: LogIndex,
    entry: Entry,
    /// Head and raw part, as received.
    bytes: Bytes,
    /// Bytes of the raw part.
    raw_length: u64,
}

impl Replica {
    /// The own log after `after` up to `through`, as far as it fits into `max_bytes`.
    pub(super) fn log_range(&self, after: LogIndex, through: LogIndex, max_bytes: u64) -> LogRange {
        let mut entries = Vec::new();
        let (mut bytes, mut end) = (0, through.max(after));
        for (index, length) in self.jobs.entries_after(after) {
            if index > through {
                break;
            }
            if bytes + length > max_bytes && !entries.is_empty() {
                end = index - 1;
                break;
            }
            bytes += length;
            entries.push(index);
        }
        let is_partial = (entries.len() as u64) < end - after;
        let append = Append {
            previous: LogPosition {
                epoch: self.meta.log.epoch_at(after).unwrap_or(0),
                index: after,
            },
            through: end,
            runs: self.meta.log.runs(after + 1, end),
            jobs: is_partial.then(|| self.jobs.job_indexes_through(end)),
            ..Append::default()
        };
        LogRange { append, entries }
    }

    /// Makes the own log equal to another one over a received range.
    pub(super) fn apply_append(
        &mut self,
        append: &Append,
        raw: Bytes,
        now: Timestamp,
    ) -> Result<(), AppendError> {
        let previous = append.previous;
        if self.meta.log.epoch_at(previous.index) != Some(previous.epoch) {
            return Err(AppendError::Diverged);
        }
        let Some(first_new) = self.first_difference(append)? else {
            return Ok(());
        };
        let entries = decode_entries(append, raw).ok_or(AppendError::Invalid)?;
        self.truncate_before_append(first_new)?;
        for received in entries {
            if received.index >= first_new {
                self.apply_received(received, now);
            }
        }
        self.extend_epochs(append);
        self.drop_jobs_missing_at_sender(append);
        Ok(())
    }

    /// Drops entries that contradict a received range; fails if a committed one does.
    fn truncate_before_append(&mut self, first_new: LogIndex) -> Result<(), AppendError> {
        if first_new > self.meta.log.last() {
            return Ok(());
        }
        if first_new <= self.meta.commit_index {
            log::error!(
                "batch: shard {}: rejected an append that contradicts committed entry {first_new}",
                self.shard
            );
            return Err(AppendError::Invalid);
        }
        let last = first_new - 1;
        self.meta.log.truncate(last);
        self.jobs.truncate(last);
        self.write(DiskWrite::Truncate(last));
        Ok(())
    }

    fn apply_received(&mut self, received: ReceivedEntry, now: Timestamp) {
        self.jobs.apply(
            received.index,
            &received.entry,
            received.bytes.len() as u64,
            received.raw_length,
            now,
        );
        self.write(DiskWrite::Put(received.index, received.bytes));
    }

    /// Drops jobs that the sender of a partial range has dropped: this replica may lack their last
    /// entries.
    fn drop_jobs_missing_at_sender(&mut self, append: &Append) {
        let Some(jobs) = &append.jobs else { return };
        let removed = self.jobs.drop_jobs_except(jobs, append.through);
        if !removed.is_empty() {
            self.write(DiskWrite::Remove(removed));
        }
    }

    /// The first index of a range at which the own log has another epoch or no entry.
    fn first_difference(&self, append: &Append) -> Result<Option<LogIndex>, AppendError> {
        let (after, through) = (append.previous.index, append.through);
        let own_runs = self.meta.log.runs(after + 1, through);
        // The epochs of both logs change at starts of runs only; the end of the own log counts as a
        // change, too.
        let run_starts = append.runs.iter().chain(&own_runs).map(|run| run.first);
        let candidates = run_starts
            .chain([self.meta.log.last() + 1])
            .filter(|index| *index > after && *index <= through);
        let mut first: Option<LogIndex> = None;
        for index in candidates {
            let theirs = epoch_in_runs(&append.runs, index).ok_or(AppendError::Invalid)?;
            if self.meta.log.epoch_at(index) != Some(theirs) {
                first = Some(first.map_or(index, |first| first.min(index)));
            }
        }
        Ok(first)
    }

    fn extend_epochs(&mut self, append: &Append) {
        let run_ends = append.runs.iter().skip(1).map(|next| next.first - 1);
        for (run, end) in append.runs.iter().zip(run_ends.chain([append.through])) {
            self.meta.log.extend(end, run.epoch);
        }
        self.meta_changed = true;
    }
}

/// Slices the entries out of a message's raw bytes; `None` if they don't match its head.
fn decode_entries(append: &Append, mut raw: Bytes) -> Option<Vec<ReceivedEntry>> {
    let mut entries = Vec::with_capacity(append.entries.len());
    let mut last = append.previous.index;
    for listed in &append.entries {
        let is_valid = listed.index > last
            && listed.index <= append.through
            && listed.length <= raw.len() as u64;
        if !is_valid {
            return None;
        }
        last = listed.index;
        let bytes = raw.split_to(listed.length as usize);
        let (entry, raw_entry) = framing::decode::<Entry>(&bytes)?;
        entries.push(ReceivedEntry {
            index: listed.index,
            entry,
            raw_length: raw_entry.len() as u64,
            bytes,
        });
    }
    Some(entries)
}
