//! Which stores hold which shard of the lots. The placement lies in the control plane's register, is changed there by
//! the controller that has the duty, and is brought to every process as the record `placement`.

use minicbor::{Decode, Encode};

/// The number of shards, fixed for the life of a tier.
pub const SHARD_COUNT: u32 = 16;

/// Identifies a store with its disk: an emptied disk is another store.
pub type StoreId = u64;

/// The agreed placement; each change raises `epoch` by one.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Placement {
    /// Version of the whole placement.
    #[n(0)]
    pub epoch: u64,
    /// The stores in use.
    #[n(1)]
    pub stores: Vec<StoreEntry>,
    /// One assignment a shard, by shard number; empty until the first stores are known.
    #[n(2)]
    pub shards: Vec<ShardAssignment>,
}

/// A store as the placement knows it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoreEntry {
    /// The store's identity, drawn when its disk was first used.
    #[n(0)]
    pub id: StoreId,
    /// The machine's name (`node_name`).
    #[n(1)]
    pub node_name: String,
    /// Address of its transport, as IP:PORT.
    #[n(2)]
    pub address: String,
    /// Its zone.
    #[n(3)]
    pub zone: String,
    /// It is to be emptied (or is, once no shard names it).
    #[n(4)]
    pub retiring: bool,
}

/// Who holds a shard.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ShardAssignment {
    /// Rises with each change of this shard; stores refuse what carries a lower one.
    #[n(0)]
    pub epoch: u64,
    /// The replicas that hold it, the primary first.
    #[n(1)]
    pub replicas: Vec<StoreId>,
    /// The replicas of the settled epoch, its primary first, that a new primary has to read from, until it has
    /// reported that it is in charge; empty after that.
    #[n(2)]
    pub previous: Vec<StoreId>,
    /// While `previous` is not empty: the epoch of the last assignment that had none. Nothing was told to anybody in a
    /// later one, so a log that holds an entry of a later epoch holds all that was told. `None`: not known.
    #[n(3)]
    pub last_active_epoch: Option<u64>,
}

impl Placement {
    /// The shard of all lots of a host.
    pub fn shard_of(host: &str) -> u32 {
        let hash = host.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte.to_ascii_lowercase())).wrapping_mul(0x0100_0000_01b3)
        });
        ((hash ^ (hash >> 32)) % u64::from(SHARD_COUNT)) as u32
    }

    /// The store with this identity.
    pub fn store(&self, id: StoreId) -> Option<&StoreEntry> {
        self.stores.iter().find(|store| store.id == id)
    }

    /// The primary of a shard.
    pub fn primary(&self, shard: u32) -> Option<&StoreEntry> {
        let assignment = self.shards.get(shard as usize)?;
        self.store(*assignment.replicas.first()?)
    }
}
