//! The messages between dispatchers and owners. Their minicbor indexes are fixed, as processes of
//! different releases exchange them.

use minicbor::{Decode, Encode};

/// The limit of a tenant in one version of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct RateLimit {
    /// The `config_version` that the limit is from. An owner applies the newest limit that it knows.
    #[n(0)]
    pub version: u64,
    /// Requests per second; above 0.
    #[n(1)]
    pub rate: f64,
    /// Requests that may arrive at once beyond the rate; 0 or above.
    #[n(2)]
    pub burst: f64,
}

impl RateLimit {
    /// Whether rate and burst are finite, the rate above 0 and the burst 0 or above. A peer may send any number.
    pub fn is_valid(&self) -> bool {
        let is_rate = self.rate.is_finite() && self.rate > 0.0;
        is_rate && self.burst.is_finite() && self.burst >= 0.0
    }
}

/// Asks an owner to admit one request of a tenant.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AdmitRequest {
    /// The tenant's name, from which its owners are computed.
    #[n(0)]
    pub tenant: String,
    /// The tenant's limit in the dispatcher's version of the configuration.
    #[n(1)]
    pub limit: RateLimit,
}

/// The response to an [`AdmitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum AdmitResponse {
    /// A token was taken: the request may run.
    #[n(0)]
    Admitted,
    /// The slice has no token.
    #[n(1)]
    Rejected {
        /// The time after which a retry may be admitted, in milliseconds.
        #[n(0)]
        retry_after_ms: u32,
    },
    /// The receiver owns no slice of this tenant, or can't decide: the limit is invalid, or it has no space for the
    /// slice.
    #[n(2)]
    NotOwner,
}
