//! Workers whose records are published although no controller claims them: their controller ended
//! at about the same time as they did. Found by the singleton leader; pure.

use mintlb_common::record::{WORKER_PREFIX, WorkerRecord, WorkerState};
use mintlb_gossip::Table;
use rustc_hash::{FxHashMap, FxHashSet};
use std::time::Duration;
use tokio::time::Instant;

/// The time after which an unclaimed worker expires: partitions and restarts of controllers are
/// over by then.
pub const UNCLAIMED_TIMEOUT: Duration = Duration::from_secs(12);

/// The initial value of the 32-bit FNV-1a hash.
const FNV_OFFSET: u32 = 0x811c_9dc5;
/// The multiplier of the 32-bit FNV-1a hash.
const FNV_PRIME: u32 = 0x0100_0193;

/// The workers that no controller claims, by their ids.
#[derive(Debug, Default)]
pub struct UnclaimedWorkers {
    unclaimed: FxHashMap<String, UnclaimedWorker>,
}

#[derive(Clone, Copy, Debug)]
struct UnclaimedWorker {
    /// The version of its record: a newer one means that it has called since.
    version: u64,
    since: Instant,
}

/// The hash of a worker's id (FNV-1a), in the lists that controllers exchange.
pub fn id_hash(id: &str) -> u32 {
    id.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

impl UnclaimedWorkers {
    /// Compares the published records with the workers that controllers claim. Returns the records
    /// to publish of workers that have been unclaimed for [`UNCLAIMED_TIMEOUT`].
    pub fn expire(
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
        let mut expired = Vec::new();
        for (id, record) in workers {
            let Ok(worker) = minicbor::decode::<WorkerRecord>(&record.body) else {
                continue;
            };
            if has_ended(&worker) {
                continue;
            }
            let since = self
                .unclaimed
                .get(id)
                .filter(|known| known.version == record.version)
                .map_or(now, |known| known.since);
            if now.saturating_duration_since(since) >= UNCLAIMED_TIMEOUT {
                expired.push(WorkerRecord {
                    state: WorkerState::Unresponsive,
                    ..worker
                });
            }
            let version = record.version;
            unclaimed.insert(id.to_string(), UnclaimedWorker { version, since });
        }
        self.unclaimed = unclaimed;
        expired
    }
}

fn has_ended(worker: &WorkerRecord) -> bool {
    matches!(
        worker.state,
        WorkerState::Unresponsive | WorkerState::Deregistered
    )
}
