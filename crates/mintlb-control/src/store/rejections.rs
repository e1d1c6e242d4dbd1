//! Submissions that a store has rejected, by cause, for the log.

use mintlb_batch::messages::StoreResponse;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Why a submission was rejected. Nothing of it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// The disk is nearly full.
    DiskFull,
    /// Too much waits for the store's connections.
    LinksFull,
    /// The quota of the route is used up.
    OverQuota,
    /// The counter of the route's quota could not be asked, or could not reach all shards.
    QuotaUnknown,
    /// This is not the shard's active primary.
    NotPrimary,
}

impl RejectionCause {
    const ALL: [(RejectionCause, &'static str); 5] = [
        (RejectionCause::DiskFull, "disk full"),
        (RejectionCause::LinksFull, "links full"),
        (RejectionCause::OverQuota, "over the quota"),
        (RejectionCause::QuotaUnknown, "quota not known"),
        (RejectionCause::NotPrimary, "not the primary"),
    ];

    /// The response to the dispatcher.
    pub fn response(self) -> StoreResponse {
        match self {
            RejectionCause::DiskFull => StoreResponse::DiskFull,
            RejectionCause::LinksFull => StoreResponse::Overloaded,
            RejectionCause::OverQuota => StoreResponse::QuotaExceeded,
            RejectionCause::QuotaUnknown | RejectionCause::NotPrimary => StoreResponse::NotPrimary,
        }
    }
}

/// Counters of rejected submissions.
#[derive(Debug, Default)]
pub struct RejectionCounters([AtomicU64; RejectionCause::ALL.len()]);

impl RejectionCounters {
    /// Counts a rejected submission.
    pub fn on_rejected(&self, cause: RejectionCause) {
        self.0[cause as usize].fetch_add(1, Relaxed);
    }

    /// The counts since the last call.
    pub fn take(&self) -> Rejections {
        Rejections(std::array::from_fn(|cause| self.0[cause].swap(0, Relaxed)))
    }
}

/// Rejected submissions by cause; shown without the causes that have none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rejections([u64; RejectionCause::ALL.len()]);

impl Rejections {
    /// The rejections of one cause.
    pub fn of(&self, cause: RejectionCause) -> u64 {
        self.0[cause as usize]
    }

    /// Whether there were none.
    pub fn is_empty(&self) -> bool {
        *self == Rejections::default()
    }
}

impl fmt::Display for Rejections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: u64 = self.0.iter().sum();
        write!(f, "{total} submissions rejected")?;
        for (cause, name) in RejectionCause::ALL {
            if self.of(cause) > 0 {
                write!(f, ", {name} {}", self.of(cause))?;
            }
        }
        Ok(())
    }
}
