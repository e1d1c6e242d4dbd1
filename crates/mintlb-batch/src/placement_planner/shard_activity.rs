//! For how long a shard has had no active primary.

use std::time::Duration;

/// Since when the current epoch of a shard has no active primary. Instants are of the process's
/// monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShardActivity {
    epoch: u64,
    inactive_since: Option<Duration>,
}

/// For how long an epoch of a shard has had no active primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardInactivity {
    /// The epoch.
    pub epoch: u64,
    /// For how long its primary has not been active; zero if it is.
    pub inactive_for: Duration,
}

impl ShardActivity {
    /// Records whether the primary of this epoch is active now. Another epoch starts anew.
    pub(super) fn update(&mut self, epoch: u64, is_active: bool, now: Duration) {
        if self.epoch != epoch {
            self.epoch = epoch;
            self.inactive_since = None;
        }
        if is_active {
            self.inactive_since = None;
        } else {
            self.inactive_since.get_or_insert(now);
        }
    }

    pub(super) fn inactivity(&self, now: Duration) -> ShardInactivity {
        let inactive_for = match self.inactive_since {
            Some(since) => now.saturating_sub(since),
            None => Duration::ZERO,
        };
        ShardInactivity {
            epoch: self.epoch,
            inactive_for,
        }
    }
}
