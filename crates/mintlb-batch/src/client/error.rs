//! Errors of the client's calls. Each says whether the call may have been executed and so whether
//! it may be repeated.

use thiserror::Error;

/// Why a submission was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// The job would exceed the route's limit of queued tokens. None of its items will run; the
    /// client may retry later (HTTP 429).
    #[error("the job exceeds the limit of queued tokens")]
    QuotaExceeded,
    /// Another job has this id, and stays as it is. Retrying does not help.
    #[error("another job has this id")]
    Conflict,
    /// No store accepted the job. None of its items will run; the client may retry (HTTP 503).
    #[error("no store accepted the job")]
    Rejected,
    /// The job may have been accepted, or may still be. The client must not be told that it was
    /// rejected.
    #[error("the job may or may not have been accepted")]
    Indeterminate,
}

/// Why a call on an accepted job failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum JobError {
    /// The primary has confirmed that there is no such job or item (HTTP 404). Retrying does not
    /// help.
    #[error("no such job or item")]
    NotFound,
    /// The job belongs to another tenant (HTTP 403). Retrying does not help.
    #[error("the job belongs to another tenant")]
    OtherTenant,
    /// No active primary answered before the time-out. The call is idempotent and may be repeated
    /// (HTTP 503).
    #[error("no active primary answered")]
    Unavailable,
}

/// Why it is unknown whether a result is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// No active primary confirmed the result before the time-out. The call is idempotent: repeat
    /// it.
    #[error("the result was not confirmed")]
    Unconfirmed,
}
