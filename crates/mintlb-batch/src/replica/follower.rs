//! A replica takes what a primary of an epoch that it has not promised away sends.

use super::{AfterSync, DiskWrite, Effect, Replica};
use crate::entry::Entry;
use crate::epoch_history::epoch_in_runs;
use crate::framing;
use crate::job_table::Timestamp;
use crate::peer::{Append, PeerMessage};
use bytes::Bytes;
use mintlb_common::placement::StoreId;

/// The most bytes of entries in one message; a single longer entry is sent alone.
pub(super) const MAX_APPEND_BYTES: u64 = 512 << 10;

/// Why a part of a log was not taken.
pub(super) enum AppendError {
    /// The place before it is not in the own log.
    Diverged,
    /// It can't be read, or contradicts what is committed.
    Invalid,
}

impl Replica {
    pub(super) fn on_append(
        &mut self,
        from: StoreId,
        epoch: u64,
        append: Append,
        raw: Bytes,
        now: Timestamp,
    ) {
        if epoch < self.meta.current_epoch {
            return self.send_fenced(from);
        }
        if epoch > self.meta.current_epoch {
            self.advance_epoch(epoch);
            self.step_down();
        }
        let echo = append.sent_at;
        let (through, commit_index) = (append.through, append.commit_index);
        let message = match self.apply_append(&append, raw, now) {
            Ok(()) => {
                self.set_committed(commit_index.min(through));
                PeerMessage::Appended {
                    matched: through,
                    echo,
                }
            }
            Err(AppendError::Diverged) => PeerMessage::Diverged {
                log: self.meta.log.clone(),
                echo,
            },
            Err(AppendError::Invalid) => return,
        };
        let answer = self.envelope(from, epoch, message);
        self.effects
            .push(Effect::AfterSync(AfterSync::Send(answer)));
    }

    /// Brings the own log in line with a part of another one.
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
        let Some(differs) = self.first_difference(append)? else {
            return Ok(());
        };
        let entries = decode_entries(append, raw).ok_or(AppendError::Invalid)?;
        if differs <= self.meta.log.last() {
            if differs <= self.meta.commit_index {
                log::error!(
                    "lots: shard {}: a committed entry is contradicted",
                    self.shard
                );
                return Err(AppendError::Invalid);
            }
            self.meta.log.truncate(differs - 1);
            self.jobs.truncate(differs - 1);
            self.effects
                .push(Effect::Write(DiskWrite::Truncate(differs - 1)));
        }
        for (index, entry, bytes, raw_length) in entries {
            if index >= differs {
                self.jobs
                    .apply(index, &entry, bytes.len() as u64, raw_length, now);
                self.effects
                    .push(Effect::Write(DiskWrite::Put(index, bytes)));
            }
        }
        self.extend_epochs(append);
        self.drop_jobs_missing_at_sender(append);
        Ok(())
    }

    /// Lots that the sender of a part has dropped, of which this replica may not have all entries.
    fn drop_jobs_missing_at_sender(&mut self, append: &Append) {
        let Some(jobs) = &append.jobs else { return };
        let removed = self.jobs.drop_jobs_except(jobs, append.through);
        if !removed.is_empty() {
            self.effects.push(Effect::Write(DiskWrite::Remove(removed)));
        }
    }

    /// The first index of a part at which the own log has another epoch or nothing.
    fn first_difference(&self, append: &Append) -> Result<Option<u64>, AppendError> {
        // Epochs of both change at run starts only; the own log's end is a change as well.
        let own_runs = self
            .meta
            .log
            .runs(append.previous.index + 1, append.through);
        let starts = append
            .runs
            .iter()
            .chain(&own_runs)
            .map(|run| run.first)
            .chain([self.meta.log.last() + 1]);
        let inside =
            starts.filter(|first| *first > append.previous.index && *first <= append.through);
        let mut first = None;
        for index in inside {
            let theirs = epoch_in_runs(&append.runs, index).ok_or(AppendError::Invalid)?;
            if self.meta.log.epoch_at(index) != Some(theirs) {
                first = Some(first.map_or(index, |first: u64| first.min(index)));
            }
        }
        Ok(first)
    }

    fn extend_epochs(&mut self, append: &Append) {
        for (i, run) in append.runs.iter().enumerate() {
            let end = append
                .runs
                .get(i + 1)
                .map_or(append.through, |next| next.first - 1);
            self.meta.log.extend(end, run.epoch);
        }
        self.meta_changed = true;
    }

    /// Notes what is committed; whether that is news.
    pub(super) fn set_committed(&mut self, commit_index: u64) -> bool {
        let advanced = commit_index > self.meta.commit_index;
        if advanced {
            // Written with the next change: a replica that restarts hears of it again.
            self.meta.commit_index = commit_index;
        }
        advanced
    }

    pub(super) fn on_new_epoch(&mut self, from: StoreId, epoch: u64) {
        if epoch < self.meta.current_epoch {
            return self.send_fenced(from);
        }
        if epoch > self.meta.current_epoch {
            self.advance_epoch(epoch);
            self.step_down();
        }
        let answer = self.envelope(
            from,
            epoch,
            PeerMessage::EpochAck {
                log: self.meta.log.clone(),
            },
        );
        self.effects
            .push(Effect::AfterSync(AfterSync::Send(answer)));
    }

    pub(super) fn on_fetch(&mut self, from: StoreId, epoch: u64, after: u64) {
        if epoch != self.meta.current_epoch {
            return self.send_fenced(from);
        }
        let (append, indexes) = self.log_after(after, self.meta.log.last(), MAX_APPEND_BYTES);
        let envelope = self.envelope(from, epoch, PeerMessage::Fetched(append));
        self.effects.push(Effect::SendEntries(envelope, indexes));
    }

    fn send_fenced(&mut self, to: StoreId) {
        let fenced = self.envelope(to, self.meta.current_epoch, PeerMessage::Fenced);
        self.effects
            .push(Effect::AfterSync(AfterSync::Send(fenced)));
    }

    pub(super) fn on_fenced(&mut self, current_epoch: u64) {
        if current_epoch > self.leading_epoch() {
            self.step_down();
        }
    }

    /// The epoch this replica is or wants to be the primary of; none is above all.
    fn leading_epoch(&self) -> u64 {
        match &self.role {
            super::Role::Follower => u64::MAX,
            super::Role::TakingOver(takeover) => takeover.epoch,
            super::Role::Primary(primary) => primary.epoch,
        }
    }
}

/// Cuts the entries of a part out of its raw bytes; `None` if they don't fit.
fn decode_entries(append: &Append, mut raw: Bytes) -> Option<Vec<(u64, Entry, Bytes, u64)>> {
    let mut entries = Vec::with_capacity(append.entries.len());
    let mut last = append.previous.index;
    for entry in &append.entries {
        if entry.index <= last || entry.index > append.through || entry.length > raw.len() as u64 {
            return None;
        }
        last = entry.index;
        let bytes = raw.split_to(entry.length as usize);
        let (head, raw_entry) = framing::decode::<Entry>(&bytes)?;
        entries.push((entry.index, head, bytes, raw_entry.len() as u64));
    }
    Some(entries)
}
