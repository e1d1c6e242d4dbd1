//! Limits of a whole fleet of schedulers, each of which holds a part.
//!
//! ```text
//!   operator's file ──> table ──> node (vote, ledger, holder) ──Part──> purse <──look, pay── the core
//!                                   ^ word, members
//! ```
//!
//! All but `fleet` is pure: a clock and inputs go in. `fleet` joins them to the socket and the clock. The promise, what
//! it rests on and what it costs are in `docs/budgets.md`.

pub mod config;
pub mod demand;
pub mod division;
pub mod fleet;
pub mod holder;
pub mod lease;
pub mod ledger;
pub mod members;
pub mod node;
pub mod purse;
pub mod slip;
pub mod vote;
pub mod word;
