//! Requests that append to the log. They are answered once their entry is committed.

use super::Replica;
use crate::entry::{Entry, ItemState, JobHeader};
use crate::epoch_history::LogIndex;
use crate::messages::{JobName, StoreResponse, Submit};
use crate::quota::{QuotaAccount, ShardAllowance, Shortage};
use crate::timestamp::Timestamp;
use bytes::Bytes;

/// How a request that may change the log is to be answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Proposal {
    /// At once.
    Immediate(StoreResponse),
    /// Once the log is committed up to an index.
    AfterCommit {
        /// Index of the entry to wait for.
        index: LogIndex,
        /// The response.
        response: StoreResponse,
    },
    /// Once the log is committed up to an index, and after a comparison: a job with this name was
    /// accepted before. If its items on disk equal the submitted ones the request is a repeated
    /// submission, otherwise a conflict.
    CompareItems {
        /// Index of the entry that accepted the job.
        index: LogIndex,
        /// The response if the items are equal.
        response: StoreResponse,
    },
    /// Not before the shard's allowance is raised: to be proposed again then.
    NeedsAllowance(Shortage),
}

impl Replica {
    /// Accepts a job if it fits into the shard's allowance of its account's quota, and leases its
    /// items to the submitting dispatcher. `raw` is the concatenated payloads.
    pub fn submit(&mut self, submit: &Submit, raw: &Bytes, now: Timestamp) -> Proposal {
        if !self.is_serving() || submit.epoch != self.assignment.epoch {
            return Proposal::Immediate(StoreResponse::NotPrimary);
        }
        let (header, owner) = (&submit.job, submit.owner);
        if let Some(job) = self.jobs.find(&header.name()) {
            let leased = self.leases.owns_all(job, owner) && !job.is_done();
            return Proposal::CompareItems {
                index: job.index,
                response: StoreResponse::Accepted { leased },
            };
        }
        let payload_bytes: u64 = header.items.iter().map(|item| item.length).sum();
        if payload_bytes != raw.len() as u64 {
            return Proposal::Immediate(StoreResponse::NotPrimary);
        }
        if let Err(shortage) = self.admit(header, submit.max_queued_tokens) {
            return Proposal::NeedsAllowance(shortage);
        }
        let items = header.items.len();
        let index = self.append_as_primary(&Entry::Accepted(header.clone()), &[raw], now);
        self.leases.grant_all(index, items, owner, now);
        Proposal::AfterCommit {
            index,
            response: StoreResponse::Accepted { leased: true },
        }
    }

    /// Whether a job fits into the shard's allowance.
    fn admit(&mut self, header: &JobHeader, max_queued_tokens: u64) -> Result<(), Shortage> {
        if max_queued_tokens == 0 {
            return Ok(());
        }
        let tokens: u64 = header.items.iter().map(|item| item.tokens).sum();
        let account = QuotaAccount::from(header);
        let queued = self.jobs.queued_tokens(&account);
        let admitted = self
            .allowances
            .admit(&account, max_queued_tokens, queued, tokens);
        admitted.map_err(|shortage| Shortage {
            held: ShardAllowance {
                shard: self.shard,
                epoch: self.assignment.epoch,
                ..shortage.held
            },
            ..shortage
        })
    }

    /// Whether a job's header on disk has the same items as a submitted one, and the same tenant or
    /// none: it may have been accepted before there were tenants. The driver compares the payloads.
    pub fn same_items(stored: &JobHeader, submitted: &JobHeader) -> bool {
        let is_same_tenant = stored.tenant.is_none() || stored.tenant == submitted.tenant;
        is_same_tenant && stored.items == submitted.items
    }

    /// Records the result of an item, unless it has one. `text` is the result's text.
    pub fn record(
        &mut self,
        name: &JobName,
        item: u32,
        state: ItemState,
        text: &Bytes,
        now: Timestamp,
    ) -> Proposal {
        if !self.is_serving() {
            return Proposal::Immediate(StoreResponse::NotPrimary);
        }
        let Some(job) = self.jobs.find(name) else {
            return Proposal::Immediate(StoreResponse::NotFound);
        };
        let Some(recorded) = job.items.get(item as usize) else {
            return Proposal::Immediate(StoreResponse::NotFound);
        };
        let result = recorded
            .position
            .map(|position| job.results[position as usize].index);
        if let Some(index) = result.or(job.ended) {
            return self.after_commit(index, StoreResponse::Recorded);
        }
        let entry = Entry::Result {
            job: job.index,
            item,
            state,
        };
        let index = self.append_as_primary(&entry, &[text], now);
        let response = StoreResponse::Recorded;
        Proposal::AfterCommit { index, response }
    }

    /// Ends a job for good.
    pub fn end(&mut self, name: &JobName, now: Timestamp) -> Proposal {
        if !self.is_serving() {
            return Proposal::Immediate(StoreResponse::NotPrimary);
        }
        let Some(job) = self.jobs.find(name) else {
            return Proposal::Immediate(StoreResponse::NotFound);
        };
        if let Some(index) = job.ended {
            return self.after_commit(index, StoreResponse::Ended);
        }
        let entry = Entry::Ended { job: job.index };
        let index = self.append_as_primary(&entry, &[], now);
        let response = StoreResponse::Ended;
        Proposal::AfterCommit { index, response }
    }

    /// The response to a request whose entry was appended before.
    fn after_commit(&self, index: LogIndex, response: StoreResponse) -> Proposal {
        match index <= self.meta.commit_index {
            true => Proposal::Immediate(response),
            false => Proposal::AfterCommit { index, response },
        }
    }
}
