//! The process of a store: its runtime, and its end on a signal.

use super::error::StoreError;
use super::startup;
use mintlb_common::settings::NodeSettings;
use mintlb_common::signals::Signals;
use tokio::runtime;

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
    tokio::select! {
        served = running.serve() => match served? {},
        () = signals.shutdown_requested() => (),
    }
    running.shut_down().await
}
