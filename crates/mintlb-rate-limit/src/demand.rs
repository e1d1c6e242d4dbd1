//! Estimates how much of a budget a scheduler would use, from what it spent and what it was refused.

/// The demand for one budget. It exceeds what was spent, so that the share can grow, and is the whole budget after a
/// refusal.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// The counts and the time of the last update.
    spent: u64,
    refused: u64,
    updated_at: f64,
    /// Thousandths of a token spent per second: the peak, which decays.
    rate_milli: f64,
}

/// The demand as a multiple of the rate spent.
const GROWTH_FACTOR: f64 = 1.25;
/// The part of the rate that is left after one request interval with less use, so that a pause does not give the whole
/// share away at once.
const DECAY_PER_INTERVAL: f64 = 0.4;

impl Demand {
    /// The demand now, in thousandths of a token per second, at most `total`. `spent` and `refused` are counts since
    /// the start.
    pub fn update(
        &mut self,
        now: f64,
        interval: f64,
        (spent, refused): (u64, u64),
        total: u32,
    ) -> u32 {
        let elapsed = now - self.updated_at;
        let rate = if elapsed > 0.0 {
            (spent - self.spent) as f64 / elapsed * 1e3
        } else {
            0.0
        };
        // A refusal counts in one update only, so that others don't go without for several intervals because of it.
        let was_refused = refused > self.refused;
        self.rate_milli = rate.max(self.rate_milli * DECAY_PER_INTERVAL.powf(elapsed / interval));
        (self.spent, self.refused, self.updated_at) = (spent, refused, now);
        match was_refused {
            true => total,
            false => (self.rate_milli * GROWTH_FACTOR).min(f64::from(total)) as u32,
        }
    }
}
