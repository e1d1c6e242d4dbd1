//! The counter of an account hands out allowances, and recalls what is not in use.

use super::shard_of;
use crate::store::handle::Store;
use futures_util::future::join_all;
use mintlb_batch::messages::{StoreRequest, StoreResponse};
use mintlb_batch::quota::{AcquireAllowance, QuotaCounter, RecallAllowances, Verdict};
use mintlb_common::placement::SHARD_COUNT;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The time-out of a recall at one store.
const RECALL_TIMEOUT: Duration = Duration::from_millis(250);

/// The counter of one account, and the epoch of the shard in which it counts.
pub struct CounterState {
    epoch: u64,
    counter: QuotaCounter,
    last_recall: Option<LastRecall>,
}

/// The last recall.
#[derive(Clone, Copy)]
struct LastRecall {
    started: Instant,
    /// Shards whose primaries answered, that of the request among them.
    answered: usize,
}

impl Default for CounterState {
    fn default() -> CounterState {
        CounterState {
            epoch: 0,
            counter: QuotaCounter::new(SHARD_COUNT as usize),
            last_recall: None,
        }
    }
}

impl Store {
    /// Decides about a request for a larger allowance.
    pub(in crate::store) async fn hand_out_allowance(
        &self,
        request: &AcquireAllowance,
    ) -> StoreResponse {
        let arrived = Instant::now();
        let counter = self.quotas().counter(&request.account());
        let mut state = counter.lock().await;
        if !self.is_confirmed_counter(request).await {
            return StoreResponse::NotPrimary;
        }
        if state.epoch != request.counter_epoch {
            *state = CounterState {
                epoch: request.counter_epoch,
                ..CounterState::default()
            };
        }
        let mut verdict = state.decide(request, arrived);
        if verdict == Verdict::NeedsRecall {
            self.recall_allowances(request, &mut state).await;
            // Another store may have become the counter meanwhile.
            if !self.is_confirmed_counter(request).await {
                return StoreResponse::NotPrimary;
            }
            verdict = state.decide(request, arrived);
        }
        match verdict {
            Verdict::Granted(tokens) => StoreResponse::AllowanceRaised { tokens },
            Verdict::Exceeded => StoreResponse::QuotaExceeded,
            Verdict::Outdated { generation } => StoreResponse::AllowanceOutdated { generation },
            Verdict::NeedsRecall | Verdict::Unknown => StoreResponse::NotPrimary,
        }
    }

    async fn is_confirmed_counter(&self, request: &AcquireAllowance) -> bool {
        let shard = shard_of(&request.account());
        let is_counter = {
            let mut shard_host = self.shard_host();
            shard_host.replica(shard).is_counter(request.counter_epoch)
        };
        is_counter && self.confirm_primary(shard).await
    }

    /// Asks the primaries of all other shards what they use of the quota. The request tells what its
    /// own shard holds; a recall would make the request outdated.
    async fn recall_allowances(&self, request: &AcquireAllowance, state: &mut CounterState) {
        let started = Instant::now();
        let recalls = self.primaries_without(request.held.shard).into_iter().map(
            async |(address, shards)| {
                let recall = StoreRequest::RecallAllowances(RecallAllowances {
                    route: request.route.clone(),
                    counter_epoch: request.counter_epoch,
                    shards,
                    tenant: request.tenant.clone(),
                });
                self.call_store(address, &recall, RECALL_TIMEOUT).await
            },
        );
        let mut answered = 1;
        for response in join_all(recalls).await.into_iter().flatten() {
            if let StoreResponse::Recalled(left) = response {
                let accepted = left
                    .into_iter()
                    .filter(|left| state.counter.on_recalled(*left));
                answered += accepted.count();
            }
        }
        state.last_recall = Some(LastRecall { started, answered });
    }

    /// The shards but for one, by the address of their primary.
    fn primaries_without(&self, excluded: u32) -> BTreeMap<SocketAddr, Vec<u32>> {
        let shard_host = self.shard_host();
        let placement = shard_host.placement();
        let mut primaries: BTreeMap<SocketAddr, Vec<u32>> = BTreeMap::new();
        for shard in (0..SHARD_COUNT).filter(|shard| *shard != excluded) {
            let address = placement
                .primary(shard)
                .and_then(|store| store.address.parse().ok());
            if let Some(address) = address {
                primaries.entry(address).or_default().push(shard);
            }
        }
        primaries
    }
}

impl CounterState {
    /// A recall counts for a request if it began after the request came.
    fn decide(&mut self, request: &AcquireAllowance, arrived: Instant) -> Verdict {
        let recall = self.last_recall.filter(|last| last.started >= arrived);
        self.counter.acquire(
            request.limit,
            request.held,
            request.tokens,
            recall.map(|recall| recall.answered),
        )
    }
}
