//! Invariants that are checked some time after an acknowledgement, and at the end.

use super::{CONFIG_APPLY, Event, World};
use crate::context::Time;
use crate::scenario::NetworkFaults;
use mintlb_common::record::{CONFIGURATION, PLACEMENT, REPLICAS};
use std::time::Duration;

/// A machine is in touch when there was no trouble for so long (`contact_ms`).
const CONTACT: Duration = Duration::from_millis(3000);
/// How often it is looked at what machines in touch know.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

impl World {
    /// A configuration acknowledged `config_apply_ms` ago has to be at each machine in touch.
    pub(super) fn watch(&mut self) {
        self.schedule(WATCH_INTERVAL, Event::Watch);
        self.watch_drains();
        let Some(version) = self
            .checks
            .acknowledged_before(self.now.saturating_sub(CONFIG_APPLY))
        else {
            return;
        };
        for number in self.in_touch() {
            let known = self.version_at(number, CONFIGURATION);
            if known < version {
                let name = &self.machines[number].name;
                let what = format!(
                    "{name} has version {known}, {version} was acknowledged over {CONFIG_APPLY:?} ago"
                );
                self.checks.violates("P1", self.now, what);
            }
        }
    }

    /// The machines in touch: no trouble of their own or of the core, and a way to and from each core machine that
    /// reaches most of the core.
    pub(super) fn in_touch(&self) -> Vec<usize> {
        let calm = |since: Time| since + CONTACT <= self.now;
        let stays = |number: &usize| !self.machines[*number].removed;
        let core: Vec<usize> = (0..self.tier.counted()).filter(stays).collect();
        let runs = |number: &usize| self.machines[*number].is_running();
        let reaches = |one: usize, other: usize| {
            one == other || !self.network.is_cut(one, other) && !self.network.is_cut(other, one)
        };
        let is_connected = |number: &usize| {
            let reached = core
                .iter()
                .filter(|other| runs(other) && reaches(*number, **other))
                .count();
            runs(number) && 2 * reached > core.len()
        };
        let connected: Vec<usize> = core.iter().copied().filter(is_connected).collect();
        let stable = 2 * connected.len() > core.len()
            && calm(self.core_disturbed_at)
            && calm(self.network_ok_since);
        let is_in_touch = |number: &usize| {
            runs(number)
                && calm(self.machines[*number].disturbed_at)
                && connected.iter().all(|other| reaches(*number, *other))
        };
        match stable && self.network.network_faults == NetworkFaults::default() {
            true => (0..self.machines.len()).filter(is_in_touch).collect(),
            false => Vec::new(),
        }
    }

    fn version_at(&self, number: usize, key: &str) -> u64 {
        let process = self.machines[number].process.as_ref();
        process
            .and_then(|process| process.gossip().get(key))
            .map_or(0, |record| record.version)
    }

    /// After the calm: changes were taken, reads answered, and all have the newest.
    pub(super) fn check_end(&mut self) {
        let now = self.now;
        if self.last_acknowledged < self.calm_from {
            let what = format!(
                "no configuration was acknowledged since {:?}",
                self.calm_from
            );
            return self.checks.violates("P3", now, what);
        }
        if self.pending_final_reads > 0 {
            return self.checks.violates(
                "P3",
                now,
                format!("{} reads unanswered", self.pending_final_reads),
            );
        }
        if self.pending_final_job_reads > 0 {
            let what = format!("{} jobs can't be read", self.pending_final_job_reads);
            return self.checks.violates("P3", now, what);
        }
        let newest = self.checks.newest();
        if self
            .final_versions
            .iter()
            .any(|version| *version < newest || *version != self.final_versions[0])
        {
            let what = format!("read {:?}, acknowledged {newest}", self.final_versions);
            return self.checks.violates("P3", now, what);
        }
        self.check_set();
        self.check_records();
    }

    fn check_set(&mut self) {
        let Some(state) = self.checks.newest_chosen().cloned() else {
            return;
        };
        let set = &state.replicas;
        let identities: Vec<u64> = set.members().map(|replica| replica.id.0).collect();
        if set.is_joint() || identities.len() != self.tier.controllers {
            let what = format!("the set is {identities:?}, joint: {}", set.is_joint());
            self.checks.violates("P3", self.now, what);
        }
    }

    fn check_records(&mut self) {
        let Some(state) = self.checks.newest_chosen().cloned() else {
            return;
        };
        let placement = (PLACEMENT, state.placement.epoch);
        let newest = [
            placement,
            (CONFIGURATION, state.configuration_version),
            (REPLICAS, state.replicas.epoch),
        ];
        let stay = (0..self.machines.len()).filter(|number| !self.machines[*number].removed);
        for number in stay.collect::<Vec<_>>() {
            for (key, version) in newest {
                let known = self.version_at(number, key);
                if known < version {
                    let name = &self.machines[number].name;
                    let what = format!("{name} has {key} {known} in place of {version}");
                    self.checks.violates("P4", self.now, what);
                }
            }
        }
    }
}
