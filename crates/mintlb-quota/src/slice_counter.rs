//! The slices of all tenants that one controller owns.

use crate::messages::{AdmitRequest, AdmitResponse, RateLimit};
use crate::slices::{Division, owners};
use crate::token_bucket::TokenBucket;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// The largest number of slices kept. Beyond it the full ones are dropped, which lose no tokens by
/// that: created again, they have been filling since `filling_since`.
const MAX_SLICES: usize = 8192;

/// Rounds up to whole milliseconds, so that a client does not retry too early.
fn milliseconds(time: Duration) -> u32 {
    let milliseconds = time.as_micros().div_ceil(1000);
    u32::try_from(milliseconds).unwrap_or(u32::MAX)
}

/// The token buckets of one controller.
#[derive(Debug)]
pub struct SliceCounter {
    own_id: u64,
    division: Division,
    members: Vec<u64>,
    /// When the members or the newest version of the limits last changed. A slice that is new here starts empty at that
    /// time, as another owner may have given out its tokens before.
    filling_since: Duration,
    /// The newest version of the limits that a request has named.
    newest_version: Option<u64>,
    slices: FxHashMap<String, Slice>,
}

#[derive(Debug)]
struct Slice {
    limit: RateLimit,
    bucket: TokenBucket,
}

impl SliceCounter {
    /// The counter of the member `own_id`. It owns no slice until [`SliceCounter::set_members`] is called.
    pub fn new(own_id: u64, division: Division) -> SliceCounter {
        SliceCounter {
            own_id,
            division,
            members: Vec::new(),
            filling_since: Duration::ZERO,
            newest_version: None,
            slices: FxHashMap::default(),
        }
    }

    /// Applies the members of a replica set, and drops the slices that are no longer owned here:
    /// should one return later, other owners may have given out its tokens meanwhile.
    pub fn set_members(&mut self, members: impl Iterator<Item = u64>, now: Duration) {
        let mut members: Vec<u64> = members.collect();
        members.sort_unstable();
        if members == self.members {
            return;
        }
        self.members = members;
        self.filling_since = now;
        let mut slices = std::mem::take(&mut self.slices);
        slices.retain(
            |tenant, slice| match self.owned_slices(tenant, &slice.limit) {
                Some(count) => {
                    let limit = self.division.slice_limit(&slice.limit, count);
                    slice.bucket.set_limit(limit, now);
                    true
                }
                None => false,
            },
        );
        self.slices = slices;
    }

    /// Decides about a request by its tenant's newest known limit.
    pub fn admit(&mut self, request: &AdmitRequest, now: Duration) -> AdmitResponse {
        if !request.limit.is_valid() {
            return AdmitResponse::NotOwner;
        }
        self.follow_version(request.limit.version, now);
        let known = self.slices.get(&request.tenant).map(|slice| slice.limit);
        let limit = match known {
            Some(known) if known.version >= request.limit.version => known,
            _ => request.limit,
        };
        let Some(count) = self.owned_slices(&request.tenant, &limit) else {
            return AdmitResponse::NotOwner;
        };
        let slice_limit = self.division.slice_limit(&limit, count);
        if known.is_none() && !self.has_space(now) {
            return AdmitResponse::NotOwner;
        }
        let filling_since = self.filling_since;
        let slice = self
            .slices
            .entry(request.tenant.clone())
            .or_insert_with(|| Slice {
                limit,
                bucket: TokenBucket::new(slice_limit, filling_since, now),
            });
        if slice.limit != limit {
            slice.limit = limit;
            slice.bucket.set_limit(slice_limit, now);
        }
        match slice.bucket.take(now) {
            Ok(()) => AdmitResponse::Admitted,
            Err(retry_after) => AdmitResponse::Rejected {
                retry_after_ms: milliseconds(retry_after),
            },
        }
    }

    /// Notes the version of a limit. Under a newer one a tenant may have more slices, and so new owners, which must
    /// start with empty slices.
    fn follow_version(&mut self, version: u64, now: Duration) {
        let newest = self.newest_version.get_or_insert(version);
        if version > *newest {
            *newest = version;
            self.filling_since = now;
        }
    }

    /// The number of slices of a limit; `None` if none of them is owned here.
    fn owned_slices(&self, tenant: &str, limit: &RateLimit) -> Option<usize> {
        let count = self.division.slice_count(limit, self.members.len());
        owners(&self.members, tenant, count)
            .contains(&self.own_id)
            .then_some(count)
    }

    /// Whether there is space for another slice. Drops the full ones if necessary.
    fn has_space(&mut self, now: Duration) -> bool {
        if self.slices.len() >= MAX_SLICES {
            self.slices.retain(|_, slice| !slice.bucket.is_full(now));
        }
        self.slices.len() < MAX_SLICES
    }
}
