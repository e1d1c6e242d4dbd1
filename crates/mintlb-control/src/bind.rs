//! Binding of a listening address that the previous process may still hold.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long an address that is in use is tried again.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay between two attempts.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// An address that can't be bound.
#[derive(Debug, thiserror::Error)]
#[error("{address}: {cause}")]
pub(crate) struct BindError {
    /// The address.
    pub address: SocketAddr,
    /// The operating system's error.
    #[source]
    pub cause: std::io::Error,
}

/// Calls `listen`, which binds `address`, until it succeeds: a process that is being replaced may
/// not have closed its socket yet.
///
/// # Errors
///
/// The error of the last attempt, after [`BIND_TIMEOUT`].
pub(crate) async fn bind_with_retry<T>(
    address: SocketAddr,
    listen: impl AsyncFn() -> std::io::Result<T>,
) -> Result<T, BindError> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match listen().await {
            Ok(listener) => return Ok(listener),
            Err(cause) if Instant::now() > deadline => return Err(BindError { address, cause }),
            Err(_) => sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}
