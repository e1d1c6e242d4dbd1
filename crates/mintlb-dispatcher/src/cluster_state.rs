//! Cluster state from gossip records: the configuration and the workers.
//!
//! Updates are applied by the reducer's loop, in the order in which they came into force.

use crate::shared::Shared;
use crate::tuning::ServiceNumbers;
use crate::upstream::WorkerUpstream;
use crate::workers::EndpointNumbers;
use mintlb_common::configuration::Configuration;
use mintlb_common::record::{CONFIGURATION, Record, WORKER_PREFIX, WorkerRecord};
use mintlb_core::membership::{MembershipUpdate, WorkerSource};
use mintlb_core::reducer::Event;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A decoded record that concerns a dispatcher.
pub enum ClusterUpdate {
    /// A configuration, with its version.
    Configuration(u64, Arc<Configuration>),
    /// A worker.
    Worker(WorkerRecord),
    /// The records from before this process joined were received.
    Joined,
}

/// Decodes a record; `None` for those that don't concern a dispatcher or can't be decoded.
pub fn read(record: &Record) -> Option<ClusterUpdate> {
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

/// The scheduler's numbers of zones and services, by name.
pub struct Numbering {
    zones: BTreeMap<String, u16>,
    /// Of services.
    pub services: ServiceNumbers,
}

impl Numbering {
    /// For these zones.
    pub fn new<'a>(zones: impl Iterator<Item = &'a String>) -> Numbering {
        let zones = zones.cloned().zip(0..).collect();
        Numbering {
            zones,
            services: ServiceNumbers::default(),
        }
    }

    /// The number of a zone. An unknown one counts as remote from all others.
    pub fn zone(&self, name: &str) -> u16 {
        self.zones.get(name).copied().unwrap_or(u16::MAX)
    }

    /// Applies a worker's record and returns the membership event for the reducer.
    pub fn worker_event(&mut self, shared: &Shared, record: &WorkerRecord) -> Option<Event> {
        let numbers = EndpointNumbers {
            zone: self.zone(&record.zone),
            kind: self.services.of(&record.service),
        };
        let member = shared
            .workers
            .apply_record(record, numbers, |entry| Arc::new(WorkerUpstream(entry)))?;
        let members = MembershipUpdate {
            source: WorkerSource::ListService,
            full: false,
            members: vec![member],
        };
        Some(Event::MembershipChanged(None, members))
    }
}
