//! The placement of shards on stores.
//!
//! Batch jobs are divided into shards by host and id. The placement is kept in the control plane's
//! register, is changed there by the controller that holds the singleton role, and reaches every
//! process as the record [`crate::record::PLACEMENT`].

use crate::quorum::{FailureDomain, FaultTolerance, QuorumSystem};
use minicbor::{Decode, Encode};
use std::fmt;

/// The number of shards, fixed for the lifetime of a tier.
pub const SHARD_COUNT: u32 = 16;

/// Identifies a store together with its disk: with an emptied disk it is another store.
///
/// It is shown in hexadecimal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct StoreId(#[n(0)] pub u64);

impl fmt::Display for StoreId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, f)
    }
}

/// The agreed placement; each change increments `epoch`.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Placement {
    /// Version of the placement.
    #[n(0)]
    pub epoch: u64,
    /// The stores in use.
    #[n(1)]
    pub stores: Vec<StoreEntry>,
    /// The assignment of each shard, by shard number; empty until the first stores are known.
    #[n(2)]
    pub shards: Vec<ShardAssignment>,
}

/// A store in the placement.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoreEntry {
    /// The identity of the store, generated at the first use of its disk.
    #[n(0)]
    pub id: StoreId,
    /// The name of the machine (`node_name` in its settings).
    #[n(1)]
    pub node_name: String,
    /// The internal address, as IP:PORT.
    #[n(2)]
    pub address: String,
    /// The zone of the machine.
    #[n(3)]
    pub zone: String,
    /// Whether the store is being decommissioned: it loses its shards one by one until none names
    /// it.
    #[n(4)]
    pub decommissioning: bool,
    /// The region of the zone. `None` if the store is of a release that does not tell.
    #[n(5)]
    pub region: Option<String>,
    /// Whether the loss of the machine counts against the tolerance; if not, it may be lost at any
    /// time. `None` if the store is of a release that does not tell.
    #[n(6)]
    pub counts_toward_quorum: Option<bool>,
}

impl StoreEntry {
    /// Whether the loss of the machine counts against the tolerance, as far as it is known.
    pub fn counts(&self) -> bool {
        self.counts_toward_quorum.unwrap_or(true)
    }

    /// Where the store runs; `None` if it does not tell.
    pub fn domain(&self) -> Option<FailureDomain> {
        Some(FailureDomain {
            zone: self.zone.clone(),
            region: self.region.clone()?,
            counts_toward_quorum: self.counts(),
        })
    }
}

/// What the quorums of a list of replicas follow from. It is part of the placement, so that the
/// primary that commits and the one that takes over later go by the same rule.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuorumRule {
    /// The losses that are tolerated.
    #[n(0)]
    pub tolerance: FaultTolerance,
    /// Where each replica runs, in the order of the replicas.
    #[n(1)]
    pub domains: Vec<FailureDomain>,
}

/// The replicas of a shard.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ShardAssignment {
    /// Version of this assignment; stores reject messages of a lower epoch.
    #[n(0)]
    pub epoch: u64,
    /// The replicas, the primary first.
    #[n(1)]
    pub replicas: Vec<StoreId>,
    /// The replicas of the last active epoch, its primary first. A new primary has to read from
    /// them until it has reported that it is active; empty after that.
    #[n(2)]
    pub previous: Vec<StoreId>,
    /// While `previous` is not empty, the epoch of the last assignment with an active primary.
    /// Nothing was acknowledged in a later epoch, so a log with an entry of a later epoch is
    /// complete: it has every acknowledged entry. `None` if unknown.
    #[n(3)]
    pub last_active_epoch: Option<u64>,
    /// The rule of quorums of `replicas`. `None` in an assignment of a release that goes by the
    /// number of replicas alone.
    #[n(4)]
    pub rule: Option<QuorumRule>,
    /// The rule of quorums of `previous`, if they had one.
    #[n(5)]
    pub previous_rule: Option<QuorumRule>,
}

impl ShardAssignment {
    /// The quorums of `replicas`. Without a rule any `machines` of them may be lost.
    pub fn quorums(&self, machines: usize) -> ReplicaQuorums {
        ReplicaQuorums::new(&self.replicas, self.rule.as_ref(), machines)
    }

    /// The quorums of `previous`. Without a rule any `machines` of them may be lost.
    pub fn previous_quorums(&self, machines: usize) -> ReplicaQuorums {
        ReplicaQuorums::new(&self.previous, self.previous_rule.as_ref(), machines)
    }
}

/// The quorums of a list of replicas.
#[derive(Clone, Debug)]
pub struct ReplicaQuorums {
    replicas: Vec<StoreId>,
    system: QuorumSystem,
}

impl ReplicaQuorums {
    fn new(replicas: &[StoreId], rule: Option<&QuorumRule>, machines: usize) -> ReplicaQuorums {
        let system = match rule {
            // A replica without a domain would share one with all others of that kind.
            Some(rule) => {
                let unknown = FailureDomain {
                    counts_toward_quorum: true,
                    ..FailureDomain::default()
                };
                let domains = rule.domains.iter().chain(std::iter::repeat(&unknown));
                QuorumSystem::new(rule.tolerance, domains.take(replicas.len()))
            }
            None => QuorumSystem::by_count(machines, replicas.len()),
        };
        ReplicaQuorums {
            replicas: replicas.to_vec(),
            system,
        }
    }

    /// Whether an entry that the replicas which satisfy `contains` have on disk outlasts any
    /// tolerated loss.
    pub fn is_write_quorum(&self, contains: impl Fn(StoreId) -> bool) -> bool {
        self.system
            .is_write_quorum(|position| contains(self.replicas[position]))
    }

    /// Whether the replicas that satisfy `contains` have every committed entry among them.
    pub fn is_read_quorum(&self, contains: impl Fn(StoreId) -> bool) -> bool {
        self.replicas.iter().any(|id| contains(*id))
            && self
                .system
                .is_read_quorum(|position| contains(self.replicas[position]))
    }
}

impl Default for ReplicaQuorums {
    /// The quorums of no replicas: there are none.
    fn default() -> ReplicaQuorums {
        ReplicaQuorums::new(&[], None, 0)
    }
}

impl Placement {
    /// The shard of a batch job: its host's lower-case name and its id, hashed with FNV-1a.
    pub fn shard_of_job(host: &str, id: &str) -> u32 {
        let host = host.bytes().map(|byte| byte.to_ascii_lowercase());
        shard_of_bytes(host.chain([0]).chain(id.bytes()))
    }

    /// The shard of all batch jobs of a host, in releases that placed them together: its lower-case
    /// name, hashed with FNV-1a.
    pub fn shard_of_host(host: &str) -> u32 {
        shard_of_bytes(host.bytes().map(|byte| byte.to_ascii_lowercase()))
    }

    /// The shard whose primary counts the queued tokens of a route without tenants.
    pub fn shard_of_route(route: &str) -> u32 {
        shard_of_bytes(route.bytes())
    }

    /// The shard whose primary counts the queued tokens of a tenant on a route.
    pub fn shard_of_account(route: &str, tenant: Option<&str>) -> u32 {
        match tenant {
            Some(tenant) => shard_of_bytes(route.bytes().chain([0]).chain(tenant.bytes())),
            None => Placement::shard_of_route(route),
        }
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

/// The shard of a name: its bytes, hashed with FNV-1a.
fn shard_of_bytes(bytes: impl Iterator<Item = u8>) -> u32 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let hash = bytes.fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let folded = hash ^ (hash >> 32);
    (folded % u64::from(SHARD_COUNT)) as u32
}
