//! The control plane of the serving tier.
//!
//! - [`controller`]: takes the operator's and the workers' calls; holds a replica of the register; has the duties.
//! - [`store`]: keeps the lots.
//! - [`cli`]: the command line of the program `mintlb-control`.

mod bind;
pub mod cli;
pub mod controller;
pub mod store;
