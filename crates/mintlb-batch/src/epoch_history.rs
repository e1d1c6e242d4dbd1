//! Which epoch wrote which entries of a shard's log.
//!
//! Indexes rise from 1. Only the primary of an epoch appends in it, and it assigns each index once.
//! Hence Raft's log matching property (Ongaro and Ousterhout 2014, section 5.3) holds: two logs
//! with the same epoch at an index are equal up to that index, apart from entries that one of them
//! has dropped as no longer needed. It is enough to keep the start index of each epoch to find
//! where two logs diverge, as Kafka does with its leader epochs (KIP-101).

use minicbor::{Decode, Encode};

/// Index of a log entry, from 1; 0 stands for the position before the first entry.
pub type LogIndex = u64;

/// Number of an epoch: the reign of one primary of a shard. Each change of a shard's assignment
/// raises it, so that messages of deposed primaries are recognized and rejected (fencing).
pub type Epoch = u64;

/// Consecutive entries of one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EpochRun {
    /// Index of the first entry.
    #[n(0)]
    pub first: LogIndex,
    /// The epoch that wrote them.
    #[n(1)]
    pub epoch: Epoch,
}

/// Position in a log: an index and the epoch of the entry there.
///
/// Ordered by epoch, then by index: the greatest position among the logs of a quorum is the end of
/// the log that a new primary has to adopt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct LogPosition {
    /// The epoch; 0 before the first entry.
    #[n(0)]
    pub epoch: Epoch,
    /// The index.
    #[n(1)]
    pub index: LogIndex,
}

/// The epochs of all entries of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EpochHistory {
    /// Ascending in `first` and in `epoch`.
    #[n(0)]
    runs: Vec<EpochRun>,
    /// Index of the last entry.
    #[n(1)]
    last: LogIndex,
}

impl EpochHistory {
    /// Index of the last entry; 0 if the log is empty.
    pub fn last(&self) -> LogIndex {
        self.last
    }

    /// Position of the last entry.
    pub fn end(&self) -> LogPosition {
        LogPosition {
            epoch: self.runs.last().map_or(0, |run| run.epoch),
            index: self.last,
        }
    }

    /// Epoch of the entry at an index; 0 before the first entry and `None` after the last.
    pub fn epoch_at(&self, index: LogIndex) -> Option<Epoch> {
        if index == 0 {
            return Some(0);
        }
        if index > self.last {
            return None;
        }
        epoch_in_runs(&self.runs, index)
    }

    /// Appends entries of this epoch up to `through`.
    pub fn extend(&mut self, through: LogIndex, epoch: Epoch) {
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

    /// Drops all entries after `last`.
    pub fn truncate(&mut self, last: LogIndex) {
        self.last = self.last.min(last);
        while self.runs.last().is_some_and(|run| run.first > self.last) {
            self.runs.pop();
        }
    }

    /// The runs between two indexes, both inclusive.
    pub fn runs(&self, first: LogIndex, through: LogIndex) -> Vec<EpochRun> {
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
    pub fn common(&self, other: &EpochHistory) -> LogIndex {
        let shorter = self.last.min(other.last);
        let equal = |index: LogIndex| self.epoch_at(index) == other.epoch_at(index);
        if equal(shorter) {
            return shorter;
        }
        // The epochs differ from some index on, and that one starts a run in one of the logs.
        let run_starts = self.runs.iter().chain(&other.runs).map(|run| run.first);
        run_starts
            .filter(|first| *first <= shorter && !equal(*first))
            .min()
            .map_or(0, |first| first - 1)
    }
}

/// Epoch of the entry at an index by the runs of a message; `None` before the first of them.
pub fn epoch_in_runs(runs: &[EpochRun], index: LogIndex) -> Option<Epoch> {
    let after = runs.partition_point(|run| run.first <= index);
    after.checked_sub(1).map(|run| runs[run].epoch)
}
