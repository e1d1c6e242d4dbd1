//! Expiry of the records of workers that no controller claims.

use super::messages::{ControllerRequest, ControllerResponse, encode};
use crate::controller::contact::messages::LeaderEpoch;
use crate::controller::contact::monitor::ContactMonitor;
use crate::controller::workers::service::WorkerService;
use crate::controller::workers::unclaimed_workers::UnclaimedWorkers;
use bytes::Bytes;
use mintlb_common::transport::{Channel, Transport};
use mintlb_gossip::GossipService;
use rustc_hash::FxHashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The time that another controller is given to list its workers.
const WORKER_LIST_TIMEOUT: Duration = Duration::from_millis(600);

/// Expires records of workers.
pub struct WorkerExpiry {
    contact: Arc<ContactMonitor>,
    workers: Arc<WorkerService>,
    transport: Arc<Transport>,
    gossip: Arc<GossipService>,
}

impl WorkerExpiry {
    /// `workers` are those of this process; those of the others are queried over the transport.
    pub fn new(
        contact: Arc<ContactMonitor>,
        workers: Arc<WorkerService>,
        transport: Arc<Transport>,
        gossip: Arc<GossipService>,
    ) -> WorkerExpiry {
        WorkerExpiry {
            contact,
            workers,
            transport,
            gossip,
        }
    }

    /// Publishes the end of workers that no controller has claimed for long. `epoch` is that under
    /// which this process leads.
    pub async fn scan(&self, unclaimed: &mut UnclaimedWorkers, epoch: LeaderEpoch) {
        let Some(claimed) = self.claimed_workers(epoch).await else {
            return;
        };
        if !self.contact.is_leader(epoch) {
            return;
        }
        for record in unclaimed.expire(Instant::now(), &self.gossip.snapshot(), &claimed) {
            log::info!(
                "singleton: expired worker {}, which no controller claims, epoch {epoch}",
                record.instance_id
            );
            self.gossip.publish_now(record.to_record());
        }
    }

    /// The hashes of the ids of all workers that a controller claims; `None` unless all live
    /// controllers have responded, as without all of them no worker counts as unclaimed.
    async fn claimed_workers(&self, epoch: LeaderEpoch) -> Option<FxHashSet<u32>> {
        let mut claimed: FxHashSet<u32> = self.workers.id_hashes().into_iter().collect();
        let body = encode(&ControllerRequest::Workers { epoch });
        let mut calls = JoinSet::new();
        for address in self.contact.live_addresses() {
            let (transport, body): (_, Bytes) = (self.transport.clone(), body.clone());
            calls.spawn(async move {
                transport
                    .call(address, Channel::Control, body, WORKER_LIST_TIMEOUT)
                    .await
            });
        }
        while let Some(response) = calls.join_next().await {
            let response = response.ok()?.ok()?;
            match minicbor::decode(&response).ok()? {
                ControllerResponse::Workers(workers) => claimed.extend(workers),
                _ => return None,
            }
        }
        Some(claimed)
    }
}
