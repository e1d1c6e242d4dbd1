//! Why the store ends, as numbered errors that operators look up.

use super::storage::DiskError;
use crate::bind::BindError;
use std::error::Error;
use std::net::SocketAddr;

/// Why the store ended. None of these is worth a retry by the process itself: those that are have
/// been retried.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The settings name no data directory.
    #[error("M601 data_directory: is missing")]
    NoDisk,
    /// The data directory can't be used.
    #[error("M602 {0}")]
    Directory(#[source] Box<dyn Error + Send + Sync>),
    /// The file was damaged or exchanged while it was in use. After a restart the store begins
    /// anew, under another identity.
    #[error("M603 the lots' file: {0}")]
    File(#[source] DiskError),
    /// The internal address can't be bound.
    #[error("M604 {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        #[source]
        cause: std::io::Error,
    },
    /// The runtime, a thread or a signal handler can't be set up.
    #[error("M605 {0}")]
    System(#[source] std::io::Error),
}

impl From<DiskError> for StoreError {
    fn from(error: DiskError) -> StoreError {
        match error {
            DiskError::Directory(cause) => StoreError::Directory(cause),
            other => StoreError::File(other),
        }
    }
}

impl From<BindError> for StoreError {
    fn from(BindError { address, cause }: BindError) -> StoreError {
        StoreError::Listen { address, cause }
    }
}
