//! Client of the processes that own the slices of tenants' rate limits, see [`mintlb_quota`].

use crate::admission::{Admission, AdmissionFuture, RateLimiter};
use crate::tenants::TenantSettings;
use arc_swap::ArcSwap;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use mintlb_common::record::{REPLICAS, Record};
use mintlb_common::transport::{Channel, Transport};
use mintlb_quota::inquiry::Inquiry;
use mintlb_quota::messages::{AdmitRequest, AdmitResponse, RateLimit};
use mintlb_quota::slices::{Division, owners};
use mintlb_register::replica_set::ReplicaSet;
use mintlb_scheduler::util::Rng;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// If an owner has not responded for this long, the next one is called as well (hedged request).
const HEDGE_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of pending calls for one request.
const MAX_PENDING_CALLS: usize = 3;
/// An owner whose call had been pending for [`HEDGE_DELAY`] when the request was decided, or that can't be reached, is
/// suspected to be down. For this long it is only called after all others.
const SUSPECT_DURATION: Duration = Duration::from_millis(1000);
/// Timeout of a call, longer than the time limit of any request.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// How often the task yields to the runtime after the deadline, to read responses that arrived before it.
const POLLS_AFTER_DEADLINE: usize = 4;
/// Maximum time after a rejection in which further requests of the tenant are rejected without a call.
const MAX_REJECTION_CACHE_TTL: Duration = Duration::from_millis(50);
/// Maximum number of tenants with a cached rejection.
const MAX_CACHED_REJECTIONS: usize = 4096;
/// Maximum `Retry-After` of a rejection.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1500);

/// Takes tokens from the owners of a tenant's slices.
pub struct QuotaClient {
    transport: Arc<Transport>,
    division: Division,
    replicas: ArcSwap<ReplicaSet>,
    rng: Mutex<Rng>,
    /// Until when an owner is suspected to be down.
    suspects: Mutex<FxHashMap<SocketAddr, Instant>>,
    /// The cached rejection of each tenant.
    rejected: Mutex<FxHashMap<String, CachedRejection>>,
}

/// A rejection that applies to further requests of its tenant.
#[derive(Clone, Copy)]
struct CachedRejection {
    /// Requests before this time are rejected without a call.
    until: Instant,
    /// When a client may retry.
    retry_at: Instant,
}

/// A call to an owner. Resolves to `None` if the owner can't be reached or its response can't be decoded.
type OwnerCall = BoxFuture<'static, (SocketAddr, Option<AdmitResponse>)>;

/// The calls made for one request.
struct OwnerCalls {
    inquiry: Inquiry<SocketAddr>,
    pending: FuturesUnordered<OwnerCall>,
    /// When each owner was called whose call is pending.
    called_at: FxHashMap<SocketAddr, Instant>,
    last_called_at: Instant,
}

impl QuotaClient {
    /// Creates a client that knows no owners before [`QuotaClient::apply_record`].
    pub fn new(transport: Arc<Transport>, division: Division, seed: u64) -> QuotaClient {
        QuotaClient {
            transport,
            division,
            replicas: ArcSwap::default(),
            rng: Mutex::new(Rng::new(seed)),
            suspects: Mutex::default(),
            rejected: Mutex::default(),
        }
    }

    /// Applies the record of the replica set, whose members own the slices. Ignores other records.
    pub fn apply_record(&self, record: &Record) {
        if record.key != REPLICAS {
            return;
        }
        match minicbor::decode(&record.body) {
            Ok(set) => self.replicas.store(Arc::new(set)),
            Err(error) => log::warn!(
                "quota: can't decode replica set {}: {error}",
                record.version
            ),
        }
    }

    async fn decide(&self, tenant: &str, limit: RateLimit, time_limit: Duration) -> Admission {
        if let Some(retry_after) = self.cached_rejection(tenant) {
            return Admission::Rejected { retry_after };
        }
        if time_limit.is_zero() {
            return Admission::Unavailable;
        }
        let deadline = Instant::now() + time_limit;
        let request = AdmitRequest {
            tenant: tenant.to_string(),
            limit,
        };
        let body: Bytes = minicbor::to_vec(&request).unwrap_or_default().into();
        let mut calls = OwnerCalls::new(self.owners_in_order(tenant, &limit), &limit);
        let is_admitted = self.call_owners(&mut calls, &body, deadline).await;
        self.suspect_unresponsive(&calls);
        match (is_admitted, calls.inquiry.retry_after()) {
            (true, _) => Admission::Admitted,
            (false, Some(retry_after)) => self.reject(tenant, retry_after),
            (false, None) => Admission::Unavailable,
        }
    }

    /// Calls owners until one admits the request, all have responded, or the deadline has passed.
    async fn call_owners(&self, calls: &mut OwnerCalls, body: &Bytes, deadline: Instant) -> bool {
        let mut polls_left = POLLS_AFTER_DEADLINE;
        loop {
            if calls.is_next_due() {
                self.call_next(calls, body);
            }
            if calls.pending.is_empty() {
                return false;
            }
            let timer = deadline.min(calls.next_due_at());
            tokio::select! {
                biased;
                Some((owner, response)) = calls.pending.next() => {
                    if self.on_response(calls, owner, response) {
                        return true;
                    }
                }
                () = sleep_until(timer) => {}
            }
            if Instant::now() >= deadline {
                // A process that got no CPU time sees the responses and the deadline at the same time.
                if polls_left == 0 {
                    return false;
                }
                polls_left -= 1;
                yield_now().await;
            }
        }
    }

