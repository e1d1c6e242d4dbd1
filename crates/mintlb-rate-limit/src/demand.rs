//! How much of a budget would be spent here, from what was spent and refused. Pure.

/// Thousandths a second: more than what was spent, so that it can grow; all, if anything was refused.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    spent: u64,
    refused: u64,
    at: f64,
    /// What was spent a second, and fades.
    rate: f64,
}

/// Beyond what was spent; and what is left of that after a round with less, so that a pause gives nothing away at once.
const AHEAD: f64 = 1.25;
const FADES: f64 = 0.4;

impl Demand {
    /// What is wanted now, of a whole of so many thousandths, by counts that only grow.
    pub fn look(&mut self, now: f64, round: f64, (spent, refused): (u64, u64), whole: u32) -> u32 {
        let passed = now - self.at;
        let rate = if passed > 0.0 {
            (spent - self.spent) as f64 / passed * 1e3
        } else {
            0.0
        };
        // A refusal counts for this once: what it asked for must not be kept from others for rounds after.
        let hungry = refused > self.refused;
        self.rate = rate.max(self.rate * FADES.powf(passed / round));
        (self.spent, self.refused, self.at) = (spent, refused, now);
        match hungry {
            true => whole,
            false => (self.rate * AHEAD).min(f64::from(whole)) as u32,
        }
    }
}
