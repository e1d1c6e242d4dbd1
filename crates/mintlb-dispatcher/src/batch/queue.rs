//! The items that this dispatcher holds leases of: which runs next, and how many run at once. Pure.

use mintlb_batch::client::{LeasedItem, LeasedJob};
use mintlb_batch::messages::ItemFailures;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Ended lots that are remembered: their items may still come with an answer that was under way.
const MOST_ENDED: usize = 4096;

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
    /// Failed attempts of the items that run.
    failures: HashMap<LotKey, BTreeMap<u32, u32>>,
    /// Lots that ended last, and the same in their order.
    ended: HashSet<LotKey>,
    ended_order: VecDeque<LotKey>,
    next_number: ItemNumber,
}

impl ItemQueue {
    /// Takes an item in, unless it is here already or its lot is known to be ended.
    pub fn add(&mut self, item: LeasedItem) {
        let key = (item.host.clone(), item.job_id.clone());
        if self.ended.contains(&key) || !self.held.entry(key).or_default().insert(item.index) {
            return;
        }
        let due = item
            .terms
            .sent_at_ms
            .saturating_add(item.terms.completion_target_ms);
        self.waiting.insert((due, self.next_number), item);
        self.next_number += 1;
    }

    /// The next item to run, if fewer than `most` run.
    pub fn start(&mut self, most: usize) -> Option<(ItemNumber, LeasedItem)> {
        if self.running.len() >= most {
            return None;
        }
        let ((_, number), item) = self.waiting.pop_first()?;
        self.running.insert(
            number,
            ((item.host.clone(), item.job_id.clone()), item.index),
        );
        Some((number, item))
    }

    /// An item is over here: recorded, ended or given back.
    pub fn finish(&mut self, number: ItemNumber) {
        if let Some((key, index)) = self.running.remove(&number) {
            self.forget(&key, index);
        }
    }

    /// An item that runs has failed so often, over all holders. What is to be told of it at once.
    pub fn failed(&mut self, number: ItemNumber, count: u32) -> Option<LeasedJob> {
        let (key, index) = self.running.get(&number).filter(|_| count > 0)?;
        self.failures
            .entry(key.clone())
            .or_default()
            .insert(*index, count);
        let (host, job_id) = key.clone();
        Some(LeasedJob {
            host,
            job_id,
            items: vec![*index],
            failures: vec![ItemFailures {
                item: *index,
                attempts: count,
            }],
        })
    }

    /// Whether an item that runs is still held: its lot is not ended, its lease not lost.
    pub fn is_held(&self, number: ItemNumber) -> bool {
        let running = self.running.get(&number);
        running.is_some_and(|(key, index)| {
            self.held
                .get(key)
                .is_some_and(|items| items.contains(index))
        })
    }

    /// These items, or with no items named the whole lot, are no longer to run here. Returns those that run.
    pub fn drop_items(&mut self, key: &LotKey, items: Option<&[u32]>) -> Vec<ItemNumber> {
        let fits = |index: u32| items.is_none_or(|items| items.contains(&index));
        self.waiting.retain(|_, item| {
            !((&item.host, &item.job_id) == (&key.0, &key.1) && fits(item.index))
        });
        if let Some(held) = self.held.get_mut(key) {
            held.retain(|index| !fits(*index));
            if held.is_empty() {
                self.held.remove(key);
            }
        }
        let running = self
            .running
            .iter()
            .filter(|(_, (of, index))| of == key && fits(*index));
        running.map(|(number, _)| *number).collect()
    }

    /// A lot is ended: none of its items is to run here, nor those that come later. Returns those that run.
    pub fn end_lot(&mut self, key: LotKey) -> Vec<ItemNumber> {
        let stopped = self.drop_items(&key, None);
        if self.ended.insert(key.clone()) {
            self.ended_order.push_back(key);
        }
        if self.ended_order.len() > MOST_ENDED
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        stopped
    }

    /// What is held, for the renewal of its leases.
    pub fn held(&self) -> Vec<LeasedJob> {
        let job = |(key, items): (&LotKey, &HashSet<u32>)| {
            let (host, job_id) = key.clone();
            let failures = self.failures.get(key).into_iter().flatten();
            let failures = failures.map(|(item, attempts)| ItemFailures {
                item: *item,
                attempts: *attempts,
            });
            LeasedJob {
                host,
                job_id,
                items: items.iter().copied().collect(),
                failures: failures.collect(),
            }
        };
        self.held.iter().map(job).collect()
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
        if let Some(failures) = self.failures.get_mut(key) {
            failures.remove(&index);
            if failures.is_empty() {
                self.failures.remove(key);
            }
        }
        if let Some(items) = self.held.get_mut(key) {
            items.remove(&index);
            if items.is_empty() {
                self.held.remove(key);
            }
        }
    }
}
