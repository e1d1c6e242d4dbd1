//! Cluster state that a dispatcher receives as gossip records: the configuration and the workers.
//!
//! The event loop applies updates in the order in which they were received.

use crate::scheduler_settings::ServiceIds;
use crate::shared::SharedState;
use crate::upstream::WorkerUpstream;
use crate::workers::SchedulerIds;
use mintlb_common::configuration::Configuration;
use mintlb_common::record::{CONFIGURATION, Record, WORKER_PREFIX, WorkerRecord};
use mintlb_core::membership::{MembershipUpdate, WorkerSource};
use mintlb_core::reducer::Event;
use std::collections::BTreeMap;
use std::sync::Arc;

/// An update of the cluster state for the event loop.
pub enum ClusterUpdate {
    /// A configuration with its version.
    Configuration(u64, Arc<Configuration>),
    /// The state of a worker.
    Worker(WorkerRecord),
    /// The process has joined the gossip and received the records that were published before.
    Joined,
}

/// Decodes a record; `None` if it does not concern dispatchers or can't be decoded.
pub fn decode(record: &Record) -> Option<ClusterUpdate> {
    if record.key == CONFIGURATION {
        return match Configuration::parse(&record.body) {
            Ok(configuration) => Some(ClusterUpdate::Configuration(
                record.version,
                Arc::new(configuration),
            )),
            Err(error) => {
                log::warn!(
                    "dispatch: configuration {} can't be used: {error}",
                    record.version
                );
                None
            }
        };
    }
    record.key.strip_prefix(WORKER_PREFIX)?;
    match minicbor::decode(&record.body) {
        Ok(worker) => Some(ClusterUpdate::Worker(worker)),
        Err(error) => {
            log::warn!("dispatch: can't decode record {}: {error}", record.key);
            None
        }
    }
}

/// Assigns the ids by which the scheduler knows zones and services.
pub struct SchedulerIdRegistry {
    zones: BTreeMap<String, u16>,
    /// Ids of services.
    pub services: ServiceIds,
}

impl SchedulerIdRegistry {
    /// Creates the registry for these zones, whose ids follow their order.
    pub fn new<'a>(zones: impl Iterator<Item = &'a String>) -> SchedulerIdRegistry {
        let zones = zones.cloned().zip(0..).collect();
        SchedulerIdRegistry {
            zones,
            services: ServiceIds::default(),
        }
    }

    /// The id of a zone. Unknown zones share an id that no known zone has, so that they count as remote.
    pub fn zone_id(&self, name: &str) -> u16 {
        self.zones.get(name).copied().unwrap_or(u16::MAX)
    }

    /// Applies a worker's record and returns the membership event for the reducer.
    pub fn worker_event(&mut self, shared: &SharedState, record: &WorkerRecord) -> Option<Event> {
        let ids = SchedulerIds {
            zone: self.zone_id(&record.zone),
            service: self.services.id(&record.service),
        };
        let member = shared
            .workers
            .apply_record(record, ids, |entry| Arc::new(WorkerUpstream(entry)))?;
        let members = MembershipUpdate {
            source: WorkerSource::ListService,
            full: false,
            members: vec![member],
        };
        Some(Event::MembershipChanged(None, members))
    }
}
