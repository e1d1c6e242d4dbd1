//! Dispatchers' calls at the primary in charge. What changes the log is answered once it is committed.

use super::{Replica, Role};
use crate::entry::{Entry, ItemState, JobHeader};
use crate::job_table::{BatchJob, Timestamp};
use crate::messages::{
    DispatcherId, JobName, LeasedItemHeader, LeasedItems, Page, PageResult, RenewResult,
    StoreResponse,
};
use bytes::Bytes;

/// What comes of a call that may change the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Proposal {
    /// Answer this at once.
    Done(StoreResponse),
    /// Answer this once the log is committed up to the index.
    Pending(u64, StoreResponse),
    /// A lot with this id is there, by the entry at this index: compare its items on disk with the new ones
    /// once the log is committed up to there; equal items are answered with the answer, others are a
    /// conflict.
    Compare(u64, StoreResponse),
}

/// A page of results: the entries that hold the texts, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct PagePlan {
    /// The page; lengths are filled in by the driver.
    pub page: Page,
    /// The entry of each result.
    pub entries: Vec<u64>,
}

/// Items to lease, and where their payloads lie.
#[derive(Clone, Debug, PartialEq)]
pub struct LeasePlan {
    /// The item.
    pub head: LeasedItemHeader,
    /// The entry of its lot.
    pub entry: u64,
    /// Where its payload lies within the raw part of the entry.
    pub range: std::ops::Range<usize>,
}

impl Replica {
    /// Whether this is the primary in charge and the controllers know it.
    pub fn is_serving(&self) -> bool {
        match &self.role {
            Role::Primary(primary) => {
                primary.active
                    && primary.epoch == self.assignment.epoch
                    && self.assignment.previous.is_empty()
            }
            _ => false,
        }
    }

    /// Whether this is the primary of its epoch, in charge or not yet.
    pub fn is_primary(&self) -> bool {
        matches!(self.role, Role::Primary(_))
    }

    /// The epoch of the assignment in force here.
    pub fn epoch(&self) -> u64 {
        self.assignment.epoch
    }

    /// Takes a lot, if it fits; its items are leased to `owner`.
    pub fn submit(
        &mut self,
        epoch: u64,
        head: JobHeader,
        raw: &Bytes,
        owner: DispatcherId,
        max_queued_tokens: u64,
        now: Timestamp,
    ) -> Proposal {
        if !self.is_serving() || epoch != self.assignment.epoch {
            return Proposal::Done(StoreResponse::NotPrimary);
        }
        let name = JobName {
            host: head.host.clone(),
            id: head.id.clone(),
        };
        if let Some((index, job)) = self.jobs.find(&name) {
            let leased = self.leases.owns_all(index, job, owner) && !job.is_done();
            return Proposal::Compare(index, StoreResponse::Accepted { leased });
        }
        let lengths: u64 = head.items.iter().map(|item| item.length).sum();
        if lengths != raw.len() as u64 {
            return Proposal::Done(StoreResponse::NotPrimary);
        }
        let tokens: u64 = head.items.iter().map(|item| item.tokens).sum();
        let waiting = self.jobs.queued_tokens(&head.route);
        if max_queued_tokens > 0 && waiting.saturating_add(tokens) > max_queued_tokens {
            return Proposal::Done(StoreResponse::QuotaExceeded);
        }
        let items = head.items.len();
        let index = self.append_own(&Entry::Accepted(head), &[raw], now);
        self.leases.grant_all(index, items, owner, now);
        Proposal::Pending(index, StoreResponse::Accepted { leased: true })
    }

    /// Whether a lot's head, as it lies on disk, has the same items as a new one. Payloads are compared by
    /// the driver.
    pub fn same_items(stored: &JobHeader, new: &JobHeader) -> bool {
        stored.items == new.items
    }

    /// Lists the result of an item, the first time.
    pub fn record(
        &mut self,
        name: &JobName,
        item: u32,
        state: ItemState,
        text: &Bytes,
        now: Timestamp,
    ) -> Proposal {
        if !self.is_serving() {
            return Proposal::Done(StoreResponse::NotPrimary);
        }
        let Some((job_index, job)) = self.jobs.find(name) else {
            return Proposal::Done(StoreResponse::NotFound);
        };
        let Some(stored_item) = job.items.get(item as usize) else {
            return Proposal::Done(StoreResponse::NotFound);
        };
        if let Some(position) = stored_item.position {
            let index = job.results[position as usize].index;
            return self.pending(index, StoreResponse::Recorded);
        }
        if let Some(index) = job.ended {
            return self.pending(index, StoreResponse::Recorded);
        }
        let entry = Entry::Result {
            job: job_index,
            item,
            state,
        };
        let index = self.append_own(&entry, &[text], now);
        Proposal::Pending(index, StoreResponse::Recorded)
    }

    /// Ends a lot.
    pub fn end(&mut self, name: &JobName, now: Timestamp) -> Proposal {
        if !self.is_serving() {
            return Proposal::Done(StoreResponse::NotPrimary);
        }
        let Some((job_index, job)) = self.jobs.find(name) else {
            return Proposal::Done(StoreResponse::NotFound);
        };
        if let Some(index) = job.ended {
            return self.pending(index, StoreResponse::Ended);
        }
        let index = self.append_own(&Entry::Ended { job: job_index }, &[], now);
        Proposal::Pending(index, StoreResponse::Ended)
    }

