//! Responses to dispatchers that ask for a tenant's token.

use crate::controller::register::RegisterClient;
use bytes::Bytes;
use mintlb_common::transport::{ResponseFuture, Service};
use mintlb_quota::messages::{AdmitRequest, AdmitResponse};
use mintlb_quota::slice_counter::SliceCounter;
use mintlb_quota::slices::Division;
use mintlb_register::replica_set::ReplicaSet;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long after the start of its last read of the replica set at a majority an owner goes on. The
/// others may replace it after [`UNRESPONSIVE_TIMEOUT`], so that for the difference both may give out
/// a slice's tokens: `docs/tenants.md` shows that the bound holds.
///
/// [`UNRESPONSIVE_TIMEOUT`]: crate::controller::contact::peers::UNRESPONSIVE_TIMEOUT
const MAX_TIME_WITHOUT_MAJORITY: Duration = Duration::from_millis(4000);

/// How often the replica set is applied, so that a slice fills before its first request comes.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(200);

/// The handler of the quota channel.
pub struct QuotaService {
    register: Arc<RegisterClient>,
    started_at: Instant,
    /// Guarded by a lock that is never held across a wait; none without a replica.
    counter: Option<Mutex<SliceCounter>>,
}

impl QuotaService {
    /// Owns slices as a member of the register's replica set.
    pub fn new(register: Arc<RegisterClient>, division: Division) -> QuotaService {
        let own = register.replica_id();
        let counter = own.map(|own| Mutex::new(SliceCounter::new(own.0, division)));
        QuotaService {
            register,
            started_at: Instant::now(),
            counter,
        }
    }

    /// Applies the replica set regularly; runs until it is aborted.
    pub async fn follow_members(self: Arc<Self>) {
        loop {
            if let Some((counter, set)) = self.counter.as_ref().zip(self.register.set()) {
                self.apply_members(&mut counter.lock(), &set);
            }
            sleep(MEMBERS_INTERVAL).await;
        }
    }

    /// Applies a replica set; returns the time by the clock of the counter.
    fn apply_members(&self, counter: &mut SliceCounter, set: &ReplicaSet) -> Duration {
        let now = self.started_at.elapsed();
        counter.set_members(set.current.iter().map(|replica| replica.id.0), now);
        now
    }

    /// Whether the replica set was read lately.
    fn knows_members(&self) -> bool {
        let read_at = self.register.majority_at();
        read_at.is_some_and(|at| at.elapsed() < MAX_TIME_WITHOUT_MAJORITY)
    }

    /// Decides about one request.
    fn admit(&self, request: &AdmitRequest) -> AdmitResponse {
        let Some((counter, set)) = self.counter.as_ref().zip(self.register.set()) else {
            return AdmitResponse::NotOwner;
        };
        if !self.knows_members() {
            return AdmitResponse::NotOwner;
        }
        let mut counter = counter.lock();
        let now = self.apply_members(&mut counter, &set);
        counter.admit(request, now)
    }
}

impl Service for QuotaService {
    fn on_request(&self, _from: SocketAddr, body: Bytes) -> ResponseFuture {
        let response = match minicbor::decode(&body) {
            Ok(request) => minicbor::to_vec(self.admit(&request)).unwrap_or_default(),
            Err(_) => Vec::new(),
        };
        Box::pin(async { response.into() })
    }
}
