//! A batch job as the log of its shard describes it.

use crate::entry::{ItemState, JobHeader, JobTerms};
use crate::epoch_history::LogIndex;
use crate::messages::JobName;
use crate::quota::QuotaAccount;
use crate::timestamp::Timestamp;
use std::ops::Range;
use std::time::Duration;

/// Estimated bytes of a result while the job has none to take an average of.
const DEFAULT_RESULT_BYTES: u64 = 2 << 10;

/// A batch job: its items and the results recorded so far.
#[derive(Clone, Debug)]
pub struct BatchJob {
    /// Index of the log entry that accepted the job; identifies it within its shard.
    pub index: LogIndex,
    /// Host and client-assigned id.
    pub name: JobName,
    /// The route and the tenant that the job's tokens are counted by.
    pub account: QuotaAccount,
    /// Deadlines and retry limits.
    pub terms: JobTerms,
    /// The items, in the client's order.
    pub items: Vec<JobItem>,
    /// Recorded results by position. Positions never change: results are only ever appended, and a
    /// committed one is never undone.
    pub results: Vec<RecordedResult>,
    /// Index of the entry that ended the job, if it was ended.
    pub ended: Option<LogIndex>,
    /// Indexes of the entries that count failed attempts, in ascending order.
    pub(super) failure_entries: Vec<LogIndex>,
    /// Whether the payloads of the items are still on disk.
    pub has_payloads: bool,
    /// When this process applied the entry that accepted the job.
    pub(super) applied_at: Timestamp,
}

/// An item of a job.
#[derive(Clone, Debug)]
pub struct JobItem {
    /// The client's `instance_id`.
    pub id: Box<str>,
    /// Prompt tokens and maximum output tokens.
    pub tokens: u64,
    /// Length of the payload in bytes.
    pub length: u64,
    /// Position of its result, once recorded.
    pub position: Option<u32>,
    /// Number of its failed attempts, over all owners.
    pub failed_attempts: u32,
}

/// The result of an item, as far as it is kept in memory; its text is on disk only.
#[derive(Clone, Copy, Debug)]
pub struct RecordedResult {
    /// Index of the log entry that holds the text.
    pub index: LogIndex,
    /// Offset of the item within the job.
    pub item: u32,
    /// Final state of the item.
    pub state: ItemState,
    /// Length of the log entry in bytes.
    pub length: u64,
}

impl BatchJob {
    pub(super) fn new(
        index: LogIndex,
        header: &JobHeader,
        payload_bytes: u64,
        now: Timestamp,
    ) -> Self {
        let items = header.items.iter().map(|item| JobItem {
            id: item.id.as_str().into(),
            tokens: item.tokens,
            length: item.length,
            position: None,
            failed_attempts: 0,
        });
        let mut job = BatchJob {
            index,
            name: header.name(),
            account: QuotaAccount::from(header),
            terms: header.terms,
            items: items.collect(),
            results: Vec::new(),
            ended: None,
            failure_entries: Vec::new(),
            has_payloads: false,
            applied_at: now,
        };
        // A stripped entry has lost its payloads.
        job.has_payloads = payload_bytes == job.payload_bytes();
        job
    }

    /// Number of results whose entries are committed.
    pub fn committed_results(&self, commit_index: LogIndex) -> usize {
        self.results
            .partition_point(|result| result.index <= commit_index)
    }

    /// How long ago this process applied the entry that accepted the job.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.saturating_since(self.applied_at)
    }

    /// Whether no item of the job is pending: it was ended, or every item has a result.
    pub fn is_done(&self) -> bool {
        self.ended.is_some() || self.results.len() == self.items.len()
    }

    /// Offset of the item with this `instance_id`.
    pub fn item(&self, id: &str) -> Option<usize> {
        self.items.iter().position(|item| &*item.id == id)
    }

    /// Byte range of an item's payload within the concatenated payloads of the job.
    ///
    /// # Panics
    ///
    /// If the job has no item at this offset.
    pub fn payload_range(&self, item: usize) -> Range<usize> {
        let start: u64 = self.items[..item].iter().map(|item| item.length).sum();
        start as usize..(start + self.items[item].length) as usize
    }

    /// Items without a result, with their offsets; none once the job is ended.
    pub fn pending_items(&self) -> impl Iterator<Item = (u32, &JobItem)> {
        let items = match self.ended {
            Some(_) => &[][..],
            None => &self.items[..],
        };
        (0..).zip(items).filter(|(_, item)| item.position.is_none())
    }

    /// Whether there is an item at this offset that is still to get a result.
    pub fn is_pending(&self, item: u32) -> bool {
        let item = self.items.get(item as usize);
        self.ended.is_none() && item.is_some_and(|item| item.position.is_none())
    }

    /// When all results are due, as Unix time in ms.
    pub fn due_at_ms(&self) -> u64 {
        self.terms
            .sent_at_ms
            .saturating_add(self.terms.completion_target_ms)
    }

    /// Sort key of open jobs: by due time, then by acceptance.
    pub(super) fn due_order(&self) -> (u64, LogIndex) {
        (self.due_at_ms(), self.index)
    }

    /// Tokens of the pending items.
    pub(super) fn queued_tokens(&self) -> u64 {
        self.pending_items().map(|(_, item)| item.tokens).sum()
    }

    /// Estimated bytes of the results still to be recorded: the average of those recorded so far
    /// for each.
    pub(super) fn expected_result_bytes(&self) -> u64 {
        let recorded: u64 = self.results.iter().map(|result| result.length).sum();
        let average = recorded
            .checked_div(self.results.len() as u64)
            .unwrap_or(DEFAULT_RESULT_BYTES);
        average * (self.items.len() - self.results.len()) as u64
    }

    pub(super) fn payload_bytes(&self) -> u64 {
        self.items.iter().map(|item| item.length).sum()
    }

    /// Index of the job's last entry: the job's state is final only once that is committed.
    pub(super) fn last_index(&self) -> LogIndex {
        let last_result = self.results.last().map_or(self.index, |last| last.index);
        let last_failure = self.failure_entries.last().copied();
        last_result
            .max(self.ended.unwrap_or(0))
            .max(last_failure.unwrap_or(0))
    }
}
