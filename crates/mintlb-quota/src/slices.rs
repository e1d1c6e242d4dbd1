//! The division of a tenant's limit into slices, and the choice of their owners.

use crate::messages::RateLimit;
use crate::token_bucket::BucketLimit;
use mintlb_common::mix64::mix64;

/// The least rate of a slice, in tokens per second, unless the limit has only [`MIN_SLICES`] slices.
const MIN_SLICE_RATE: f64 = 1.0;
/// The least burst of a slice, in tokens, unless the limit has only [`MIN_SLICES`] slices.
const MIN_SLICE_BURST: f64 = 2.5;
/// The least number of slices, so that one is left when an owner is lost; fewer if the burst does not
/// have a whole token for each.
const MIN_SLICES: usize = 2;
/// The fraction of the slack that is added to the burst before it is divided: a request finds the
/// burst of one slice only, which is a fraction of the total.
const BURST_SLACK_SHARE: f64 = 0.5;

/// How limits are divided into slices. Must be the same in all processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// The number of requests by which a tenant may exceed its limit in a window; the setting
    /// `quota_slack`.
    pub slack: f64,
}

impl Division {
    /// The number of slices of a limit, one for each owner, at most `members`.
    pub fn slice_count(&self, limit: &RateLimit, members: usize) -> usize {
        let by_rate = limit.rate / MIN_SLICE_RATE;
        let by_burst = self.total_burst(limit) / MIN_SLICE_BURST;
        let count = by_rate.min(by_burst) as usize;
        let least = MIN_SLICES.min(self.total_burst(limit) as usize);
        count.max(least).max(1).min(members)
    }

    /// The limit of each slice of a limit that is divided into `slices`.
    pub fn slice_limit(&self, limit: &RateLimit, slices: usize) -> BucketLimit {
        let slices = slices.max(1) as f64;
        BucketLimit {
            rate: limit.rate / slices,
            burst: (self.total_burst(limit) / slices).max(1.0),
        }
    }

    /// The burst that is divided among the slices.
    fn total_burst(&self, limit: &RateLimit) -> f64 {
        limit.burst + self.slack * BURST_SLACK_SHARE
    }
}

/// The owners of a tenant's slices among the members, chosen by rendezvous hashing: when a member
/// leaves or joins, only the slices that it owns change their owner.
pub fn owners(members: &[u64], tenant: &str, slices: usize) -> Vec<u64> {
    let tenant = tenant_hash(tenant);
    let mut ranked: Vec<u64> = members.to_vec();
    ranked.sort_unstable_by_key(|member| mix64(mix64(*member) ^ tenant));
    ranked.truncate(slices);
    ranked
}

/// FNV-1a of the name. It is the same in every build, as dispatchers and owners of different releases
/// must agree on the owners.
fn tenant_hash(tenant: &str) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    tenant.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
