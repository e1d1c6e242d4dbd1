//! The connections of the admin server. Operators must get replies under any load, so the server has a connection
//! limit of its own, and closes the connection that has been idle for longest when the limit is reached.

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

/// Limits of the admin server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections open at once; 0 counts as 1.
    pub max_connections: usize,
    /// Time for a command to arrive and be carried out. The reply has to be received within an eighth of it.
    pub timeout: Duration,
}

/// Longest line of a command, many times the length of the longest command.
const MAX_LINE_BYTES: usize = 256;

/// A command, and the channel for its reply.
pub type PendingCommand = (Command, oneshot::Sender<Reply>);

/// Passes operators' commands to a handler, and its replies back.
pub struct AdminServer {
    limits: ServerLimits,
    handler: UnboundedSender<PendingCommand>,
    connections: Mutex<BTreeMap<u64, Connection>>,
    closed: Notify,
    log: Logger,
}

struct Connection {
    last_active: Instant,
    /// The command line has arrived completely, so that the connection waits for the server alone.
    is_complete: bool,
    /// Notified to close the connection in favour of another.
    evicted: Arc<Notify>,
}

/// Removes a connection from the table when it is dropped.
struct ConnectionGuard<'a> {
    server: &'a AdminServer,
    number: u64,
    evicted: Arc<Notify>,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.server.connections().remove(&self.number);
        self.server.closed.notify_one();
    }
}

impl AdminServer {
    pub fn new(
        limits: ServerLimits,
        handler: UnboundedSender<PendingCommand>,
        log: Logger,
    ) -> Arc<AdminServer> {
        let (connections, closed) = Default::default();
        Arc::new(AdminServer {
            limits,
            handler,
            connections,
            closed,
            log,
        })
    }

    /// Accepts connections for ever.
    pub async fn listen(self: Arc<AdminServer>, listener: TcpListener) {
        let mut failing = false;
        for number in 0.. {
            self.wait_for_capacity().await;
            let accepted = listener.accept().await;
            match accepted {
                Ok((stream, _)) => {
                    let evicted = Arc::new(Notify::new());
                    let connection = Connection {
                        last_active: Instant::now(),
                        is_complete: false,
                        evicted: evicted.clone(),
                    };
                    self.connections().insert(number, connection);
                    let server = self.clone();
                    tokio::spawn(async move {
                        server
                            .serve(
                                stream,
                                ConnectionGuard {
                                    server: &server,
                                    number,
                                    evicted,
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
                    sleep(self.limits.timeout / 128).await;
                }
            }
        }
    }

    fn connections(&self) -> MutexGuard<'_, BTreeMap<u64, Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until another connection fits. The one that has been idle for longest is closed, but none that was active
    /// within the last `timeout` / 128: a command that follows its connection at once must not lose to many connections
    /// that send nothing.
    async fn wait_for_capacity(&self) {
        let min_idle = self.limits.timeout / 128;
        while self.connections().len() >= self.limits.max_connections.max(1) {
            {
                let connections = self.connections();
                let idle = connections
                    .values()
                    .filter(|c| !c.is_complete && c.last_active.elapsed() >= min_idle);
                idle.min_by_key(|c| c.last_active)
                    .iter()
                    .for_each(|c| c.evicted.notify_one());
            }
            timeout(min_idle, self.closed.notified()).await.ok();
        }
    }

    async fn serve(&self, mut stream: TcpStream, guard: ConnectionGuard<'_>) {
        let reply = tokio::select! {
            reply = timeout(self.limits.timeout, self.handle_command(&mut stream, guard.number)) => {
                reply.unwrap_or_else(|_| Some(Reply::Failure("no whole line came in time".to_string())))
            }
            () = guard.evicted.notified() => {
                let why = Reply::Failure("too many callers, and no whole line came of this one".to_string());
                stream.try_write(why.text().as_bytes()).ok();
                None
            }
        };
        let Some(reply) = reply else { return };
        if let Reply::Failure(why) = &reply {
            debug!(self.log, "operator command failed"; "why" => why);
        }
        let text = reply.text();
        let send = async {
            stream.write_all(text.as_bytes()).await?;
            stream.shutdown().await?;
            self.record_activity(guard.number, false);
            // Closing with unread bytes would reset the connection, and the reply could be lost.
            let mut rest = vec![0; MAX_LINE_BYTES];
            while stream.read(&mut rest).await? > 0 {}
            Ok::<(), std::io::Error>(())
        };
        // A connection that the client keeps open after the reply may be evicted, too.
        tokio::select! {
            _ = timeout(self.limits.timeout / 8, send) => (),
            () = guard.evicted.notified() => (),
        }
    }

    fn record_activity(&self, number: u64, is_complete: bool) {
        if let Some(connection) = self.connections().get_mut(&number) {
            (connection.last_active, connection.is_complete) = (Instant::now(), is_complete);
        }
    }

    /// Reads a command and has it carried out; `None` if the client closed the connection without sending one.
    async fn handle_command(&self, stream: &mut TcpStream, number: u64) -> Option<Reply> {
        let mut line = Vec::new();
        let mut chunk = vec![0; MAX_LINE_BYTES];
        let end = loop {
            let n = stream.read(&mut chunk).await.ok()?;
            line.extend_from_slice(&chunk[..n]);
            match line.iter().position(|byte| *byte == b'\n') {
                Some(end) => break end,
                None if n == 0 && line.is_empty() => return None,
                // The end of the stream also ends the line.
                None if n == 0 => break line.len(),
                None if line.len() > MAX_LINE_BYTES => break line.len(),
                None => {}
            }
            self.record_activity(number, false);
        };
        if end > MAX_LINE_BYTES {
            return Some(Reply::Failure(format!(
                "a line of over {} bytes",
                MAX_LINE_BYTES
            )));
        }
        let command = match Command::parse(&line[..end]) {
            Ok(command) => command,
            Err(why) => return Some(Reply::Failure(why)),
        };
        self.record_activity(number, true);
        let (reply_sender, reply) = oneshot::channel();
        self.handler.send((command, reply_sender)).ok();
        Some(
            reply
                .await
                .unwrap_or_else(|_| Reply::Failure("the scheduler is ending".to_string())),
        )
    }
}
