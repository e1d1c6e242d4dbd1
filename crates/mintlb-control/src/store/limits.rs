//! What a store may take, from its machine's limits.

use mintlb_common::settings::Limits;

/// Bits of a byte.
const BITS: f64 = 8.0;
/// Bits a second of a megabit.
const MEGABIT: f64 = 1e6;
/// Queued messages are a second's worth of the link at most: what is accepted beyond that could not
/// be committed in time.
const MAX_QUEUE_SECONDS: f64 = 1.0;
/// A page of results is always within the limit.
const MIN_QUEUED_BYTES: u64 = 1 << 20;
/// Queued messages are in memory; also the limit on a link of unknown bandwidth.
const MAX_QUEUED_BYTES: u64 = 8 << 20;

/// The resources of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Capacity of the disk in bytes.
    pub disk_bytes: u64,
    /// While more bytes than this wait for the store's connections, it accepts no batch job: each
    /// brings as many bytes again to every replica, and later its results.
    pub queued_bytes: u64,
}

impl StoreLimits {
    /// The limits of a store on a machine. `quarantined_bytes` of its disk are not available.
    pub fn new(limits: &Limits, quarantined_bytes: u64) -> StoreLimits {
        let disk_mb = limits.disk_mb.unwrap_or(u64::MAX >> 20);
        StoreLimits {
            disk_bytes: (disk_mb << 20).saturating_sub(quarantined_bytes),
            queued_bytes: queued_bytes(limits.link_mbps),
        }
    }
}

/// The bytes that may wait for a link of this bandwidth; 0 is an unknown one.
fn queued_bytes(link_mbps: f64) -> u64 {
    if link_mbps <= 0.0 {
        return MAX_QUEUED_BYTES;
    }
    let link_bytes = link_mbps * MEGABIT / BITS * MAX_QUEUE_SECONDS;
    (link_bytes as u64).clamp(MIN_QUEUED_BYTES, MAX_QUEUED_BYTES)
}
