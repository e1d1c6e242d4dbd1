//! Heartbeats of stores to the controllers, sent as notices on
//! [`mintlb_common::transport::Channel::Control`].

use minicbor::{Decode, Encode};
use mintlb_common::placement::{StoreEntry, StoreId};
use std::time::Duration;

/// Interval between two heartbeats of a store. A changed shard report is sent at once.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// The state of a store and of the shards that it leads.
///
/// The first four fields are those of [`StoreEntry`]. They are not a struct of their own because
/// the encoding is one flat array.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct StoreHeartbeat {
    /// The identity of the store, generated at the first use of its disk.
    #[n(0)]
    pub id: StoreId,
    /// The name of its machine.
    #[n(1)]
    pub node_name: String,
    /// The address of its transport, as IP:PORT.
    #[n(2)]
    pub address: String,
    /// The zone of its machine.
    #[n(3)]
    pub zone: String,
    /// The shards that it leads.
    #[n(4)]
    pub shards: Vec<ShardReport>,
    /// The epoch of the placement that it applies.
    #[n(5)]
    pub placement: u64,
    /// Whether it is shutting down: its shards need other primaries.
    #[n(6)]
    pub draining: bool,
    /// The region of the zone. `None` if the store is of a release that does not tell.
    #[n(7)]
    pub region: Option<String>,
    /// Whether the loss of the machine counts against the tolerance. `None` if the store is of a
    /// release that does not tell.
    #[n(8)]
    pub counts_toward_quorum: Option<bool>,
}

impl StoreHeartbeat {
    /// The store as the placement lists it, not decommissioned.
    pub fn entry(&self) -> StoreEntry {
        StoreEntry {
            id: self.id,
            node_name: self.node_name.clone(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            decommissioning: false,
            region: self.region.clone(),
            counts_toward_quorum: self.counts_toward_quorum,
        }
    }
}

/// The state of a shard, as its primary reports it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ShardReport {
    /// The shard.
    #[n(0)]
    pub shard: u32,
    /// The epoch in which the store is the primary.
    #[n(1)]
    pub epoch: u64,
    /// Whether the takeover is complete: the primary has read the log of the previous replicas, and
    /// a quorum of the current ones has stored it.
    #[n(2)]
    pub active: bool,
    /// The replicas that have the complete log up to the newest entries.
    #[n(3)]
    pub caught_up: Vec<StoreId>,
}
