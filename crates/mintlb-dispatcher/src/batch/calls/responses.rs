//! Responses to calls on batch jobs.

use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use mintlb_batch::client::JobError;
use std::future::Future;
use std::pin::Pin;

/// `Retry-After` of a rejected call, in seconds.
const RETRY_AFTER_SECONDS: &str = "0.5";
/// `Retry-After` of a submission over the quota, in seconds.
const QUOTA_RETRY_AFTER_SECONDS: &str = "1";

/// The text of a 403.
const OTHER_TENANT: &str = "M427 the lot belongs to another tenant";

/// The response to a call, once it is known.
pub(super) type Answer = Pin<Box<dyn Future<Output = Response> + Send>>;

/// A response that is known at once.
pub(super) fn answer(status: StatusCode) -> Answer {
    Box::pin(async move { status.into_response() })
}

/// A 400 with the numbered error.
pub(super) fn bad_request(why: String) -> Answer {
    Box::pin(async move { (StatusCode::BAD_REQUEST, why).into_response() })
}

/// The call was not executed and never will be; it may be repeated.
pub(super) fn unavailable() -> Response {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_SECONDS)
}

/// The response to a call on an accepted job that failed.
pub(super) fn job_error(error: JobError) -> Response {
    match error {
        JobError::NotFound => StatusCode::NOT_FOUND.into_response(),
        JobError::OtherTenant => (StatusCode::FORBIDDEN, OTHER_TENANT).into_response(),
        JobError::Unavailable => unavailable(),
    }
}

/// The submission does not fit into its tenant's quota; it may be repeated later.
pub(super) fn over_quota() -> Response {
    retry_later(StatusCode::TOO_MANY_REQUESTS, QUOTA_RETRY_AFTER_SECONDS)
}

fn retry_later(status: StatusCode, retry_after: &'static str) -> Response {
    let retry_after = HeaderValue::from_static(retry_after);
    (status, [(RETRY_AFTER, retry_after)]).into_response()
}

/// A 200 with a JSON body.
pub(super) fn json(body: Vec<u8>) -> Response {
    let content_type = HeaderValue::from_static("application/json");
    ([(CONTENT_TYPE, content_type)], body).into_response()
}
