//! The store: keeps replicas of the shards of batch jobs on its disk, and serves dispatchers for
//! those shards whose primary it is.
//!
//! - `startup`, `shutdown`: the life of the process; [`driver`]: its event loop.
//! - [`service`]: requests and messages from the transport; `requests`: how each request is
//!   answered.
//! - [`handle`]: the shared state behind its lock; [`shard_host`]: the replicas, their effects, and
//!   waiting calls.
//! - [`storage`]: the file, its commit thread and its capacity.
//! - [`entry_cache`]: entries that are still being replicated.
//! - [`heartbeats`]: reports to the controllers.

pub mod driver;
pub mod entry_cache;
pub mod error;
pub mod handle;
pub mod heartbeats;
mod requests;
pub mod service;
pub mod shard_host;
mod shutdown;
mod startup;
pub mod storage;

pub use error::StoreError;

use driver::Driver;
use handle::Store;
use mintlb_common::settings::NodeSettings;
use mintlb_common::signals::Signals;
use shutdown::HandoverLimits;
use std::sync::Arc;
use storage::CommitQueue;
use tokio::runtime;
use tokio::task::JoinSet;

/// A store that serves, with the tasks that it owns.
struct RunningStore {
    store: Arc<Store>,
    driver: Driver,
    commit_queue: CommitQueue,
    handover: HandoverLimits,
    /// Aborted when the store ends.
    tasks: JoinSet<()>,
}

/// Runs the store until shutdown is requested.
///
/// # Errors
///
/// If the store can't be started, or its file turns out to be damaged while it runs.
pub fn run(settings: NodeSettings) -> Result<(), StoreError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StoreError::System)?;
    let outcome = runtime.block_on(serve(settings));
    // A blocking call on a disk that does not respond must not keep the process from ending.
    runtime.shutdown_background();
    outcome
}

async fn serve(settings: NodeSettings) -> Result<(), StoreError> {
    let mut signals = Signals::install().map_err(StoreError::System)?;
    let Some(mut running) = startup::start(settings, &mut signals).await? else {
        return Ok(());
    };
    loop {
        tokio::select! {
            step = running.driver.step() => step?,
            () = signals.shutdown_requested() => break,
        }
    }
    running.shut_down().await
}
