//! The control plane of the serving tier.
//!
//! - [`controller`]: serves the operator's and the workers' HTTP API, runs a replica of the
//!   register, and competes for the singleton role.
//! - [`store`]: holds replicas of the shards of batch jobs.
//! - [`cli`]: the command line of the program `mintlb-control`.

mod bind;
pub mod cli;
pub mod controller;
pub mod store;
