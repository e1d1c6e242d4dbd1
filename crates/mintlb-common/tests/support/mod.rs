//! Fixtures of the transport's tests: a process that records its events, and a raw peer that speaks
//! the protocol byte by byte.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the fixtures"
)]

mod raw_peer;
mod recording_process;

pub use raw_peer::{Dialer, NOTIFICATION, REQUEST, RESPONSE, RawFrame, RawPeer};
pub use recording_process::{Event, next_event, notification, start_process};

use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time limit for any single step of a test.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Listens on a free port, and the address of it.
pub async fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// An address on which nothing listens.
pub async fn closed_address() -> SocketAddr {
    let (_listener, address) = bind_listener().await;
    address
}
