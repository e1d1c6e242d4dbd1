//! What a store tells the controllers, as a notice on [`mintlb_common::transport::Channel::Control`].

use minicbor::{Decode, Encode};
use mintlb_common::placement::StoreId;
use std::time::Duration;

/// How often a store tells; at once when a shard's report changes.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// A store and what it knows of the shards whose primary it is.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoreHeartbeat {
    /// The store's identity, drawn when its disk was first used.
    #[n(0)]
    pub id: StoreId,
    /// The machine's name.
    #[n(1)]
    pub node_name: String,
    /// Address of its transport, as IP:PORT.
    #[n(2)]
    pub address: String,
    /// Its zone.
    #[n(3)]
    pub zone: String,
    /// The shards whose primary it is.
    #[n(4)]
    pub shards: Vec<ShardReport>,
    /// The epoch of the placement it goes by.
    #[n(5)]
    pub placement: u64,
    /// It was told to stop: its shards are to get other primaries.
    #[n(6)]
    pub draining: bool,
}

/// What a primary knows of its shard.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ShardReport {
    /// The shard.
    #[n(0)]
    pub shard: u32,
    /// The epoch it is the primary of.
    #[n(1)]
    pub epoch: u64,
    /// It has read what the previous replicas had and a quorum of the new ones has it.
    #[n(2)]
    pub active: bool,
    /// The replicas that have the whole log but for the newest entries.
    #[n(3)]
    pub caught_up: Vec<StoreId>,
}
