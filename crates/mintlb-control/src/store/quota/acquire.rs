//! The primary of a shard acquires allowances from the counter of an account.

use super::shard_of;
use crate::store::handle::Store;
use bytes::Bytes;
use mintlb_batch::framing;
use mintlb_batch::messages::{StoreRequest, StoreResponse};
use mintlb_batch::quota::{AcquireAllowance, QuotaAccount, RecallAllowances, Shortage};
use mintlb_common::transport::Channel;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

/// Pause before a counter that did not answer, or did not know enough, is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// The time-out of one request to the counter.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an allowance was not raised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AcquireError {
    /// The quota of the account is used up.
    #[error("the quota is used up")]
    Exceeded,
    /// The counter did not answer in time, or could not reach all primaries.
    #[error("the counter is not available")]
    Unavailable,
}

/// A call to a store; see [`Store::call_store`].
type StoreCall<'a> = Pin<Box<dyn Future<Output = Option<StoreResponse>> + Send + 'a>>;

/// The counter of an account.
#[derive(Clone, Copy, Debug)]
struct CounterEndpoint {
    address: SocketAddr,
    epoch: u64,
}

impl Store {
    /// To be locked while an allowance of this shard and account is acquired.
    pub(in crate::store) fn allowance_turn(
        &self,
        shard: u32,
        account: &QuotaAccount,
    ) -> Arc<Mutex<()>> {
        self.quotas().turn(shard, account)
    }

    /// Acquires what is missing from the counter of the account. After `Ok` the job is to be proposed
    /// again; its allowance may have been recalled meanwhile.
    pub(in crate::store) async fn acquire_allowance(
        &self,
        account: &QuotaAccount,
        limit: u64,
        shortage: &Shortage,
        deadline: Instant,
    ) -> Result<(), AcquireError> {
        let Shortage { held, .. } = *shortage;
        let response = match self.counter_of(account) {
            // An earlier counter than one that is known must not be asked.
            Some(counter) if counter.epoch >= shortage.counter_epoch => {
                let request = StoreRequest::AcquireAllowance(AcquireAllowance {
                    route: account.route.clone(),
                    limit,
                    counter_epoch: counter.epoch,
                    held,
                    tokens: shortage.tokens,
                    tenant: account.tenant.clone(),
                });
                let left = deadline.saturating_duration_since(Instant::now());
                let timeout = left.min(ACQUIRE_TIMEOUT);
                self.call_store(counter.address, &request, timeout).await
            }
            _ => None,
        };
        match response {
            Some(StoreResponse::AllowanceRaised { tokens }) => {
                let mut shard_host = self.shard_host();
                let replica = shard_host.replica(held.shard);
                replica.raise_allowance(account, held, tokens);
                Ok(())
            }
            Some(StoreResponse::QuotaExceeded) => Err(AcquireError::Exceeded),
            Some(StoreResponse::AllowanceOutdated { generation }) => {
                self.void_allowances(held.shard, account, generation);
                self.pause_before_retry(deadline).await
            }
            _ => {
                // What a lost response may have handed out must not be taken later.
                self.void_allowances(held.shard, account, held.generation);
                self.pause_before_retry(deadline).await
            }
        }
    }

    fn void_allowances(&self, shard: u32, account: &QuotaAccount, through: u64) {
        let mut shard_host = self.shard_host();
        shard_host
            .replica(shard)
            .void_allowances_through(account, through);
    }

    async fn pause_before_retry(&self, deadline: Instant) -> Result<(), AcquireError> {
        if Instant::now() + RETRY_PAUSE >= deadline {
            return Err(AcquireError::Unavailable);
        }
        sleep(RETRY_PAUSE).await;
        Ok(())
    }

    /// The primary that counts an account, by the placement that this store applies.
    fn counter_of(&self, account: &QuotaAccount) -> Option<CounterEndpoint> {
        let shard = shard_of(account);
        let shard_host = self.shard_host();
        let placement = shard_host.placement();
        Some(CounterEndpoint {
            address: placement.primary(shard)?.address.parse().ok()?,
            epoch: placement.shards.get(shard as usize)?.epoch,
        })
    }

    /// A counter recalls what the shards that this store leads don't use.
    pub(in crate::store) fn give_up_allowances(&self, recall: &RecallAllowances) -> StoreResponse {
        let account = recall.account();
        let mut shard_host = self.shard_host();
        let shards = recall.shards.iter().copied();
        let left = shards
            .filter(|shard| shard_host.has_shard(*shard))
            .collect::<Vec<u32>>()
            .into_iter()
            .filter_map(|shard| {
                let replica = shard_host.replica(shard);
                replica.recall_allowance(&account, recall.counter_epoch)
            });
        StoreResponse::Recalled(left.collect())
    }

    /// Sends a request to a store, which may be this one; `None` if it does not answer in time.
    /// Boxed, as what handles the request may itself be calling.
    pub(super) fn call_store<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a StoreRequest,
        timeout: Duration,
    ) -> StoreCall<'a> {
        Box::pin(async move {
            let response = if address == self.transport().local_address() {
                let handled = self.handle_request(request.clone(), Bytes::new());
                tokio::time::timeout(timeout, handled).await.ok()?
            } else {
                let request = framing::encode(request, &[]);
                let called = self
                    .transport()
                    .call(address, Channel::Batch, request, timeout);
                called.await.ok()?
            };
            framing::decode::<StoreResponse>(&response).map(|(response, _)| response)
        })
    }
}
