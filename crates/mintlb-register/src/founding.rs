//! Who writes the first set of replicas.
//!
//! At the first start every process has the same seeds in the same order, and all of them run, though perhaps not yet
//! listening. The first seed with a disk founds the register with itself as its only replica; all others join. It does
//! so only after every other seed has answered that it knows of no set, so that a founder that has lost its disk
//! joins as well.

use crate::state::ReplicaSet;

/// What a seed says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct SeedAnswer {
    /// Whether it could hold a replica.
    pub has_disk: bool,
    /// The newest set that it knows to be chosen.
    pub set: Option<ReplicaSet>,
}

/// What a process knows that has no set yet.
#[derive(Clone, Debug)]
pub struct Founding<'a> {
    /// `first_start` of its settings.
    pub first_start: bool,
    /// Whether it could hold a replica.
    pub has_disk: bool,
    /// Its place among the seeds.
    pub own_place: Option<usize>,
    /// The other seeds' answers so far; its own place is skipped.
    pub answers: &'a [Option<SeedAnswer>],
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// This process writes the set of itself.
    Found,
    /// There is a set: the process goes by it, and joins if it has a disk.
    Join(ReplicaSet),
    /// Ask the seeds again.
    Wait,
}

impl Founding<'_> {
    /// Decides from the answers so far.
    pub fn step(&self) -> Step {
        let sets = self.answers.iter().flatten().filter_map(|answer| answer.set.as_ref());
        if let Some(newest) = sets.max_by_key(|set| set.epoch) {
            return Step::Join(newest.clone());
        }
        let Some(own) = self.own_place else { return Step::Wait };
        let others = || self.answers.iter().enumerate().filter(|(place, _)| *place != own);
        let all_answered = others().all(|(_, answer)| answer.is_some());
        let earlier = others()
            .any(|(place, answer)| place < own && answer.as_ref().is_some_and(|answer| answer.has_disk));
        match self.first_start && self.has_disk && all_answered && !earlier {
            true => Step::Found,
            false => Step::Wait,
        }
    }
}
