//! The client of the owners of tenants' rate limits, see [`mintlb_quota`].

use crate::admission::{Admission, AdmissionFuture, RateLimiter};
use crate::tenants::TenantTerms;
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

/// The next owner is asked, too, once one has not responded for this long.
const HEDGE_DELAY: Duration = Duration::from_millis(20);
/// Questions of one request that are open at the same time.
const MAX_OPEN_QUESTIONS: usize = 3;
/// An owner that was silent for [`HEDGE_DELAY`] when its request was decided is suspected of being down, and asked after
/// all others for this long.
const SUSPICION_TIME: Duration = Duration::from_millis(1000);
/// The time-out of a question, beyond that of any request.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Turns of the runtime in which responses that have arrived by the deadline are still read.
const TURNS_AFTER_DEADLINE: usize = 4;
/// For at most this long after a rejection further requests of the tenant are rejected without a question.
const MAX_REJECTION_MEMORY: Duration = Duration::from_millis(50);
/// Tenants whose rejections are remembered at most.
const MAX_REMEMBERED: usize = 4096;
/// The longest time after which a client is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1500);

/// Asks the owners of a tenant's slices for a token.
pub struct QuotaClient {
    transport: Arc<Transport>,
    division: Division,
    replicas: ArcSwap<ReplicaSet>,
    rng: Mutex<Rng>,
    /// Until when an owner is suspected of being down.
    suspects: Mutex<FxHashMap<SocketAddr, Instant>>,
    /// The last rejection of a tenant.
    rejected: Mutex<FxHashMap<String, RememberedRejection>>,
}

/// A rejection that holds for further requests of its tenant.
#[derive(Clone, Copy)]
struct RememberedRejection {
    /// Until then they are rejected without a question.
    until: Instant,
    /// When they may come back.
    returns_at: Instant,
}

/// A question to an owner, and its response; none if it can't be reached.
type Question = BoxFuture<'static, (SocketAddr, Option<AdmitResponse>)>;

/// The questions of one request.
struct Questions {
    inquiry: Inquiry<SocketAddr>,
    open: FuturesUnordered<Question>,
    /// When each owner whose response has not come was asked.
    asked: FxHashMap<SocketAddr, Instant>,
    last_asked: Instant,
}

impl QuotaClient {
    /// Knows no owners before [`QuotaClient::apply_record`].
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

    /// Applies the record of the replica set, whose members own the slices.
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
        if let Some(retry_after) = self.remembered_rejection(tenant) {
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
        let mut questions = Questions::new(self.owners_in_order(tenant, &limit), &limit);
        let is_admitted = self.ask(&mut questions, &body, deadline).await;
        self.suspect_silent(&questions);
        match (is_admitted, questions.inquiry.retry_after()) {
            (true, _) => Admission::Admitted,
            (false, Some(retry_after)) => self.reject(tenant, retry_after),
            (false, None) => Admission::Unavailable,
        }
    }

    /// Asks owners until one admits the request, all have responded, or the deadline has passed.
    async fn ask(&self, questions: &mut Questions, body: &Bytes, deadline: Instant) -> bool {
        let mut turns_left = TURNS_AFTER_DEADLINE;
        loop {
            if questions.is_next_due() {
                self.ask_next(questions, body);
            }
            if questions.open.is_empty() {
                return false;
            }
            let timer = deadline.min(questions.next_due_at());
            tokio::select! {
                biased;
                Some((owner, response)) = questions.open.next() => {
                    if self.on_response(questions, owner, response) {
                        return true;
                    }
                }
                () = sleep_until(timer) => {}
            }
            if Instant::now() >= deadline {
                // A process that had no processor time finds the responses and the deadline at once.
                if turns_left == 0 {
                    return false;
                }
                turns_left -= 1;
                yield_now().await;
            }
        }
    }

