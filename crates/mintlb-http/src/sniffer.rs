//! Inspects the bytes of a client connection before hyper reads them.
//!
//! hyper accepts contradicting body lengths and pipelined requests, and does not report an incomplete request. The
//! sniffer detects them, and tells how far a request has arrived.

use httparse::{EMPTY_HEADER, Request, Status};
use parking_lot::Mutex;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The state of one client connection, as seen from its bytes.
pub struct RequestSniffer {
    state: Mutex<SnifferState>,
    close_notify: Notify,
}

struct SnifferState {
    framing: Framing,
    phase: Phase,
    fault: Option<&'static str>,
    /// When bytes were last received, or the connection was accepted.
    last_read_at: Instant,
    /// The number of reads that the current request has taken so far.
    reads: u32,
    /// The connection has submitted work that was accepted.
    has_worked: bool,
}

/// What the next bytes belong to.
enum Framing {
    /// A request head, of which these bytes have arrived.
    Head(Vec<u8>),
    /// A body with this many bytes remaining.
    Body(u64),
    /// The request is complete. Nothing may follow before its response.
    Complete,
    /// Not tracked any further: the connection is closed after the next response.
    Unknown,
}

/// The progress of a connection's current request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Waiting for a request, or receiving it, since this time.
    Receiving(Instant),
    /// The request was accepted, and waits for its response.
    InFlight,
    /// The request was answered at this time.
    Idle(Instant),
}

/// The order in which connections are closed for new ones, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// No complete request has arrived, and nothing after the first read for the time that a request takes.
    Stalled,
    /// Idle, and has submitted no work.
    IdleUnused,
    /// A request may be on its way.
    MaybeReceiving,
    /// A request has stalled after several reads. Clients that occupy slots with incomplete requests don't continue
    /// them, so that this one is probably an ordinary client.
    Trickling,
    /// Idle, and has submitted work before.
    IdleAfterWork,
}

/// The parts of a request head that determine where the request ends.
#[derive(Debug, PartialEq)]
enum Head {
    /// The head is incomplete.
    Incomplete,
    /// Invalid: hyper rejects it.
    Unreadable,
    /// The length of the head, and of the body unless it is chunked.
    Length(usize, Option<u64>),
    /// Rejected by this sniffer, for this reason.
    Fault(&'static str),
}

/// Limit on the headers of a request.
const MAX_HEADERS: usize = 100;

fn parse_head(bytes: &[u8]) -> Head {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = Request::new(&mut headers);
    let end = match request.parse(bytes) {
        Ok(Status::Complete(end)) => end,
        Ok(Status::Partial) => return Head::Incomplete,
        Err(_) => return Head::Unreadable,
    };
    let values = |name: &str| -> Vec<&[u8]> {
        let named = request
            .headers
            .iter()
            .filter(|h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value).collect()
    };
    match (
        &values("transfer-encoding")[..],
        &values("content-length")[..],
    ) {
        // Request smuggling: a reader that goes by one length finds another request in what the other takes for the
        // body.
        ([_, ..], [_, ..]) => Head::Fault("both Content-Length and Transfer-Encoding"),
        ([], []) => Head::Length(end, Some(0)),
        ([coding], []) if coding.eq_ignore_ascii_case(b"chunked") => Head::Length(end, None),
        ([_, ..], []) => Head::Fault("a Transfer-Encoding other than chunked"),
        ([], [length]) => match std::str::from_utf8(length)
            .ok()
            .and_then(|l| l.parse().ok())
        {
            Some(length) => Head::Length(end, Some(length)),
            None => Head::Unreadable,
        },
        ([], _) => Head::Fault("more than one Content-Length"),
    }
}

impl Default for RequestSniffer {
    fn default() -> RequestSniffer {
        let (framing, last_read_at) = (Framing::Head(Vec::new()), Instant::now());
        let state = SnifferState {
            framing,
            phase: Phase::Receiving(last_read_at),
            fault: None,
            last_read_at,
            reads: 0,
            has_worked: false,
        };
        RequestSniffer {
            state: Mutex::new(state),
            close_notify: Notify::new(),
        }
    }
}

impl RequestSniffer {
    /// Processes the bytes of one read.
    pub fn observe(&self, mut bytes: &[u8]) {
        let mut state = self.state.lock();
        state.last_read_at = Instant::now();
        if let Phase::Idle(_) = state.phase {
            (state.phase, state.reads) = (Phase::Receiving(state.last_read_at), 0);
        }
        state.reads += 1;
        while !bytes.is_empty() {
            match &mut state.framing {
                Framing::Head(buffer) => {
                    let previous_length = buffer.len();
                    buffer.extend_from_slice(bytes);
                    match parse_head(buffer) {
                        Head::Incomplete => return,
                        Head::Unreadable => state.framing = Framing::Unknown,
                        Head::Fault(why) => {
                            (state.framing, state.fault) = (Framing::Unknown, Some(why))
                        }
                        Head::Length(_, None) => state.framing = Framing::Unknown,
                        Head::Length(end, Some(length)) => {
                            bytes = &bytes[end - previous_length..];
                            state.framing = if length > 0 {
                                Framing::Body(length)
                            } else {
                                Framing::Complete
                            };
                        }
                    }
                }
                Framing::Body(remaining) => {
                    let taken = (*remaining).min(bytes.len() as u64);
                    *remaining -= taken;
                    bytes = &bytes[taken as usize..];
                    if *remaining == 0 {
                        state.framing = Framing::Complete;
                    }
                }
                Framing::Complete => {
                    let why = "more than the body, or a request before the answer to the last";
                    (state.framing, state.fault) = (Framing::Unknown, Some(why));
                }
                Framing::Unknown => return,
            }
        }
    }

