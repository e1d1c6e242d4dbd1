//! Liveness of the other controllers, contact with a quorum of the replica set, and the election of the singleton leader.

pub mod echo_clock;
pub mod peers;
pub mod ping_state;
pub mod pings;
pub mod quorum_contact;
