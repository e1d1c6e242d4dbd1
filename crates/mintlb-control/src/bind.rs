//! Binding of a listening address that the previous process may still hold.

use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long an address that is in use is tried again.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two attempts.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Calls `listen` until it succeeds: a process that is being replaced may not have closed its
/// socket yet.
///
/// # Errors
/// The error of the last attempt, after 5 seconds.
pub(crate) async fn bind_with_retry<T>(
    listen: impl AsyncFn() -> std::io::Result<T>,
) -> std::io::Result<T> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match listen().await {
            Ok(listener) => return Ok(listener),
            Err(cause) if Instant::now() > deadline => return Err(cause),
            Err(_) => sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}
