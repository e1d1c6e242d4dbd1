//! Errors that prevent a dispatcher from starting.

use std::io;
use std::net::SocketAddr;

/// A dispatcher can't start.
#[derive(Debug, thiserror::Error)]
pub enum DispatchError {
    /// The settings name no address for this.
    #[error("M421 listen_addresses.{0} is missing")]
    NoAddress(&'static str),
    /// It can't listen there.
    #[error("M422 can't listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        cause: io::Error,
    },
    /// The runtime or its signals can't be set up.
    #[error("M423 the runtime: {0}")]
    Runtime(#[from] io::Error),
}
