//! Input from other processes that was rejected, counted by reason and sender.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Maximum number of counters (pairs of reason and sender); further senders share
/// [`OTHER_SENDERS`].
const MAX_COUNTERS: usize = 256;
/// Stands for all senders without a counter of their own.
pub const OTHER_SENDERS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The reason for which input from another process was rejected. Its connection is closed; nothing
/// else is affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Rejection {
    /// The handshake belongs to another protocol, or to another version of this one.
    #[error("M305 no greeting of this protocol's version")]
    InvalidHandshake,
    /// A frame is too long or of an unknown kind, or a message can't be decoded.
    #[error("M306 a frame that can't be read")]
    Malformed,
    /// The messages are meant for another incarnation of this process.
    #[error("M307 messages for another process at this address")]
    WrongIncarnation,
    /// The messages come from an incarnation whose successor is known.
    #[error("M308 messages of a process that has ended")]
    StaleIncarnation,
    /// A response on an accepted connection, or a notification or request on a dialed one.
    #[error("M309 a frame that does not belong on its connection")]
    UnexpectedFrame,
}

impl Rejection {
    /// Whether the rejection is a normal consequence of a process restart.
    pub fn is_expected_after_restart(self) -> bool {
        matches!(
            self,
            Rejection::WrongIncarnation | Rejection::StaleIncarnation
        )
    }
}

/// Bounded counters of rejections.
#[derive(Debug, Default)]
pub struct RejectionCounts {
    counts: HashMap<(Rejection, SocketAddr), u64>,
}

impl RejectionCounts {
    /// Counts a rejection. Returns the count when it is a power of two, which is when it is to be
    /// logged: a peer that keeps sending garbage can't flood the log.
    pub fn increment(&mut self, rejection: Rejection, sender: SocketAddr) -> Option<u64> {
        let has_counter = self.counts.contains_key(&(rejection, sender));
        let sender = if has_counter || self.counts.len() < MAX_COUNTERS {
            sender
        } else {
            OTHER_SENDERS
        };
        let count = self.counts.entry((rejection, sender)).or_default();
        *count += 1;
        count.is_power_of_two().then_some(*count)
    }

    /// The number of rejections of input from this sender for this reason.
    pub fn get(&self, rejection: Rejection, sender: SocketAddr) -> u64 {
        self.counts.get(&(rejection, sender)).copied().unwrap_or(0)
    }
}
