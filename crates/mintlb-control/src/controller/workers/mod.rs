//! The workers that send their heartbeats to this controller, and workers that no controller
//! claims.
//!
//! - [`registry`], [`unclaimed_workers`]: their state, in virtual time.
//! - [`service`]: heartbeats and their publication.

pub mod registry;
pub mod service;
pub mod unclaimed_workers;
