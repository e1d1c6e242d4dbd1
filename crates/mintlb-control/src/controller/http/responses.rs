//! Responses and request bodies, as the calls of workers and the operator have them in common.

use axum::body::Body;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use std::time::Duration;
use tokio::time::timeout;

/// `Retry-After` where the cause passes quickly.
pub const SHORT_RETRY_AFTER: Duration = Duration::from_millis(150);
/// `Retry-After` where no majority replied.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// The reason for which the body of a request can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[error("M471 the body is too long")]
    TooLong,
    /// The connection ended before the body.
    #[error("M472 the body ended early")]
    Incomplete,
    /// The body didn't arrive within the time limit.
    #[error("M473 the body did not come in time")]
    TimedOut,
}

impl IntoResponse for BodyError {
    fn into_response(self) -> Response {
        let status = match self {
            BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Incomplete => StatusCode::BAD_REQUEST,
            BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        };
        error_response(status, &self.to_string())
    }
}

/// Reads a complete body.
///
/// # Errors
///
/// If the body is longer than `max_bytes`, ends early or doesn't arrive within the time limit.
pub async fn read_body(
    body: Body,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, BodyError> {
    match timeout(time_limit, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLong),
        Ok(Err(_)) => Err(BodyError::Incomplete),
        Err(_) => Err(BodyError::TimedOut),
    }
}

/// A response with this status and text.
pub fn error_response(status: StatusCode, text: &str) -> Response {
    (status, format!("{text}\n")).into_response()
}

/// 503 with the usual delay before a retry.
pub fn unavailable(text: &str) -> Response {
    retry_response(RETRY_AFTER, text)
}

/// 503 with this delay before a retry.
pub fn retry_response(retry_after: Duration, text: &str) -> Response {
    let retry_after = format!("{:.2}", retry_after.as_secs_f64());
    let headers = [(header::RETRY_AFTER, retry_after)];
    (
        StatusCode::SERVICE_UNAVAILABLE,
        headers,
        format!("{text}\n"),
    )
        .into_response()
}
