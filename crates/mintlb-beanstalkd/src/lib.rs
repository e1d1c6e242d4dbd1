//! Server for the beanstalkd text protocol (1.13), in front of the core of a mintlb scheduler.
//!
//! A producer's `put` becomes a request to the core; a worker's waiting `reserve` announces capacity for one job.
//! [`hub::Hub`] is the protocol's state machine and performs no I/O; [`server::Server`] owns the sockets.
//!
//! In this crate a request is a *job*, and an attempt to run it that a worker holds is a *lease*; the
//! protocol says "reservation". The core's types call a request a work unit.

pub mod codec;
pub mod hub;
pub mod job;
pub mod machines;
pub mod server;
pub mod session;
pub mod table;
