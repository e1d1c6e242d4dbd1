//! Every size, count and time that bounds the program, filled at start and handed down.

use crate::clock::seconds;
use crate::placement::Machine;
use mintlb::settings::Text;
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
    /// Connections from clients; more than `open`, so that what is too much still gets its answer.
    pub clients: usize,
    /// Work units held, and bytes of their bodies.
    pub open: usize,
    pub bodies: usize,
    /// Connections to workers, and of them idle ones to one worker.
    pub links: usize,
    pub idle_per_worker: usize,
    /// Allocations out.
    pub out: usize,
    /// Log lines that wait for a slow sink; more are dropped, and counted.
    pub log_lines: usize,
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
    /// An allocation ends this many seconds before its client gives up, so that the answer is in time.
    pub margin: f64,
    /// A client that is turned away for want of room is told to come back after so many seconds, or 0.
    pub come_back: f64,
    /// Between two lines of counts in the log.
    pub tally: Duration,
    /// After the word to stop, clients still come for so long.
    pub late_arrivals: Duration,
    /// After the word to stop, clients' connections stay open for so long, as others may be starting again.
    pub keep_open: Duration,
    /// After the word to stop, all is answered by then.
    pub last_answer: Duration,
}

/// The protocol's largest body; a head needs far less.
const BODY: usize = 64 << 10;
const HEAD: usize = BODY / 4;
/// A client that sends no whole request is owed an error or a close by then.
const OWED: f64 = 3.0;
/// The protocol's pause between empty lines of a watch, and the longest wait of the platform's stop.
const LIST_BEAT: f64 = 2.0;
const STOP: f64 = 3.0;
const TALLY: f64 = 10.0;
const LOG_LINES: usize = 4096;
/// More descriptors or megabytes than this are taken for no limit.
const MOST: usize = 1 << 20;
const LATE_ARRIVALS: f64 = 0.7;

impl Limits {
    pub fn new(machine: &Machine, text: &Text) -> Result<Limits, String> {
        let Machine { memory_mb, sockets } = *machine;
        for (field, value, least) in [("memory_mb", memory_mb, 8), ("sockets", sockets, 32)] {
            if value < least {
                return Err(format!("limits.{field}: {value} is too little, {least} at least"));
            }
        }
        // An eighth of the descriptors is left for the list, the log and the like.
        let part = |eighths: usize| sockets.min(MOST) / 8 * eighths;
        // At the worst, heads and what is buffered fill three eighths of the memory, workers' lines two, the
        // buffers of links one, bodies one.
        let memory = |eighths: usize| (memory_mb.min(MOST) << 20) / 8 * eighths;
        let clients = part(4).min(memory(3) / (2 * HEAD));
        let max_open: usize = text.get("permissions.max_open")?;
        let types = text.project_types()?;
        let hard = types.iter().map(|t| t.hard_limit).fold(0.0, f64::max);
        let promise = types.iter().map(|t| t.promised_turnaround).fold(hard, f64::min);
        let last_answer = hard.min(STOP) + LATE_ARRIVALS / 2.0;
        let (dial, keepalive) =
            (text.seconds("permissions.dial_timeout")?, text.seconds("permissions.keepalive")?);
        Ok(Limits {
            body: BODY,
            head: HEAD,
            line: 2 * BODY,
            list_line: 64 * BODY,
            clients,
            open: (clients / 8 * 7).min(max_open),
            bodies: memory(1),
            links: part(3).min(memory(1) / HEAD),
            idle_per_worker: (part(1) / 16).max(1),
            out: part(2).min(memory(2) / (2 * BODY)),
            log_lines: LOG_LINES,
            dial: seconds(dial),
            sound: seconds(dial / 32.0),
            idle: seconds(keepalive * 0.75),
            dear: seconds(promise / 8.0),
            read: seconds(OWED / 3.0 * 2.0),
            probe: seconds(2.0 * dial),
            list_silence: seconds(LIST_BEAT * 2.0),
            come_back: if text.get("permissions.retry_after")? {
                (promise / 2.0).min(text.seconds("permissions.max_retry_after")?)
            } else {
                0.0
            },
            margin: text.seconds("quantum")?,
            tally: seconds(TALLY),
            late_arrivals: seconds(LATE_ARRIVALS),
            keep_open: seconds((last_answer / 2.0).max(LATE_ARRIVALS)),
            last_answer: seconds(last_answer),
        })
    }
}
