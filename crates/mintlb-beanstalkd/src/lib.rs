//! beanstalkd's text protocol (1.13) round the core of a mintlb scheduler.
//!
//! A producer's `put` becomes a work unit, a worker's waiting `reserve` room for one. [`hub::Hub`] holds what the
//! protocol knows of sessions and jobs; it reads, writes and waits for nothing. [`front::Front`] has the sockets.
//! In this crate a work unit is a *job* and an allocation that a worker holds a *reservation*.

pub mod codec;
pub mod front;
pub mod hub;
pub mod job;
pub mod machines;
pub mod session;
pub mod stats;
pub mod table;
