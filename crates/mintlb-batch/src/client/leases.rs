//! Leases of items: a dispatcher takes items that no other one runs, renews their leases and
//! releases them.

use super::attempt::Attempt;
use super::routing::{StoreEndpoint, all_primaries, primary_of};
use super::{BatchClient, Item, Leased, LeasedItem, LeasedJob, Renewed};
use crate::entry::ItemPayload;
use crate::framing;
use crate::messages::{
    DispatcherId, Lease, LeasedItemHeader, LeasedItems, ReleaseItems, Renew, StoreRequest,
    StoreResponse,
};
use bytes::Bytes;
use mintlb_common::transport::{CallError, Channel};
use rustc_hash::FxHashMap;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

/// The time-out of a renewal or a release at one store.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(500);
/// The time-out of a lease at one store. The store counts the items as leased from then on, so that
/// a response is given up only when little is left of [`crate::leases::LEASE_DURATION`]: items of a
/// response that was given up run nowhere until their leases expire.
const LEASE_TIMEOUT: Duration = Duration::from_millis(2000);
/// The limit of stores that one call of [`BatchClient::lease`] asks.
const MAX_STORES_PER_LEASE: usize = 4;

/// A call to a store that runs on its own task.
type PendingCall = JoinHandle<Result<Bytes, CallError>>;

impl BatchClient {
    /// Leases up to `max_items` unleased items to `owner`. Asks a few stores that may have some.
    pub async fn lease(&self, owner: DispatcherId, max_items: usize) -> Leased {
        let mut leased = Leased::default();
        let primaries = all_primaries(&(self.placement)());
        let stores = self.backlogs.candidates(primaries, owner);
        for store in stores.into_iter().take(MAX_STORES_PER_LEASE) {
            let left = max_items.saturating_sub(leased.items.len());
            if left == 0 {
                break;
            }
            let Some(items) = self.lease_at(store, owner, left).await else {
                leased.unanswered += 1;
                continue;
            };
            // A store that had some is asked again by the next call, without a pause.
            self.backlogs.record(store.id, items.len() as u32);
            leased.items.extend(items);
        }
        leased
    }

    /// `None` if the store does not respond in time.
    async fn lease_at(
        &self,
        store: StoreEndpoint,
        owner: DispatcherId,
        max_items: usize,
    ) -> Option<Vec<LeasedItem>> {
        let request = StoreRequest::Lease(Lease {
            owner,
            max_items: max_items as u32,
        });
        let request = framing::encode(&request, &[]);
        match self.attempt(store.address, request, LEASE_TIMEOUT).await {
            Attempt::Answered(StoreResponse::Leased(headers), raw) => {
                let host_placed = headers
                    .iter()
                    .filter(|header| header.host_placed == Some(true));
                host_placed.for_each(|header| self.host_placed.remember(&header.job));
                Some(leased_items(headers, raw))
            }
            _ => None,
        }
    }

    /// Renews the leases of the items that `owner` runs; to be called each second.
    pub async fn renew(&self, owner: DispatcherId, leased: Vec<LeasedJob>) -> Renewed {
        let by_store = self.group_by_store(leased);
        let deadline = Instant::now() + RENEWAL_TIMEOUT;
        let mut calls = Vec::with_capacity(by_store.len());
        for (store, jobs) in by_store {
            let request = StoreRequest::Renew(Renew { owner, jobs });
            let call = self.spawn_call(store, framing::encode(&request, &[]));
            calls.push((store, call));
        }
        let mut renewed = Renewed::default();
        for (store, call) in calls {
            let Ok(Ok(Ok(response))) = timeout_at(deadline, call).await else {
                renewed.unanswered += 1;
                continue;
            };
            if let Some((StoreResponse::Renewed(result), _)) = framing::decode(&response) {
                self.backlogs.record(store.id, result.open);
                let lost = result.lost.into_iter().map(LeasedJob::from);
                renewed.lost.extend(lost);
            }
        }
        renewed
    }

    /// Leased items by the primary of their shard, without those whose shard has none.
    fn group_by_store(&self, leased: Vec<LeasedJob>) -> FxHashMap<StoreEndpoint, Vec<LeasedItems>> {
        let placement = (self.placement)();
        let mut by_store: FxHashMap<StoreEndpoint, Vec<LeasedItems>> = FxHashMap::default();
        for job in leased {
            let job = LeasedItems::from(job);
            let shard = self.host_placed.shard_of(&job.job);
            if let Some(primary) = primary_of(&placement, shard) {
                by_store.entry(primary.store).or_default().push(job);
            }
        }
        by_store
    }

    /// Releases all leases of `owner`, when it shuts down.
    pub async fn release(&self, owner: DispatcherId) {
        let request = framing::encode(&StoreRequest::Release(owner), &[]);
        let deadline = Instant::now() + RENEWAL_TIMEOUT;
        let stores = all_primaries(&(self.placement)());
        let calls: Vec<PendingCall> = stores
            .into_iter()
            .map(|store| self.spawn_call(store, request.clone()))
            .collect();
        for call in calls {
            timeout_at(deadline, call).await.ok();
        }
    }

    /// Releases the leases of some items of `owner`, for other dispatchers to run them. Items of a store that does not
    /// respond are free once their leases expire.
    pub async fn release_items(&self, owner: DispatcherId, leased: Vec<LeasedJob>) {
        let deadline = Instant::now() + RENEWAL_TIMEOUT;
        let calls: Vec<PendingCall> = self
            .group_by_store(leased)
            .into_iter()
            .map(|(store, jobs)| {
                let request = StoreRequest::ReleaseItems(ReleaseItems { owner, jobs });
                self.spawn_call(store, framing::encode(&request, &[]))
            })
            .collect();
        for call in calls {
            timeout_at(deadline, call).await.ok();
        }
    }

    fn spawn_call(&self, store: StoreEndpoint, request: Bytes) -> PendingCall {
        let transport = self.transport.clone();
        tokio::spawn(async move {
            transport
                .call(store.address, Channel::Batch, request, RENEWAL_TIMEOUT)
                .await
        })
    }
}

/// Splits the raw bytes of a response into the payloads of its items.
fn leased_items(headers: Vec<LeasedItemHeader>, mut raw: Bytes) -> Vec<LeasedItem> {
    let length: u64 = headers.iter().map(|header| header.length).sum();
    if length != raw.len() as u64 {
        return Vec::new();
    }
    let items = headers.into_iter().filter_map(|header| {
        let payload = raw.split_to(header.length as usize);
        leased_item(header, &payload)
    });
    items.collect()
}

fn leased_item(header: LeasedItemHeader, payload: &Bytes) -> Option<LeasedItem> {
    let (payload, body) = ItemPayload::decode(payload)?;
    let item = Item {
        instance_id: header.item,
        path: payload.path,
        headers: payload.headers,
        body,
        tokens: header.tokens,
    };
    Some(LeasedItem {
        host: header.job.host,
        route: header.route,
        tenant: header.tenant,
        job_id: header.job.id,
        terms: header.terms,
        index: header.index,
        item,
        failures: header.failures,
    })
}
