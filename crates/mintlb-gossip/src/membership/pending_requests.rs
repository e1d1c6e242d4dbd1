//! Requests to become neighbors that have not been answered yet.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long a process has to answer a request to become a neighbor.
pub const NEIGHBOR_REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    to: SocketAddr,
    deadline: Instant,
}

/// Unanswered requests.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requests: Vec<PendingRequest>,
}

impl PendingRequests {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn contains(&self, address: SocketAddr) -> bool {
        self.requests.iter().any(|request| request.to == address)
    }

    pub(super) fn add(&mut self, now: Instant, to: SocketAddr) {
        self.requests.push(PendingRequest {
            to,
            deadline: now + NEIGHBOR_REQUEST_TIMEOUT,
        });
    }

    /// Removes the request to this address. True if there was one.
    pub(super) fn remove(&mut self, address: SocketAddr) -> bool {
        let former_len = self.requests.len();
        self.requests.retain(|request| request.to != address);
        self.requests.len() < former_len
    }

    /// Removes the requests whose deadline has passed, and returns to whom they were.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<SocketAddr> {
        let expired = self
            .requests
            .extract_if(.., |request| now >= request.deadline);
        expired.map(|request| request.to).collect()
    }

    /// Sets a common deadline for all requests.
    pub(super) fn set_deadline(&mut self, deadline: Instant) {
        for request in &mut self.requests {
            request.deadline = deadline;
        }
    }
}