    fn call_next(&self, calls: &mut OwnerCalls, body: &Bytes) {
        let now = Instant::now();
        calls.last_called_at = now;
        let Some(owner) = calls.inquiry.next_owner() else {
            return;
        };
        calls.called_at.insert(owner, now);
        let (transport, body) = (self.transport.clone(), body.clone());
        calls.pending.push(Box::pin(async move {
            let response = transport.call(owner, Channel::Quota, body, CALL_TIMEOUT);
            let response = response.await.ok();
            (
                owner,
                response.and_then(|bytes| minicbor::decode(&bytes).ok()),
            )
        }));
    }

    /// Handles a response; returns whether it admits the request.
    fn on_response(
        &self,
        calls: &mut OwnerCalls,
        owner: SocketAddr,
        response: Option<AdmitResponse>,
    ) -> bool {
        calls.called_at.remove(&owner);
        match response {
            Some(AdmitResponse::Admitted) => return true,
            Some(AdmitResponse::Rejected { retry_after_ms }) => {
                let retry_after = Duration::from_millis(retry_after_ms.into());
                calls.inquiry.on_rejection(retry_after);
            }
            Some(AdmitResponse::NotOwner) => {}
            None => self.suspect(owner),
        }
        false
    }

    fn suspect(&self, owner: SocketAddr) {
        let until = Instant::now() + SUSPECT_DURATION;
        self.suspects.lock().insert(owner, until);
    }

    fn suspect_unresponsive(&self, calls: &OwnerCalls) {
        let unresponsive = calls
            .called_at
            .iter()
            .filter(|(_, called_at)| called_at.elapsed() >= HEDGE_DELAY);
        unresponsive.for_each(|(owner, _)| self.suspect(*owner));
    }

    fn reject(&self, tenant: &str, retry_after: Duration) -> Admission {
        let retry_after = retry_after.min(MAX_RETRY_AFTER);
        let now = Instant::now();
        let mut rejected = self.rejected.lock();
        if rejected.len() >= MAX_CACHED_REJECTIONS {
            rejected.retain(|_, rejection| rejection.until > now);
        }
        if rejected.len() < MAX_CACHED_REJECTIONS {
            let rejection = CachedRejection {
                until: now + retry_after.min(MAX_REJECTION_CACHE_TTL),
                retry_at: now + retry_after,
            };
            rejected.insert(tenant.to_string(), rejection);
        }
        Admission::Rejected { retry_after }
    }

    /// The time until a client may retry, if a cached rejection applies to the tenant.
    fn cached_rejection(&self, tenant: &str) -> Option<Duration> {
        let now = Instant::now();
        let mut rejected = self.rejected.lock();
        let rejection = *rejected.get(tenant)?;
        if rejection.until > now {
            return Some(rejection.retry_at - now);
        }
        rejected.remove(tenant);
        None
    }

    /// The owners of a tenant's slices, starting at a random one; those suspected to be down come last.
    fn owners_in_order(&self, tenant: &str, limit: &RateLimit) -> Vec<SocketAddr> {
        let set = self.replicas.load();
        let members: Vec<u64> = set.current.iter().map(|replica| replica.id.0).collect();
        let slices = self.division.slice_count(limit, members.len());
        let address = |id: u64| {
            let replica = set.current.iter().find(|replica| replica.id.0 == id)?;
            replica.address.parse().ok()
        };
        let owners = owners(&members, tenant, slices);
        let mut addresses: Vec<SocketAddr> = owners.into_iter().filter_map(address).collect();
        let count = addresses.len();
        if count > 0 {
            let first = (self.rng.lock().uniform() * count as f64) as usize;
            addresses.rotate_left(first % count);
        }
        let now = Instant::now();
        let mut suspects = self.suspects.lock();
        suspects.retain(|_, until| *until > now);
        addresses.sort_by_key(|address| suspects.contains_key(address));
        addresses
    }
}

impl OwnerCalls {
    fn new(owners: Vec<SocketAddr>, limit: &RateLimit) -> OwnerCalls {
        OwnerCalls {
            inquiry: Inquiry::new(owners, limit),
            pending: FuturesUnordered::new(),
            called_at: FxHashMap::default(),
            last_called_at: Instant::now(),
        }
    }

    /// Whether to call the next owner now: no call is pending, or the last one has been pending for [`HEDGE_DELAY`].
    fn is_next_due(&self) -> bool {
        self.pending.is_empty()
            || self.pending.len() < MAX_PENDING_CALLS
                && self.last_called_at.elapsed() >= HEDGE_DELAY
    }

    fn next_due_at(&self) -> Instant {
        match self.pending.len() < MAX_PENDING_CALLS {
            true => self.last_called_at + HEDGE_DELAY,
            false => self.last_called_at + CALL_TIMEOUT,
        }
    }
}

impl RateLimiter for QuotaClient {
    fn admit<'a>(
        &'a self,
        tenant: &'a TenantSettings,
        time_limit: Duration,
    ) -> AdmissionFuture<'a> {
        Box::pin(async move {
            match tenant.limit {
                Some(limit) => self.decide(&tenant.name, limit, time_limit).await,
                None => Admission::Admitted,
            }
        })
    }
}
