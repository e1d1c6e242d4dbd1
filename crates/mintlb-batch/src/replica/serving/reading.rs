//! Requests that read. The caller has to have [`Replica::confirm`] return true first, lest a
//! deposed primary answers from an outdated log.

use super::Replica;
use crate::epoch_history::LogIndex;
use crate::job_table::BatchJob;
use crate::messages::{JobName, Page, PageResult};
use std::ops::Range;

/// A page of results, without their texts.
#[derive(Clone, Debug, PartialEq)]
pub struct PagePlan {
    /// The page; the driver fills in the lengths.
    pub page: Page,
    /// The entry that holds the text of each result.
    pub entries: Vec<LogIndex>,
}

/// Where the payload of an item is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct PayloadLocation {
    /// The entry that accepted the job.
    pub entry: LogIndex,
    /// Byte range within the raw part of the entry.
    pub range: Range<usize>,
}

impl Replica {
    /// A job whose acceptance is committed.
    pub fn committed_job(&self, name: &JobName) -> Option<&BatchJob> {
        self.jobs
            .find(name)
            .filter(|job| job.index <= self.meta.commit_index)
    }

    /// Committed results of a job from position `start_after` on, up to `max_bytes` of entries but
    /// at least one. `None` if there is no such job.
    pub fn page(&self, name: &JobName, start_after: u64, max_bytes: u64) -> Option<PagePlan> {
        let job = self.committed_job(name)?;
        let committed = job.committed_results(self.meta.commit_index);
        let start = (start_after as usize).min(committed);
        let mut results = Vec::new();
        let mut entries: Vec<LogIndex> = Vec::new();
        let mut bytes = 0;
        for result in &job.results[start..committed] {
            bytes += result.length;
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            results.push(PageResult {
                item: job.items[result.item as usize].id.to_string(),
                state: result.state,
                length: 0,
            });
            entries.push(result.index);
        }
        let page = Page {
            total: job.items.len() as u64,
            next: start_after + entries.len() as u64,
            results,
        };
        Some(PagePlan { page, entries })
    }

    /// Where the payload of an item is stored. `None` if there is no such item, or it has a
    /// committed result, or its job was ended.
    pub fn payload(&self, name: &JobName, item: &str) -> Option<PayloadLocation> {
        let job = self.committed_job(name)?;
        let item = job.item(item)?;
        let is_committed = |index: LogIndex| index <= self.meta.commit_index;
        let has_result = job.items[item]
            .position
            .is_some_and(|position| is_committed(job.results[position as usize].index));
        let is_ended = job.ended.is_some_and(is_committed);
        (job.has_payloads && !has_result && !is_ended).then(|| PayloadLocation {
            entry: job.index,
            range: job.payload_range(item),
        })
    }
}
