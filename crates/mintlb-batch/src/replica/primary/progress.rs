//! What a primary knows of one follower.

use crate::epoch_history::LogIndex;
use crate::timestamp::Timestamp;
use mintlb_common::placement::StoreId;
use std::time::Duration;

/// A follower that has not responded for this long is probed again for its log.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// The same while the primary is starting and the follower may be, too.
const INITIAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Replication progress of a follower. At most one message with entries is in flight to it at a
/// time.
#[derive(Debug)]
pub(in crate::replica) struct FollowerProgress {
    pub id: StoreId,
    /// Its log equals the primary's up to this index, on its disk; `None` until it has responded.
    /// Never decreases within an epoch.
    pub matched: Option<LogIndex>,
    /// When the oldest message without a response was sent.
    pub in_flight_since: Option<Timestamp>,
    /// When anything was last sent.
    pub last_sent: Timestamp,
    /// When the newest message with a response was sent: up to then it had not entered a later
    /// epoch.
    pub confirmed_at: Option<Timestamp>,
    /// The commit index that was last sent.
    pub notified_commit_index: LogIndex,
}

impl FollowerProgress {
    pub(super) fn new(id: StoreId) -> FollowerProgress {
        FollowerProgress {
            id,
            matched: None,
            in_flight_since: None,
            last_sent: Timestamp::ZERO,
            confirmed_at: None,
            notified_commit_index: 0,
        }
    }

    pub(in crate::replica) fn advance_matched(&mut self, index: LogIndex) {
        self.matched = Some(self.matched.unwrap_or(0).max(index));
    }

    /// Notes a response to a message sent at `echo`, in ms of the primary's clock.
    pub(in crate::replica) fn on_response(&mut self, echo: u64, now: Timestamp) {
        let sent_at = Timestamp::from_millis(echo);
        // A time to come is of an earlier process of this store.
        if sent_at > now {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        if self
            .in_flight_since
            .is_some_and(|since| since.as_millis() <= echo)
        {
            self.in_flight_since = None;
        }
    }

    pub(in crate::replica) fn on_sent(&mut self, commit_index: LogIndex, now: Timestamp) {
        self.in_flight_since.get_or_insert(now);
        self.last_sent = now;
        self.notified_commit_index = commit_index;
    }

    /// Whether a response is overdue. If so nothing counts as in flight any more: the follower may
    /// have lost anything sent since, but not what it has acknowledged.
    pub(super) fn take_timeout(&mut self, is_starting: bool, now: Timestamp) -> bool {
        let timeout = match is_starting && self.matched.is_none() {
            true => INITIAL_RESPONSE_TIMEOUT,
            false => RESPONSE_TIMEOUT,
        };
        let is_over = |since: Timestamp| now.saturating_since(since) >= timeout;
        let is_overdue = self.in_flight_since.is_some_and(is_over) && is_over(self.last_sent);
        if is_overdue {
            self.in_flight_since = None;
        }
        is_overdue
    }
}
