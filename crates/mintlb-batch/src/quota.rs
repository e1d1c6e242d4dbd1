//! The quota of a tenant on a route, `max_queued_tokens`, counted once over all shards.
//!
//! The jobs of an account, that is of a tenant on a route, lie on all shards. The primary of one of
//! them, drawn from the account's names, is the account's *counter*. It hands out *allowances*: the primary of a shard admits jobs as long
//! as their queued tokens stay within the shard's allowance, and acquires more when they don't. The
//! allowances of all shards never exceed the quota together.
//!
//! - [`Allowances`]: what the primary of a shard may admit.
//! - [`QuotaCounter`]: what the counter of an account has handed out.
//! - [`QuotaAccount`]: what tokens are counted by.
//!
//! Both are kept in memory only and need no clock:
//!
//! - A counter hands out nothing before the primary of every shard has told it its allowance. From
//!   then on that primary takes none from an earlier counter, so that of two counters only the
//!   later one can have the answers of all.
//! - When the quota is used up, the counter recalls what is not in use.
//! - A request and a recall carry the *generation* of an allowance, raised with each recall and with
//!   each request that got no response: what was handed out for an earlier one is void.
//! - The next primary of a shard starts with the tokens that its log holds. The former one can't
//!   commit anything any more, whatever it was allowed to.

mod account;
mod allowances;
mod counter;

pub use account::QuotaAccount;
pub use allowances::{Allowances, Shortage};
pub use counter::{QuotaCounter, Verdict};

use crate::epoch_history::Epoch;
use minicbor::{Decode, Encode};

/// Request of a shard's primary to the counter of an account.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AcquireAllowance {
    /// The route.
    #[n(0)]
    pub route: String,
    /// Its `max_queued_tokens`.
    #[n(1)]
    pub limit: u64,
    /// The epoch of the counter, as the sender knows it. Any other counter rejects the request.
    #[n(2)]
    pub counter_epoch: Epoch,
    /// The allowance that the sender has at present.
    #[n(3)]
    pub held: ShardAllowance,
    /// The tokens that it needs beyond that.
    #[n(4)]
    pub tokens: u64,
    /// The tenant, if the account has one.
    #[n(5)]
    pub tenant: Option<String>,
}

impl AcquireAllowance {
    /// The account whose counter is asked.
    pub fn account(&self) -> QuotaAccount {
        QuotaAccount {
            route: self.route.clone(),
            tenant: self.tenant.clone(),
        }
    }
}

/// The allowance of one shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ShardAllowance {
    /// The shard.
    #[n(0)]
    pub shard: u32,
    /// The epoch of its primary.
    #[n(1)]
    pub epoch: Epoch,
    /// See [`self`].
    #[n(2)]
    pub generation: u64,
    /// The tokens that may be queued in the shard.
    #[n(3)]
    pub tokens: u64,
}

/// Request of an account's counter to the primaries of shards: they give up what they don't use.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RecallAllowances {
    /// The route.
    #[n(0)]
    pub route: String,
    /// The epoch of the counter. Allowances of earlier ones are not taken any more.
    #[n(1)]
    pub counter_epoch: Epoch,
    /// The shards that the receiver is thought to lead.
    #[n(2)]
    pub shards: Vec<u32>,
    /// The tenant, if the account has one.
    #[n(3)]
    pub tenant: Option<String>,
}

impl RecallAllowances {
    /// The account whose counter recalls.
    pub fn account(&self) -> QuotaAccount {
        QuotaAccount {
            route: self.route.clone(),
            tenant: self.tenant.clone(),
        }
    }
}
