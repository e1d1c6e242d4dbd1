//! What of the register's chosen value goes to every process as records.

use mintlb_common::record::{CONFIGURATION, PLACEMENT, REPLICAS, Record};
use mintlb_gossip::GossipService;
use mintlb_register::state::ControlState;
use std::sync::Arc;
use std::time::Duration;

/// Publishes the records of chosen values; never of a value that may not be chosen.
pub struct Publisher {
    gossip: Arc<GossipService>,
}

impl Publisher {
    /// A publisher by this overlay.
    pub fn new(gossip: Arc<GossipService>) -> Publisher {
        Publisher { gossip }
    }

    /// Publishes what is newer than what is in force.
    pub fn publish(&self, state: &ControlState) {
        for record in records(state) {
            if self.is_newer(&record) {
                self.gossip.publish_now(record);
            }
        }
    }

    /// Waits until a neighbour has confirmed the configuration, or for this time.
    pub async fn confirm_configuration(&self, state: &ControlState, wait: Duration) {
        if let Some(record) = configuration(state) {
            self.gossip.publish(record, wait).await.ok();
        }
    }

    fn is_newer(&self, record: &Record) -> bool {
        self.gossip
            .get(&record.key)
            .is_none_or(|known| known.version < record.version)
    }
}

/// The records of a value.
fn records(state: &ControlState) -> impl Iterator<Item = Record> {
    let replicas = permanent_record(
        REPLICAS,
        state.replicas.epoch,
        minicbor::to_vec(&state.replicas),
    );
    let placement = (state.placement.epoch > 0).then(|| {
        permanent_record(
            PLACEMENT,
            state.placement.epoch,
            minicbor::to_vec(&state.placement),
        )
    });
    [
        Some(replicas),
        placement.flatten().map(Some),
        Some(configuration(state)),
    ]
    .into_iter()
    .flatten()
    .flatten()
}

fn configuration(state: &ControlState) -> Option<Record> {
    (state.configuration_version > 0).then(|| Record {
        key: CONFIGURATION.to_string(),
        version: state.configuration_version,
        ttl_s: 0,
        body: state.configuration.clone().into(),
    })
}

fn permanent_record<E>(key: &str, version: u64, body: Result<Vec<u8>, E>) -> Option<Record> {
    let body = body.ok()?.into();
    Some(Record {
        key: key.to_string(),
        version,
        ttl_s: 0,
        body,
    })
}
