//! Admission of clients' requests by the rate limit of their tenant, which all dispatchers share.

use crate::tenants::TenantSettings;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// Resolves to the decision about one request.
pub type AdmissionFuture<'a> = Pin<Box<dyn Future<Output = Admission> + Send + 'a>>;

/// The decision about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run.
    Admitted,
    /// The request is over its tenant's limit.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
    /// No decision was reached within the time limit.
    Unavailable,
}

/// Decides whether requests are within the rate limit of their tenant.
pub trait RateLimiter: Send + Sync {
    /// Takes a token for one request of a tenant. Resolves within `time_limit`.
    fn admit<'a>(&'a self, tenant: &'a TenantSettings, time_limit: Duration)
    -> AdmissionFuture<'a>;
}

/// Admits every request. For dispatchers without owners of rate limits.
pub struct Unlimited;

impl RateLimiter for Unlimited {
    fn admit<'a>(&'a self, _: &'a TenantSettings, _: Duration) -> AdmissionFuture<'a> {
        Box::pin(async { Admission::Admitted })
    }
}
