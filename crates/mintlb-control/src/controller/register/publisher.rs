//! Distribution of the register's chosen value as gossip records.

use mintlb_common::record::{CONFIGURATION, PLACEMENT, REPLICAS, Record};
use mintlb_gossip::GossipService;
use mintlb_register::state::ControlState;
use std::sync::Arc;
use std::time::Duration;

/// The time to live of a record that never expires, in seconds.
const NO_EXPIRY: u32 = 0;

/// Publishes the records of chosen values, and never of a value that may not be chosen.
pub struct Publisher {
    gossip: Arc<GossipService>,
}

impl Publisher {
    /// Publishes through this gossip service.
    pub fn new(gossip: Arc<GossipService>) -> Publisher {
        Publisher { gossip }
    }

    /// Publishes the records of a chosen value that are newer than the known ones.
    pub fn publish(&self, state: &ControlState) {
        let records = [
            replica_set_record(state),
            placement_record(state),
            configuration_record(state),
        ];
        for record in records.into_iter().flatten() {
            if self.is_newer(&record) {
                self.gossip.publish_now(record);
            }
        }
    }

    /// Waits, `time_limit` at most, until a neighbor has confirmed the configuration.
    pub async fn confirm_configuration(&self, state: &ControlState, time_limit: Duration) {
        if let Some(record) = configuration_record(state) {
            self.gossip.publish(record, time_limit).await.ok();
        }
    }

    fn is_newer(&self, record: &Record) -> bool {
        self.gossip
            .get(&record.key)
            .is_none_or(|known| known.version < record.version)
    }
}

fn replica_set_record(state: &ControlState) -> Option<Record> {
    let body = minicbor::to_vec(&state.replicas).ok()?;
    Some(record(REPLICAS, state.replicas.epoch, body))
}

fn placement_record(state: &ControlState) -> Option<Record> {
    if state.placement.epoch == 0 {
        return None;
    }
    let body = minicbor::to_vec(&state.placement).ok()?;
    Some(record(PLACEMENT, state.placement.epoch, body))
}

fn configuration_record(state: &ControlState) -> Option<Record> {
    if state.configuration_version == 0 {
        return None;
    }
    let body = state.configuration.clone();
    Some(record(CONFIGURATION, state.configuration_version, body))
}

fn record(key: &str, version: u64, body: Vec<u8>) -> Record {
    Record {
        key: key.to_string(),
        version,
        ttl_s: NO_EXPIRY,
        body: body.into(),
    }
}
