//! Carries the effects of replicas out on simulated disks and a simulated network.

use super::{Expected, ShardCluster};
use bytes::Bytes;
use mintlb_batch::peer::{EntryLength, Envelope, PeerMessage};
use mintlb_batch::replica::Effect;
use mintlb_common::placement::StoreId;
use std::time::Duration;

impl ShardCluster {
    /// Carries out all effects of a store's replica.
    pub fn run_effects(&mut self, store_index: usize) {
        loop {
            let Some(replica) = &mut self.stores[store_index].replica else {
                return;
            };
            let effects = replica.take_effects();
            if effects.is_empty() {
                return;
            }
            let (mut writes, mut after) = (Vec::new(), Vec::new());
            for effect in effects {
                match effect {
                    Effect::Write(write) => writes.push(write),
                    Effect::AfterSync(next) => after.push(next),
                    Effect::Send(envelope) => self.messages.push((envelope, Bytes::new())),
                    Effect::SendEntries(envelope, indexes) => {
                        self.send_entries(store_index, envelope, &indexes)
                    }
                    Effect::Committed(through) => self.committed(store_index, through),
                    Effect::SteppedDown => self.stores[store_index].pending.clear(),
                    Effect::Confirmed | Effect::ReportChanged | Effect::Replicated(_) => (),
                }
            }
            let store = &mut self.stores[store_index];
            if writes.is_empty() && store.unsynced.is_empty() {
                let replica = store.replica.as_mut().unwrap();
                after
                    .into_iter()
                    .for_each(|after| replica.on_synced(after, self.now.into()));
            } else {
                store.unsynced.push((writes, after));
            }
        }
    }

    fn send_entries(&mut self, store_index: usize, mut envelope: Envelope, indexes: &[u64]) {
        let entries = &self.stores[store_index].disk.entries;
        let found: Vec<(u64, Bytes)> = indexes
            .iter()
            .filter_map(|i| Some((*i, entries.get(i)?.clone())))
            .collect();
        let (PeerMessage::Append(append) | PeerMessage::Fetched(append)) = &mut envelope.message
        else {
            return;
        };
        let length = |(index, bytes): &(u64, Bytes)| EntryLength {
            index: *index,
            length: bytes.len() as u64,
        };
        append.entries = found.iter().map(length).collect();
        let raw: Vec<u8> = found.iter().flat_map(|(_, bytes)| bytes.to_vec()).collect();
        self.messages.push((envelope, raw.into()));
    }

    /// Makes all writes of a store durable.
    pub fn sync(&mut self, store_index: usize) {
        let store = &mut self.stores[store_index];
        if store.frozen {
            return;
        }
        let unsynced = std::mem::take(&mut store.unsynced);
        let mut follow = Vec::new();
        for (writes, after) in unsynced {
            store.disk.apply(writes);
            follow.extend(after);
        }
        if let Some(replica) = &mut store.replica {
            follow
                .into_iter()
                .for_each(|after| replica.on_synced(after, self.now.into()));
        }
        self.run_effects(store_index);
    }

    /// Delivers the message at this position of the network's queue.
    pub fn deliver(&mut self, message: usize, duplicate: bool) {
        if message >= self.messages.len() {
            return;
        }
        let (envelope, raw) = match duplicate {
            true => self.messages[message].clone(),
            false => self.messages.remove(message),
        };
        let partitioned = |id: StoreId| {
            self.stores
                .iter()
                .any(|store| store.id == id && store.partitioned)
        };
        if partitioned(envelope.from) || partitioned(envelope.to) {
            return;
        }
        let Some(store_index) = self.stores.iter().position(|store| store.id == envelope.to) else {
            return;
        };
        if self.stores[store_index].frozen {
            return self.messages.push((envelope, raw));
        }
        let Some(replica) = &mut self.stores[store_index].replica else {
            return;
        };
        replica.on_message(envelope, raw, self.now.into());
        self.run_effects(store_index);
    }

    /// Delivers a newer placement to a store.
    pub fn receive_placement(&mut self, store_index: usize) {
        let newest = self.placements.len() - 1;
        let store = &mut self.stores[store_index];
        if store.partitioned || store.frozen || store.placement >= newest {
            return;
        }
        let next =
            store.placement + 1 + self.random.below((newest - store.placement) as u64) as usize;
        store.placement = next;
        let (Some(replica), Some(shard)) =
            (&mut store.replica, self.placements[next].shards.first())
        else {
            return;
        };
        replica.set_assignment(shard, self.now.into());
        self.run_effects(store_index);
    }

    /// Lets time pass.
    pub fn tick(&mut self, passed: Duration) {
        self.now += passed;
        for store_index in 0..self.stores.len() {
            if self.stores[store_index].frozen {
                continue;
            }
            if let Some(replica) = &mut self.stores[store_index].replica {
                replica.tick(self.now.into());
                self.run_effects(store_index);
            }
        }
    }

    fn committed(&mut self, store_index: usize, through: u64) {
        let pending = std::mem::take(&mut self.stores[store_index].pending);
        for (index, expected) in pending {
            match index <= through {
                true => self.acknowledge(store_index, expected),
                false => self.stores[store_index].pending.push((index, expected)),
            }
        }
    }

    pub(super) fn acknowledge(&mut self, store_index: usize, expected: Expected) {
        let (now, random) = (self.now, self.random.below(2));
        match expected {
            Expected::Accepted { job, items } => {
                self.just_accepted = true;
                self.oracle.accepted(job, items, now);
            }
            Expected::Ended { job } => self.oracle.ended(job, now),
            Expected::Recorded { job } => {
                self.oracle.records += 1;
                if random == 0 {
                    self.read(store_index, &job);
                }
            }
        }
    }
}
