//! What a client sends, seen before the library reads it.
//!
//! The library passes over two contradicting lengths of a body, takes requests that come before the answer to
//! the last, and tells nothing of one that has come in part. So a client's bytes pass by here on their way.

use httparse::{EMPTY_HEADER, Request, Status};
use parking_lot::Mutex;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What is seen of one connection.
pub struct RequestSniffer {
    state: Mutex<State>,
    called: Notify,
}

struct State {
    at: At,
    phase: Phase,
    fault: Option<&'static str>,
    /// When bytes last came, or the connection.
    heard: Instant,
    /// In how many pieces the request has come so far.
    pieces: u32,
    /// It has handed in work that was taken.
    worked: bool,
}

/// What the next bytes are.
enum At {
    Head(Vec<u8>),
    /// So many bytes of a body.
    Body(u64),
    /// The request is whole, and none may come before its answer.
    Whole,
    /// Not followed any further: the connection ends with the next answer.
    Unframed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// A request is to come, or has come in part, since then.
    Receiving(Instant),
    /// It was taken, and waits for its answer.
    InFlight,
    /// Answered, since then.
    Idle(Instant),
}

/// How much a connection would be missed if its place went to another, least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// It has sent no whole request, and after its first bytes nothing for the time that one takes.
    Stalled,
    /// It is idle, and has handed in no work.
    IdleUnused,
    /// Its request may be on its way.
    MaybeReceiving,
    /// Its request comes piece by piece: whoever fills places with half of one does not go on with it.
    Trickling,
    /// It is idle, and has handed in work before.
    IdleAfterWork,
}

/// A head as far as its request's end hangs on it.
#[derive(Debug, PartialEq)]
enum Head {
    /// More is to come.
    Part,
    /// The library refuses it by itself.
    Unreadable,
    /// Its own length, and the body's, if one is told.
    Length(usize, Option<u64>),
    Fault(&'static str),
}

const HEADERS: usize = 100;

fn head(bytes: &[u8]) -> Head {
    let mut headers = [EMPTY_HEADER; HEADERS];
    let mut request = Request::new(&mut headers);
    let end = match request.parse(bytes) {
        Ok(Status::Complete(end)) => end,
        Ok(Status::Partial) => return Head::Part,
        Err(_) => return Head::Unreadable,
    };
    let all = |name: &str| -> Vec<&[u8]> {
        let named = request
            .headers
            .iter()
            .filter(|h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value).collect()
    };
    match (&all("transfer-encoding")[..], &all("content-length")[..]) {
        // Who believes the one finds another request in what the other takes for the body.
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
        let (at, heard) = (At::Head(Vec::new()), Instant::now());
        let state = State {
            at,
            phase: Phase::Receiving(heard),
            fault: None,
            heard,
            pieces: 0,
            worked: false,
        };
        RequestSniffer {
            state: Mutex::new(state),
            called: Notify::new(),
        }
    }
}

impl RequestSniffer {
    /// The bytes that came, in their order.
    pub fn observe(&self, mut bytes: &[u8]) {
        let mut state = self.state.lock();
        state.heard = Instant::now();
        if let Phase::Idle(_) = state.phase {
            (state.phase, state.pieces) = (Phase::Receiving(state.heard), 0);
        }
        state.pieces += 1;
        while !bytes.is_empty() {
            match &mut state.at {
                At::Head(held) => {
                    let before = held.len();
                    held.extend_from_slice(bytes);
                    match head(held) {
                        Head::Part => return,
                        Head::Unreadable => state.at = At::Unframed,
                        Head::Fault(why) => (state.at, state.fault) = (At::Unframed, Some(why)),
                        Head::Length(_, None) => state.at = At::Unframed,
                        Head::Length(end, Some(length)) => {
                            bytes = &bytes[end - before..];
                            state.at = if length > 0 {
                                At::Body(length)
                            } else {
                                At::Whole
                            };
                        }
                    }
                }
                At::Body(remaining) => {
                    let part = (*remaining).min(bytes.len() as u64);
                    *remaining -= part;
                    bytes = &bytes[part as usize..];
                    if *remaining == 0 {
                        state.at = At::Whole;
                    }
                }
                At::Whole => {
                    let why = "more than the body, or a request before the answer to the last";
                    (state.at, state.fault) = (At::Unframed, Some(why));
                }
                At::Unframed => return,
            }
        }
    }

    pub fn fault(&self) -> Option<&'static str> {
        self.state.lock().fault
    }

    pub fn phase(&self) -> Phase {
        self.state.lock().phase
    }

    /// The request is whole, and is taken.
    pub fn request_accepted(&self) {
        let mut state = self.state.lock();
        (state.phase, state.worked) = (Phase::InFlight, true);
    }

    /// Whether the connection may go on once the answer is given, as far as is known before it is.
    pub fn may_keep_alive(&self) -> bool {
        let state = self.state.lock();
        state.phase == Phase::InFlight && matches!(state.at, At::Whole)
    }

    /// The request has its answer. Whether the connection may go on: only after work that was taken, and
    /// where it is known that the next byte begins a request.
    pub fn request_answered(&self) -> bool {
        let mut state = self.state.lock();
        let goes_on = state.phase == Phase::InFlight && matches!(state.at, At::Whole);
        state.at = if goes_on {
            At::Head(Vec::new())
        } else {
            At::Unframed
        };
        state.phase = Phase::Idle(Instant::now());
        goes_on
    }

    /// How much it would be missed, and since when; `None` while it waits for an answer. Of a usual client
    /// something comes in the time that a request takes.
    pub fn eviction_rank(&self, takes: Duration) -> Option<(EvictionRank, Instant)> {
        let state = self.state.lock();
        match state.phase {
            // Of those that say nothing who has for longest goes first.
            Phase::Receiving(_) => {
                let missed = match state.pieces {
                    _ if state.heard.elapsed() < takes => EvictionRank::MaybeReceiving,
                    0 | 1 => EvictionRank::Stalled,
                    _ => EvictionRank::Trickling,
                };
                Some((missed, state.heard))
            }
            Phase::Idle(since) if state.worked => Some((EvictionRank::IdleAfterWork, since)),
            Phase::Idle(since) => Some((EvictionRank::IdleUnused, since)),
            Phase::InFlight => None,
        }
    }

    /// Whether it would be read by nobody if it were to end now: a request of it has come in part, or waits.
    pub fn is_busy(&self) -> bool {
        let state = self.state.lock();
        match state.phase {
            Phase::Receiving(_) => state.pieces > 0,
            Phase::InFlight => true,
            Phase::Idle(_) => false,
        }
    }

    /// Whether it waits for a request of which nothing has come.
    pub fn is_idle(&self) -> bool {
        let state = self.state.lock();
        matches!(state.phase, Phase::Idle(_))
            || matches!(state.phase, Phase::Receiving(_)) && state.pieces == 0
    }

    /// The connection is to end.
    pub fn request_close(&self) {
        self.called.notify_one();
    }

    pub async fn close_requested(&self) {
        self.called.notified().await;
    }
}
