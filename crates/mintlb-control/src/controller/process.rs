//! The process of a controller: start, service, shutdown.

use super::settings_reload::SettingsReload;
use super::startup::{StartedController, start};
use super::{ControllerError, http};
use crate::bind::bind_with_retry;
use mintlb_common::settings::NodeSettings;
use mintlb_common::signals::Signals;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// File descriptors that are reserved for other uses than connections of workers and the operator.
const RESERVED_DESCRIPTORS: usize = 400;
/// The shortest grace period, in seconds.
const MIN_GRACE_PERIOD_S: f64 = 0.5;
/// The longest grace period, in seconds.
const MAX_GRACE_PERIOD_S: f64 = 600.0;

/// Runs a controller until a signal requests its shutdown.
///
/// # Errors
///
/// If the controller can't be started.
pub fn run(settings: NodeSettings) -> Result<(), ControllerError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ControllerError::System)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: NodeSettings) -> Result<(), ControllerError> {
    let mut signals = Signals::install().map_err(ControllerError::System)?;
    let address = settings
        .listen_addresses
        .control_plane
        .ok_or(ControllerError::NoAddress)?;
    let listener = bind_with_retry(address.into(), async || http::server::listen(address)).await?;
    let StartedController {
        controller,
        mut tasks,
    } = start(settings).await?;
    log::info!(
        "controller: listening on {address}, internal address {}",
        controller.transport.local_address()
    );
    let reload = SettingsReload::new(controller.settings.clone(), controller.workers.clone());
    tasks.spawn(reload.run());
    let shutdown = CancellationToken::new();
    let mut server = JoinSet::new();
    server.spawn(http::server::serve(
        listener,
        controller.http.router(),
        max_connections(&controller.settings.get()),
        shutdown.clone(),
    ));
    signals.shutdown_requested().await;
    log::info!("controller: shutting down on a signal");
    shutdown.cancel();
    // Half of the grace period is left for what follows. The background tasks run on: to leave the
    // replica set, the replica has to vote and to stay in contact.
    let time_limit = grace_period(&controller.settings.get()) / 2;
    let drained = async { tokio::join!(server.join_next(), controller.membership.leave()) };
    timeout(time_limit, drained).await.ok();
    controller.close();
    server.shutdown().await;
    tasks.shutdown().await;
    Ok(())
}

fn max_connections(settings: &NodeSettings) -> usize {
    (settings.limits.max_open_files as usize)
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(RESERVED_DESCRIPTORS)
}

fn grace_period(settings: &NodeSettings) -> Duration {
    let seconds = settings
        .bounds
        .grace_period_s
        .clamp(MIN_GRACE_PERIOD_S, MAX_GRACE_PERIOD_S);
    Duration::from_secs_f64(seconds)
}
