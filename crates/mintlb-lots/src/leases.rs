//! Who runs which item. Known to the primary only, and not replicated: a new primary waits for renewals
//! first.

use crate::lots::{Lot, Lots, Moment};
use crate::messages::DispatcherId;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// A lease that was not renewed for so long is open to others.
pub const LEASE: Duration = Duration::from_millis(3000);

/// The leases of a shard's items.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    /// Before this time, nothing is open: holders may still renew what an earlier primary granted.
    quiet_until: Moment,
    lots: FxHashMap<u64, LotLeases>,
}

#[derive(Clone, Debug, Default)]
struct LotLeases {
    /// By item; 0 is nobody.
    holders: Vec<DispatcherId>,
    /// When each holder was last heard of.
    renewed: Vec<(DispatcherId, Moment)>,
}

impl LotLeases {
    fn live(&self, holder: DispatcherId, now: Moment) -> bool {
        let renewed = self.renewed.iter().find(|(id, _)| *id == holder);
        holder != 0 && renewed.is_some_and(|(_, at)| now.saturating_sub(*at) < LEASE)
    }

    fn touch(&mut self, holder: DispatcherId, now: Moment) {
        match self.renewed.iter_mut().find(|(id, _)| *id == holder) {
            Some((_, at)) => *at = now,
            None => self.renewed.push((holder, now)),
        }
    }

    fn holder(&self, item: u32) -> DispatcherId {
        self.holders.get(item as usize).copied().unwrap_or(0)
    }

    fn set(&mut self, item: u32, holder: DispatcherId) {
        if self.holders.len() <= item as usize {
            self.holders.resize(item as usize + 1, 0);
        }
        self.holders[item as usize] = holder;
    }
}

impl Leases {
    /// Drops all leases; nothing is open until holders had the time to renew.
    pub fn restart(&mut self, now: Moment) {
        self.lots.clear();
        self.pause(now);
    }

    /// Nothing is open until holders had the time to renew.
    pub fn pause(&mut self, now: Moment) {
        self.quiet_until = now + LEASE;
    }

    /// The holder is to run all items of a new lot.
    pub fn grant_all(&mut self, number: u64, items: usize, holder: DispatcherId, now: Moment) {
        let leases = LotLeases { holders: vec![holder; items], renewed: vec![(holder, now)] };
        self.lots.insert(number, leases);
    }

    /// Whether this holder has all items of a lot.
    pub fn holds_all(&self, number: u64, lot: &Lot, holder: DispatcherId) -> bool {
        let Some(leases) = self.lots.get(&number) else { return false };
        (0..lot.items.len()).all(|item| leases.holder(item as u32) == holder)
    }

    /// Renews the holder's leases of a lot; returns the items that are not its any more.
    pub fn renew(
        &mut self,
        number: u64,
        lot: &Lot,
        items: &[u32],
        holder: DispatcherId,
        now: Moment,
    ) -> Vec<u32> {
        let leases = self.lots.entry(number).or_default();
        leases.touch(holder, now);
        let mut lost = Vec::new();
        for &item in items {
            let waits = lot.ended.is_none()
                && lot.items.get(item as usize).is_some_and(|item| item.position.is_none());
            let current = leases.holder(item);
            let free = current == holder || !leases.live(current, now);
            match waits && free {
                true => leases.set(item, holder),
                false => lost.push(item),
            }
        }
        lost
    }

    /// Gives all leases of a holder up.
    pub fn release(&mut self, holder: DispatcherId) {
        for leases in self.lots.values_mut() {
            leases.renewed.retain(|(id, _)| *id != holder);
            leases.holders.iter_mut().filter(|id| **id == holder).for_each(|id| *id = 0);
        }
    }

    /// Committed items that nobody runs, those of the lot due first in front.
    pub fn open_items<'a>(
        &'a self,
        lots: &'a Lots,
        committed: u64,
        now: Moment,
    ) -> impl Iterator<Item = (u64, u32)> + 'a {
        let quiet = now < self.quiet_until;
        let open = lots.open().filter(move |(number, _)| !quiet && *number <= committed);
        open.flat_map(move |(number, lot)| {
            let leases = self.lots.get(&number);
            let is_open = move |item: u32| match leases {
                None => true,
                Some(leases) => !leases.live(leases.holder(item), now),
            };
            lot.waiting_items()
                .map(|(item, _)| item)
                .filter(move |item| is_open(*item))
                .map(move |i| (number, i))
        })
    }

    /// Leases one item.
    pub fn grant(&mut self, number: u64, item: u32, holder: DispatcherId, now: Moment) {
        let leases = self.lots.entry(number).or_default();
        leases.touch(holder, now);
        leases.set(item, holder);
    }

    /// Forgets leases of lots that are done.
    pub fn sweep(&mut self, lots: &Lots) {
        self.lots.retain(|number, _| lots.get(*number).is_some_and(|lot| !lot.is_done()));
    }
}
