//! The sockets of the door. Operators must get their answer whatever else goes on, so the door has places of its
//! own, and whoever has said nothing for longest goes first when they are all taken.

use crate::command::{Command, Reply};
use slog::{Logger, debug, warn};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};

/// What bounds the door.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Callers at once, at least 1.
    pub max_connections: usize,
    /// A call is whole by then, and its answer taken by then.
    pub timeout: Duration,
}

/// Bytes of a call at the most: many times the longest.
const LINE: usize = 256;

/// A call, and where its answer goes.
pub type PendingCommand = (Command, oneshot::Sender<Reply>);

pub struct AdminServer {
    bounds: ServerLimits,
    desk: UnboundedSender<PendingCommand>,
    callers: Mutex<BTreeMap<u64, Caller>>,
    left: Notify,
    log: Logger,
}

struct Caller {
    /// When something last came of it.
    heard: Instant,
    /// Its call is whole: it only waits for us.
    whole: bool,
    sent_away: Arc<Notify>,
}

/// Held by a caller for as long as it is here.
struct Place<'a> {
    door: &'a AdminServer,
    number: u64,
    sent_away: Arc<Notify>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.door.callers().remove(&self.number);
        self.door.left.notify_one();
    }
}

impl AdminServer {
    pub fn new(
        bounds: ServerLimits,
        desk: UnboundedSender<PendingCommand>,
        log: Logger,
    ) -> Arc<AdminServer> {
        let (callers, left) = Default::default();
        Arc::new(AdminServer {
            bounds,
            desk,
            callers,
            left,
            log,
        })
    }

    pub async fn listen(self: Arc<AdminServer>, listener: TcpListener) {
        let mut failing = false;
        for number in 0.. {
            self.make_room().await;
            let accepted = listener.accept().await;
            match accepted {
                Ok((stream, _)) => {
                    let sent_away = Arc::new(Notify::new());
                    let caller = Caller {
                        heard: Instant::now(),
                        whole: false,
                        sent_away: sent_away.clone(),
                    };
                    self.callers().insert(number, caller);
                    let door = self.clone();
                    tokio::spawn(async move {
                        door.serve(
                            stream,
                            Place {
                                door: &door,
                                number,
                                sent_away,
                            },
                        )
                        .await;
                    });
                    failing = false;
                }
                Err(e) => {
                    if !failing {
                        warn!(self.log, "an operator's connection could not be accepted"; "why" => %e);
                    }
                    failing = true;
                    sleep(self.bounds.timeout / 128).await;
                }
            }
        }
    }

    fn callers(&self) -> MutexGuard<'_, BTreeMap<u64, Caller>> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there is a place. Who has said nothing for longest goes, but nobody at once: a call that comes
    /// right behind its connection must not lose to a crowd that says nothing.
    async fn make_room(&self) {
        let grace = self.bounds.timeout / 128;
        while self.callers().len() >= self.bounds.max_connections.max(1) {
            {
                let callers = self.callers();
                let idle = callers
                    .values()
                    .filter(|c| !c.whole && c.heard.elapsed() >= grace);
                idle.min_by_key(|c| c.heard)
                    .iter()
                    .for_each(|c| c.sent_away.notify_one());
            }
            timeout(grace, self.left.notified()).await.ok();
        }
    }

    async fn serve(&self, mut stream: TcpStream, place: Place<'_>) {
        let reply = tokio::select! {
            reply = timeout(self.bounds.timeout, self.ask(&mut stream, place.number)) => {
                reply.unwrap_or_else(|_| Some(Reply::Failure("no whole line came in time".to_string())))
            }
            () = place.sent_away.notified() => {
                let why = Reply::Failure("too many callers, and no whole line came of this one".to_string());
                stream.try_write(why.text().as_bytes()).ok();
                None
            }
        };
        let Some(reply) = reply else { return };
        if let Reply::Failure(why) = &reply {
            debug!(self.log, "an operator's call failed"; "why" => why);
        }
        let text = reply.text();
        let say = async {
            stream.write_all(text.as_bytes()).await?;
            stream.shutdown().await?;
            self.heard(place.number, false);
            // Closed with bytes unread, it would be reset, and the answer lost on its way.
            let mut rest = vec![0; LINE];
            while stream.read(&mut rest).await? > 0 {}
            Ok::<(), std::io::Error>(())
        };
        // Who stays after that gives way to others, too.
        tokio::select! {
            _ = timeout(self.bounds.timeout / 8, say) => (),
            () = place.sent_away.notified() => (),
        }
    }

    fn heard(&self, number: u64, whole: bool) {
        if let Some(caller) = self.callers().get_mut(&number) {
            (caller.heard, caller.whole) = (Instant::now(), whole);
        }
    }

    /// Reads a call and has it answered; `None` if the caller left without one.
    async fn ask(&self, stream: &mut TcpStream, number: u64) -> Option<Reply> {
        let mut line = Vec::new();
        let mut piece = vec![0; LINE];
        let end = loop {
            let n = stream.read(&mut piece).await.ok()?;
            line.extend_from_slice(&piece[..n]);
            match line.iter().position(|byte| *byte == b'\n') {
                Some(end) => break end,
                None if n == 0 && line.is_empty() => return None,
                // A line that the end of what is sent ends, too.
                None if n == 0 => break line.len(),
                None if line.len() > LINE => break line.len(),
                None => {}
            }
            self.heard(number, false);
        };
        if end > LINE {
            return Some(Reply::Failure(format!("a line of over {} bytes", LINE)));
        }
        let call = match Command::parse(&line[..end]) {
            Ok(call) => call,
            Err(why) => return Some(Reply::Failure(why)),
        };
        self.heard(number, true);
        let (answer, answered) = oneshot::channel();
        self.desk.send((call, answer)).ok();
        Some(
            answered
                .await
                .unwrap_or_else(|_| Reply::Failure("the scheduler is ending".to_string())),
        )
    }
}
