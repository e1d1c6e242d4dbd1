//! The workers of this controller: their calls, and the publication of their records.
//!
//! Out of contact with a majority nothing is acknowledged, so that the worker calls another
//! controller. What it reported is true all the same and is published as far as it gets: the call
//! sequence orders it among the records of others.

use super::registry::{HeartbeatOutcome, Registry, newer_record};
use super::unclaimed_workers::id_hash;
use crate::controller::contact::monitor::ContactMonitor;
use crate::controller::register::worker_log::{NotStored, StoredBy, WorkerLog};
use mintlb_common::record::{WORKER_PREFIX, WorkerRecord, WorkerState};
use mintlb_gossip::GossipService;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, interval};

/// The interval between two checks for workers whose heartbeats have stopped.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The time that the acknowledgement of a drain or an end may wait for a neighbor that confirms the
/// record: while a process finds its first neighbors, the record is offered to them two or three
/// times. A worker waits for a second.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);

/// The reason for which a worker's call isn't acknowledged. The worker may try again, best at
/// another controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotAcknowledged {
    /// This process is out of contact with a majority of the register's replicas.
    #[error("M444 this controller is out of contact with a majority of the register's replicas")]
    OutOfContact,
    /// No other process is known to have the record.
    #[error("M445 no other process has confirmed it yet")]
    Unconfirmed,
    /// It is not known to be on the disks of a quorum of the register's replicas.
    #[error(transparent)]
    NotStored(#[from] NotStored),
    /// The registry is full.
    #[error("M463 there are too many workers")]
    RegistryFull,
}

/// The workers of this controller.
pub struct WorkerService {
    registry: Mutex<Registry>,
    gossip: Arc<GossipService>,
    contact: Arc<ContactMonitor>,
    log: WorkerLog,
}

impl WorkerService {
    /// A worker is unresponsive after `heartbeat_timeout` without a heartbeat.
    pub fn new(
        gossip: Arc<GossipService>,
        contact: Arc<ContactMonitor>,
        log: WorkerLog,
        heartbeat_timeout: Duration,
    ) -> WorkerService {
        WorkerService {
            registry: Mutex::new(Registry::new(Instant::now(), heartbeat_timeout)),
            gossip,
            contact,
            log,
        }
    }

    /// Changes the time after which a worker without a heartbeat is unresponsive.
    pub fn set_heartbeat_timeout(&self, heartbeat_timeout: Duration) {
        self.registry
            .lock()
            .set_heartbeat_timeout(heartbeat_timeout);
    }

    /// The record of a worker as the gossip has it, whichever controller published it.
    pub fn published_record(&self, id: &str) -> Option<WorkerRecord> {
        let record = self.gossip.get(&format!("{WORKER_PREFIX}{id}"))?;
        minicbor::decode(&record.body).ok()
    }

    /// Hashes of the ids of the workers of this controller.
    pub fn id_hashes(&self) -> Vec<u32> {
        self.registry.lock().ids().map(id_hash).collect()
    }

    /// Handles a heartbeat, with which a worker may also report that it drains. Returns once it may
    /// be acknowledged.
    ///
    /// # Errors
    ///
    /// If the heartbeat must not be acknowledged.
    pub async fn heartbeat(&self, reported: WorkerRecord) -> Result<(), NotAcknowledged> {
        let current = self.published_record(&reported.instance_id);
        if !self.contact.is_in_contact() {
            if let Some(record) = newer_record(reported, current.as_ref()) {
                self.gossip.publish_now(record.to_record());
            }
            return Err(NotAcknowledged::OutOfContact);
        }
        let outcome = self
            .registry
            .lock()
            .heartbeat(Instant::now(), reported, current.as_ref());
        match outcome {
            HeartbeatOutcome::Unchanged | HeartbeatOutcome::Stale => Ok(()),
            HeartbeatOutcome::RegistryFull => Err(NotAcknowledged::RegistryFull),
            HeartbeatOutcome::Publish(record) if record.state == WorkerState::InService => {
                self.gossip.publish_now(record.to_record());
                Ok(())
            }
            HeartbeatOutcome::Publish(record) => self.publish_confirmed(record).await,
        }
    }

    /// Handles the end of a worker. Returns once it may be acknowledged.
    ///
    /// # Errors
    ///
    /// If the end must not be acknowledged.
    pub async fn deregister(&self, id: &str) -> Result<(), NotAcknowledged> {
        let current = self.published_record(id);
        let record = self.registry.lock().leave(id, current);
        if !self.contact.is_in_contact() {
            self.gossip.publish_now(record.to_record());
            return Err(NotAcknowledged::OutOfContact);
        }
        self.publish_confirmed(record).await
    }

    /// Publishes the unresponsiveness of workers whose heartbeats have stopped, until it is
    /// aborted.
    pub async fn expire_unresponsive_workers(self: Arc<Self>) {
        let mut ticks = interval(CHECK_INTERVAL);
        loop {
            ticks.tick().await;
            for record in self.unresponsive_workers() {
                log::info!(
                    "workers: worker {} is unresponsive, last call sequence {}",
                    record.instance_id,
                    record.call_sequence
                );
                self.gossip.publish_now(record.to_record());
            }
        }
    }

    fn unresponsive_workers(&self) -> Vec<WorkerRecord> {
        let published_version = |id: &str| self.published_record(id).map(|record| record.version());
        let mut registry = self.registry.lock();
        let (now, in_contact) = (Instant::now(), self.contact.is_in_contact());
        registry.tick(now, in_contact, published_version)
    }

    /// Publishes the record of a worker that must not get new requests. That is acknowledged only
    /// once another process publishes it, too, and a quorum of the register's replicas has it on disk,
    /// and by a process that is in contact at that moment: otherwise a partition could hide it from
    /// the dispatchers, or a power loss make all forget it.
    async fn publish_confirmed(&self, record: WorkerRecord) -> Result<(), NotAcknowledged> {
        self.gossip.publish_now(record.to_record());
        let stored = self.log.store(&record, CONFIRMATION_TIMEOUT).await;
        log::debug!(
            "workers: published worker {} as {:?}, stored: {stored:?}",
            record.instance_id,
            record.state
        );
        if stored? == StoredBy::ThisProcessAlone {
            self.gossip
                .publish(record.to_record(), CONFIRMATION_TIMEOUT)
                .await
                .map_err(|_| NotAcknowledged::Unconfirmed)?;
        }
        if !self.contact.is_in_contact() {
            return Err(NotAcknowledged::OutOfContact);
        }
        self.registry.lock().confirmed(&record);
        Ok(())
    }
}
