//! Shards of the simulated cluster: the position of each log's last entry, and what was
//! acknowledged.

use super::SimulatedCluster;
use mintlb_batch::epoch_history::LogPosition;
use mintlb_batch::heartbeat::ShardReport;
use mintlb_common::placement::{ShardAssignment, StoreId};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
pub struct SimulatedShard {
    /// The position of the last entry of each store's log.
    logs: BTreeMap<StoreId, LogPosition>,
    /// The highest position that was acknowledged to clients.
    acknowledged: LogPosition,
    /// The epoch that the primary has begun.
    begun_epoch: Option<u64>,
    /// Since when each follower has been sent the log.
    fill_since: BTreeMap<StoreId, Duration>,
    /// Whether the primary has become active in this epoch.
    active: bool,
}

impl SimulatedShard {
    fn log(&self, id: StoreId) -> LogPosition {
        self.logs.get(&id).copied().unwrap_or_default()
    }
}

impl SimulatedCluster {
    pub(super) fn step_shards(&mut self) {
        for shard in 0..self.shards.len() {
            let assignment = self.placement.shards[shard].clone();
            let primary = assignment.replicas.first();
            if primary.is_some_and(|primary| self.is_store_up(*primary)) {
                self.step_shard(shard, &assignment);
            } else {
                // The next incarnation of the primary begins anew.
                self.shards[shard].active = false;
                self.shards[shard].begun_epoch = None;
            }
        }
    }

    fn step_shard(&mut self, shard: usize, assignment: &ShardAssignment) {
        let has_begun = self.shards[shard].begun_epoch == Some(assignment.epoch);
        if !has_begun && !self.begin_epoch(shard, assignment) {
            return;
        }
        self.replicate(shard, assignment);
        let last = self.shards[shard].logs[&assignment.replicas[0]];
        let is_equal =
            |id: StoreId| self.is_store_up(id) && self.shards[shard].logs.get(&id) == Some(&last);
        let quorums = assignment.quorums(self.tolerance.machines);
        if !quorums.is_write_quorum(is_equal) {
            return;
        }
        self.shards[shard].active = true;
        if assignment.previous.is_empty() {
            self.acknowledge(shard, assignment.replicas[0], last);
        }
    }

    /// Acknowledges the last entry, and appends the next one unless nobody calls.
    fn acknowledge(&mut self, shard: usize, primary: StoreId, last: LogPosition) {
        let shard = &mut self.shards[shard];
        shard.acknowledged = last;
        if !self.idle {
            let next = LogPosition {
                epoch: last.epoch,
                index: last.index + 1,
            };
            shard.logs.insert(primary, next);
        }
    }

    /// The primary reads the logs of the previous replicas and begins its epoch. Returns false
    /// while too few of them respond.
    fn begin_epoch(&mut self, shard: usize, assignment: &ShardAssignment) -> bool {
        let primary = assignment.replicas[0];
        self.shards[shard].active = false;
        self.shards[shard].fill_since.clear();
        if self.shards[shard].log(primary).epoch == assignment.epoch {
            self.shards[shard].begun_epoch = Some(assignment.epoch);
            return true;
        }
        let Some(log) = self.takeover_log(shard, assignment) else {
            return false;
        };
        let acknowledged = self.shards[shard].acknowledged;
        assert!(
            log >= acknowledged,
            "LOST: shard {shard} continues from {log:?}, acknowledged {acknowledged:?}\n{}",
            self.event_log()
        );
        let epoch_start = LogPosition {
            epoch: assignment.epoch,
            index: log.index + 1,
        };
        self.shards[shard].logs.insert(primary, epoch_start);
        self.shards[shard].begun_epoch = Some(assignment.epoch);
        true
    }

    fn takeover_log(&self, shard: usize, assignment: &ShardAssignment) -> Option<LogPosition> {
        if !assignment.previous.is_empty() {
            return self.read_sources(shard, assignment);
        }
        let is_first_epoch = assignment.epoch == 1;
        is_first_epoch.then(LogPosition::default)
    }

    /// The log that a takeover continues; `None` while too few replicas respond.
    fn read_sources(&self, shard: usize, assignment: &ShardAssignment) -> Option<LogPosition> {
        let live_logs = |replicas: &[StoreId]| -> Vec<LogPosition> {
            let live = replicas.iter().filter(|id| self.is_store_up(**id));
            live.map(|id| self.shards[shard].log(*id)).collect()
        };
        // The primary of the last active epoch has all that was acknowledged, and so has a store
        // that has begun a later epoch.
        let former_primary = assignment.previous[0];
        let former_log = self.shards[shard].log(former_primary);
        if self.is_store_up(former_primary)
            && Some(former_log.epoch) >= assignment.last_active_epoch
        {
            return Some(former_log);
        }
        let previous = live_logs(&assignment.previous);
        let mut logs = live_logs(&assignment.replicas);
        logs.extend(&previous);
        let later_epochs = logs
            .into_iter()
            .filter(|log| Some(log.epoch) > assignment.last_active_epoch);
        if let Some(complete) = later_epochs.max() {
            return Some(complete);
        }
        let quorums = assignment.previous_quorums(self.tolerance.machines);
        if !quorums.is_read_quorum(|id| self.is_store_up(id)) {
            return None;
        }
        previous.into_iter().max()
    }

    /// The followers get the primary's log: at once, or after the fill time if they have none.
    fn replicate(&mut self, shard: usize, assignment: &ShardAssignment) {
        let last = self.shards[shard].logs[&assignment.replicas[0]];
        for id in &assignment.replicas[1..] {
            if !self.is_store_up(*id) {
                self.shards[shard].fill_since.remove(id);
                continue;
            }
            let (now, fill_time) = (self.now, self.times.fill);
            let shard = &mut self.shards[shard];
            let since = *shard.fill_since.entry(*id).or_insert(now);
            if shard.logs.contains_key(id) || now >= since + fill_time {
                shard.logs.insert(*id, last);
            }
        }
        // A store that no shard names drops its replica.
        if assignment.previous.is_empty() {
            self.shards[shard]
                .logs
                .retain(|id, _| assignment.replicas.contains(id));
        }
    }

    /// What a store reports of a shard, if it leads it.
    pub(super) fn report(&self, shard: usize, id: StoreId) -> Option<ShardReport> {
        let assignment = &self.placement.shards[shard];
        let state = &self.shards[shard];
        let has_begun = state.begun_epoch == Some(assignment.epoch);
        if assignment.replicas.first() != Some(&id) || !has_begun {
            return None;
        }
        let last = state.logs.get(&id)?;
        let is_close = |other: &StoreId| {
            let log = state.logs.get(other);
            log.is_some_and(|log| log.epoch == last.epoch && log.index + 2 >= last.index)
        };
        let replicas = assignment.replicas.iter().copied();
        let caught_up: Vec<StoreId> = replicas.filter(is_close).collect();
        let quorums = assignment.quorums(self.tolerance.machines);
        let can_commit =
            quorums.is_write_quorum(|id| self.is_store_up(id) && caught_up.contains(&id));
        Some(ShardReport {
            shard: shard as u32,
            epoch: assignment.epoch,
            active: state.active && (self.idle || can_commit),
            caught_up,
        })
    }

    /// Whether the primary accepts calls and commits.
    pub(super) fn is_active(&self, shard: usize) -> bool {
        let assignment = &self.placement.shards[shard];
        let Some(&primary) = assignment.replicas.first() else {
            return false;
        };
        let report = self.report(shard, primary);
        assignment.previous.is_empty() && report.is_some_and(|report| report.active)
    }
}
