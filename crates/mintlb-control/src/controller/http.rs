//! The HTTP server of workers and the operator: connections and limits.

use super::{Controller, configuration_api, instance_api, retire_api};
use axum::Router;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};

/// How long a request's head may take to come; idle connections are closed after it as well.
const HEAD_WITHIN: Duration = Duration::from_secs(10);
/// The longest head.
const MOST_HEAD_BYTES: usize = 32 << 10;
/// Connections that the system may hold before they are accepted.
const BACKLOG: u32 = 1024;
/// A connection that has lasted so long ends after its current request.
const CONNECTION_LASTS: Duration = Duration::from_secs(60);
/// How long a connection may take altogether for one request, from its head to the end of its answer.
const REQUEST_WITHIN: Duration = Duration::from_secs(8);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// All calls.
pub fn router(controller: Arc<Controller>) -> Router {
    let configuration = configuration_api::routes();
    let calls = configuration
        .merge(instance_api::routes())
        .merge(retire_api::routes());
    calls.with_state(controller)
}

/// Listens at an address.
pub fn listen(address: SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())?;
    socket.listen(BACKLOG)
}

/// Serves until `stopping` turns true; then no more connections are accepted, and those there are end after their
/// current request. Returns once they have.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    most_connections: usize,
    mut stopping: watch::Receiver<bool>,
) {
    let places = Arc::new(Semaphore::new(most_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => break,
        };
        match (accepted, places.clone().try_acquire_owned()) {
            (Ok((stream, _)), Ok(place)) => {
                let (router, stopping) = (router.clone(), stopping.clone());
                tokio::spawn(async move {
                    connection(stream, router, stopping).await;
                    drop(place);
                });
            }
            (Ok(_), Err(_)) => (),
            (Err(_), _) => sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
    let all = u32::try_from(most_connections).unwrap_or(u32::MAX);
    places.acquire_many(all).await.ok();
}

async fn connection(stream: TcpStream, router: Router, mut stopping: watch::Receiver<bool>) {
    stream.set_nodelay(true).ok();
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_WITHIN)
        .max_buf_size(MOST_HEAD_BYTES);
    let service = TowerToHyperService::new(router);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopping.wait_for(|stopping| *stopping) => (),
        () = sleep(CONNECTION_LASTS) => (),
    }
    connection.as_mut().graceful_shutdown();
    timeout(REQUEST_WITHIN, connection).await.ok();
}
