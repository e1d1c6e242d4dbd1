//! Limit of the batch items that a dispatcher runs at once.
//!
//! Items run on what live requests leave. Each dispatcher adapts its limit to the occupancy of the service's slots, as
//! senders adapt their rate to a congestion price (Kelly, Maulloo and Tan 1998, the primal algorithm): a constant
//! increase, and a decrease in proportion to limit and price. All dispatchers see about the same occupancy, so that
//! their limits settle at the same value, and together they leave room for live requests, without a message about each
//! other's items. Pure.

/// Items that may run at once at the start, and at least.
const MIN_LIMIT: f64 = 1.0;
/// The highest limit: a bound of the process's memory and connections.
const MAX_LIMIT: f64 = 192.0;
/// At this occupancy the price begins to rise, and at the other it is 1. Between them items fill a service; the rest is
/// left for live requests, which come in no even stream.
const FREE_OCCUPANCY: f64 = 0.6;
const FULL_OCCUPANCY: f64 = 1.0;
/// The highest price.
const MAX_PRICE: f64 = 2.0;
/// Items by which the limit rises in a second at no price.
const RISE: f64 = 24.0;
/// The rate at which the limit falls at a price of 1, per second.
const FALL: f64 = 2.0;
/// The longest time for which one change of the limit accounts, in seconds.
const MAX_STEP: f64 = 0.25;

/// An adaptive limit of concurrent items.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    updated_at: f64,
}

impl Default for ConcurrencyLimit {
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: MIN_LIMIT,
            updated_at: 0.0,
        }
    }
}

impl ConcurrencyLimit {
    /// Items that may run at once.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Adapts the limit at `now` (seconds of the clock) while `running` items run. A service without an estimate of its
    /// `occupancy` counts as idle.
    pub fn update(&mut self, now: f64, occupancy: Option<f64>, running: usize) {
        let step = (now - self.updated_at).clamp(0.0, MAX_STEP);
        self.updated_at = now;
        let price = price(occupancy.unwrap_or_default());
        // A limit that is not in use is not tested, so it does not rise.
        let rise = match running >= self.limit() {
            true => RISE * (1.0 - price).max(0.0),
            false => 0.0,
        };
        let change = (rise - FALL * self.limit * price) * step;
        self.limit = (self.limit + change).clamp(MIN_LIMIT, MAX_LIMIT);
    }
}

/// What an item's slot costs at this occupancy.
fn price(occupancy: f64) -> f64 {
    let over = (occupancy - FREE_OCCUPANCY) / (FULL_OCCUPANCY - FREE_OCCUPANCY);
    over.clamp(0.0, MAX_PRICE)
}
