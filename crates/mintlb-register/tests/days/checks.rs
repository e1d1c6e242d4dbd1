//! What has to hold after each step, and at the end of a day.

use super::Day;
use mintlb_register::message::AcceptedValue;
use mintlb_register::replica_set::{Replica, ReplicaId};
use std::collections::BTreeSet;

impl Day {
    pub fn check(&mut self, chosen: &AcceptedValue, floor: u64) {
        let revision = chosen.state.revision;
        if revision < floor {
            self.breaks(format!(
                "revision {revision} was read after {floor} had been acknowledged"
            ));
        }
        let known = self
            .chosen
            .entry(revision)
            .or_insert_with(|| chosen.state.clone());
        if *known != chosen.state {
            self.breaks(format!("two values have revision {revision}"));
        }
        if chosen.ballot > self.newest.ballot {
            if revision < self.newest.state.revision {
                self.breaks(format!("revision {revision} is above a newer one"));
            }
            self.sets += u64::from(chosen.state.replicas.epoch > self.newest.state.replicas.epoch);
            self.newest = chosen.clone();
            self.check_majority();
        }
        self.acknowledged = self.acknowledged.max(revision);
    }

    pub fn note(&mut self, what: String) {
        let set = &self.newest.state.replicas;
        let ids = |side: &[Replica]| side.iter().map(|r| r.id).collect::<Vec<_>>();
        let set = format!(
            "epoch {} {:?} {:?}",
            set.epoch,
            ids(&set.previous),
            ids(&set.current)
        );
        self.history
            .push(format!("{} ms: {what}, set {set}", self.now));
    }

    /// Enough members have to have a disk left for changes to go on some time.
    pub fn check_majority(&mut self) {
        let set = &self.newest.state.replicas;
        let has_disk = |id| {
            self.machines
                .iter()
                .any(|m| !m.is_gone && m.acceptor.id() == id)
        };
        if !set.is_quorum(has_disk) {
            self.note("the majority is lost for good".to_string());
            self.breaks("the majority is lost for good".to_string());
        }
    }

    pub fn breaks(&mut self, what: String) {
        let last = self.history.len().saturating_sub(16);
        let history = self.history[last..].join("\n");
        self.broken
            .get_or_insert(format!("at {} ms: {what}; before:\n{history}", self.now));
    }

    /// Calm: changes have to go on, and all members have to hold the newest value.
    pub fn end(&mut self) {
        self.calm = true;
        self.dropped = 2;
        self.run_until(self.now + 22_000);
        let taken = self.taken;
        self.run_until(self.now + 5000);
        let set = self.newest.state.replicas.clone();
        if self.taken == taken {
            self.breaks(format!("no change is taken after calm: {set:?}"));
        }
        if set.is_joint() || set.current.len() < 2 * self.tolerated_failures + 1 {
            self.breaks(format!("the set after calm: {set:?}"));
        }
        self.orders = false;
        self.run_until(self.now + 5000);
        let newest = self.newest.ballot;
        let holds = |id| {
            let holder = self
                .machines
                .iter()
                .find(|m| m.is_up && m.acceptor.id() == id);
            holder.is_none_or(|m| {
                m.durable
                    .accepted
                    .as_ref()
                    .is_some_and(|held| held.ballot == newest)
            })
        };
        if !set.current.iter().all(|replica| holds(replica.id)) {
            self.breaks(format!("a member in touch is behind: {set:?}"));
        }
        let ids: BTreeSet<ReplicaId> = self
            .machines
            .iter()
            .filter(|m| m.is_up)
            .map(|m| m.acceptor.id())
            .collect();
        if set.current.iter().any(|member| !ids.contains(&member.id))
            && set.current.len() > 2 * self.tolerated_failures + 1
        {
            self.breaks(format!("one that is gone is still in the set: {set:?}"));
        }
    }
}
