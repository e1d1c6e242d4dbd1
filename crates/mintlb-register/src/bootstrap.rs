//! Bootstrap of the register: which process writes the first value, with itself as the only replica.
//!
//! At the first start of a deployment all processes have the same list of seeds, and all seeds run, though some may not
//! listen yet. The first seed with a disk bootstraps the register; all others join it. It does so only after every other
//! seed has answered that it knows of no replica set, so that a seed that has bootstrapped before and lost its disk joins
//! as well.
//!
//! If no seed has a disk, a process with one bootstraps once every seed, asked in the order of the list, has voted for
//! it. A seed votes for one candidate and never for another ([`BootstrapVote`]), so that two candidates could win only if
//! all seeds had forgotten their votes.

use crate::replica_set::{ReplicaId, ReplicaSet};

/// A seed's answer about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct SeedStatus {
    /// Whether it has a disk for a replica.
    pub has_disk: bool,
    /// The newest replica set that it knows. The set may never have been chosen; it tells whom to ask.
    pub replica_set: Option<ReplicaSet>,
}

/// What a process knows that knows no replica set yet.
#[derive(Clone, Debug)]
pub struct Bootstrap<'a> {
    /// `first_start` of its settings. Without it a process never bootstraps a register.
    pub first_start: bool,
    /// Whether it has a disk for a replica.
    pub has_disk: bool,
    /// Its own index in the list of seeds; `None` if it is no seed.
    pub own_index: Option<usize>,
    /// The seeds' answers so far, in the order of the list. The one at its own index is ignored.
    pub seed_statuses: &'a [Option<SeedStatus>],
}

/// What a process has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum BootstrapStep {
    /// Write the first value, with itself as the only replica.
    Initialize,
    /// Request the vote of each seed, in the order of the list, and write the first value if all grant it.
    RequestVotes,
    /// Use this replica set, and join it if the process has a disk.
    Join(ReplicaSet),
    /// Ask the seeds again.
    Wait,
}

impl Bootstrap<'_> {
    /// The next step by the answers so far.
    pub fn next_step(&self) -> BootstrapStep {
        if let Some(newest) = self.newest_replica_set() {
            return BootstrapStep::Join(newest.clone());
        }
        if !self.first_start || !self.has_disk || !self.has_every_other_seed_answered() {
            return BootstrapStep::Wait;
        }
        match (self.own_index, self.first_other_seed_with_disk()) {
            (Some(_), None) => BootstrapStep::Initialize,
            (Some(own), Some(other)) if own < other => BootstrapStep::Initialize,
            (None, None) if !self.seed_statuses.is_empty() => BootstrapStep::RequestVotes,
            _ => BootstrapStep::Wait,
        }
    }

    fn newest_replica_set(&self) -> Option<&ReplicaSet> {
        self.seed_statuses
            .iter()
            .flatten()
            .filter_map(|status| status.replica_set.as_ref())
            .max_by_key(|set| set.epoch)
    }

    fn has_every_other_seed_answered(&self) -> bool {
        self.other_seeds().all(|(_, status)| status.is_some())
    }

    fn first_other_seed_with_disk(&self) -> Option<usize> {
        self.other_seeds()
            .find(|(_, status)| status.as_ref().is_some_and(|status| status.has_disk))
            .map(|(index, _)| index)
    }

    fn other_seeds(&self) -> impl Iterator<Item = (usize, &Option<SeedStatus>)> {
        self.seed_statuses
            .iter()
            .enumerate()
            .filter(|(index, _)| Some(*index) != self.own_index)
    }
}

/// The vote of a seed without a disk. It lasts as long as the process.
#[derive(Debug, Default)]
pub struct BootstrapVote {
    voted_for: Option<ReplicaId>,
}

impl BootstrapVote {
    /// Grants the vote to the first candidate that requests it, and to no other. A seed outside its first start, or one
    /// that knows a replica set, grants it to nobody.
    pub fn grant(
        &mut self,
        candidate: ReplicaId,
        first_start: bool,
        knows_replica_set: bool,
    ) -> bool {
        if !first_start || knows_replica_set {
            return false;
        }
        *self.voted_for.get_or_insert(candidate) == candidate
    }
}