    fn pending(&self, index: u64, answer: StoreResponse) -> Proposal {
        match index <= self.meta.commit_index {
            true => Proposal::Done(answer),
            false => Proposal::Pending(index, answer),
        }
    }

    /// A committed lot, with the index of its entry. The caller has had [`Replica::confirm`] say yes.
    pub fn committed_job(&self, name: &JobName) -> Option<(u64, &BatchJob)> {
        self.jobs
            .find(name)
            .filter(|(index, _)| *index <= self.meta.commit_index)
    }

    /// Committed results of a lot from a position on.
    pub fn page(&self, name: &JobName, start_after: u64, max_bytes: u64) -> Option<PagePlan> {
        let (_, job) = self.committed_job(name)?;
        let commit_index = job.committed_results(self.meta.commit_index);
        let start = (start_after as usize).min(commit_index);
        let mut plan = PagePlan {
            page: Page {
                total: job.items.len() as u64,
                next: start_after,
                results: Vec::new(),
            },
            entries: Vec::new(),
        };
        let mut bytes = 0;
        for results in &job.results[start..commit_index] {
            bytes += results.length;
            if bytes > max_bytes && !plan.entries.is_empty() {
                break;
            }
            let item = job.items[results.item as usize].id.to_string();
            plan.page.results.push(PageResult {
                item,
                state: results.state,
                length: 0,
            });
            plan.entries.push(results.index);
        }
        plan.page.next += plan.entries.len() as u64;
        Some(plan)
    }

    /// Where the payload of an item lies that is not listed and not ended: its lot's entry and the range in
    /// it.
    pub fn payload(&self, name: &JobName, item: &str) -> Option<(u64, std::ops::Range<usize>)> {
        let (index, job) = self.committed_job(name)?;
        let item = job.item(item)?;
        let results = job.items[item]
            .position
            .is_some_and(|position| job.results[position as usize].index <= self.meta.commit_index);
        let ended = job
            .ended
            .is_some_and(|ended| ended <= self.meta.commit_index);
        (job.has_payloads && !results && !ended).then(|| (index, job.payload_range(item)))
    }

    /// Leases up to `max_items` items that nobody runs, as far as their payloads fit into `max_bytes`. The
    /// caller has had [`Replica::confirm`] say yes.
    pub fn lease(
        &mut self,
        owner: DispatcherId,
        max_items: usize,
        max_bytes: u64,
        now: Timestamp,
    ) -> Vec<LeasePlan> {
        if !self.is_serving() {
            return Vec::new();
        }
        let mut bytes = 0;
        let commit_index = self.meta.commit_index;
        let open = self.leases.open_items(&self.jobs, commit_index, now);
        let fits = |(job_index, item): &(u64, u32)| {
            bytes += self
                .jobs
                .get(*job_index)
                .map_or(0, |job| job.items[*item as usize].length);
            bytes <= max_bytes
        };
        let taken: Vec<(u64, u32)> = open.take(max_items).take_while(fits).collect();
        taken
            .into_iter()
            .filter_map(|(job_index, item)| self.lease_one(job_index, item, owner, now))
            .collect()
    }

    fn lease_one(
        &mut self,
        job_index: u64,
        item: u32,
        owner: DispatcherId,
        now: Timestamp,
    ) -> Option<LeasePlan> {
        let job = self.jobs.get(job_index)?;
        let stored_item = &job.items[item as usize];
        let head = LeasedItemHeader {
            job: job.name.clone(),
            route: job.route.clone(),
            terms: job.terms,
            index: item,
            item: stored_item.id.to_string(),
            tokens: stored_item.tokens,
            length: stored_item.length,
            failures: self.leases.failures(job_index, item),
        };
        let range = job.payload_range(item as usize);
        self.leases.grant(job_index, item, owner, now);
        Some(LeasePlan {
            head,
            entry: job_index,
            range,
        })
    }

    /// Renews leases; adds what is lost to `renewed`.
    pub fn renew(
        &mut self,
        owner: DispatcherId,
        leased: &LeasedItems,
        renewed: &mut RenewResult,
        now: Timestamp,
    ) {
        if !self.is_serving() {
            return;
        }
        let lost = match self.jobs.find(&leased.job) {
            Some((job_index, job)) => {
                leased
                    .failures
                    .iter()
                    .for_each(|(item, count)| self.leases.failed(job_index, job, *item, *count));
                self.leases.renew(job_index, job, &leased.items, owner, now)
            }
            None => leased.items.clone(),
        };
        if !lost.is_empty() {
            renewed.lost.push(LeasedItems {
                job: leased.job.clone(),
                items: lost,
                failures: Vec::new(),
            });
        }
    }

    /// Whether there are items that nobody runs.
    pub fn has_unleased_items(&self, now: Timestamp) -> bool {
        self.is_serving()
            && self
                .leases
                .open_items(&self.jobs, self.meta.commit_index, now)
                .next()
                .is_some()
    }

    /// How many items nobody runs.
    pub fn open_items(&self, now: Timestamp) -> u32 {
        match self.is_serving() {
            true => self
                .leases
                .open_items(&self.jobs, self.meta.commit_index, now)
                .count() as u32,
            false => 0,
        }
    }

    /// Gives all leases of a holder up.
    pub fn release(&mut self, owner: DispatcherId) {
        self.leases.release(owner);
    }
}
