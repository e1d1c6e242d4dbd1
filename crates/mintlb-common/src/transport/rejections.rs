//! What was not taken from other processes, counted by kind and sender.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Senders that are counted by themselves, of all kinds together; further ones are counted as [`OTHER_SENDERS`].
const MAX_COUNTS: usize = 256;
/// Stands for the senders that there was no room for.
pub const OTHER_SENDERS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Why something was not taken. The connection ends, and nothing else is harmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Rejection {
    /// The first bytes are of another protocol, or of another version of this one.
    #[error("M305 no greeting of this protocol's version")]
    InvalidHandshake,
    /// A frame is too long or of no kind, or a message can't be read.
    #[error("M306 a frame that can't be read")]
    Malformed,
    /// Messages for another life of the process here.
    #[error("M307 messages for another process at this address")]
    WrongIncarnation,
    /// Messages of a life whose successor is known.
    #[error("M308 messages of a process that has ended")]
    StaleIncarnation,
    /// An answer on a connection that no call went out on, or a message on one that only answers come on.
    #[error("M309 a frame that does not belong on its connection")]
    UnexpectedFrame,
}

impl Rejection {
    /// Whether it is to be expected after the restart of a process.
    pub fn is_expected_after_restart(self) -> bool {
        matches!(
            self,
            Rejection::WrongIncarnation | Rejection::StaleIncarnation
        )
    }
}

/// The counts.
#[derive(Debug, Default)]
pub struct RejectionCounts {
    counts: HashMap<(Rejection, SocketAddr), u64>,
}

impl RejectionCounts {
    /// Counts one; gives the count when it is worth a line in the log: at 1, 2, 4, 8 and so on.
    pub fn count(&mut self, rejection: Rejection, from: SocketAddr) -> Option<u64> {
        let has_room =
            self.counts.len() < MAX_COUNTS || self.counts.contains_key(&(rejection, from));
        let from = if has_room { from } else { OTHER_SENDERS };
        let count = self.counts.entry((rejection, from)).or_default();
        *count += 1;
        count.is_power_of_two().then_some(*count)
    }

    /// How many of this kind have come from this sender.
    pub fn of(&self, rejection: Rejection, from: SocketAddr) -> u64 {
        self.counts.get(&(rejection, from)).copied().unwrap_or(0)
    }
}
