//! A server of beanstalkd's text protocol (1.13) in front of the core of a mintlb scheduler.
//!
//! A producer's `put` becomes a request to the core; a worker's waiting `reserve` announces room for one job.
//! [`hub::Hub`] is the protocol's state machine and does no I/O; [`front::Front`] owns the sockets.
//!
//! In this crate a request is a *job*, and an attempt to run it that a worker holds is a *lease*; the
//! protocol says "reservation". The core's types call a request a work unit.

pub mod codec;
pub mod front;
pub mod hub;
pub mod job;
pub mod machines;
pub mod session;
pub mod table;
