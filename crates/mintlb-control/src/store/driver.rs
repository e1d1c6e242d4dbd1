//! Drives a store: its ticks, the continuations of commits, and opening the file again after a
//! commit has failed.

use super::error::StoreError;
use super::handle::Store;
use super::storage::commit_queue::CommitOutcome;
use super::storage::{DiskError, LoadedShards, LoadedStorage, ShardStorage};
use mintlb_batch::replica::TICK_INTERVAL;
use mintlb_common::placement::StoreId;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{JoinSet, spawn_blocking};
use tokio::time::{Interval, MissedTickBehavior, interval, sleep};

/// The pause after the file could not be opened;
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// it doubles with each further attempt, up to this.
const MAX_BACKOFF: Duration = Duration::from_millis(1000);

/// The event loop of a store.
pub struct Driver {
    store: Arc<Store>,
    storage: ShardStorage,
    commits: UnboundedReceiver<CommitOutcome>,
    /// Opens the file again; empty while the file is open.
    reopening: JoinSet<Result<LoadedShards, DiskError>>,
    ticks: Interval,
}

impl Driver {
    /// A driver of a store with its file and the outcomes of its commits.
    pub fn new(
        store: Arc<Store>,
        storage: ShardStorage,
        commits: UnboundedReceiver<CommitOutcome>,
    ) -> Driver {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Driver {
            store,
            storage,
            commits,
            reopening: JoinSet::new(),
            ticks,
        }
    }

    /// Waits for the next event and handles it. Cancel safe: it can be dropped while it waits, and
    /// called again.
    ///
    /// # Errors
    ///
    /// [`StoreError::File`] if the file turns out to be damaged when it is opened again.
    pub async fn step(&mut self) -> Result<(), StoreError> {
        tokio::select! {
            commit = self.commits.recv() => match commit {
                Some(Ok(continuations)) => self.store.on_commit(continuations),
                _ => self.suspend(),
            },
            Some(reopened) = self.reopening.join_next() => {
                let shards = reopened.unwrap_or_else(|panic| Err(panic.into()))?;
                self.resume(shards);
            }
            _ = self.ticks.tick() => self.store.tick(),
        }
        Ok(())
    }

    fn suspend(&mut self) {
        log::error!("store: suspended until the disk accepts writes");
        self.store.suspend();
        let storage = self.storage.clone();
        self.reopening
            .spawn(retry_while_unavailable(move || storage.reopen()));
    }

    fn resume(&self, shards: LoadedShards) {
        self.store.resume(shards);
        log::info!(
            "store: the disk accepts writes again, {} MB of batch jobs",
            self.storage.file_bytes() >> 20
        );
    }
}

/// Opens the store's file, or creates it, once the disk lets it.
///
/// # Errors
///
/// If the data directory can't be used.
pub async fn open_with_retry(
    directory: PathBuf,
    new_id: StoreId,
) -> Result<LoadedStorage, DiskError> {
    retry_while_unavailable(move || ShardStorage::open(&directory, new_id)).await
}

/// Repeats the attempt, on a thread that may block, until it succeeds or a retry can't help.
async fn retry_while_unavailable<T: Send + 'static>(
    attempt: impl Fn() -> Result<T, DiskError> + Send + Sync + 'static,
) -> Result<T, DiskError> {
    let attempt = Arc::new(attempt);
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let next = attempt.clone();
        let outcome = spawn_blocking(move || next())
            .await
            .unwrap_or_else(|panic| Err(panic.into()));
        match outcome {
            Err(error) if error.is_retryable() => {
                log::warn!("store: the disk does not accept writes: {error}");
            }
            outcome => return outcome,
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
