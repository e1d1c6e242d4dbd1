//! The messages between dispatchers and owners. Their minicbor indexes are fixed: processes of
//! different releases exchange them.

use minicbor::{Decode, Encode};

/// The limit of a tenant, by one version of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct RateLimit {
    /// The `config_version` that it is from. An owner goes by the newest that it knows.
    #[n(0)]
    pub version: u64,
    /// Requests a second; above 0.
    #[n(1)]
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    #[n(2)]
    pub burst: f64,
}

impl RateLimit {
    /// Whether it can be counted: the rate above 0, the burst 0 or above.
    pub fn is_valid(&self) -> bool {
        let is_rate = self.rate.is_finite() && self.rate > 0.0;
        is_rate && self.burst.is_finite() && self.burst >= 0.0
    }
}

/// Asks an owner to admit one request of a tenant.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AdmitRequest {
    /// The name of the tenant.
    #[n(0)]
    pub tenant: String,
    /// Its limit, as the dispatcher knows it.
    #[n(1)]
    pub limit: RateLimit,
}

/// The response to an [`AdmitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum AdmitResponse {
    /// The request may run.
    #[n(0)]
    Admitted,
    /// The slice is used up.
    #[n(1)]
    Rejected {
        /// When a request that comes back may be admitted, in ms from now.
        #[n(0)]
        retry_after_ms: u32,
    },
    /// The receiver owns no slice of this tenant, or can't tell.
    #[n(2)]
    NotOwner,
}
