//! The division of a tenant's limit into slices, and their owners.

use crate::messages::RateLimit;
use crate::token_bucket::BucketLimit;
use mintlb_common::mix64::mix64;

/// A slice has at least this rate, in tokens a second, if the limit suffices for more than one slice.
const MIN_SLICE_RATE: f64 = 1.0;
/// A slice holds at least this burst, in tokens, if the limit suffices for more than one slice.
const MIN_SLICE_BURST: f64 = 2.5;
/// A limit has this many slices at least, so that the loss of an owner leaves one; fewer if its burst
/// has no whole token for each.
const MIN_SLICES: usize = 2;
/// The share of the slack that makes the bursts of the slices larger together than the limit's: a
/// request meets one slice, whose burst is only a part of the whole.
const BURST_SLACK_SHARE: f64 = 0.5;

/// How limits are divided; the same at all processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// Requests by which a tenant may exceed its limit in a window (`quota_slack`).
    pub slack: f64,
}

impl Division {
    /// The number of slices of a limit among so many members.
    pub fn slice_count(&self, limit: &RateLimit, members: usize) -> usize {
        let by_rate = limit.rate / MIN_SLICE_RATE;
        let by_burst = self.total_burst(limit) / MIN_SLICE_BURST;
        let count = by_rate.min(by_burst) as usize;
        let least = MIN_SLICES.min(self.total_burst(limit) as usize);
        count.max(least).max(1).min(members)
    }

    /// The limit of one of so many slices.
    pub fn slice_limit(&self, limit: &RateLimit, slices: usize) -> BucketLimit {
        let slices = slices.max(1) as f64;
        BucketLimit {
            rate: limit.rate / slices,
            burst: (self.total_burst(limit) / slices).max(1.0),
        }
    }

    /// The bursts of all slices together.
    fn total_burst(&self, limit: &RateLimit) -> f64 {
        limit.burst + self.slack * BURST_SLACK_SHARE
    }
}

/// The owners of a tenant's slices among the members, by rendezvous hashing: a member that leaves
/// or joins changes only the owners of its own slices.
pub fn owners(members: &[u64], tenant: &str, slices: usize) -> Vec<u64> {
    let tenant = tenant_hash(tenant);
    let mut ranked: Vec<u64> = members.to_vec();
    ranked.sort_unstable_by_key(|member| mix64(mix64(*member) ^ tenant));
    ranked.truncate(slices);
    ranked
}

/// FNV-1a of the name: the same in every build, as owners and dispatchers have to agree.
fn tenant_hash(tenant: &str) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    tenant.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
