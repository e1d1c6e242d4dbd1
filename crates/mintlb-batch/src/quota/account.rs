//! What queued tokens are counted by.

use crate::entry::JobHeader;
use std::fmt;

/// A tenant on a route, or a route whose jobs have no tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuotaAccount {
    /// The name of the route.
    pub route: String,
    /// The name of the tenant.
    pub tenant: Option<String>,
}

impl QuotaAccount {
    /// The account of a route without tenants.
    pub fn of_route(route: &str) -> QuotaAccount {
        QuotaAccount {
            route: route.to_string(),
            tenant: None,
        }
    }
}

impl From<&JobHeader> for QuotaAccount {
    fn from(job: &JobHeader) -> QuotaAccount {
        QuotaAccount {
            route: job.route.clone(),
            tenant: job.tenant.clone(),
        }
    }
}

impl fmt::Display for QuotaAccount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.tenant {
            Some(tenant) => write!(f, "tenant {tenant} on route {}", self.route),
            None => write!(f, "route {}", self.route),
        }
    }
}
