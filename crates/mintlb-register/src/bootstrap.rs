//! Who writes the first set of replicas.
//!
//! At the first start every process has the same seeds in the same order, and all of them run, though perhaps not yet
//! listening. The first seed with a disk founds the register with itself as its only replica; all others join. It does
//! so only after every other seed has answered that it knows of no set, so that a founder that has lost its disk
//! joins as well.
//!
//! If no seed has a disk, a process that has one founds the register once all seeds have granted it that, in their order.
//! A seed grants it to one process and never to another, so that two founders would need all seeds to have forgotten.

use crate::replica_set::{ReplicaId, ReplicaSet};

/// What a seed says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct SeedStatus {
    /// Whether it could hold a replica.
    pub has_disk: bool,
    /// The newest set that it knows: good for whom to ask. It may never have been chosen.
    pub replica_set: Option<ReplicaSet>,
}

/// What a process knows that has no set yet.
#[derive(Clone, Debug)]
pub struct Bootstrap<'a> {
    /// `first_start` of its settings.
    pub first_start: bool,
    /// Whether it could hold a replica.
    pub has_disk: bool,
    /// Its place among the seeds.
    pub own_index: Option<usize>,
    /// The other seeds' answers so far; its own place is skipped.
    pub seed_statuses: &'a [Option<SeedStatus>],
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum BootstrapStep {
    /// This process writes the set of itself.
    Initialize,
    /// This process asks the seeds for their grants, one after the other, and writes the set of itself if all grant it.
    RequestVotes,
    /// There is a set: the process goes by it, and joins if it has a disk.
    Join(ReplicaSet),
    /// Ask the seeds again.
    Wait,
}

impl Bootstrap<'_> {
    /// Decides from the answers so far.
    pub fn step(&self) -> BootstrapStep {
        let sets = self
            .seed_statuses
            .iter()
            .flatten()
            .filter_map(|answer| answer.replica_set.as_ref());
        if let Some(newest) = sets.max_by_key(|set| set.epoch) {
            return BootstrapStep::Join(newest.clone());
        }
        if !self.first_start || !self.has_disk {
            return BootstrapStep::Wait;
        }
        let others = || {
            self.seed_statuses
                .iter()
                .enumerate()
                .filter(|(place, _)| Some(*place) != self.own_index)
        };
        if !others().all(|(_, answer)| answer.is_some()) {
            return BootstrapStep::Wait;
        }
        let mut with_disk =
            others().filter(|(_, answer)| answer.as_ref().is_some_and(|answer| answer.has_disk));
        match self.own_index {
            Some(own) if with_disk.all(|(place, _)| place > own) => BootstrapStep::Initialize,
            None if with_disk.next().is_none() && !self.seed_statuses.is_empty() => {
                BootstrapStep::RequestVotes
            }
            _ => BootstrapStep::Wait,
        }
    }
}

/// What a seed without a disk has granted.
#[derive(Debug, Default)]
pub struct BootstrapVote {
    holder: Option<ReplicaId>,
}

impl BootstrapVote {
    /// Whether this candidate may found the register, as far as this seed is concerned. `knows_set` tells whether the
    /// seed knows of a register; then nobody may.
    pub fn grant(&mut self, candidate: ReplicaId, first_start: bool, knows_set: bool) -> bool {
        first_start && !knows_set && *self.holder.get_or_insert(candidate) == candidate
    }
}
