//! Counts of a dispatcher's work on batch jobs, which are logged regularly.

use axum::http::StatusCode;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// How often the counts are logged.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The counters since the last report.
#[derive(Debug, Default)]
pub struct BatchCounters {
    accepted: AtomicU64,
    over_quota: AtomicU64,
    rejected: AtomicU64,
    invalid: AtomicU64,
    indeterminate: AtomicU64,
    slowest_submission_ms: AtomicU64,
    leased: AtomicU64,
    lost_leases: AtomicU64,
    unanswered_leases: AtomicU64,
    unanswered_renewals: AtomicU64,
    recorded: AtomicU64,
    repeated_records: AtomicU64,
}

impl BatchCounters {
    /// Counts a submission by the status of its response.
    pub fn on_submitted(&self, status: StatusCode, took: Duration) {
        let counter = match status {
            StatusCode::ACCEPTED => &self.accepted,
            StatusCode::TOO_MANY_REQUESTS => &self.over_quota,
            StatusCode::SERVICE_UNAVAILABLE => &self.rejected,
            StatusCode::GATEWAY_TIMEOUT => &self.indeterminate,
            _ => &self.invalid,
        };
        counter.fetch_add(1, Relaxed);
        let took_ms = took.as_millis() as u64;
        self.slowest_submission_ms.fetch_max(took_ms, Relaxed);
    }

    /// Counts leased items, and lease calls to stores without a response.
    pub fn on_lease_call(&self, items: usize, unanswered: usize) {
        self.leased.fetch_add(items as u64, Relaxed);
        self.unanswered_leases.fetch_add(unanswered as u64, Relaxed);
    }

    /// Counts lost leases, and renewals without a response.
    pub fn on_renewal(&self, lost: usize, unanswered: usize) {
        self.lost_leases.fetch_add(lost as u64, Relaxed);
        self.unanswered_renewals
            .fetch_add(unanswered as u64, Relaxed);
    }

    /// Counts an attempt to record a result.
    pub fn on_record_attempt(&self, is_recorded: bool) {
        let counter = match is_recorded {
            true => &self.recorded,
            false => &self.repeated_records,
        };
        counter.fetch_add(1, Relaxed);
    }

    /// Returns the counts since the last call and resets them.
    pub fn take(&self) -> BatchCounts {
        let take = |counter: &AtomicU64| counter.swap(0, Relaxed);
        BatchCounts {
            accepted: take(&self.accepted),
            over_quota: take(&self.over_quota),
            rejected: take(&self.rejected),
            invalid: take(&self.invalid),
            indeterminate: take(&self.indeterminate),
            slowest_submission_ms: take(&self.slowest_submission_ms),
            leased: take(&self.leased),
            lost_leases: take(&self.lost_leases),
            unanswered_leases: take(&self.unanswered_leases),
            unanswered_renewals: take(&self.unanswered_renewals),
            recorded: take(&self.recorded),
            repeated_records: take(&self.repeated_records),
        }
    }
}

/// The counts of one report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchCounts {
    /// Submissions that were accepted.
    pub accepted: u64,
    /// Submissions over the quota of their tenant on their route (429).
    pub over_quota: u64,
    /// Submissions that no store could take (503).
    pub rejected: u64,
    /// Submissions with another status, such as those that contradict an accepted job (409).
    pub invalid: u64,
    /// Submissions with an unknown outcome (504).
    pub indeterminate: u64,
    /// Duration of the slowest submission in ms.
    pub slowest_submission_ms: u64,
    /// Items leased from a store's backlog.
    pub leased: u64,
    /// Leases lost because another dispatcher has taken over, or the job has ended.
    pub lost_leases: u64,
    /// Lease calls without a response.
    pub unanswered_leases: u64,
    /// Renewals without a response.
    pub unanswered_renewals: u64,
    /// Results that were recorded.
    pub recorded: u64,
    /// Attempts to record a result that were not confirmed.
    pub repeated_records: u64,
}

impl BatchCounts {
    /// Whether all counts are 0.
    pub fn is_empty(&self) -> bool {
        *self == BatchCounts::default()
    }
}

impl fmt::Display for BatchCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "submissions {} accepted, {} over the quota, {} rejected, {} invalid, {} unclear, the \
             slowest {} ms; {} items leased, {} leases lost, {} lease calls and {} renewals \
             unanswered; {} results recorded, {} attempts repeated",
            self.accepted,
            self.over_quota,
            self.rejected,
            self.invalid,
            self.indeterminate,
            self.slowest_submission_ms,
            self.leased,
            self.lost_leases,
            self.unanswered_leases,
            self.unanswered_renewals,
            self.recorded,
            self.repeated_records
        )
    }
}
