//! What a process knows of the register: the newest chosen value, and sets it has only heard of.

use mintlb_register::ballot::Ballot;
use mintlb_register::message::AcceptedValue;
use mintlb_register::replica_set::ReplicaSet;

/// What the process knows of the register.
#[derive(Debug, Default)]
pub struct RegisterCache {
    /// The newest value known to be chosen.
    chosen: Option<AcceptedValue>,
    /// The newest set heard of from others, or the one that the replica's disk held: whom to ask until a chosen value is
    /// known. It may never have been chosen.
    hint: Option<ReplicaSet>,
    /// The highest ballot heard of.
    ballot_floor: Ballot,
}

impl RegisterCache {
    /// Nothing is known but what the replica here accepted last, which may not be chosen.
    pub fn stored(accepted: Option<AcceptedValue>) -> RegisterCache {
        let hint = accepted.map(|accepted| accepted.state.replicas.clone());
        RegisterCache {
            hint,
            ..RegisterCache::default()
        }
    }

    /// The newest value known to be chosen.
    pub fn chosen(&self) -> Option<&AcceptedValue> {
        self.chosen.as_ref()
    }

    /// The set by which to ask: the chosen one, or one heard of since that is newer.
    pub fn set(&self) -> Option<&ReplicaSet> {
        let chosen = self.chosen.as_ref().map(|chosen| &chosen.state.replicas);
        self.hint.iter().chain(chosen).max_by_key(|set| set.epoch)
    }

    /// Takes note of a set that another process knows.
    pub fn hint(&mut self, set: ReplicaSet) {
        if self
            .hint
            .as_ref()
            .is_none_or(|known| known.epoch < set.epoch)
        {
            self.hint = Some(set);
        }
    }

    /// Takes note of a chosen value that a majority has told of just now; whether it is newer than the one known, and the
    /// epoch of the set known before. What was only heard of is forgotten, as it may never have been chosen.
    pub fn record_chosen(&mut self, accepted: &AcceptedValue) -> Option<u64> {
        self.hint = None;
        if self
            .chosen
            .as_ref()
            .is_some_and(|known| known.ballot >= accepted.ballot)
        {
            return None;
        }
        let before = self.chosen.replace(accepted.clone());
        Some(before.map_or(0, |before| before.state.replicas.epoch))
    }

    /// The highest ballot heard of: proposals begin above it.
    pub fn ballot_floor(&self) -> Ballot {
        self.ballot_floor
    }

    /// A higher ballot may have been heard of.
    pub fn raise_ballot_floor(&mut self, seen: Ballot) {
        self.ballot_floor = self.ballot_floor.max(seen);
    }
}
