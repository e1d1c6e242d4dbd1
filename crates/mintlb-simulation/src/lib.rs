//! Deterministic simulation of the control plane and the batch stores: the state machines of all roles, driven
//! together in virtual time. Used by tests only.
//!
//! A [`scenario::Scenario`] is a seed and a list of faults. [`world::World`] plays it without sockets and without
//! sleeping: every message, timer, sync and call is an event in one queue, and whatever is drawn follows from the
//! seed. [`checks::Checks`] holds what was acknowledged against what is seen later. [`shrink`] takes from a scenario
//! that fails each fault without which it still fails.
//!
//! What runs here is the product's own code where that is pure: acceptors, proposals, readings and the founding rule
//! (`mintlb-register`), the leader election (`Peers`), the gossip of records (`Node`), the planner and the stores'
//! replicas (`mintlb-batch`). The asynchronous code around it is mirrored, each part saying in its module's first lines
//! which file it mirrors; a change there has to be made here, too.

pub mod batch_oracle;
pub mod checks;
pub mod context;
pub mod controller;
pub mod dispatcher;
pub mod gossip;
pub mod job_client;
pub mod message;
pub mod mutations;
pub mod operator;
pub mod process;
pub mod random;
pub mod scenario;
pub mod shrink;
pub mod store;
pub mod worker;
pub mod world;
