//! The seeds: configured addresses by which a process joins, asked again and again with exponential
//! backoff.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The first backoff after a failed request to a seed; it doubles with each failure.
const SEED_BACKOFF_MIN: Duration = Duration::from_millis(200);
/// The longest backoff of a process without neighbors, and between seeds.
pub(super) const SEED_BACKOFF_MAX_ISOLATED: Duration = Duration::from_secs(1);
/// The longest backoff of a process with neighbors.
const SEED_BACKOFF_MAX_CONNECTED: Duration = Duration::from_secs(10);
/// Bounds the exponent of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

#[derive(Clone, Debug)]
struct Seed {
    address: SocketAddr,
    failures: u32,
    retry_after: Instant,
}

/// The seeds other than the process itself.
#[derive(Debug)]
pub(super) struct Seeds {
    others: Vec<Seed>,
    is_seed: bool,
}

impl Seeds {
    pub(super) fn new(now: Instant, own: SocketAddr, addresses: &[SocketAddr]) -> Seeds {
        let others = addresses.iter().filter(|&&address| address != own);
        Seeds {
            others: others
                .map(|&address| Seed {
                    address,
                    failures: 0,
                    retry_after: now,
                })
                .collect(),
            is_seed: addresses.contains(&own),
        }
    }

    /// Whether the process itself is a seed.
    pub(super) fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Whether both the process itself and the one at this address are seeds.
    pub(super) fn is_link_between_seeds(&self, address: SocketAddr) -> bool {
        self.is_seed && self.addresses().any(|seed| seed == address)
    }

    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.others.iter().map(|seed| seed.address)
    }

    /// The seeds whose backoff has passed.
    pub(super) fn due(&self, now: Instant) -> impl Iterator<Item = SocketAddr> + '_ {
        let due = self
            .others
            .iter()
            .filter(move |seed| now >= seed.retry_after);
        due.map(|seed| seed.address)
    }

    /// A request to this address has failed: if it is a seed, it is not asked again for a while.
    pub(super) fn back_off(&mut self, now: Instant, address: SocketAddr, is_isolated: bool) {
        if let Some(seed) = self.get_mut(address) {
            let max = if is_isolated {
                SEED_BACKOFF_MAX_ISOLATED
            } else {
                SEED_BACKOFF_MAX_CONNECTED
            };
            let doublings = seed.failures.min(MAX_BACKOFF_DOUBLINGS);
            seed.retry_after = now + (SEED_BACKOFF_MIN * (1 << doublings)).min(max);
            seed.failures += 1;
        }
    }

    /// A request to this address has succeeded.
    pub(super) fn reset_backoff(&mut self, address: SocketAddr) {
        if let Some(seed) = self.get_mut(address) {
            seed.failures = 0;
        }
    }

    fn get_mut(&mut self, address: SocketAddr) -> Option<&mut Seed> {
        self.others.iter_mut().find(|seed| seed.address == address)
    }
}