    /// Why the client's bytes are not acceptable, if they are not.
    pub fn fault(&self) -> Option<&'static str> {
        self.state.lock().fault
    }

    /// The progress of the current request.
    pub fn phase(&self) -> Phase {
        self.state.lock().phase
    }

    /// The request is complete and accepted.
    pub fn request_accepted(&self) {
        let mut state = self.state.lock();
        (state.phase, state.has_worked) = (Phase::InFlight, true);
    }

    /// Whether the connection may be kept open after the response, as known so far.
    pub fn may_keep_alive(&self) -> bool {
        let state = self.state.lock();
        state.phase == Phase::InFlight && matches!(state.framing, Framing::Complete)
    }

    /// The request has its response. Returns whether the connection may be kept open: only after an accepted request,
    /// and if the next byte is known to begin another one.
    pub fn request_answered(&self) -> bool {
        let mut state = self.state.lock();
        let keep_alive =
            state.phase == Phase::InFlight && matches!(state.framing, Framing::Complete);
        state.framing = if keep_alive {
            Framing::Head(Vec::new())
        } else {
            Framing::Unknown
        };
        state.phase = Phase::Idle(Instant::now());
        keep_alive
    }

    /// The rank for eviction, and since when; `None` while a request is in flight. An ordinary client sends something
    /// within `request_time`.
    pub fn eviction_rank(&self, request_time: Duration) -> Option<(EvictionRank, Instant)> {
        let state = self.state.lock();
        match state.phase {
            // Of silent connections the one that has been silent for longest is closed first.
            Phase::Receiving(_) => {
                let rank = match state.reads {
                    _ if state.last_read_at.elapsed() < request_time => {
                        EvictionRank::MaybeReceiving
                    }
                    0 | 1 => EvictionRank::Stalled,
                    _ => EvictionRank::Trickling,
                };
                Some((rank, state.last_read_at))
            }
            Phase::Idle(since) if state.has_worked => Some((EvictionRank::IdleAfterWork, since)),
            Phase::Idle(since) => Some((EvictionRank::IdleUnused, since)),
            Phase::InFlight => None,
        }
    }

    /// Whether closing the connection now would lose a request, which has arrived in part or is in flight.
    pub fn is_busy(&self) -> bool {
        let state = self.state.lock();
        match state.phase {
            Phase::Receiving(_) => state.reads > 0,
            Phase::InFlight => true,
            Phase::Idle(_) => false,
        }
    }

    /// Whether the connection waits for a request of which nothing has arrived.
    pub fn is_idle(&self) -> bool {
        let state = self.state.lock();
        matches!(state.phase, Phase::Idle(_))
            || matches!(state.phase, Phase::Receiving(_)) && state.reads == 0
    }

    /// Asks the connection's task to close it.
    pub fn request_close(&self) {
        self.close_notify.notify_one();
    }

    /// Waits until a close is requested.
    pub async fn close_requested(&self) {
        self.close_notify.notified().await;
    }
}
