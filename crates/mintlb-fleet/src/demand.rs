//! How much of a budget would be spent here, from what was spent and refused. Pure.

/// Thousandths a second: more than what was spent, so that it can grow; all, if anything was refused.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    spent: u64,
    refused: u64,
    at: f64,
    want: f64,
}

/// Beyond what was spent last, and of what was wanted before, so that a pause of one round gives nothing away.
const AHEAD: f64 = 1.25;
const FADES: f64 = 0.7;

impl Demand {
    /// What is wanted now, of a whole of so many thousandths, by counts that only grow.
    pub fn look(&mut self, now: f64, spent: u64, refused: u64, whole: u32) -> u32 {
        let passed = now - self.at;
        let rate = if passed > 0.0 { (spent - self.spent) as f64 / passed * 1e3 * AHEAD } else { 0.0 };
        self.want = if refused > self.refused { f64::from(whole) } else { rate.max(self.want * FADES) };
        (self.spent, self.refused, self.at) = (spent, refused, now);
        if self.want < 1.0 {
            self.want = 0.0;
        }
        self.want.min(f64::from(whole)) as u32
    }
}
