//! The share of a budget that one scheduler holds, and the division into equal shares.

use crate::config::BudgetConfig;

/// What one scheduler may spend of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Tokens per second.
    pub rate: f64,
    /// Tokens that may be spent at once after a pause.
    pub burst: f64,
    /// When the share expires, in seconds of the holder's clock.
    pub until: f64,
}

impl Share {
    pub const NONE: Share = Share {
        rate: 0.0,
        burst: 0.0,
        until: f64::NEG_INFINITY,
    };
}

/// The share of each of `members` members; it never expires. Only the process that has bound the member's address may
/// hold it, so that of two processes with the same name only one does.
pub fn equal_share(budget: &BudgetConfig, members: usize) -> Share {
    let members = members.max(1) as f64;
    Share {
        rate: budget.rate / members,
        burst: budget.burst / members,
        until: f64::INFINITY,
    }
}
