//! The errors that keep a controller from running.

use super::register::AcceptorFileError;
use crate::bind::BindError;
use std::net::SocketAddr;

/// The reason for which a controller can't run. None of them goes away without a change to the
/// settings, the machine or its disk.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// The settings lack the address of the HTTP API.
    #[error("M431 listen_addresses.control_plane: is missing")]
    NoAddress,
    /// An address can't be listened on, not even after the time that a predecessor has to release
    /// it.
    #[error("M432 {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The file of the register's replica can't be used.
    #[error(transparent)]
    AcceptorFile(#[from] AcceptorFileError),
    /// The runtime or a signal handler can't be set up.
    #[error("M435 {0}")]
    System(std::io::Error),
}

impl From<BindError> for ControllerError {
    fn from(BindError { address, cause }: BindError) -> ControllerError {
        ControllerError::Listen { address, cause }
    }
}
