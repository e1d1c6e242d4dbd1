//! Divides the machine's memory and file descriptors among the parts of the program, and derives its time-outs from the
//! settings.

use crate::configuration::MachineLimits;
use mintlb_admin::server::ServerLimits;
use mintlb_core::clock::clamped_duration;
use mintlb_core::lifecycle::CloseDelays;
use mintlb_http::limits::{
    HttpLimits, LIST_HEARTBEAT_S, MAX_BODY_BYTES, MAX_HEAD_BYTES, REQUEST_ERROR_DEADLINE_S,
};
use mintlb_scheduler::settings::{FlatSettings, MAX_LIST_DELAY_S};
use std::time::Duration;

/// The resource limits and time-outs of a scheduler.
#[derive(Clone, Debug)]
pub struct ResourceLimits {
    pub http: HttpLimits,
    /// Connections of beanstalkd clients and workers. They are taken from the share of HTTP clients; 0 if beanstalkd is
    /// off.
    pub beanstalkd_connections: usize,
    /// Requests that are open at once.
    pub open_requests: usize,
    /// Bytes of the bodies of all open requests.
    pub body_bytes: usize,
    /// Attempts that are in flight at once.
    pub attempts_in_flight: usize,
    /// An attempt ends this many seconds before its client gives up, so that the answer arrives in time.
    pub answer_margin_s: f64,
    /// The limits of the admin socket.
    pub admin: ServerLimits,
    /// Log lines that are buffered for a slow reader. Further lines are dropped and counted.
    pub log_buffer_lines: usize,
    /// The interval between two log lines with counts.
    pub counts_interval: Duration,
    /// How long clients are still expected to send requests after the start of a graceful shutdown.
    pub late_arrivals: Duration,
    /// How long connections stay open after the start of draining, and of a graceful shutdown.
    pub close_delays: CloseDelays,
    /// How long a process that takes over from a sibling waits for the list of workers before it accepts clients.
    pub initial_list_timeout: Duration,
    /// How long after the start of a graceful shutdown all requests must be answered.
    pub shutdown_deadline: Duration,
}

/// The longest time that the platform's stop of a process waits for answers, in seconds.
const STOP_S: f64 = 3.0;
const COUNTS_INTERVAL_S: f64 = 10.0;
const LOG_BUFFER_LINES: usize = 4096;
/// File descriptors that the program itself needs: three standard streams, three for the event loop, four for signals,
/// one for the listener, two for the list service's former and current connections, one for a file being read, one in
/// reserve, and one more.
const OWN_DESCRIPTORS: usize = 16;
/// Configured limits on descriptors or megabytes count as this many at most.
const MAX_CONFIGURED_LIMIT: usize = 1 << 20;
const LATE_ARRIVALS_S: f64 = 0.7;
/// The most bytes that a beanstalkd connection buffers beyond whole jobs.
pub const BEANSTALKD_BUFFER_BYTES: usize = 4 << 10;

