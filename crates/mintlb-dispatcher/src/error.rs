//! Why a dispatcher can't run.

use std::io;
use std::net::SocketAddr;

/// Why a dispatcher can't run.
#[derive(Debug, thiserror::Error)]
pub enum DispatchError {
    /// The settings name no address for this.
    #[error("M421 listen_addresses.{0} is missing")]
    NoAddress(&'static str),
    /// It can't listen there.
    #[error("M422 can't listen on {address}: {cause}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// What the system said.
        cause: io::Error,
    },
    /// The runtime or its signals can't be set up.
    #[error("M423 the runtime: {0}")]
    Runtime(#[from] io::Error),
}
