//! Shards of the fleet: logs by the place of their last entry, and what was told to be committed.

use super::Fleet;
use mintlb_batch::epoch_history::LogPosition;
use mintlb_batch::heartbeat::ShardReport;
use mintlb_common::placement::{ShardAssignment, StoreId};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
pub struct Shard {
    /// Where the log of each store ends.
    logs: BTreeMap<StoreId, LogPosition>,
    /// The highest place that was told to clients.
    told: LogPosition,
    /// The epoch that its primary has begun, and when.
    begun: Option<(u64, Duration)>,
    /// When each other replica begins to be filled.
    filled_from: BTreeMap<StoreId, Duration>,
    /// Whether the primary has been in charge in this epoch.
    active: bool,
}

impl Fleet {
    fn is_store_up(&self, id: StoreId) -> bool {
        self.machines
            .iter()
            .any(|machine| machine.id == id && machine.is_up())
    }

    pub(super) fn move_shards(&mut self) {
        for shard in 0..self.shards.len() {
            let assignment = self.placement.shards[shard].clone();
            if assignment
                .replicas
                .first()
                .is_some_and(|primary| self.is_store_up(*primary))
            {
                self.move_shard(shard, &assignment);
            } else {
                // Another life of the primary begins anew.
                (self.shards[shard].active, self.shards[shard].begun) = (false, None);
            }
        }
    }

    fn move_shard(&mut self, shard: usize, assignment: &ShardAssignment) {
        let primary = assignment.replicas[0];
        if self.shards[shard]
            .begun
            .is_none_or(|(epoch, _)| epoch != assignment.epoch)
            && !self.begin(shard, assignment)
        {
            return;
        }
        self.fill(shard, assignment);
        let has = self.shards[shard].logs[&primary];
        let equal = |id: &&StoreId| {
            self.is_store_up(**id)
                && self.shards[shard]
                    .logs
                    .get(id)
                    .is_some_and(|log| *log == has)
        };
        let copies = assignment.replicas.iter().filter(equal).count();
        if copies <= self.tolerance {
            return;
        }
        self.shards[shard].active = true;
        if assignment.previous.is_empty() {
            self.shards[shard].told = has;
            if self.idle {
                return;
            }
            // The next entry is on its way.
            let next = LogPosition {
                epoch: has.epoch,
                index: has.index + 1,
            };
            self.shards[shard].logs.insert(primary, next);
        }
    }

    /// The primary reads what the previous replicas have; false while too few answer.
    fn begin(&mut self, shard: usize, assignment: &ShardAssignment) -> bool {
        let primary = assignment.replicas[0];
        let own = self.shards[shard]
            .logs
            .get(&primary)
            .copied()
            .unwrap_or_default();
        let at = self.now;
        let state = &mut self.shards[shard];
        (state.active, state.filled_from) = (false, BTreeMap::new());
        if own.epoch == assignment.epoch {
            state.begun = Some((assignment.epoch, at));
            return true;
        }
        let log = match assignment.previous.is_empty() {
            true if assignment.epoch == 1 => LogPosition::default(),
            true => return false,
            false => match self.read(shard, assignment) {
                Some(log) => log,
                None => return false,
            },
        };
        assert!(
            log >= self.shards[shard].told,
            "LOST: shard {shard} goes on from {log:?}, told {:?}\n{}",
            self.shards[shard].told,
            self.history.join("\n")
        );
        let begin = LogPosition {
            epoch: assignment.epoch,
            index: log.index + 1,
        };
        self.shards[shard].logs.insert(primary, begin);
        self.shards[shard].begun = Some((assignment.epoch, at));
        true
    }

    fn read(&self, shard: usize, assignment: &ShardAssignment) -> Option<LogPosition> {
        let log = |id: &StoreId| self.shards[shard].logs.get(id).copied().unwrap_or_default();
        let up = |id: &&StoreId| self.is_store_up(**id);
        // The settled epoch's primary has all that was told, and so has who began a later epoch.
        let first = assignment.previous[0];
        if self.is_store_up(first) && Some(log(&first).epoch) >= assignment.last_active_epoch {
            return Some(log(&first));
        }
        let answers = assignment.previous.iter().filter(up).map(log);
        let whole = assignment
            .replicas
            .iter()
            .filter(up)
            .map(log)
            .chain(answers.clone());
        if let Some(whole) = whole
            .filter(|log| Some(log.epoch) > assignment.last_active_epoch)
            .max()
        {
            return Some(whole);
        }
        let needed = assignment
            .previous
            .len()
            .saturating_sub(self.tolerance)
            .max(1);
        if answers.clone().count() < needed {
            None
        } else {
            answers.max()
        }
    }

    /// The other replicas get what the primary has, at once unless they have to be filled first.
    fn fill(&mut self, shard: usize, assignment: &ShardAssignment) {
        let has = self.shards[shard].logs[&assignment.replicas[0]];
        for id in &assignment.replicas[1..] {
            if !self.is_store_up(*id) {
                self.shards[shard].filled_from.remove(id);
                continue;
            }
            let empty = !self.shards[shard].logs.contains_key(id);
            let since = *self.shards[shard]
                .filled_from
                .entry(*id)
                .or_insert(self.now);
            if !empty || self.now >= since + self.fill {
                self.shards[shard].logs.insert(*id, has);
            }
        }
        // A store that no shard names drops its copy.
        let named =
            |id: &StoreId| assignment.replicas.contains(id) || assignment.previous.contains(id);
        if assignment.previous.is_empty() {
            self.shards[shard].logs.retain(|id, _| named(id));
        }
    }

    pub(super) fn report(&self, shard: usize, id: StoreId) -> Option<ShardReport> {
        let assignment = &self.placement.shards[shard];
        let state = &self.shards[shard];
        let begun = state.begun.filter(|(epoch, _)| *epoch == assignment.epoch);
        if assignment.replicas.first() != Some(&id) || begun.is_none() {
            return None;
        }
        let has = state.logs.get(&id)?;
        let near = |other: &&StoreId| {
            let log = state.logs.get(other);
            log.is_some_and(|log| log.epoch == has.epoch && log.index + 2 >= has.index)
        };
        let up = |id: &&StoreId| self.is_store_up(**id);
        let live = assignment.replicas.iter().filter(near).filter(up).count();
        let active = state.active && (self.idle || live > self.tolerance);
        let caught_up = assignment.replicas.iter().filter(near).copied().collect();
        Some(ShardReport {
            shard: shard as u32,
            epoch: assignment.epoch,
            active,
            caught_up,
        })
    }

    /// Whether the shard's primary takes calls and commits.
    pub fn serves(&self, shard: usize) -> bool {
        let assignment = &self.placement.shards[shard];
        let report = assignment
            .replicas
            .first()
            .and_then(|primary| self.report(shard, *primary));
        assignment.previous.is_empty() && report.is_some_and(|report| report.active)
    }
}
