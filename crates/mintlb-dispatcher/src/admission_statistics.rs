//! Counts of admissions by outcome, which the dispatcher logs.

use crate::tenants::AuthenticationError;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use std::fmt;
use std::time::Duration;

/// Maximum number of tenants whose rejections are counted by name; those of further tenants are counted together.
const MAX_TENANTS: usize = 1024;

/// The counts since the last report.
#[derive(Debug, Default)]
pub struct AdmissionCounters(Mutex<AdmissionCounts>);

/// The counts of one report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionCounts {
    /// Requests within their tenant's limit.
    pub admitted: u64,
    /// Requests without a key.
    pub without_key: u64,
    /// Requests with a malformed `Authorization`.
    pub malformed: u64,
    /// Requests with a key of no tenant.
    pub unknown_key: u64,
    /// Requests without a decision, because no owner of their tenant's limit responded in time.
    pub undecided: u64,
    /// Total time that decisions took.
    pub waited: Duration,
    /// The longest time that a decision took.
    pub longest_wait: Duration,
    /// Requests over their tenant's limit, by tenant.
    pub over_limit: FxHashMap<String, u64>,
    /// Requests over the limit of tenants that are not counted by name.
    pub over_limit_of_others: u64,
}

impl AdmissionCounters {
    /// Counts a request that was rejected because of its credentials.
    pub fn on_unauthenticated(&self, error: AuthenticationError) {
        let counts = &mut *self.0.lock();
        let count = match error {
            AuthenticationError::Missing => &mut counts.without_key,
            AuthenticationError::Malformed => &mut counts.malformed,
            AuthenticationError::Unknown => &mut counts.unknown_key,
        };
        *count += 1;
    }

    /// Counts an admitted request, whose decision took this long.
    pub fn on_admitted(&self, waited: Duration) {
        let counts = &mut *self.0.lock();
        counts.admitted += 1;
        counts.add_wait(waited);
    }

    /// Counts a request over its tenant's limit, whose decision took this long.
    pub fn on_over_limit(&self, tenant: &str, waited: Duration) {
        let counts = &mut *self.0.lock();
        counts.add_wait(waited);
        if let Some(count) = counts.over_limit.get_mut(tenant) {
            *count += 1;
        } else if counts.over_limit.len() < MAX_TENANTS {
            counts.over_limit.insert(tenant.to_string(), 1);
        } else {
            counts.over_limit_of_others += 1;
        }
    }

    /// Counts a request without a decision, which was awaited this long.
    pub fn on_undecided(&self, waited: Duration) {
        let counts = &mut *self.0.lock();
        counts.undecided += 1;
        counts.add_wait(waited);
    }

    /// Returns the counts since the last call and resets them.
    pub fn take(&self) -> AdmissionCounts {
        std::mem::take(&mut self.0.lock())
    }
}

impl AdmissionCounts {
    /// Whether all counts are 0.
    pub fn is_empty(&self) -> bool {
        *self == AdmissionCounts::default()
    }

    fn add_wait(&mut self, waited: Duration) {
        self.waited += waited;
        self.longest_wait = self.longest_wait.max(waited);
    }

    fn over_limit_count(&self) -> u64 {
        self.over_limit.values().sum::<u64>() + self.over_limit_of_others
    }

    /// The tenant with the most requests over its limit.
    fn top_rejected_tenant(&self) -> Option<(&str, u64)> {
        let counts = self.over_limit.iter();
        let top = counts.max_by_key(|(tenant, count)| (**count, std::cmp::Reverse(*tenant)))?;
        Some((top.0, *top.1))
    }
}

impl fmt::Display for AdmissionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let over_limit = self.over_limit_count();
        let decided = self.admitted + over_limit + self.undecided;
        let mean_ms = self.waited.as_secs_f64() * 1e3 / decided.max(1) as f64;
        write!(
            f,
            "{} admitted, {over_limit} over their tenant's limit, {} undecided, {mean_ms:.1} ms on average and {} ms at \
             most; {} without a key, {} malformed, {} with an unknown key",
            self.admitted,
            self.undecided,
            self.longest_wait.as_millis(),
            self.without_key,
            self.malformed,
            self.unknown_key,
        )?;
        match self.top_rejected_tenant() {
            Some((tenant, count)) => write!(f, "; most over the limit: {tenant}, {count}"),
            None => Ok(()),
        }
    }
}
