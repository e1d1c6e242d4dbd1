//! Leasing of items to dispatchers.

use super::Replica;
use crate::entry::Entry;
use crate::leases::ItemRef;
use crate::messages::{DispatcherId, ItemFailures, LeasedItemHeader, LeasedItems, RenewResult};
use crate::replica::PayloadLocation;
use crate::timestamp::Timestamp;

/// An item that was leased, and where its payload is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct LeasePlan {
    /// The item.
    pub head: LeasedItemHeader,
    /// Its payload.
    pub payload: PayloadLocation,
}

impl Replica {
    /// Leases up to `max_items` items that nobody owns, as far as their payloads fit into
    /// `max_bytes`. The caller has to have [`Replica::confirm`] return true first.
    pub fn lease(
        &mut self,
        owner: DispatcherId,
        max_items: usize,
        max_bytes: u64,
        now: Timestamp,
    ) -> Vec<LeasePlan> {
        let mut bytes = 0;
        let fits = |item: &ItemRef| {
            bytes += self.payload_bytes(*item);
            bytes <= max_bytes
        };
        let unleased = self.unleased_items(now).take(max_items);
        let chosen: Vec<ItemRef> = unleased.take_while(fits).collect();
        chosen
            .into_iter()
            .filter_map(|item| self.lease_item(item, owner, now))
            .collect()
    }

    fn payload_bytes(&self, item: ItemRef) -> u64 {
        self.jobs
            .get(item.job)
            .map_or(0, |job| job.items[item.item as usize].length)
    }

    fn lease_item(
        &mut self,
        item: ItemRef,
        owner: DispatcherId,
        now: Timestamp,
    ) -> Option<LeasePlan> {
        let job = self.jobs.get(item.job)?;
        let offset = item.item as usize;
        let stored = &job.items[offset];
        let head = LeasedItemHeader {
            job: job.name.clone(),
            route: job.account.route.clone(),
            terms: job.terms,
            index: item.item,
            item: stored.id.to_string(),
            tokens: stored.tokens,
            length: stored.length,
            failures: stored.failed_attempts,
            host_placed: self.is_host_placed(job).then_some(true),
            tenant: job.account.tenant.clone(),
        };
        let payload = PayloadLocation {
            entry: job.index,
            range: job.payload_range(offset),
        };
        self.leases.grant(item, owner, now);
        Some(LeasePlan { head, payload })
    }

    /// Renews leases of one job; adds the items that the owner has lost to `result`.
    pub fn renew(
        &mut self,
        owner: DispatcherId,
        leased: &LeasedItems,
        result: &mut RenewResult,
        now: Timestamp,
    ) {
        if !self.is_serving() {
            return;
        }
        let items = self.renew_items(owner, leased, now);
        if !items.is_empty() {
            result.lost.push(LeasedItems {
                job: leased.job.clone(),
                items,
                failures: Vec::new(),
            });
        }
    }

    /// Renews leases of one job; returns the items that the owner has lost.
    fn renew_items(
        &mut self,
        owner: DispatcherId,
        leased: &LeasedItems,
        now: Timestamp,
    ) -> Vec<u32> {
        self.count_failures(leased, now);
        let Some(job) = self.jobs.find(&leased.job) else {
            return leased.items.clone();
        };
        self.leases.renew(job, &leased.items, owner, now)
    }

    /// Appends the counts of failed attempts that are news.
    fn count_failures(&mut self, leased: &LeasedItems, now: Timestamp) {
        let Some(job) = self.jobs.find(&leased.job) else {
            return;
        };
        let index = job.index;
        let is_news = |failed: &&ItemFailures| {
            let item = job.items.get(failed.item as usize);
            job.is_pending(failed.item)
                && item.is_some_and(|item| item.failed_attempts < failed.attempts)
        };
        let counted: Vec<ItemFailures> = leased.failures.iter().filter(is_news).copied().collect();
        for ItemFailures { item, attempts } in counted {
            let entry = Entry::AttemptsFailed {
                job: index,
                item,
                attempts,
            };
            self.append_as_primary(&entry, &[], now);
        }
    }

    /// Whether there are items that nobody owns.
    pub fn has_unleased_items(&self, now: Timestamp) -> bool {
        self.unleased_items(now).next().is_some()
    }

    /// Number of items that nobody owns.
    pub fn unleased_item_count(&self, now: Timestamp) -> u32 {
        self.unleased_items(now).count() as u32
    }

    /// Items that nobody owns; none unless this is the active primary.
    pub(in crate::replica) fn unleased_items(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = ItemRef> + '_ {
        let leases = self.is_serving().then_some(&self.leases);
        leases
            .into_iter()
            .flat_map(move |leases| leases.unleased_items(&self.jobs, self.meta.commit_index, now))
    }

    /// Gives all leases of an owner back.
    pub fn release(&mut self, owner: DispatcherId) {
        self.leases.release(owner);
    }

    /// Gives a dispatcher's leases of some items of a job back.
    pub fn release_items(&mut self, owner: DispatcherId, leased: &LeasedItems) {
        if let Some(job) = self.jobs.find(&leased.job) {
            self.leases.release_items(job, &leased.items, owner);
        }
    }
}