impl ResourceLimits {
    /// Limits that leave room for `beanstalkd_connections`. With `shared`, a sibling process may run beside this one at
    /// any time, so each of the two gets half of the machine.
    pub fn new(
        machine: &MachineLimits,
        settings: &FlatSettings,
        beanstalkd_connections: usize,
        shared: bool,
    ) -> Result<ResourceLimits, String> {
        let MachineLimits { memory_mb, sockets } = *machine;
        let (processes, min_sockets) = if shared {
            (2, 3 * OWN_DESCRIPTORS)
        } else {
            (1, 2 * OWN_DESCRIPTORS)
        };
        for (field, value, min) in [
            ("memory_mb", memory_mb, 8),
            ("sockets", sockets, min_sockets),
        ] {
            if value < min {
                return Err(format!(
                    "limits.{field}: {value} is too little, {min} at least"
                ));
            }
        }
        let (memory_mb, sockets) = (
            memory_mb / processes,
            sockets.min(MAX_CONFIGURED_LIMIT) / processes,
        );
        // The program itself (list service, log and the like) gets an eighth of the descriptors, or as many as it
        // needs.
        let own_descriptors = (sockets / 8).max(OWN_DESCRIPTORS);
        let descriptors = |sevenths: usize| (sockets - own_descriptors) / 7 * sevenths;
        // In the worst case, request heads and buffers of clients fill three eighths of the memory, lines of
        // workers two, buffers of worker connections one, and bodies one.
        let memory_bytes =
            |eighths: usize| (memory_mb.min(MAX_CONFIGURED_LIMIT) << 20) / 8 * eighths;
        // HTTP keeps at least a quarter of the clients' descriptors and of the clients' memory.
        let max_beanstalkd_connections =
            (descriptors(3)).min(memory_bytes(3) / 4 * 3 / BEANSTALKD_BUFFER_BYTES);
        if beanstalkd_connections > max_beanstalkd_connections {
            return Err(format!(
                "{beanstalkd_connections} connections are too many here, {max_beanstalkd_connections} at most"
            ));
        }
        let max_client_connections = (descriptors(4) - beanstalkd_connections).min(
            (memory_bytes(3) - beanstalkd_connections * BEANSTALKD_BUFFER_BYTES)
                / (2 * MAX_HEAD_BYTES),
        );
        let max_open: usize = settings.get("permissions.max_open")?;
        let types = settings.project_types()?;
        let hard_limit_s = types.iter().map(|t| t.hard_limit).fold(0.0, f64::max);
        let min_turnaround_s = types
            .iter()
            .map(|t| t.promised_turnaround)
            .fold(hard_limit_s, f64::min);
        // Of the time that the platform grants beyond the longest wait, a quarter is left for delivering the answers.
        let shutdown_deadline_s = hard_limit_s.min(STOP_S) + LATE_ARRIVALS_S * 0.75;
        let (dial_timeout_s, keepalive_s) = (
            settings.seconds("permissions.dial_timeout")?,
            settings.seconds("permissions.keepalive")?,
        );
        let http = HttpLimits {
            max_body_bytes: MAX_BODY_BYTES,
            max_head_bytes: MAX_HEAD_BYTES,
            max_worker_line_bytes: 2 * MAX_BODY_BYTES,
            max_list_line_bytes: 64 * MAX_BODY_BYTES,
            max_client_connections,
            max_worker_connections: descriptors(3).min(memory_bytes(1) / MAX_HEAD_BYTES),
            max_idle_per_worker: (descriptors(1) / 16).max(1),
            dial_timeout: clamped_duration(dial_timeout_s),
            last_byte_delay: clamped_duration(dial_timeout_s / 32.0),
            idle_timeout: clamped_duration(keepalive_s * 0.75),
            reuse_threshold: clamped_duration(min_turnaround_s / 8.0),
            // As long as still leaves time to answer by the deadline, since well-behaved clients may be slow.
            read_timeout: clamped_duration(REQUEST_ERROR_DEADLINE_S / 15.0 * 13.0),
            probe_timeout: clamped_duration(2.0 * dial_timeout_s),
            list_idle_timeout: clamped_duration(LIST_HEARTBEAT_S * 1.25),
            // Changes of the list have to be known within `MAX_LIST_DELAY_S`. The pause between two calls takes up
            // to half of it, so that a call of this length still ends in time.
            list_call_timeout: clamped_duration(MAX_LIST_DELAY_S / 2.0 - LIST_HEARTBEAT_S / 8.0),
            retry_after_s: if settings.get("permissions.retry_after")? {
                (min_turnaround_s / 2.0).min(settings.seconds("permissions.max_retry_after")?)
            } else {
                0.0
            },
        };
        Ok(ResourceLimits {
            http,
            beanstalkd_connections,
            // Fewer than the connections, so that a client beyond the limit can still connect and get an answer.
            open_requests: ((max_client_connections + beanstalkd_connections) / 8 * 7)
                .min(max_open),
            body_bytes: memory_bytes(1),
            attempts_in_flight: descriptors(2).min(memory_bytes(2) / (2 * MAX_BODY_BYTES))
                + beanstalkd_connections,
            answer_margin_s: settings.seconds("quantum")?,
            log_buffer_lines: LOG_BUFFER_LINES,
            counts_interval: clamped_duration(COUNTS_INTERVAL_S),
            late_arrivals: clamped_duration(LATE_ARRIVALS_S),
            close_delays: CloseDelays {
                after_leave: LATE_ARRIVALS_S,
                after_stop: (shutdown_deadline_s / 2.0).max(LATE_ARRIVALS_S),
            },
            admin: ServerLimits {
                max_connections: ((own_descriptors - OWN_DESCRIPTORS) / 4).max(1),
                timeout: clamped_duration(REQUEST_ERROR_DEADLINE_S / 3.0 * 2.0),
            },
            initial_list_timeout: clamped_duration(STOP_S),
            shutdown_deadline: clamped_duration(shutdown_deadline_s),
        })
    }
}
