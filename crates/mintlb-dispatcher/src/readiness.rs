//! The HTTP endpoint by which the platform's load balancer checks whether the process is ready.

use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Maximum size of a request.
const MAX_REQUEST_BYTES: usize = 4 << 10;
/// Idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Backoff after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

const READY: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const NOT_READY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";

/// Tells whether the process accepts clients' requests.
pub type IsReady = Arc<dyn Fn() -> bool + Send + Sync>;

/// Serves the endpoint until the future is dropped.
pub async fn listen(listener: TcpListener, is_ready: IsReady) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_connection(stream, is_ready.clone()))),
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve_connection(mut stream: TcpStream, is_ready: IsReady) {
    stream.set_nodelay(true).ok();
    let mut request = Vec::with_capacity(512);
    loop {
        let end = request.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        let Some(end) = end else {
            let read = timeout(IDLE_TIMEOUT, stream.read_buf(&mut request)).await;
            if request.len() > MAX_REQUEST_BYTES || !matches!(read, Ok(Ok(1..))) {
                return;
            }
            continue;
        };
        let response = match (request.starts_with(b"GET /v1/readiness "), is_ready()) {
            (false, _) => NOT_FOUND,
            (true, true) => READY,
            (true, false) => NOT_READY,
        };
        request.drain(..end + 4);
        if stream.write_all(response).await.is_err() {
            return;
        }
    }
}
