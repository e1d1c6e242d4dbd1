//! Fleet-wide rate limits: each limit is divided into shares, one for each scheduler of the fleet.
//!
//! ```text
//!   settings ──> config ──> node (vote, ledger, lease_holder) ──Share──> token_bucket <──reserve, spend── core
//!                             ^ message, members
//! ```
//!
//! Only `fleet` does I/O: it connects the other modules to the UDP socket and the clock. They take the time and their
//! inputs as arguments. `docs/budgets.md` states the guarantee, its assumptions and its costs.

pub mod config;
pub mod demand;
pub mod fleet;
pub mod lease;
pub mod lease_holder;
pub mod ledger;
pub mod members;
pub mod message;
pub mod mutation;
pub mod node;
pub mod share;
pub mod token_bucket;
pub mod vote;
