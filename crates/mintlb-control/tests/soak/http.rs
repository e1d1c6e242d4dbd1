//! A minimal HTTP client: connections that stay open, and single calls.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HeaderMap;
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A complete response.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// The value of a header, if it has it.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Whether it promises that the request has not run and never will.
    pub fn is_refusal(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// Why there is no complete response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallError {
    /// The connection was closed before the request was sent.
    NotSent,
    /// The connection ended so long after the request was sent.
    Closed { after: Duration },
    /// Nothing came in time.
    TimedOut,
}

/// An open connection.
pub struct Connection(SendRequest<Full<Bytes>>);

impl Connection {
    pub async fn open(address: SocketAddr) -> Option<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Connection(sender))
    }

    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        if self.0.ready().await.is_err() {
            return Err(CallError::NotSent);
        }
        let sent = Instant::now();
        let called = timeout(limit, async {
            let response = self.0.send_request(request).await?;
            read(response).await
        });
        match called.await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) if error.is_canceled() => Err(CallError::NotSent),
            Ok(Err(_)) => Err(CallError::Closed {
                after: sent.elapsed(),
            }),
            Err(_) => Err(CallError::TimedOut),
        }
    }
}

async fn read(response: Response<Incoming>) -> hyper::Result<Answer> {
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body,
    })
}

/// Sends a request on a connection of its own.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Answer, CallError> {
    let mut connection = Connection::open(address).await.ok_or(CallError::NotSent)?;
    connection.call(request, limit).await
}

/// A request with these headers.
pub fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Request<Full<Bytes>> {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::new(body.into())).unwrap()
}
