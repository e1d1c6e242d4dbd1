//! Answers and bodies that the calls of workers and the operator have in common.

use axum::body::Body;
use axum::http::{StatusCode, header};
use axum::response::IntoResponse;
pub use axum::response::Response;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use std::time::Duration;
use tokio::time::timeout;

/// `Retry-After` where the cause passes quickly, in s.
pub const SHORT_RETRY_AFTER_SECONDS: f64 = 0.15;
/// `Retry-After` where no majority answered, in s.
const RETRY_AFTER_SECONDS: f64 = 0.3;

/// The whole body, if it is short enough and comes in time.
pub async fn read_body(body: Body, max_bytes: usize, within: Duration) -> Result<Bytes, Response> {
    match timeout(within, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "M471 the body is too long",
        )),
        Ok(Err(_)) => Err(error_response(
            StatusCode::BAD_REQUEST,
            "M472 the body ended early",
        )),
        Err(_) => Err(error_response(
            StatusCode::REQUEST_TIMEOUT,
            "M473 the body did not come in time",
        )),
    }
}

/// An answer that says what is wrong.
pub fn error_response(status: StatusCode, text: &str) -> Response {
    (status, format!("{text}\n")).into_response()
}

/// 503: this process can't keep what the answer would promise, another controller may.
pub fn out_of_contact() -> Response {
    unavailable("M444 this controller is out of contact with a majority of the register's replicas")
}

/// 503: come back after a while.
pub fn unavailable(text: &str) -> Response {
    retry_response(RETRY_AFTER_SECONDS, text)
}

/// 503: come back after so many seconds.
pub fn retry_response(after_s: f64, text: &str) -> Response {
    let headers = [(header::RETRY_AFTER, format!("{after_s:.2}"))];
    (
        StatusCode::SERVICE_UNAVAILABLE,
        headers,
        format!("{text}\n"),
    )
        .into_response()
}
