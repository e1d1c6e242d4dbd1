//! The limits on sizes, counts and times of HTTP, set at start-up and passed to all parts.

use std::time::Duration;

/// The limits of one scheduler process.
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// Bytes of a request body.
    pub max_body_bytes: usize,
    /// Bytes of a request head. A connection buffers as much.
    pub max_head_bytes: usize,
    /// Bytes of one line of a worker's response: an escaped body and some fields.
    pub max_worker_line_bytes: usize,
    /// Bytes of one message of the list service.
    pub max_list_line_bytes: usize,
    /// Connections from clients. More than the work units that may be held, so that excess requests still get a
    /// response.
    pub max_client_connections: usize,
    /// Connections to workers.
    pub max_worker_connections: usize,
    /// Idle connections to one worker.
    pub max_idle_per_worker: usize,
    /// Limit on establishing a connection. A peer that takes longer counts as unreachable.
    pub dial_timeout: Duration,
    /// Delay of the last byte of a non-idempotent request. A worker that resets the connection as it is established, or
    /// during the request, does so within this time.
    pub last_byte_delay: Duration,
    /// How long idle connections to workers are kept: less than the workers' own idle timeout.
    pub idle_timeout: Duration,
    /// Connections to a worker are reused only if establishing one takes longer than this.
    pub reuse_threshold: Duration,
    /// Limit on receiving a complete request, from its first byte, or from the start of the connection.
    pub read_timeout: Duration,
    /// Limit on a load probe.
    pub probe_timeout: Duration,
    /// Limit on the silence of a watch: the list service is never silent for so long while it is up.
    pub list_idle_timeout: Duration,
    /// Limit on a call of the list service, from dialling to the end of a full list, or to the response head of a
    /// watch.
    pub list_call_timeout: Duration,
    /// `Retry-After` for clients that are rejected for lack of capacity, in seconds; 0 for none.
    pub retry_after_s: f64,
}

/// The largest body that the protocol allows.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// The largest head: heads are far smaller than bodies.
pub const MAX_HEAD_BYTES: usize = MAX_BODY_BYTES / 4;
/// A client that sends an incomplete request must get an error or a close within this time, by the protocol.
pub const REQUEST_ERROR_DEADLINE_S: f64 = 3.0;
/// Interval of the empty lines in a watch, by the protocol.
pub const LIST_HEARTBEAT_S: f64 = 2.0;
