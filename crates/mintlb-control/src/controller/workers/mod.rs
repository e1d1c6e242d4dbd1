//! The workers that send their heartbeats to this controller, and workers that no controller claims.

pub mod registry;
pub mod unclaimed_workers;
