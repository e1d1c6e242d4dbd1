//! The simulated clients: an open-loop load generator, which submits work units at random times whether or not earlier
//! ones have been answered.

use crate::observations::{ObservedRequest, Recorder};
use crate::rng::Rng;
use crate::scenario::{Demand, Idempotency, ProjectType, Scenario};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// How long a client waits beyond the hard limit, to tell late responses from lost ones.
const LATE_RESPONSE_WAIT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A keep-alive connection, and the index of the request that it last carried in the recorder.
type IdleConnection = (TcpStream, usize);

pub struct Clients {
    project_types: Vec<ProjectType>,
    addresses: Vec<SocketAddr>,
    recorder: Recorder,
    idle: Vec<Mutex<Vec<IdleConnection>>>,
    next_id: AtomicU64,
    /// Start of the scenario on the recorder's clock.
    started_at: f64,
}

impl Clients {
    pub fn new(
        scenario: &Scenario,
        seed: u64,
        addresses: Vec<SocketAddr>,
        recorder: Recorder,
        started_at: f64,
    ) -> Arc<Clients> {
        let idle = addresses.iter().map(|_| Mutex::default()).collect();
        // Ids differ between seeds, because run times are derived from them.
        let next_id = AtomicU64::new((seed << 32) | 1);
        Arc::new(Clients {
            project_types: scenario.project_types.clone(),
            addresses,
            recorder,
            idle,
            next_id,
            started_at,
        })
    }

    /// Submits work units of one demand entry until it ends.
    pub async fn generate(self: Arc<Clients>, demand: Demand, until: f64, mut rng: Rng) {
        let project_type = self
            .project_types
            .iter()
            .position(|t| t.name == demand.project_type)
            .unwrap_or(0);
        let (until, process_count) = (demand.to.unwrap_or(until).min(until), self.addresses.len());
        let weights = if demand.process_weights.is_empty() {
            vec![1.0; process_count]
        } else {
            demand.process_weights.clone()
        };
        let (mut at, total_weight) = (demand.from, weights.iter().sum::<f64>());
        if demand.rate <= 0.0 || total_weight <= 0.0 {
            return;
        }
        loop {
            at += rng.exponential(1.0 / demand.rate);
            if at >= until {
                return;
            }
            let mut remaining = rng.uniform() * total_weight;
            let process = match demand.rotation_period {
                Some(period) => ((at - demand.from) / period) as usize % process_count,
                None => weights
                    .iter()
                    .position(|w| {
                        remaining -= w;
                        remaining < 0.0
                    })
                    .unwrap_or(process_count - 1),
            };
            sleep_until(Instant::from_std(
                self.recorder.instant(self.started_at + at),
            ))
            .await;
            tokio::spawn(self.clone().submit(project_type, process));
        }
    }

    fn idle_connections(&self, process: usize) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle[process]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn submit(self: Arc<Clients>, project_type: usize, process: usize) {
        let id = self.next_id.fetch_add(1, Relaxed);
        let type_settings = &self.project_types[project_type];
        let key_header = match type_settings.idempotency {
            Idempotency::Deduplicated => format!("Idempotency-Key: {id:032x}\r\n"),
            _ => String::new(),
        };
        let request = format!(
            "POST /{} HTTP/1.1\r\nHost: rig\r\nRequest-Id: {id:016x}\r\nRequest-Timeout: {}m\r\n{key_header}Content-Length: 2\r\n\r\nhi",
            type_settings.name,
            (type_settings.hard_limit * 1e3) as u64
        );
        let limit = Duration::from_secs_f64(type_settings.hard_limit);
        let mut request_index: Option<usize> = None;
        // A process may close an idle connection while a request is on its way: the client then retries once, on a new
        // connection.
        for is_retry in [false, true] {
            let idle = if is_retry {
                None
            } else {
                self.take_idle(process)
            };
            let reused = idle.is_some();
            let mut stream = match idle {
                Some(stream) => stream,
                None => match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addresses[process]))
                    .await
                {
                    Ok(Ok(stream)) => stream,
                    // This request was not submitted, so nothing is recorded. If its first try was, that stays recorded
                    // without a response.
                    _ => return,
                },
            };
            stream.set_nodelay(true).ok();
            if stream.write_all(request.as_bytes()).await.is_err() {
                if reused {
                    continue;
                }
                return;
            }
            let sent_at = self.recorder.now();
            let index = *request_index.get_or_insert_with(|| {
                let mut observations = self.recorder.observations();
                observations.requests.push(ObservedRequest {
                    id,
                    process,
                    project_type,
                    sent_at,
                    responses: Vec::new(),
                    broken_at: None,
                });
                observations.requests.len() - 1
            });
            let response = timeout_at(
                Instant::now() + limit + LATE_RESPONSE_WAIT,
                read_response(&mut stream),
            )
            .await;
            let now = self.recorder.now();
            match response {
                Ok(Ok((status, keep_alive))) => {
                    self.recorder.observations().requests[index]
                        .responses
                        .push((now, status));
                    if keep_alive {
                        self.idle_connections(process).push((stream, index));
                    }
                    return;
                }
                Ok(Err(was_empty)) if was_empty && reused => continue,
                Ok(Err(_)) => self.recorder.observations().requests[index].broken_at = Some(now),
                Err(_) => {}
            }
            return;
        }
    }

    /// Takes an idle connection that is still open. Bytes received on an idle connection are recorded as a second
    /// response.
    fn take_idle(&self, process: usize) -> Option<TcpStream> {
        loop {
            let (stream, index) = self.idle_connections(process).pop()?;
            let mut buffer = [0; 512];
            match stream.try_read(&mut buffer) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return Some(stream),
                Ok(n) if n > 0 => {
                    let now = self.recorder.now();
                    self.recorder.observations().requests[index]
                        .responses
                        .push((now, 0));
                }
                _ => {}
            }
        }
    }
}

/// Reads a complete response: its status, and whether the connection stays open. The error tells whether the connection
/// ended before the first byte of the response.
async fn read_response(stream: &mut TcpStream) -> Result<(u16, bool), bool> {
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        if let Some(head) = received.windows(4).position(|end| end == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&received[..head]).to_lowercase();
            let status = text
                .split(' ')
                .nth(1)
                .and_then(|s| s.parse().ok())
                .ok_or(false)?;
            let length = text
                .lines()
                .find_map(|l| l.strip_prefix("content-length:")?.trim().parse().ok());
            let length: usize = length.unwrap_or(0);
            let complete = match text.contains("transfer-encoding: chunked") {
                true => received.ends_with(b"0\r\n\r\n"),
                false => received.len() >= head + 4 + length,
            };
            if complete {
                return Ok((status, !text.contains("connection: close")));
            }
        }
        match stream.read(&mut buffer).await {
            Ok(n) if n > 0 => received.extend_from_slice(&buffer[..n]),
            _ => return Err(received.is_empty()),
        }
    }
}
