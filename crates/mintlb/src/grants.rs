//! The machine's grant, parted among what the program holds and how long it waits.

use crate::placement::Machine;
use mintlb_admin::server::ServerLimits;
use mintlb_core::clock::clamped_duration;
use mintlb_core::lifecycle::CloseDelays;
use mintlb_http::limits::{
    HttpLimits, LIST_HEARTBEAT_S, MAX_BODY_BYTES, MAX_HEAD_BYTES, REQUEST_ERROR_DEADLINE_S,
};
use mintlb_scheduler::settings::{FlatSettings, MAX_LIST_DELAY_S};
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Grants {
    pub http: HttpLimits,
    /// Connections of beanstalkd's clients and workers, taken from HTTP's clients; 0 where it is not spoken.
    pub sessions: usize,
    /// Work units held, and bytes of their bodies.
    pub open: usize,
    pub bodies: usize,
    /// Attempts out.
    pub out: usize,
    /// An attempt ends this many seconds before its client gives up, so that the answer is in time.
    pub margin: f64,
    /// The operators' door.
    pub door: ServerLimits,
    /// Log lines that wait for a slow sink; more are dropped, and counted.
    pub log_lines: usize,
    /// Between two lines of counts in the log.
    pub tally: Duration,
    /// After the word to stop, clients still come for so long.
    pub late_arrivals: Duration,
    /// After the words to leave and to stop, connections stay open for so long.
    pub notice: CloseDelays,
    /// One that takes over waits so long for the list before it takes clients.
    pub first_list: Duration,
    /// After the word to stop, all is answered by then.
    pub last_answer: Duration,
}

/// The longest wait of the platform's stop.
const STOP: f64 = 3.0;
const TALLY: f64 = 10.0;
const LOG_LINES: usize = 4096;
/// Descriptors that are nobody's but the program's own: three standard ones, the system's events three, signals four, the
/// listener, the list's old connection and its new one, one for a file that is read, one kept spare, one more.
const OWN: usize = 16;
/// More descriptors or megabytes than this are taken for no limit.
const MOST: usize = 1 << 20;
const LATE_ARRIVALS: f64 = 0.7;
/// What one of beanstalkd's connections buffers at the most that has not come to a whole job, in bytes.
pub const SESSION: usize = 4 << 10;

impl Grants {
    /// With `sessions` connections of beanstalkd's; `shared` with another process of the same name, which may be
    /// there at any time: together they must not take more than the machine has.
    pub fn new(
        machine: &Machine,
        text: &FlatSettings,
        sessions: usize,
        shared: bool,
    ) -> Result<Grants, String> {
        let Machine { memory_mb, sockets } = *machine;
        let (among, least) = if shared { (2, 3 * OWN) } else { (1, 2 * OWN) };
        for (field, value, least) in [("memory_mb", memory_mb, 8), ("sockets", sockets, least)] {
            if value < least {
                return Err(format!(
                    "limits.{field}: {value} is too little, {least} at least"
                ));
            }
        }
        let (memory_mb, sockets) = (memory_mb / among, sockets.min(MOST) / among);
        // An eighth of the descriptors is left for the list, the log and the like, or as many as they need.
        let own = (sockets / 8).max(OWN);
        let part = |sevenths: usize| (sockets - own) / 7 * sevenths;
        // At the worst, heads and what is buffered fill three eighths of the memory, workers' lines two, the
        // buffers of links one, bodies one.
        let memory = |eighths: usize| (memory_mb.min(MOST) << 20) / 8 * eighths;
        // Of the descriptors for clients and their share of the memory at least a quarter stays HTTP's.
        let most = (part(3)).min(memory(3) / 4 * 3 / SESSION);
        if sessions > most {
            return Err(format!(
                "{sessions} connections are too many here, {most} at most"
            ));
        }
        let clients =
            (part(4) - sessions).min((memory(3) - sessions * SESSION) / (2 * MAX_HEAD_BYTES));
        let max_open: usize = text.get("permissions.max_open")?;
        let types = text.project_types()?;
        let hard = types.iter().map(|t| t.hard_limit).fold(0.0, f64::max);
        let promise = types
            .iter()
            .map(|t| t.promised_turnaround)
            .fold(hard, f64::min);
        // A quarter of what the platform grants beyond the longest wait is left for the answers' way.
        let last_answer = hard.min(STOP) + LATE_ARRIVALS * 0.75;
        let (dial, keepalive) = (
            text.seconds("permissions.dial_timeout")?,
            text.seconds("permissions.keepalive")?,
        );
        let http = HttpLimits {
            max_body_bytes: MAX_BODY_BYTES,
            max_head_bytes: MAX_HEAD_BYTES,
            max_worker_line_bytes: 2 * MAX_BODY_BYTES,
            max_list_line_bytes: 64 * MAX_BODY_BYTES,
            max_client_connections: clients,
            max_worker_connections: part(3).min(memory(1) / MAX_HEAD_BYTES),
            max_idle_per_worker: (part(1) / 16).max(1),
            dial_timeout: clamped_duration(dial),
            last_byte_delay: clamped_duration(dial / 32.0),
            idle_timeout: clamped_duration(keepalive * 0.75),
            reuse_threshold: clamped_duration(promise / 8.0),
            // As long as an answer in time allows: honest clients may be slow.
            read_timeout: clamped_duration(REQUEST_ERROR_DEADLINE_S / 15.0 * 13.0),
            probe_timeout: clamped_duration(2.0 * dial),
            list_idle_timeout: clamped_duration(LIST_HEARTBEAT_S * 1.25),
            // With the longest time from one question to the next, half of what counts as told, it stays below the whole.
            list_call_timeout: clamped_duration(MAX_LIST_DELAY_S / 2.0 - LIST_HEARTBEAT_S / 8.0),
            retry_after_s: if text.get("permissions.retry_after")? {
                (promise / 2.0).min(text.seconds("permissions.max_retry_after")?)
            } else {
                0.0
            },
        };
        Ok(Grants {
            http,
            sessions,
            // More may connect than work may be open, so that what is too much gets its answer.
            open: ((clients + sessions) / 8 * 7).min(max_open),
            bodies: memory(1),
            out: part(2).min(memory(2) / (2 * MAX_BODY_BYTES)) + sessions,
            margin: text.seconds("quantum")?,
            log_lines: LOG_LINES,
            tally: clamped_duration(TALLY),
            late_arrivals: clamped_duration(LATE_ARRIVALS),
            notice: CloseDelays {
                after_leave: LATE_ARRIVALS,
                after_stop: (last_answer / 2.0).max(LATE_ARRIVALS),
            },
            door: ServerLimits {
                max_connections: ((own - OWN) / 4).max(1),
                timeout: clamped_duration(REQUEST_ERROR_DEADLINE_S / 3.0 * 2.0),
            },
            first_list: clamped_duration(STOP),
            last_answer: clamped_duration(last_answer),
        })
    }
}
