//! Workers whose records are in force although no controller hears them: their controller ended at about the same time as
//! they did. Found by whoever has the duties; pure.

use mintlb_common::record::{WORKER_PREFIX, WorkerRecord, WorkerState};
use mintlb_gossip::Table;
use rustc_hash::{FxHashMap, FxHashSet};
use std::time::Duration;
use tokio::time::Instant;

/// A worker is an orphan after so long: cuts and restarts of controllers are over by then.
pub const UNCLAIMED_TIMEOUT: Duration = Duration::from_secs(12);

/// Workers that no controller claims, each with its record's version and since when.
#[derive(Debug, Default)]
pub struct UnclaimedWorkers {
    unclaimed: FxHashMap<String, (u64, Instant)>,
}

/// A worker's id in the lists that controllers exchange.
pub fn id_hash(id: &str) -> u32 {
    id.bytes().fold(0x811c_9dc5, |hash: u32, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

impl UnclaimedWorkers {
    /// One look at the records, with the workers that controllers claim. Returns the records of those that are silent.
    pub fn expired(
        &mut self,
        now: Instant,
        table: &Table,
        claimed: &FxHashSet<u32>,
    ) -> Vec<WorkerRecord> {
        let workers = table.iter().filter_map(|record| {
            let id = record.key.strip_prefix(WORKER_PREFIX)?;
            (!claimed.contains(&id_hash(id))).then_some((id, record))
        });
        let mut unclaimed = FxHashMap::default();
        let mut unclaimed_workers = Vec::new();
        for (id, record) in workers {
            let Ok(worker) = minicbor::decode::<WorkerRecord>(&record.body) else {
                continue;
            };
            if matches!(
                worker.state,
                WorkerState::Unresponsive | WorkerState::Deregistered
            ) {
                continue;
            }
            let before = self
                .unclaimed
                .get(id)
                .filter(|(version, _)| *version == record.version);
            let since = before.map_or(now, |(_, since)| *since);
            if now.saturating_duration_since(since) >= UNCLAIMED_TIMEOUT {
                unclaimed_workers.push(WorkerRecord {
                    state: WorkerState::Unresponsive,
                    ..worker
                });
            }
            unclaimed.insert(id.to_string(), (record.version, since));
        }
        self.unclaimed = unclaimed;
        unclaimed_workers
    }
}
