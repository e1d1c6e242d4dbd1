//! The clients: work units at the moments that chance and the scenario give, whether or not earlier ones are answered.

use crate::chance::Chance;
use crate::scenario::{Demand, Effect, Scenario, Type};
use crate::seen::{Asked, Book};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// A client waits so much longer than its limit, to tell late from lost.
const LATE: Duration = Duration::from_secs(1);
const DIAL: Duration = Duration::from_secs(1);

/// A kept connection, and the work unit that it last carried, by its place in the book.
type Idle = (TcpStream, usize);

pub struct Clients {
    types: Vec<Type>,
    at: Vec<SocketAddr>,
    book: Book,
    idle: Vec<Mutex<Vec<Idle>>>,
    ids: AtomicU64,
    /// When the scenario began, by the book.
    began: f64,
}

impl Clients {
    pub fn new(
        scenario: &Scenario,
        seed: u64,
        at: Vec<SocketAddr>,
        book: Book,
        began: f64,
    ) -> Arc<Clients> {
        let idle = at.iter().map(|_| Mutex::default()).collect();
        // Ids differ from seed to seed, as the running times go by them.
        let ids = AtomicU64::new((seed << 32) | 1);
        Arc::new(Clients {
            types: scenario.types.clone(),
            at,
            book,
            idle,
            ids,
            began,
        })
    }

    /// Plays one line of the demand up to its end.
    pub async fn play(self: Arc<Clients>, demand: Demand, until: f64, mut chance: Chance) {
        let of = self
            .types
            .iter()
            .position(|t| t.name == demand.of)
            .unwrap_or(0);
        let (until, n) = (demand.to.unwrap_or(until).min(until), self.at.len());
        let weights = if demand.on.is_empty() {
            vec![1.0; n]
        } else {
            demand.on.clone()
        };
        let (mut at, all) = (demand.from, weights.iter().sum::<f64>());
        if demand.rate <= 0.0 || all <= 0.0 {
            return;
        }
        loop {
            at += chance.wait(1.0 / demand.rate);
            if at >= until {
                return;
            }
            let mut drawn = chance.draw() * all;
            let process = match demand.each {
                Some(each) => ((at - demand.from) / each) as usize % n,
                None => weights
                    .iter()
                    .position(|w| {
                        drawn -= w;
                        drawn < 0.0
                    })
                    .unwrap_or(n - 1),
            };
            sleep_until(Instant::from_std(self.book.instant(self.began + at))).await;
            tokio::spawn(self.clone().hand_in(of, process));
        }
    }

    fn idle(&self, process: usize) -> MutexGuard<'_, Vec<Idle>> {
        self.idle[process]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn hand_in(self: Arc<Clients>, of: usize, process: usize) {
        let id = self.ids.fetch_add(1, Relaxed);
        let t = &self.types[of];
        let key = match t.effect {
            Effect::Receipted => format!("Idempotency-Key: {id:032x}\r\n"),
            _ => String::new(),
        };
        let request = format!(
            "POST /{} HTTP/1.1\r\nHost: rig\r\nRequest-Id: {id:016x}\r\nRequest-Timeout: {}m\r\n{key}Content-Length: 2\r\n\r\nhi",
            t.name,
            (t.hard_limit * 1e3) as u64
        );
        let limit = Duration::from_secs_f64(t.hard_limit);
        let mut asked: Option<usize> = None;
        // A connection that was closed as the request crossed is no fault: once more, on a new one.
        for again in [false, true] {
            let kept = if again { None } else { self.kept(process) };
            let reused = kept.is_some();
            let mut stream = match kept {
                Some(stream) => stream,
                None => match timeout(DIAL, TcpStream::connect(self.at[process])).await {
                    Ok(Ok(stream)) => stream,
                    // It was never handed in; one whose first try was, stays broken.
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
            let at = self.book.now();
            let place = *asked.get_or_insert_with(|| {
                let mut seen = self.book.seen();
                seen.asked.push(Asked {
                    id,
                    process,
                    of,
                    at,
                    answers: Vec::new(),
                    broken: None,
                });
                seen.asked.len() - 1
            });
            let answer = timeout_at(Instant::now() + limit + LATE, answer(&mut stream)).await;
            let now = self.book.now();
            match answer {
                Ok(Ok((status, keeps))) => {
                    self.book.seen().asked[place].answers.push((now, status));
                    if keeps {
                        self.idle(process).push((stream, place));
                    }
                    return;
                }
                Ok(Err(nothing)) if nothing && reused => continue,
                Ok(Err(_)) => self.book.seen().asked[place].broken = Some(now),
                Err(_) => {}
            }
            return;
        }
    }

    /// One that is still open. What it has to say before it is asked anything would be a second answer.
    fn kept(&self, process: usize) -> Option<TcpStream> {
        loop {
            let (stream, place) = self.idle(process).pop()?;
            let mut piece = [0; 512];
            match stream.try_read(&mut piece) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return Some(stream),
                Ok(n) if n > 0 => {
                    let now = self.book.now();
                    self.book.seen().asked[place].answers.push((now, 0));
                }
                _ => {}
            }
        }
    }
}

/// The status of a whole answer, and whether its connection is kept; else whether nothing of one came.
async fn answer(stream: &mut TcpStream) -> Result<(u16, bool), bool> {
    let (mut got, mut piece) = (Vec::new(), [0; 4096]);
    loop {
        if let Some(head) = got.windows(4).position(|end| end == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&got[..head]).to_lowercase();
            let status = text
                .split(' ')
                .nth(1)
                .and_then(|s| s.parse().ok())
                .ok_or(false)?;
            let length = text
                .lines()
                .find_map(|l| l.strip_prefix("content-length:")?.trim().parse().ok());
            let length: usize = length.unwrap_or(0);
            let whole = match text.contains("transfer-encoding: chunked") {
                true => got.ends_with(b"0\r\n\r\n"),
                false => got.len() >= head + 4 + length,
            };
            if whole {
                return Ok((status, !text.contains("connection: close")));
            }
        }
        match stream.read(&mut piece).await {
            Ok(n) if n > 0 => got.extend_from_slice(&piece[..n]),
            _ => return Err(got.is_empty()),
        }
    }
}
