//! The register as known to this process: the newest value known to be chosen, and replica sets
//! learned from others.

use mintlb_register::ballot::Ballot;
use mintlb_register::message::AcceptedValue;
use mintlb_register::replica_set::ReplicaSet;

/// What this process knows of the register.
#[derive(Debug, Default)]
pub struct RegisterCache {
    /// The newest value known to be chosen.
    chosen: Option<AcceptedValue>,
    /// The newest replica set learned from other processes or from the local disk: the replicas to
    /// query until a chosen value is known. It may never have been chosen.
    hint: Option<ReplicaSet>,
    /// The highest ballot seen.
    ballot_floor: Ballot,
}

impl RegisterCache {
    /// A cache that knows only the value accepted last by the local replica, which may not be
    /// chosen.
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

    /// The replica set to query: the chosen one, or a hint with a higher epoch.
    pub fn set(&self) -> Option<&ReplicaSet> {
        let chosen = self.chosen.as_ref().map(|chosen| &chosen.state.replicas);
        self.hint.iter().chain(chosen).max_by_key(|set| set.epoch)
    }

    /// Records a replica set that another process knows.
    pub fn hint(&mut self, set: ReplicaSet) {
        if self
            .hint
            .as_ref()
            .is_none_or(|known| known.epoch < set.epoch)
        {
            self.hint = Some(set);
        }
    }

    /// Records a chosen value that a majority has just reported. If it is newer than the known one,
    /// returns the epoch of the replica set known before, 0 for none. The hint is dropped, as it
    /// may never have been chosen.
    pub fn record_chosen(&mut self, accepted: &AcceptedValue) -> Option<u64> {
        self.hint = None;
        if self
            .chosen
            .as_ref()
            .is_some_and(|known| known.ballot >= accepted.ballot)
        {
            return None;
        }
        let previous = self.chosen.replace(accepted.clone());
        Some(previous.map_or(0, |previous| previous.state.replicas.epoch))
    }

    /// The highest ballot seen: proposals start above it.
    pub fn ballot_floor(&self) -> Ballot {
        self.ballot_floor
    }

    /// Raises the ballot above which proposals start.
    pub fn raise_ballot_floor(&mut self, ballot: Ballot) {
        self.ballot_floor = self.ballot_floor.max(ballot);
    }
}
