//! Responses to calls on batch jobs.

use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use mintlb_batch::client::JobError;
use std::future::Future;
use std::pin::Pin;

/// `Retry-After` of a call that no store could take, in seconds.
const RETRY_AFTER_SECONDS: &str = "0.5";
/// `Retry-After` of a submission over the quota, in seconds.
const QUOTA_RETRY_AFTER_SECONDS: &str = "1";

/// Body of a 403.
const OTHER_TENANT_TEXT: &str = "M427 the lot belongs to another tenant";

/// Resolves to the response to a call.
pub(super) type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// A response without a body.
pub(super) fn status_response(status: StatusCode) -> ResponseFuture {
    Box::pin(async move { status.into_response() })
}

/// A 400 with the text of the error.
pub(super) fn bad_request(error: String) -> ResponseFuture {
    Box::pin(async move { (StatusCode::BAD_REQUEST, error).into_response() })
}

/// A 503 for a call that was not executed and never will be; the client may retry.
pub(super) fn unavailable() -> Response {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_SECONDS)
}

/// The response to a failed call on an existing job.
pub(super) fn job_error(error: JobError) -> Response {
    match error {
        JobError::NotFound => StatusCode::NOT_FOUND.into_response(),
        JobError::OtherTenant => (StatusCode::FORBIDDEN, OTHER_TENANT_TEXT).into_response(),
        JobError::Unavailable => unavailable(),
    }
}

/// A 429 for a submission over the quota of its tenant on its route; the client may retry later.
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
