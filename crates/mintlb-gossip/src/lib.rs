//! Gossip between all processes: each of them gets every versioned record, and knows some other
//! members.
//!
//! A process has an *active view* of a few neighbors and a *passive view* of other members
//! (HyParView). A new record is pushed along the links of a broadcast tree and announced on the
//! other links (Plumtree); neighbors compare digests of their tables and fetch what they lack
//! (anti-entropy). Of two versions of a record the newer one wins everywhere.
//!
//! - [`message`]: the messages and their encoding.
//! - [`record_id`], [`table`], [`record_store`]: the replicated table of records and their expiry.
//! - [`membership`]: the active and the passive view.
//! - [`broadcast`]: the broadcast tree.
//! - [`anti_entropy`]: comparison of tables, and repair.
//! - [`node`]: all of these in one state machine without I/O, whose [`effects`] a driver carries
//!   out.
//! - [`service`]: [`GossipService`], the driver of that state machine on the transport;
//!   [`delivery`] calls subscribers.
//!
//! The dependencies go from the bottom of this list to its top; `membership`, `broadcast` and
//! `anti_entropy` don't depend on each other.

pub mod anti_entropy;
pub mod broadcast;
pub mod delivery;
pub mod effects;
pub mod membership;
pub mod message;
pub mod node;
mod pending_acks;
pub mod record_id;
pub mod record_store;
pub mod service;
pub mod table;

pub use message::{Member, Role};
pub use record_id::RecordId;
pub use service::{GossipConfig, GossipService, NotAcknowledged};
pub use table::Table;
