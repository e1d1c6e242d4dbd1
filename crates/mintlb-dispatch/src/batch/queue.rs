//! The items that this dispatcher holds leases of: which runs next, and how many run at once. Pure.

use mintlb_lots::client::{HeldLot, LeasedItem};
use std::collections::{BTreeMap, HashMap, HashSet};

/// An item's place among those held here.
pub type ItemNumber = u64;

/// A lot by its host and id.
pub type LotKey = (String, String);

/// Items held, the one due first in front.
#[derive(Default)]
pub struct ItemQueue {
    waiting: BTreeMap<(u64, ItemNumber), LeasedItem>,
    held: HashMap<LotKey, HashSet<u32>>,
    running: HashMap<ItemNumber, (LotKey, u32)>,
    next_number: ItemNumber,
}

impl ItemQueue {
    /// Takes an item in, unless it is here already.
    pub fn add(&mut self, item: LeasedItem) {
        let key = (item.host.clone(), item.lot_id.clone());
        if !self.held.entry(key).or_default().insert(item.index) {
            return;
        }
        let due = item.terms.sent_at_ms.saturating_add(item.terms.completion_target_ms);
        self.waiting.insert((due, self.next_number), item);
        self.next_number += 1;
    }

    /// The next item to run, if fewer than `most` run.
    pub fn start(&mut self, most: usize) -> Option<(ItemNumber, LeasedItem)> {
        if self.running.len() >= most {
            return None;
        }
        let ((_, number), item) = self.waiting.pop_first()?;
        self.running.insert(number, ((item.host.clone(), item.lot_id.clone()), item.index));
        Some((number, item))
    }

    /// An item is over here: recorded, ended or given back.
    pub fn finish(&mut self, number: ItemNumber) {
        if let Some((key, index)) = self.running.remove(&number) {
            self.forget(&key, index);
        }
    }

    /// Whether an item that runs is still held: its lot is not ended, its lease not lost.
    pub fn is_held(&self, number: ItemNumber) -> bool {
        let running = self.running.get(&number);
        running.is_some_and(|(key, index)| self.held.get(key).is_some_and(|items| items.contains(index)))
    }

    /// These items, or with no items named the whole lot, are no longer to run here. Returns those that run.
    pub fn drop_items(&mut self, key: &LotKey, items: Option<&[u32]>) -> Vec<ItemNumber> {
        let fits = |index: u32| items.is_none_or(|items| items.contains(&index));
        self.waiting.retain(|_, item| !((&item.host, &item.lot_id) == (&key.0, &key.1) && fits(item.index)));
        if let Some(held) = self.held.get_mut(key) {
            held.retain(|index| !fits(*index));
            if held.is_empty() {
                self.held.remove(key);
            }
        }
        let running = self.running.iter().filter(|(_, (of, index))| of == key && fits(*index));
        running.map(|(number, _)| *number).collect()
    }

    /// The lots of this id that have items here, whatever their host.
    pub fn lots_with_id(&self, lot_id: &str) -> Vec<LotKey> {
        self.held.keys().filter(|(_, id)| id == lot_id).cloned().collect()
    }

    /// What is held, for the renewal of its leases.
    pub fn held(&self) -> Vec<HeldLot> {
        let lot = |((host, lot_id), items): (&LotKey, &HashSet<u32>)| HeldLot {
            host: host.clone(),
            lot_id: lot_id.clone(),
            items: items.iter().copied().collect(),
        };
        self.held.iter().map(lot).collect()
    }

    /// Items that wait to run.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Items that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn forget(&mut self, key: &LotKey, index: u32) {
        if let Some(items) = self.held.get_mut(key) {
            items.remove(&index);
            if items.is_empty() {
                self.held.remove(key);
            }
        }
    }
}
