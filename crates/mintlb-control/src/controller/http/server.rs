//! The HTTP server: connections and their limits.

use axum::Router;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// The time that the header of a request is given, which is also the time after which an idle
/// connection is closed.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest header, in bytes.
const MAX_HEADER_BYTES: usize = 32 << 10;
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// The age at which a connection ends after its current request.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(60);
/// The time that a connection is given for its last request, from the header to the end of the
/// response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Listens on an address.
///
/// # Errors
///
/// If the address can't be listened on.
pub fn listen(address: SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())?;
    socket.listen(LISTEN_BACKLOG)
}

/// Serves until `shutdown` is cancelled. Then no more connections are accepted, and the open ones
/// end after their current request. Returns once they have. Connections beyond `max_connections`
/// are closed at once.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    max_connections: usize,
    shutdown: CancellationToken,
) {
    let slots = Arc::new(Semaphore::new(max_connections));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => break,
        };
        while connections.try_join_next().is_some() {}
        match (accepted, slots.clone().try_acquire_owned()) {
            (Ok((stream, _)), Ok(slot)) => {
                let (router, shutdown) = (router.clone(), shutdown.clone());
                connections.spawn(async move {
                    serve_connection(stream, router, shutdown).await;
                    drop(slot);
                });
            }
            (Ok(_), Err(_)) => (),
            (Err(_), _) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(stream: TcpStream, router: Router, shutdown: CancellationToken) {
    stream.set_nodelay(true).ok();
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES);
    let service = TowerToHyperService::new(router);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = connection.as_mut() => return,
        () = shutdown.cancelled() => (),
        () = sleep(MAX_CONNECTION_AGE) => (),
    }
    connection.as_mut().graceful_shutdown();
    timeout(REQUEST_TIMEOUT, connection).await.ok();
}
