//! Leases on items: granted to dispatchers, renewed and released by them.

use super::{Store, raw_payload, slice};
use crate::store::shard_host::ShardHost;
use bytes::Bytes;
use mintlb_batch::framing;
use mintlb_batch::messages::{
    DispatcherId, JobName, Lease, LeasedItemHeader, ReleaseItems, Renew, RenewResult, StoreResponse,
};
use mintlb_batch::replica::LeasePlan;
use mintlb_common::placement::SHARD_COUNT;

/// Bytes of payloads in the response to one request, at which no further shard is searched.
const MAX_LEASE_PAYLOAD_BYTES: u64 = 1 << 20;

/// An item that is leased, with its payload.
struct LeasedItem {
    header: LeasedItemHeader,
    payload: Bytes,
}

impl Store {
    /// Leases items that nobody runs, of all shards whose confirmed primary this is.
    pub(super) async fn lease(&self, lease: &Lease) -> Bytes {
        let mut remaining_items = lease.max_items as usize;
        let mut remaining_bytes = MAX_LEASE_PAYLOAD_BYTES;
        let (mut headers, mut payloads) = (Vec::new(), Vec::new());
        for shard in 0..SHARD_COUNT {
            if remaining_items == 0 || remaining_bytes == 0 {
                break;
            }
            // A primary that may have been replaced leases nothing: it would not know which jobs
            // have ended. An idle shard has to be confirmed first, or its items would wait for a
            // request that comes right after another one.
            if !self.has_unleased_items(shard) || !self.confirm_primary(shard).await {
                continue;
            }
            for item in self.lease_of_shard(shard, lease.owner, remaining_items, remaining_bytes) {
                remaining_items -= 1;
                remaining_bytes = remaining_bytes.saturating_sub(item.header.length);
                headers.push(item.header);
                payloads.push(item.payload);
            }
        }
        let raw: Vec<&[u8]> = payloads.iter().map(|payload| &payload[..]).collect();
        framing::encode(&StoreResponse::Leased(headers), &raw)
    }

    fn has_unleased_items(&self, shard: u32) -> bool {
        let mut shard_host = self.shard_host();
        shard_host.replica(shard).has_unleased_items(self.now())
    }

    fn lease_of_shard(
        &self,
        shard: u32,
        owner: DispatcherId,
        max_items: usize,
        max_bytes: u64,
    ) -> Vec<LeasedItem> {
        let mut shard_host = self.shard_host();
        let now = self.now();
        let replica = shard_host.replica(shard);
        // The confirmation may have become outdated while other requests were handled.
        let plans = match replica.confirm(now) {
            true => replica.lease(owner, max_items, max_bytes, now),
            false => Vec::new(),
        };
        shard_host.run_effects(shard, now);
        read_payloads(&shard_host, shard, plans)
    }

    /// Renews a dispatcher's leases and reports which of them it has lost.
    pub(super) fn renew(&self, renew: &Renew) -> StoreResponse {
        let mut shard_host = self.shard_host();
        let now = self.now();
        let mut renewed = RenewResult::default();
        for leased in &renew.jobs {
            let shard = shard_with_job(&mut shard_host, &leased.job);
            let replica = shard_host.replica(shard);
            replica.renew(renew.owner, leased, &mut renewed, now);
            shard_host.run_effects(shard, now);
        }
        renewed.open = shard_host
            .replicas()
            .iter()
            .map(|replica| replica.unleased_item_count(now))
            .sum();
        StoreResponse::Renewed(renewed)
    }

    /// Ends all leases of a dispatcher.
    pub(super) fn release(&self, owner: DispatcherId) -> StoreResponse {
        let mut shard_host = self.shard_host();
        for shard in 0..SHARD_COUNT {
            shard_host.replica(shard).release(owner);
        }
        StoreResponse::Released
    }

    /// Ends a dispatcher's leases of some items.
    pub(super) fn release_items(&self, release: &ReleaseItems) -> StoreResponse {
        let mut shard_host = self.shard_host();
        for leased in &release.jobs {
            let shard = shard_with_job(&mut shard_host, &leased.job);
            shard_host
                .replica(shard)
                .release_items(release.owner, leased);
        }
        StoreResponse::Released
    }
}

/// The shard of a job at this store: that of its host only if the job lies there.
fn shard_with_job(shard_host: &mut ShardHost, job: &JobName) -> u32 {
    let host_replica = shard_host.replica(job.host_shard());
    let is_host_placed = host_replica.is_serving() && host_replica.jobs().find(job).is_some();
    match is_host_placed {
        true => job.host_shard(),
        false => job.shard(),
    }
}

/// The leased items with their payloads. Items whose payload can't be read are left out: they are
/// leased again once this lease has expired.
fn read_payloads(shard_host: &ShardHost, shard: u32, plans: Vec<LeasePlan>) -> Vec<LeasedItem> {
    let mut entries: Vec<u64> = plans.iter().map(|plan| plan.payload.entry).collect();
    entries.dedup();
    let stored = shard_host.read(shard, &entries).unwrap_or_default();
    // Decoded once an entry: a job has many items.
    let raw_payloads: Vec<(u64, Bytes)> = stored
        .iter()
        .filter_map(|entry| Some((entry.index, raw_payload(&entry.bytes)?)))
        .collect();
    let payload = |plan: &LeasePlan| {
        let (_, raw) = raw_payloads
            .iter()
            .find(|(index, _)| *index == plan.payload.entry)?;
        slice(raw, plan.payload.range.clone())
    };
    let leased = plans.into_iter().filter_map(|plan| {
        let payload = payload(&plan)?;
        Some(LeasedItem {
            header: plan.head,
            payload,
        })
    });
    leased.collect()
}
