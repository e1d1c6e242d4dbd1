//! A replica takes what a primary of an epoch that it has not promised away sends.

use super::{AfterSync, DiskWrite, Effect, Replica};
use crate::entry::Entry;
use crate::framing;
use crate::job_table::Timestamp;
use crate::log_index::epoch_in_runs;
use crate::peer::{Append, PeerMessage};
use bytes::Bytes;
use mintlb_common::placement::StoreId;

/// The most bytes of entries in one message; a single longer entry is sent alone.
pub(super) const PART_BYTES: u64 = 512 << 10;

/// Why a part of a log was not taken.
pub(super) enum NotTaken {
    /// The place before it is not in the own log.
    Diverged,
    /// It can't be read, or contradicts what is committed.
    Wrong,
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
            return self.refuse(from);
        }
        if epoch > self.meta.current_epoch {
            self.advance_epoch(epoch);
            self.step_down();
        }
        let echo = append.sent_at;
        let (through, committed) = (append.through, append.committed);
        let message = match self.take_part(&append, raw, now) {
            Ok(()) => {
                self.set_committed(committed.min(through));
                PeerMessage::Appended {
                    matched: through,
                    echo,
                }
            }
            Err(NotTaken::Diverged) => PeerMessage::Diverged {
                log: self.meta.log.clone(),
                echo,
            },
            Err(NotTaken::Wrong) => return,
        };
        let answer = self.envelope(from, epoch, message);
        self.effects
            .push(Effect::AfterSync(AfterSync::Send(answer)));
    }

    /// Brings the own log in line with a part of another one.
    pub(super) fn take_part(
        &mut self,
        part: &Append,
        raw: Bytes,
        now: Timestamp,
    ) -> Result<(), NotTaken> {
        let previous = part.previous;
        if self.meta.log.epoch_at(previous.index) != Some(previous.epoch) {
            return Err(NotTaken::Diverged);
        }
        let Some(differs) = self.first_difference(part)? else {
            return Ok(());
        };
        let entries = read_entries(part, raw).ok_or(NotTaken::Wrong)?;
        if differs <= self.meta.log.last() {
            if differs <= self.meta.committed {
                log::error!(
                    "lots: shard {}: a committed entry is contradicted",
                    self.shard
                );
                return Err(NotTaken::Wrong);
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
        self.extend_by(part);
        self.drop_lots_that_are_gone(part);
        Ok(())
    }

    /// Lots that the sender of a part has dropped, of which this replica may not have all entries.
    fn drop_lots_that_are_gone(&mut self, part: &Append) {
        let Some(jobs) = &part.jobs else { return };
        let removed = self.jobs.drop_all_but(jobs, part.through);
        if !removed.is_empty() {
            self.effects.push(Effect::Write(DiskWrite::Remove(removed)));
        }
    }

    /// The first index of a part at which the own log has another epoch or nothing.
    fn first_difference(&self, part: &Append) -> Result<Option<u64>, NotTaken> {
        // Epochs of both change at run starts only; the own log's end is a change as well.
        let own_runs = self.meta.log.runs(part.previous.index + 1, part.through);
        let starts = part
            .runs
            .iter()
            .chain(&own_runs)
            .map(|run| run.first)
            .chain([self.meta.log.last() + 1]);
        let inside = starts.filter(|first| *first > part.previous.index && *first <= part.through);
        let mut first = None;
        for index in inside {
            let theirs = epoch_in_runs(&part.runs, index).ok_or(NotTaken::Wrong)?;
            if self.meta.log.epoch_at(index) != Some(theirs) {
                first = Some(first.map_or(index, |first: u64| first.min(index)));
            }
        }
        Ok(first)
    }

    fn extend_by(&mut self, part: &Append) {
        for (i, run) in part.runs.iter().enumerate() {
            let end = part
                .runs
                .get(i + 1)
                .map_or(part.through, |next| next.first - 1);
            self.meta.log.extend(end, run.epoch);
        }
        self.meta_changed = true;
    }

    /// Notes what is committed; whether that is news.
    pub(super) fn set_committed(&mut self, committed: u64) -> bool {
        let news = committed > self.meta.committed;
        if news {
            // Written with the next change: a replica that restarts hears of it again.
            self.meta.committed = committed;
        }
        news
    }

    pub(super) fn on_collect(&mut self, from: StoreId, epoch: u64) {
        if epoch < self.meta.current_epoch {
            return self.refuse(from);
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
            return self.refuse(from);
        }
        let (part, indexes) = self.part(after, self.meta.log.last(), PART_BYTES);
        let envelope = self.envelope(from, epoch, PeerMessage::Fetched(part));
        self.effects.push(Effect::SendEntries(envelope, indexes));
    }

    fn refuse(&mut self, to: StoreId) {
        let fenced = self.envelope(to, self.meta.current_epoch, PeerMessage::Fenced);
        self.effects
            .push(Effect::AfterSync(AfterSync::Send(fenced)));
    }

    pub(super) fn on_fenced(&mut self, current_epoch: u64) {
        if current_epoch > self.own_epoch() {
            self.step_down();
        }
    }

    /// The epoch this replica is or wants to be the primary of; none is above all.
    fn own_epoch(&self) -> u64 {
        match &self.role {
            super::Role::Follower => u64::MAX,
            super::Role::TakingOver(takeover) => takeover.epoch,
            super::Role::Primary(primary) => primary.epoch,
        }
    }
}

/// Cuts the entries of a part out of its raw bytes; `None` if they don't fit.
fn read_entries(part: &Append, mut raw: Bytes) -> Option<Vec<(u64, Entry, Bytes, u64)>> {
    let mut entries = Vec::with_capacity(part.entries.len());
    let mut last = part.previous.index;
    for entry in &part.entries {
        if entry.index <= last || entry.index > part.through || entry.length > raw.len() as u64 {
            return None;
        }
        last = entry.index;
        let bytes = raw.split_to(entry.length as usize);
        let (head, raw_entry) = framing::decode::<Entry>(&bytes)?;
        entries.push((entry.index, head, bytes, raw_entry.len() as u64));
    }
    Some(entries)
}
