//! The HTTP server of workers and the operator: connections and limits.

pub mod configuration_api;
pub mod instance_api;
pub mod responses;
pub mod retirement_api;

use crate::controller::Controller;
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
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest head.
const MAX_HEADER_BYTES: usize = 32 << 10;
/// Connections that the system may hold before they are accepted.
const BACKLOG: u32 = 1024;
/// A connection that has lasted so long ends after its current request.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(60);
/// How long a connection may take altogether for one request, from its head to the end of its answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// All calls.
pub fn router(controller: Arc<Controller>) -> Router {
    let configuration = configuration_api::routes();
    let calls = configuration
        .merge(instance_api::routes())
        .merge(retirement_api::routes());
    calls.with_state(controller)
}

/// Listens at an address.
pub fn listen(address: SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())?;
    socket.listen(BACKLOG)
}

/// Serves until `shutting_down` turns true; then no more connections are accepted, and those there are end after their
/// current request. Returns once they have.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    max_connections: usize,
    mut shutting_down: watch::Receiver<bool>,
) {
    let connection_slots = Arc::new(Semaphore::new(max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = shutting_down.wait_for(|shutting_down| *shutting_down) => break,
        };
        match (accepted, connection_slots.clone().try_acquire_owned()) {
            (Ok((stream, _)), Ok(slot)) => {
                let (router, shutting_down) = (router.clone(), shutting_down.clone());
                tokio::spawn(async move {
                    connection(stream, router, shutting_down).await;
                    drop(slot);
                });
            }
            (Ok(_), Err(_)) => (),
            (Err(_), _) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    let all = u32::try_from(max_connections).unwrap_or(u32::MAX);
    connection_slots.acquire_many(all).await.ok();
}

async fn connection(stream: TcpStream, router: Router, mut shutting_down: watch::Receiver<bool>) {
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
        _ = shutting_down.wait_for(|shutting_down| *shutting_down) => (),
        () = sleep(MAX_CONNECTION_AGE) => (),
    }
    connection.as_mut().graceful_shutdown();
    timeout(REQUEST_TIMEOUT, connection).await.ok();
}
