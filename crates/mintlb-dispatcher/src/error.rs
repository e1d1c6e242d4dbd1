//! Errors that prevent a dispatcher from starting.

use std::io;
use std::net::SocketAddr;

/// Why a dispatcher can't start.
#[derive(Debug, thiserror::Error)]
pub enum DispatchError {
    /// The settings lack this listen address.
    #[error("M421 listen_addresses.{0} is missing")]
    NoAddress(&'static str),
    /// An address can't be bound.
    #[error("M422 can't listen on {address}: {cause}")]
    Listen {
        /// The address that was to be bound.
        address: SocketAddr,
        /// The error of the system call.
        cause: io::Error,
    },
    /// The async runtime or its signal handlers can't be set up.
    #[error("M423 can't set up the async runtime: {0}")]
    Runtime(#[from] io::Error),
}
