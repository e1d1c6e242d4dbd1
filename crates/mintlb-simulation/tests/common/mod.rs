//! Fixtures of the simulation tests.

#![allow(dead_code)]

use mintlb_simulation::scenario::Tier;
use std::env;

/// Controllers and dispatchers.
pub const CONTROL: Tier = Tier {
    controllers: 3,
    stores: 0,
    dispatchers: 2,
};
/// The same with stores, one more than the shards need.
pub const ALL: Tier = Tier {
    controllers: 3,
    stores: 4,
    dispatchers: 2,
};

/// A number that the environment gives.
pub fn number(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}
