//! Every size, count and time that bounds HTTP, filled at start and handed down.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of a body, and of a head, which is also what a connection buffers.
    pub body: usize,
    pub head: usize,
    /// Bytes of one line of a worker: a body, escaped, and some words.
    pub line: usize,
    /// Bytes of one line that the list service writes.
    pub list_line: usize,
    /// Connections from clients; more than work that may be open, so that what is too much still gets its answer.
    pub clients: usize,
    /// Connections to workers, and of them idle ones to one worker.
    pub links: usize,
    pub idle_per_worker: usize,
    /// A connection that is not up by then never comes up.
    pub dial: Duration,
    /// A connection that is to be reset as it comes up, or under a request, is by then.
    pub sound: Duration,
    /// Idle connections to workers are kept shorter than workers keep theirs.
    pub idle: Duration,
    /// A new connection that takes longer is worth keeping.
    pub dear: Duration,
    /// A client's request is whole by then, from the connection's begin or from its first byte on.
    pub read: Duration,
    /// A probe is answered by then, or never.
    pub probe: Duration,
    /// The list service is never silent for so long, while it is there.
    pub list_silence: Duration,
    /// A call of it is answered by then, from its dial to the end of a whole list or to a watch's head, or it has failed.
    pub list_call: Duration,
    /// A client that is turned away for want of room is told to come back after so many seconds, or 0.
    pub come_back: f64,
}

/// The protocol's largest body; a head needs far less.
pub const BODY: usize = 64 << 10;
pub const HEAD: usize = BODY / 4;
/// A client that sends no whole request is owed an error or a close by then.
pub const OWED: f64 = 3.0;
/// The protocol's pause between empty lines of a watch.
pub const LIST_BEAT: f64 = 2.0;
