//! Contact with the other controllers: their liveness, the quorum lease, and the election of the
//! singleton leader.
//!
//! - [`messages`], [`ping_state`], [`echo_clock`]: the ping protocol.
//! - [`quorum_contact`]: the lease that proves contact with a majority of the replica set.
//! - [`peers`]: liveness of the peers and the election, in virtual time.
//! - [`monitor`], [`pings`]: the shared state and the task that drive them.

pub mod echo_clock;
pub mod messages;
pub mod monitor;
pub mod peers;
pub mod ping_state;
pub mod pings;
pub mod quorum_contact;