    fn ask_next(&self, questions: &mut Questions, body: &Bytes) {
        let now = Instant::now();
        questions.last_asked = now;
        let Some(owner) = questions.inquiry.next_owner() else {
            return;
        };
        questions.asked.insert(owner, now);
        let (transport, body) = (self.transport.clone(), body.clone());
        questions.open.push(Box::pin(async move {
            let called = transport.call(owner, Channel::Quota, body, CALL_TIMEOUT);
            let response = called.await.ok();
            (
                owner,
                response.and_then(|bytes| minicbor::decode(&bytes).ok()),
            )
        }));
    }

    /// Whether the response admits the request.
    fn on_response(
        &self,
        questions: &mut Questions,
        owner: SocketAddr,
        response: Option<AdmitResponse>,
    ) -> bool {
        questions.asked.remove(&owner);
        match response {
            Some(AdmitResponse::Admitted) => return true,
            Some(AdmitResponse::Rejected { retry_after_ms }) => {
                let retry_after = Duration::from_millis(retry_after_ms.into());
                questions.inquiry.on_rejection(retry_after);
            }
            Some(AdmitResponse::NotOwner) => {}
            None => self.suspect(owner),
        }
        false
    }

    fn suspect(&self, owner: SocketAddr) {
        let until = Instant::now() + SUSPICION_TIME;
        self.suspects.lock().insert(owner, until);
    }

    fn suspect_silent(&self, questions: &Questions) {
        let silent = questions
            .asked
            .iter()
            .filter(|(_, asked_at)| asked_at.elapsed() >= HEDGE_DELAY);
        silent.for_each(|(owner, _)| self.suspect(*owner));
    }

    fn reject(&self, tenant: &str, retry_after: Duration) -> Admission {
        let retry_after = retry_after.min(MAX_RETRY_AFTER);
        let now = Instant::now();
        let mut rejected = self.rejected.lock();
        if rejected.len() >= MAX_REMEMBERED {
            rejected.retain(|_, rejection| rejection.until > now);
        }
        if rejected.len() < MAX_REMEMBERED {
            let rejection = RememberedRejection {
                until: now + retry_after.min(MAX_REJECTION_MEMORY),
                returns_at: now + retry_after,
            };
            rejected.insert(tenant.to_string(), rejection);
        }
        Admission::Rejected { retry_after }
    }

    /// When a request of a tenant may come back, if it is rejected without a question.
    fn remembered_rejection(&self, tenant: &str) -> Option<Duration> {
        let now = Instant::now();
        let mut rejected = self.rejected.lock();
        let rejection = *rejected.get(tenant)?;
        if rejection.until > now {
            return Some(rejection.returns_at - now);
        }
        rejected.remove(tenant);
        None
    }

    /// The owners of a tenant's slices from a random one on, the suspected ones last.
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

impl Questions {
    fn new(owners: Vec<SocketAddr>, limit: &RateLimit) -> Questions {
        Questions {
            inquiry: Inquiry::new(owners, limit),
            open: FuturesUnordered::new(),
            asked: FxHashMap::default(),
            last_asked: Instant::now(),
        }
    }

    /// Whether the next owner is to be asked now: nobody is, or the last one keeps silent.
    fn is_next_due(&self) -> bool {
        self.open.is_empty()
            || self.open.len() < MAX_OPEN_QUESTIONS && self.last_asked.elapsed() >= HEDGE_DELAY
    }

    fn next_due_at(&self) -> Instant {
        match self.open.len() < MAX_OPEN_QUESTIONS {
            true => self.last_asked + HEDGE_DELAY,
            false => self.last_asked + CALL_TIMEOUT,
        }
    }
}

impl RateLimiter for QuotaClient {
    fn admit<'a>(&'a self, tenant: &'a TenantTerms, time_limit: Duration) -> AdmissionFuture<'a> {
        Box::pin(async move {
            match tenant.limit {
                Some(limit) => self.decide(&tenant.name, limit, time_limit).await,
                None => Admission::Admitted,
            }
        })
    }
}
