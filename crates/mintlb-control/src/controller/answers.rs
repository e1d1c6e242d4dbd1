//! Answers and bodies that the calls of workers and the operator have in common.

use axum::body::Body;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use std::time::Duration;
use tokio::time::timeout;

/// The answer to a call.
pub type Answered = Response;

/// `Retry-After` where the cause passes quickly, in s.
pub const RETRY_SOON: f64 = 0.15;
/// `Retry-After` where no majority answered, in s.
const RETRY_LATER: f64 = 0.3;

/// The whole body, if it is short enough and comes in time.
pub async fn body_within(
    body: Body,
    most_bytes: usize,
    within: Duration,
) -> Result<Bytes, Answered> {
    match timeout(within, Limited::new(body, most_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(refuse(
            StatusCode::PAYLOAD_TOO_LARGE,
            "M471 the body is too long",
        )),
        Ok(Err(_)) => Err(refuse(StatusCode::BAD_REQUEST, "M472 the body ended early")),
        Err(_) => Err(refuse(
            StatusCode::REQUEST_TIMEOUT,
            "M473 the body did not come in time",
        )),
    }
}

/// An answer that says what is wrong.
pub fn refuse(status: StatusCode, text: &str) -> Answered {
    (status, format!("{text}\n")).into_response()
}

/// 503: this process can't keep what the answer would promise, another controller may.
pub fn out_of_contact() -> Answered {
    unavailable("M444 this controller is out of contact with a majority of the register's replicas")
}

/// 503: come back after a while.
pub fn unavailable(text: &str) -> Answered {
    retry(RETRY_LATER, text)
}

/// 503: come back after so many seconds.
pub fn retry(after_s: f64, text: &str) -> Answered {
    let headers = [(header::RETRY_AFTER, format!("{after_s:.2}"))];
    (
        StatusCode::SERVICE_UNAVAILABLE,
        headers,
        format!("{text}\n"),
    )
        .into_response()
}
