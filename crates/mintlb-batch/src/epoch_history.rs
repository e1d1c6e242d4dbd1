//! Which epoch wrote which part of a shard's log.
//!
//! A log is a row of entries with rising indexes from 1. The primary of an epoch is the only one that appends
//! in it, and hands an index out once only, so two logs that hold the same epoch at one index are equal up to
//! there (but for entries that one of them no longer needs and has dropped). Only the runs of equal epochs
//! are kept.

use minicbor::{Decode, Encode};

/// Entries of one epoch in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EpochRun {
    /// The first index.
    #[n(0)]
    pub first: u64,
    /// The epoch that wrote them.
    #[n(1)]
    pub epoch: u64,
}

/// A place in a log: an index and the epoch that wrote it. Ordered as takeovers choose: the later epoch is
/// ahead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct LogPosition {
    /// The epoch.
    #[n(0)]
    pub epoch: u64,
    /// The index; 0 is before the first entry.
    #[n(1)]
    pub index: u64,
}

/// The epochs of a whole log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EpochHistory {
    /// Rising in `first` and in `epoch`.
    #[n(0)]
    runs: Vec<EpochRun>,
    /// The last index; 0 if the log is empty.
    #[n(1)]
    last: u64,
}

impl EpochHistory {
    /// The last index; 0 if the log is empty.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The place of the last entry.
    pub fn end(&self) -> LogPosition {
        LogPosition {
            epoch: self.runs.last().map_or(0, |run| run.epoch),
            index: self.last,
        }
    }

    /// The epoch at an index; 0 before the first entry and `None` behind the last.
    pub fn epoch_at(&self, index: u64) -> Option<u64> {
        if index == 0 {
            return Some(0);
        }
        if index > self.last {
            return None;
        }
        let after = self.runs.partition_point(|run| run.first <= index);
        after.checked_sub(1).map(|run| self.runs[run].epoch)
    }

    /// Lengthens the log up to `through` with entries of this epoch.
    pub fn extend(&mut self, through: u64, epoch: u64) {
        if through <= self.last {
            return;
        }
        if self.runs.last().is_none_or(|run| run.epoch != epoch) {
            self.runs.push(EpochRun {
                first: self.last + 1,
                epoch,
            });
        }
        self.last = through;
    }

    /// Drops everything behind `last`.
    pub fn truncate(&mut self, last: u64) {
        self.last = self.last.min(last);
        while self.runs.last().is_some_and(|run| run.first > self.last) {
            self.runs.pop();
        }
    }

    /// The runs between two indexes, both included.
    pub fn runs(&self, first: u64, through: u64) -> Vec<EpochRun> {
        let mut runs = Vec::new();
        let mut index = first;
        while index <= through.min(self.last) {
            let after = self.runs.partition_point(|run| run.first <= index);
            let Some(run) = after.checked_sub(1).map(|run| self.runs[run]) else {
                break;
            };
            runs.push(EpochRun {
                first: index,
                epoch: run.epoch,
            });
            let Some(next) = self.runs.get(after) else {
                break;
            };
            index = next.first;
        }
        runs
    }

    /// The last index up to which both logs are equal.
    pub fn common(&self, other: &EpochHistory) -> u64 {
        let shorter = self.last.min(other.last);
        let equal = |index: u64| self.epoch_at(index) == other.epoch_at(index);
        if equal(shorter) {
            return shorter;
        }
        // Epochs differ from some index on; that one begins a run in one of the logs.
        let firsts = self.runs.iter().chain(&other.runs).map(|run| run.first);
        let equal_before = |first: u64| first <= shorter && !equal(first);
        firsts
            .filter(|first| equal_before(*first))
            .min()
            .map_or(0, |first| first - 1)
    }
}

/// The epoch at an index by a message's runs; `None` before the first of them.
pub fn epoch_in_runs(runs: &[EpochRun], index: u64) -> Option<u64> {
    let after = runs.partition_point(|run| run.first <= index);
    after.checked_sub(1).map(|run| runs[run].epoch)
}
