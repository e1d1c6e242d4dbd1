//! Every size, count and time that bounds the program, filled at start and handed down.

use crate::clock::seconds;
use crate::placement::Machine;
use mintlb::settings::Text;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of a body, and of what a connection buffers.
    pub body: usize,
    /// Bytes of one line of a worker: a body, escaped, and some words.
    pub line: usize,
    /// Bytes of one line that the list service writes.
    pub list_line: usize,
    /// Connections from clients; more than `open`, so that what is too much still gets its answer.
    pub clients: usize,
    /// Work units held.
    pub open: usize,
    /// Connections to workers, and of them idle ones to one worker.
    pub links: usize,
    pub idle_per_worker: usize,
    /// Allocations out.
    pub out: usize,
    /// Log lines that wait for a slow sink; more are dropped, and counted.
    pub log_lines: usize,
    /// A connection that is not up by then never comes up.
    pub dial: Duration,
    /// Idle connections to workers are kept shorter than workers keep theirs.
    pub idle: Duration,
    /// A new connection that takes longer is worth keeping.
    pub dear: Duration,
    /// What a client has begun to send must be whole by then.
    pub read: Duration,
    /// A probe is answered by then, or never.
    pub probe: Duration,
    /// The list service is never silent for so long, while it is there.
    pub list_silence: Duration,
    /// An allocation ends this many seconds before its client gives up, so that the answer is in time.
    pub margin: f64,
    /// Between two lines of counts in the log.
    pub tally: Duration,
    /// After the word to stop, clients still come for so long.
    pub late_arrivals: Duration,
    /// After the word to stop, clients' connections stay open for so long, as others may be starting again.
    pub keep_open: Duration,
    /// After the word to stop, all is answered by then.
    pub last_answer: Duration,
}

/// The protocol's largest body.
const BODY: usize = 64 << 10;
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
        // A client's connection may buffer as much as it sends, a worker's as much as half a line: together
        // they fill five eighths of the memory at the worst.
        let double = memory_mb.min(MOST) * (1 << 20) / (2 * BODY);
        let clients = part(4).min(double / 3);
        let max_open: usize = text.get("permissions.max_open")?;
        let types = text.project_types()?;
        let hard = types.iter().map(|t| t.hard_limit).fold(0.0, f64::max);
        let promise = types.iter().map(|t| t.promised_turnaround).fold(hard, f64::min);
        let last_answer = hard.min(STOP) + LATE_ARRIVALS / 2.0;
        let (dial, keepalive) =
            (text.seconds("permissions.dial_timeout")?, text.seconds("permissions.keepalive")?);
        Ok(Limits {
            body: BODY,
            line: 2 * BODY,
            list_line: 64 * BODY,
            clients,
            open: (clients / 4 * 3).min(max_open),
            links: part(3).min(double / 4),
            idle_per_worker: (part(1) / 16).max(1),
            out: part(2).min(double / 6),
            log_lines: LOG_LINES,
            dial: seconds(dial),
            idle: seconds(keepalive * 0.75),
            dear: seconds(promise / 8.0),
            read: seconds(hard),
            probe: seconds(2.0 * dial),
            list_silence: seconds(LIST_BEAT * 2.0),
            margin: text.seconds("quantum")?,
            tally: seconds(TALLY),
            late_arrivals: seconds(LATE_ARRIVALS),
            keep_open: seconds((last_answer / 2.0).max(LATE_ARRIVALS)),
            last_answer: seconds(last_answer),
        })
    }
}
