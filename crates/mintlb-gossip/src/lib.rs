//! The overlay brings versioned records to every process of the tier.
//!
//! Each process keeps an *active view* of a few neighbours and a *passive view* of other processes that it has heard
//! of. A new record goes at once down the links of a broadcast tree and is announced on the other links; neighbours
//! compare digests of their tables and fetch what they lack.
//!
//! - [`membership`]: who is whose neighbour.
//! - [`broadcast`]: the tree, announcements, grafts.
//! - [`table`]: the replicated table of records.
//! - [`anti_entropy`]: comparison and repair between two neighbours.
//! - [`node`]: the four joined into one state machine, without I/O.
//! - [`driver`]: [`GossipService`], that state machine over the tier's transport.

pub mod anti_entropy;
pub mod broadcast;
pub mod codec;
pub mod driver;
pub mod effects;
pub mod membership;
pub mod message;
pub mod node;
pub mod random;
pub mod table;

pub use driver::{GossipConfig, GossipService};
pub use message::{Member, Role};
pub use table::Table;
