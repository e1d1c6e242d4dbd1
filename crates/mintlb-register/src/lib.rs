//! The control plane's replicated register: one value, changed in two rounds at a majority; pure.
//!
//! A *proposal* reads the newest value at a quorum (prepare), applies its change and writes the result at a quorum
//! (accept). There is no log and no leader. The set of replicas lies in the value itself, so that the rule for a quorum
//! always follows from the value that is read.
//!
//! - [`ballot`]: the order of attempts.
//! - [`state`]: the value, the set of replicas, quorums.
//! - [`applied_history`]: which configurations were taken before the current one.
//! - [`change`]: the changes of the value, each with the condition under which it applies.
//! - [`message`]: what proposers and acceptors say to each other.
//! - [`acceptor`]: one replica's vote.
//! - [`proposal`]: one change, from the first message to its outcome.
//! - [`quorum_read`]: a linearizable read in one round.
//! - [`bootstrap`]: who writes the first set of replicas.
//!
//! # Why it is safe
//!
//! A value is *chosen* when a quorum by its own set has accepted it at one ballot. A proposal builds only on a value
//! that it knows to be chosen; one that it finds partly accepted is written again, unchanged, before anything is built
//! on it. Each set's quorums contain a majority of the `current` members of the value before it, so that the quorums of
//! a chosen value and of anything else built on the same value meet.

pub mod acceptor;
pub mod applied_history;
pub mod ballot;
pub mod bootstrap;
pub mod change;
pub mod message;
pub mod proposal;
pub mod quorum_read;
pub mod replica_set;
pub mod state;
