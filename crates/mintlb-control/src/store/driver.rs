//! Drives a store: ticks, what follows commits, and opening the file again after a commit has failed.

use super::StoreError;
use super::calls::Store;
use super::commit_queue::CommitOutcome;
use super::disk::{LoadedShards, ShardStorage};
use super::file::DiskError;
use mintlb_batch::replica::TICK_INTERVAL;
use mintlb_common::placement::StoreId;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{JoinHandle, spawn_blocking};
use tokio::time::{Interval, MissedTickBehavior, interval, sleep};

/// The pause after the file could not be opened,
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// twice as long after each further time, up to this.
const MAX_BACKOFF: Duration = Duration::from_millis(1000);

type ReopenTask = JoinHandle<Result<LoadedShards, DiskError>>;

/// What makes a store go on.
pub struct Driver {
    store: Arc<Store>,
    disk: ShardStorage,
    commits: UnboundedReceiver<CommitOutcome>,
    reopening: Option<ReopenTask>,
    ticks: Interval,
}

impl Driver {
    /// A driver of a store with its disk and what comes of its commits.
    pub fn new(
        store: Arc<Store>,
        disk: ShardStorage,
        commits: UnboundedReceiver<CommitOutcome>,
    ) -> Driver {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Driver {
            store,
            disk,
            commits,
            reopening: None,
            ticks,
        }
    }

    /// Waits for the next thing and does it. Fails if the file turns out to be damaged. Can be dropped while it
    /// waits and called again.
    pub async fn step(&mut self) -> Result<(), StoreError> {
        tokio::select! {
            commit = self.commits.recv() => match commit {
                Some(Ok(after)) => self.store.synced(after),
                _ => self.suspend(),
            },
            reopened = reopen_finished(&mut self.reopening) => {
                self.reopening = None;
                self.store.resume(reopened?);
                log::info!("store: the disk takes bytes again, {} MB of lots", self.disk.file_bytes() >> 20);
            }
            _ = self.ticks.tick() => self.store.tick(),
        }
        Ok(())
    }

    fn suspend(&mut self) {
        log::error!("store: suspended until the disk takes bytes");
        self.store.suspend();
        let disk = self.disk.clone();
        self.reopening = Some(tokio::spawn(async move {
            retry_while_unavailable(move || disk.reopen()).await
        }));
    }
}

/// The end of reopening; never, if that is not under way.
async fn reopen_finished(reopening: &mut Option<ReopenTask>) -> Result<LoadedShards, DiskError> {
    match reopening {
        Some(reopening) => reopening
            .await
            .unwrap_or_else(|error| Err(DiskError::Damaged(error.to_string()))),
        None => std::future::pending().await,
    }
}

/// Opens or makes the lots' file, as soon as the disk lets it.
pub async fn open_with_retry(
    directory: PathBuf,
    new_id: StoreId,
) -> Result<(ShardStorage, LoadedShards), DiskError> {
    retry_while_unavailable(move || ShardStorage::open(&directory, new_id)).await
}

/// Tries until it is not the disk that refuses.
async fn retry_while_unavailable<T: Send + 'static>(
    attempt: impl Fn() -> Result<T, DiskError> + Send + Sync + 'static,
) -> Result<T, DiskError> {
    let attempt = Arc::new(attempt);
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let next = attempt.clone();
        let outcome = spawn_blocking(move || next()).await;
        match outcome.unwrap_or_else(|error| Err(DiskError::Damaged(error.to_string()))) {
            Err(DiskError::Unavailable(cause)) => {
                log::warn!("store: the disk does not take bytes: {cause}")
            }
            outcome => return outcome,
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
