//! What queued tokens are counted by.

use crate::entry::JobHeader;
use mintlb_common::configuration::RouteId;
use std::fmt;

/// A tenant on a route, or a route whose jobs have no tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuotaAccount {
    /// The [`RouteId`] of the route, or its name for a job that an earlier release has accepted.
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

    /// The account of all routes of the host of this one, whose id begins with the host.
    pub(crate) fn of_host(&self) -> QuotaAccount {
        let host = self.route.split_inclusive('/').next();
        QuotaAccount {
            route: host.unwrap_or_default().to_string(),
            tenant: self.tenant.clone(),
        }
    }

    /// For a job of this account and host: the account of all routes of its host, if the job names
    /// its route and does not tell which one of the host it is.
    pub(crate) fn of_unplaced_job(&self, host: &str) -> Option<QuotaAccount> {
        let host = RouteId::new(host, "/");
        (!self.route.starts_with(host.as_str())).then(|| QuotaAccount {
            route: host.as_str().to_string(),
            tenant: self.tenant.clone(),
        })
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
