//! The workers of the list, indexed by id and peer key, and grouped for the choice of candidates.

use crate::util::{DecayingMean, Rng};
use crate::{ListEntry, ListState, ProjectTypeSet, Worker};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The listed workers.
#[derive(Default)]
pub struct WorkerIndex {
    workers: BTreeMap<u64, Rc<Worker>>,
    /// By the key that schedulers use among themselves.
    by_peer_key: BTreeMap<u16, Rc<Worker>>,
    /// Workers that are ranked individually: this scheduler has sent them something, or another reported slots there.
    tracked: Vec<Rc<Worker>>,
    /// The others, by zone, kind of machine and project types. Within a group they are equivalent, and ranking them all
    /// would only cost time.
    untracked: BTreeMap<(u16, u16, ProjectTypeSet), Vec<Rc<Worker>>>,
}

impl WorkerIndex {
    pub fn get(&self, id: u64) -> Option<&Rc<Worker>> {
        self.workers.get(&id)
    }

    pub fn by_peer_key(&self, key: u16) -> Option<&Rc<Worker>> {
        self.by_peer_key.get(&key)
    }

    pub fn all(&self) -> impl Iterator<Item = &Rc<Worker>> {
        self.workers.values()
    }

    pub fn ready(&self) -> impl Iterator<Item = &Rc<Worker>> {
        self.all().filter(|w| w.state.get() == ListState::Ready)
    }

    /// Entries with the state `Gone` for the workers that have none in `entries`.
    pub fn entries_for_missing(&self, entries: &[ListEntry]) -> Vec<ListEntry> {
        let named: BTreeSet<u64> = entries.iter().map(|e| e.id).collect();
        let missing = self.all().filter(|w| !named.contains(&w.entry.id));
        missing
            .map(|w| ListEntry {
                state: ListState::Gone,
                ..w.entry.clone()
            })
            .collect()
    }

    /// Mean over the tracked workers.
    pub fn mean_concurrency_limit(&self) -> DecayingMean {
        let mut mean = DecayingMean::default();
        self.tracked
            .iter()
            .for_each(|w| mean.add(w.concurrency_limit.get(), 1.0));
        mean
    }

    pub fn insert(&mut self, worker: Rc<Worker>) {
        self.untracked
            .entry(worker.group_key())
            .or_default()
            .push(worker.clone());
        self.by_peer_key
            .insert(worker.entry.peer_key(), worker.clone());
        self.workers.insert(worker.entry.id, worker);
    }

    pub fn remove(&mut self, worker: &Rc<Worker>) {
        worker.state.set(ListState::Gone);
        self.workers.remove(&worker.entry.id);
        // Two workers may share a peer key; the entry of the other one stays.
        if self
            .by_peer_key(worker.entry.peer_key())
            .is_some_and(|by_peer_key| Rc::ptr_eq(by_peer_key, worker))
        {
            self.by_peer_key.remove(&worker.entry.peer_key());
        }
        self.tracked.retain(|tracked| !Rc::ptr_eq(tracked, worker));
        self.untracked
            .entry(worker.group_key())
            .or_default()
            .retain(|untracked| !Rc::ptr_eq(untracked, worker));
    }

    /// Ranks a worker individually from now on.
    pub fn track(&mut self, worker: &Rc<Worker>) {
        if worker.tracked.replace(true) {
            return;
        }
        let group = self.untracked.entry(worker.group_key()).or_default();
        if let Some(at) = group.iter().position(|w| Rc::ptr_eq(w, worker)) {
            self.tracked.push(group.swap_remove(at));
        }
    }

    /// Ranks the worker with this id individually from now on, if it is listed.
    pub fn track_by_id(&mut self, id: u64) {
        if let Some(worker) = self.workers.get(&id).cloned() {
            self.track(&worker);
        }
    }

    /// The tracked workers, and one drawn at random from each group of the others. If that one has no headroom, it is
    /// drawn from those that have: of hundreds of cold workers a scheduler has a budget for only a few, which must be
    /// found.
    pub fn candidates(
        &self,
        rng: &mut Rng,
        has_headroom: impl Fn(&Worker) -> bool,
    ) -> Vec<Rc<Worker>> {
        let mut workers = self.tracked.clone();
        for group in self.untracked.values().filter(|group| !group.is_empty()) {
            let mut draw = |of: usize| (rng.uniform() * of as f64) as usize;
            let drawn = &group[draw(group.len())];
            if has_headroom(drawn) {
                workers.push(drawn.clone());
                continue;
            }
            let with_headroom: Vec<_> = group.iter().filter(|w| has_headroom(w)).collect();
            if !with_headroom.is_empty() {
                workers.push(with_headroom[draw(with_headroom.len())].clone());
            }
        }
        workers
    }
}
