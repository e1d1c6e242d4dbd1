//! A model of control and state as one: the tier's state machines driven together in virtual time. Tests only;
//! nothing ships it.
//!
//! A [`history::History`] is a seed and a list of faults. [`world::World`] plays it without sockets and without
//! sleeping: every message, timer, sync and call is an event in one queue, and whatever is drawn follows from the
//! seed. [`checks::Checks`] holds what was acknowledged against what is seen later. [`shrink`] takes from a history
//! that fails each fault without which it still fails.
//!
//! What runs here is the product's own code where that is pure: acceptors, proposals, readings and the founding rule
//! (`mintlb-register`), the choice of duties (`Peers`), the records' overlay (`Node`), the planner and the stores'
//! replicas (`mintlb-batch`). The asynchronous code around it is mirrored, each part saying in its module's first lines
//! which file it mirrors; a change there has to be made here, too.

pub mod checks;
pub mod context;
pub mod controller;
pub mod dispatcher;
pub mod gossip;
pub mod history;
pub mod lot_client;
pub mod lots_told;
pub mod message;
pub mod operator;
pub mod planted;
pub mod process;
pub mod random;
pub mod shrink;
pub mod store;
pub mod worker;
pub mod world;
