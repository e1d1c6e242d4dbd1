//! Who holds which part of a whole. Pure.

use crate::config::Whole;

/// What one scheduler may spend of a rate: so many a second, and so many at once after a pause; until then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    pub rate: f64,
    pub burst: f64,
    /// By the clock of who holds it.
    pub until: f64,
}

impl Part {
    pub const NONE: Part = Part {
        rate: 0.0,
        burst: 0.0,
        until: f64::NEG_INFINITY,
    };
}

/// Equal parts, which never move: one for each that is named. Only who has bound the name's address may hold it, so
/// that of two processes with one name only one does.
pub fn equal(whole: &Whole, among: usize) -> Part {
    let among = among.max(1) as f64;
    Part {
        rate: whole.rate / among,
        burst: whole.burst / among,
        until: f64::INFINITY,
    }
}
