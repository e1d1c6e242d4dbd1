//! Which stores a call goes to, by the current placement.

use mintlb_common::placement::{Placement, StoreId};
use std::net::SocketAddr;

/// A store that leads at least one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct StoreEndpoint {
    pub(super) id: StoreId,
    pub(super) address: SocketAddr,
}

/// The primary of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ShardPrimary {
    pub(super) store: StoreEndpoint,
    /// The epoch of the shard's assignment.
    pub(super) epoch: u64,
}

/// The primary of a shard.
pub(super) fn primary_of(placement: &Placement, shard: u32) -> Option<ShardPrimary> {
    let store = placement.primary(shard)?;
    Some(ShardPrimary {
        store: StoreEndpoint {
            id: store.id,
            address: store.address.parse().ok()?,
        },
        epoch: placement.shards.get(shard as usize)?.epoch,
    })
}

/// The distinct primaries of all shards.
pub(super) fn all_primaries(placement: &Placement) -> Vec<StoreEndpoint> {
    let mut primaries: Vec<StoreEndpoint> = Vec::new();
    for shard in 0..placement.shards.len() {
        let Some(store) = placement.primary(shard as u32) else {
            continue;
        };
        let Ok(address) = store.address.parse() else {
            continue;
        };
        if !primaries.iter().any(|primary| primary.id == store.id) {
            let id = store.id;
            primaries.push(StoreEndpoint { id, address });
        }
    }
    primaries
}
