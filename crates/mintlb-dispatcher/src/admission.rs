//! Admission of a client's request by the rate limit of its tenant, which all dispatchers share.

use crate::tenants::TenantTerms;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// Resolves to a decision.
pub type AdmissionFuture<'a> = Pin<Box<dyn Future<Output = Admission> + Send + 'a>>;

/// The decision about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Admitted,
    /// Its tenant has used up its limit.
    Rejected {
        /// When it may be admitted if it comes back.
        retry_after: Duration,
    },
    /// Nobody can tell now whether the limit is used up.
    Unavailable,
}

/// Counts the requests of tenants.
pub trait RateLimiter: Send + Sync {
    /// Takes a token for one request of a tenant, within `time_limit`.
    fn admit<'a>(&'a self, tenant: &'a TenantTerms, time_limit: Duration) -> AdmissionFuture<'a>;
}

/// Admits every request: for a dispatcher that stands alone.
pub struct Unlimited;

impl RateLimiter for Unlimited {
    fn admit<'a>(&'a self, _: &'a TenantTerms, _: Duration) -> AdmissionFuture<'a> {
        Box::pin(async { Admission::Admitted })
    }
}
