//! Adaptive limit of the batch items that a dispatcher runs concurrently. Without I/O.
//!
//! Items use the capacity that live requests leave. Each dispatcher adapts its limit to the occupancy of the service's
//! slots, as senders adapt their rate to a congestion price (Kelly, Maulloo and Tan 1998, the primal algorithm): a
//! constant increase, and a decrease in proportion to limit and price. All dispatchers see about the same occupancy, so
//! their limits converge to the same value without communication, and together they leave room for live requests.

/// Initial and lowest limit.
const MIN_LIMIT: f64 = 1.0;
/// Highest limit, which bounds the use of memory and connections.
const MAX_LIMIT: f64 = 192.0;
/// Occupancy from which the price rises, and occupancy at which it is 1. The limit settles between them; the remaining
/// slots are left for live requests, whose rate varies.
const FREE_OCCUPANCY: f64 = 0.6;
const FULL_OCCUPANCY: f64 = 1.0;
/// The highest price.
const MAX_PRICE: f64 = 2.0;
/// Increase of the limit per second at a price of 0.
const INCREASE_PER_SECOND: f64 = 24.0;
/// Relative decrease of the limit per second at a price of 1.
const DECREASE_RATE: f64 = 2.0;
/// Maximum time in seconds that one update accounts for.
const MAX_STEP_SECONDS: f64 = 0.25;

/// An adaptive limit of concurrently running items.
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
    /// Number of items that may run concurrently.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Adapts the limit at `now` (seconds of the clock) while `running` items are running. A service without an estimate of
    /// its `occupancy` counts as idle.
    pub fn update(&mut self, now: f64, occupancy: Option<f64>, running: usize) {
        let step = (now - self.updated_at).clamp(0.0, MAX_STEP_SECONDS);
        self.updated_at = now;
        let price = price(occupancy.unwrap_or_default());
        // The limit does not rise while it is not reached, as the occupancy then says nothing about a higher one.
        let increase = match running >= self.limit() {
            true => INCREASE_PER_SECOND * (1.0 - price).max(0.0),
            false => 0.0,
        };
        let change = (increase - DECREASE_RATE * self.limit * price) * step;
        self.limit = (self.limit + change).clamp(MIN_LIMIT, MAX_LIMIT);
    }
}

/// The congestion price at this occupancy.
fn price(occupancy: f64) -> f64 {
    let excess = (occupancy - FREE_OCCUPANCY) / (FULL_OCCUPANCY - FREE_OCCUPANCY);
    excess.clamp(0.0, MAX_PRICE)
}
