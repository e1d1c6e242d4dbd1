//! Every size, count and time that bounds HTTP, filled at start and handed down.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// Bytes of a body, and of a head, which is also what a connection buffers.
    pub max_body_bytes: usize,
    pub max_head_bytes: usize,
    /// Bytes of one line of a worker: a body, escaped, and some words.
    pub max_worker_line_bytes: usize,
    /// Bytes of one line that the list service writes.
    pub max_list_line_bytes: usize,
    /// Connections from clients; more than work that may be open, so that what is too much still gets its answer.
    pub max_client_connections: usize,
    /// Connections to workers, and of them idle ones to one worker.
    pub max_worker_connections: usize,
    pub max_idle_per_worker: usize,
    /// A connection that is not up by then never comes up.
    pub dial_timeout: Duration,
    /// A connection that is to be reset as it comes up, or under a request, is by then.
    pub last_byte_delay: Duration,
    /// Idle connections to workers are kept shorter than workers keep theirs.
    pub idle_timeout: Duration,
    /// A new connection that takes longer is worth keeping.
    pub reuse_threshold: Duration,
    /// A client's request is whole by then, from the connection's begin or from its first byte on.
    pub read_timeout: Duration,
    /// A probe is answered by then, or never.
    pub probe_timeout: Duration,
    /// The list service is never silent for so long, while it is there.
    pub list_idle_timeout: Duration,
    /// A call of it is answered by then, from its dial to the end of a whole list or to a watch's head, or it has failed.
    pub list_call_timeout: Duration,
    /// A client that is turned away for want of room is told to come back after so many seconds, or 0.
    pub retry_after_s: f64,
}

/// The protocol's largest body; a head needs far less.
pub const MAX_BODY_BYTES: usize = 64 << 10;
pub const MAX_HEAD_BYTES: usize = MAX_BODY_BYTES / 4;
/// A client that sends no whole request is owed an error or a close by then.
pub const REQUEST_ERROR_DEADLINE_S: f64 = 3.0;
/// The protocol's pause between empty lines of a watch.
pub const LIST_HEARTBEAT_S: f64 = 2.0;
