//! The workers that the list names, as one holds a roll: nothing is decided here.

use crate::util::{DecayingMean, Rng};
use crate::{ListEntry, ListState, ProjectTypeSet, Worker};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

#[derive(Default)]
pub struct WorkerIndex {
    workers: BTreeMap<u64, Rc<Worker>>,
    /// By what schedulers call them among themselves.
    keyed: BTreeMap<u16, Rc<Worker>>,
    /// Workers that were sent something: each is ranked by what is known of it.
    met: Vec<Rc<Worker>>,
    /// The others, by zone, kind and what they run: one is as good as another, and to rank them all would only cost.
    unmet: BTreeMap<(u16, u16, ProjectTypeSet), Vec<Rc<Worker>>>,
}

impl WorkerIndex {
    pub fn get(&self, id: u64) -> Option<&Rc<Worker>> {
        self.workers.get(&id)
    }

    pub fn keyed(&self, key: u16) -> Option<&Rc<Worker>> {
        self.keyed.get(&key)
    }

    pub fn all(&self) -> impl Iterator<Item = &Rc<Worker>> {
        self.workers.values()
    }

    pub fn ready(&self) -> impl Iterator<Item = &Rc<Worker>> {
        self.all().filter(|w| w.state.get() == ListState::Ready)
    }

    /// A line for each that is in none of these: it is gone.
    pub fn missing(&self, lines: &[ListEntry]) -> Vec<ListEntry> {
        let named: BTreeSet<u64> = lines.iter().map(|l| l.id).collect();
        let missing = self.all().filter(|w| !named.contains(&w.entry.id));
        missing
            .map(|w| ListEntry {
                state: ListState::Gone,
                ..w.entry.clone()
            })
            .collect()
    }

    /// The mean of those met.
    pub fn allowance(&self) -> DecayingMean {
        let mut mean = DecayingMean::default();
        self.met
            .iter()
            .for_each(|w| mean.add(w.allowance.get(), 1.0));
        mean
    }

    pub fn add(&mut self, worker: Rc<Worker>) {
        self.unmet
            .entry(worker.kin())
            .or_default()
            .push(worker.clone());
        self.keyed.insert(worker.entry.peer_key(), worker.clone());
        self.workers.insert(worker.entry.id, worker);
    }

    pub fn strike(&mut self, worker: &Rc<Worker>) {
        worker.state.set(ListState::Gone);
        self.workers.remove(&worker.entry.id);
        // Two may share a key; the other's stays.
        if self
            .keyed(worker.entry.peer_key())
            .is_some_and(|keyed| Rc::ptr_eq(keyed, worker))
        {
            self.keyed.remove(&worker.entry.peer_key());
        }
        self.met.retain(|met| !Rc::ptr_eq(met, worker));
        self.unmet
            .entry(worker.kin())
            .or_default()
            .retain(|unmet| !Rc::ptr_eq(unmet, worker));
    }

    /// It is sent something.
    pub fn meet(&mut self, worker: &Rc<Worker>) {
        if worker.met.replace(true) {
            return;
        }
        let strangers = self.unmet.entry(worker.kin()).or_default();
        if let Some(at) = strangers.iter().position(|s| Rc::ptr_eq(s, worker)) {
            self.met.push(strangers.swap_remove(at));
        }
    }

    /// It is ranked by itself from now on, as if it had been sent something.
    pub fn meet_by_id(&mut self, id: u64) {
        if let Some(worker) = self.workers.get(&id).cloned() {
            self.meet(&worker);
        }
    }

    /// Those met, and of the others one drawn by chance for each zone and kind, from those that have room: of
    /// hundreds that are cold a scheduler's budget is open for few, and one closed must not hide them.
    pub fn drawn(&self, chance: &mut Rng, has_room: impl Fn(&Worker) -> bool) -> Vec<Rc<Worker>> {
        let mut workers = self.met.clone();
        for group in self.unmet.values().filter(|group| !group.is_empty()) {
            let mut draw = |of: usize| (chance.uniform() * of as f64) as usize;
            let one = &group[draw(group.len())];
            if has_room(one) {
                workers.push(one.clone());
                continue;
            }
            let open: Vec<_> = group.iter().filter(|w| has_room(w)).collect();
            if !open.is_empty() {
                workers.push(open[draw(open.len())].clone());
            }
        }
        workers
    }
}
