//! Dispatchers' calls at the primary in charge. What changes the log is answered once it is committed.

use super::{Replica, Role};
use crate::entry::{Entry, ItemState, LotHead};
use crate::lots::{Lot, Moment};
use crate::messages::{
    Answer, DispatcherId, HeldItems, LeasedHead, LotName, Page, PageResult, Renewed,
};
use bytes::Bytes;

/// What comes of a call that may change the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Proposal {
    /// Answer this at once.
    Done(Answer),
    /// Answer this once the log is committed up to the index.
    Pending(u64, Answer),
    /// A lot with this id is there, by the entry at this index: compare its items on disk with the new ones
    /// once the log is committed up to there; equal items are answered with the answer, others are a
    /// conflict.
    Compare(u64, Answer),
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
    pub head: LeasedHead,
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
                primary.in_charge
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

    /// Takes a lot, if it fits; its items are leased to `holder`.
    pub fn submit(
        &mut self,
        epoch: u64,
        head: LotHead,
        raw: &Bytes,
        holder: DispatcherId,
        max_queued_tokens: u64,
        now: Moment,
    ) -> Proposal {
        if !self.is_serving() || epoch != self.assignment.epoch {
            return Proposal::Done(Answer::NotInCharge);
        }
        let name = LotName {
            host: head.host.clone(),
            id: head.id.clone(),
        };
        if let Some((index, lot)) = self.lots.find(&name) {
            let leased = self.leases.holds_all(index, lot, holder) && !lot.is_done();
            return Proposal::Compare(index, Answer::Accepted { leased });
        }
        let lengths: u64 = head.items.iter().map(|item| item.length).sum();
        if lengths != raw.len() as u64 {
            return Proposal::Done(Answer::NotInCharge);
        }
        let tokens: u64 = head.items.iter().map(|item| item.tokens).sum();
        let waiting = self.lots.waiting_tokens(&head.route);
        if max_queued_tokens > 0 && waiting.saturating_add(tokens) > max_queued_tokens {
            return Proposal::Done(Answer::QuotaFull);
        }
        let items = head.items.len();
        let index = self.append_own(&Entry::Accepted(head), &[raw], now);
        self.leases.grant_all(index, items, holder, now);
        Proposal::Pending(index, Answer::Accepted { leased: true })
    }

    /// Whether a lot's head, as it lies on disk, has the same items as a new one. Payloads are compared by
    /// the driver.
    pub fn same_items(stored: &LotHead, new: &LotHead) -> bool {
        stored.items == new.items
    }

    /// Lists the result of an item, the first time.
    pub fn record(
        &mut self,
        name: &LotName,
        item: u32,
        state: ItemState,
        text: &Bytes,
        now: Moment,
    ) -> Proposal {
        if !self.is_serving() {
            return Proposal::Done(Answer::NotInCharge);
        }
        let Some((number, lot)) = self.lots.find(name) else {
            return Proposal::Done(Answer::Unknown);
        };
        let Some(place) = lot.items.get(item as usize) else {
            return Proposal::Done(Answer::Unknown);
        };
        if let Some(position) = place.position {
            let index = lot.listed[position as usize].index;
            return self.pending(index, Answer::Recorded);
        }
        if let Some(index) = lot.ended {
            return self.pending(index, Answer::Recorded);
        }
        let entry = Entry::Result {
            lot: number,
            item,
            state,
        };
        let index = self.append_own(&entry, &[text], now);
        Proposal::Pending(index, Answer::Recorded)
    }

    /// Ends a lot.
    pub fn end(&mut self, name: &LotName, now: Moment) -> Proposal {
        if !self.is_serving() {
            return Proposal::Done(Answer::NotInCharge);
        }
        let Some((number, lot)) = self.lots.find(name) else {
            return Proposal::Done(Answer::Unknown);
        };
        if let Some(index) = lot.ended {
            return self.pending(index, Answer::Ended);
        }
        let index = self.append_own(&Entry::Ended { lot: number }, &[], now);
        Proposal::Pending(index, Answer::Ended)
    }

    fn pending(&self, index: u64, answer: Answer) -> Proposal {
        match index <= self.meta.committed {
            true => Proposal::Done(answer),
            false => Proposal::Pending(index, answer),
        }
    }

    /// A committed lot, with the index of its entry. The caller has had [`Replica::confirm`] say yes.
    pub fn committed_lot(&self, name: &LotName) -> Option<(u64, &Lot)> {
        self.lots
            .find(name)
            .filter(|(index, _)| *index <= self.meta.committed)
    }

    /// Committed results of a lot from a position on.
    pub fn page(&self, name: &LotName, start_after: u64, most_bytes: u64) -> Option<PagePlan> {
        let (_, lot) = self.committed_lot(name)?;
        let committed = lot.committed_results(self.meta.committed);
        let start = (start_after as usize).min(committed);
        let mut plan = PagePlan {
            page: Page {
                total: lot.items.len() as u64,
                next: start_after,
                results: Vec::new(),
            },
            entries: Vec::new(),
        };
        let mut bytes = 0;
        for listed in &lot.listed[start..committed] {
            bytes += listed.length;
            if bytes > most_bytes && !plan.entries.is_empty() {
                break;
            }
            let item = lot.items[listed.item as usize].id.to_string();
            plan.page.results.push(PageResult {
                item,
                state: listed.state,
                length: 0,
            });
            plan.entries.push(listed.index);
        }
        plan.page.next += plan.entries.len() as u64;
        Some(plan)
    }

    /// Where the payload of an item lies that is not listed and not ended: its lot's entry and the range in
    /// it.
    pub fn payload(&self, name: &LotName, item: &str) -> Option<(u64, std::ops::Range<usize>)> {
        let (index, lot) = self.committed_lot(name)?;
        let item = lot.item(item)?;
        let listed = lot.items[item]
            .position
            .is_some_and(|position| lot.listed[position as usize].index <= self.meta.committed);
        let ended = lot.ended.is_some_and(|ended| ended <= self.meta.committed);
        (lot.has_payloads && !listed && !ended).then(|| (index, lot.payload_range(item)))
    }

    /// Leases up to `most` items that nobody runs, as far as their payloads fit into `most_bytes`. The
    /// caller has had [`Replica::confirm`] say yes.
    pub fn lease(
        &mut self,
        holder: DispatcherId,
        most: usize,
        most_bytes: u64,
        now: Moment,
    ) -> Vec<LeasePlan> {
        if !self.is_serving() {
            return Vec::new();
        }
        let mut bytes = 0;
        let committed = self.meta.committed;
        let open = self.leases.open_items(&self.lots, committed, now);
        let fits = |(number, item): &(u64, u32)| {
            bytes += self
                .lots
                .get(*number)
                .map_or(0, |lot| lot.items[*item as usize].length);
            bytes <= most_bytes
        };
        let taken: Vec<(u64, u32)> = open.take(most).take_while(fits).collect();
        taken
            .into_iter()
            .filter_map(|(number, item)| self.lease_one(number, item, holder, now))
            .collect()
    }

    fn lease_one(
        &mut self,
        number: u64,
        item: u32,
        holder: DispatcherId,
        now: Moment,
    ) -> Option<LeasePlan> {
        let lot = self.lots.get(number)?;
        let place = &lot.items[item as usize];
        let head = LeasedHead {
            lot: lot.name.clone(),
            route: lot.route.clone(),
            terms: lot.terms,
            index: item,
            item: place.id.to_string(),
            tokens: place.tokens,
            length: place.length,
            failures: self.leases.failures(number, item),
        };
        let range = lot.payload_range(item as usize);
        self.leases.grant(number, item, holder, now);
        Some(LeasePlan {
            head,
            entry: number,
            range,
        })
    }

    /// Renews leases; adds what is lost to `renewed`.
    pub fn renew(
        &mut self,
        holder: DispatcherId,
        held: &HeldItems,
        renewed: &mut Renewed,
        now: Moment,
    ) {
        if !self.is_serving() {
            return;
        }
        let lost = match self.lots.find(&held.lot) {
            Some((number, lot)) => {
                held.failures
                    .iter()
                    .for_each(|(item, count)| self.leases.failed(number, lot, *item, *count));
                self.leases.renew(number, lot, &held.items, holder, now)
            }
            None => held.items.clone(),
        };
        if !lost.is_empty() {
            renewed.lost.push(HeldItems {
                lot: held.lot.clone(),
                items: lost,
                failures: Vec::new(),
            });
        }
    }

    /// Whether there are items that nobody runs.
    pub fn has_open_items(&self, now: Moment) -> bool {
        self.is_serving()
            && self
                .leases
                .open_items(&self.lots, self.meta.committed, now)
                .next()
                .is_some()
    }

    /// How many items nobody runs.
    pub fn open_items(&self, now: Moment) -> u32 {
        match self.is_serving() {
            true => self
                .leases
                .open_items(&self.lots, self.meta.committed, now)
                .count() as u32,
            false => 0,
        }
    }

    /// Gives all leases of a holder up.
    pub fn release(&mut self, holder: DispatcherId) {
        self.leases.release(holder);
    }
}
