//! Roles of a replica.

use super::primary::Primary;
use super::takeover::Takeover;

/// What a replica does in its shard.
#[derive(Debug)]
pub(super) enum Role {
    /// Follows the primary of its current epoch, if there is one.
    Follower,
    /// Is assigned as primary, and reads the logs of the previous replicas.
    TakingOver(Takeover),
    /// Orders the shard's log.
    Primary(Primary),
}

impl Role {
    pub(super) fn takeover_mut(&mut self) -> Option<&mut Takeover> {
        match self {
            Role::TakingOver(takeover) => Some(takeover),
            _ => None,
        }
    }

    pub(super) fn primary(&self) -> Option<&Primary> {
        match self {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }

    pub(super) fn primary_mut(&mut self) -> Option<&mut Primary> {
        match self {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }
}
