//! The messages between members of a fleet, and their encoding as datagrams of bounded size.
//!
//! postcard writes no names, so the encoding depends only on the order of fields and variants.

use serde::{Deserialize, Serialize};

/// Identifies a member: a hash of its name, the same in every process whatever else its settings contain.
pub type MemberId = u64;

/// The FNV-1a hash of a name, used as the id of a member or fleet and as the key of a budget. All processes compute the
/// same value without having to exchange it.
pub fn name_id(name: &str) -> MemberId {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}

/// A coordinator's term. Later terms compare greater; terms are unique, as no two incarnations of a process are the
/// same.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term {
    pub number: u64,
    /// The coordinator; 0 in the default term, when none is known.
    pub member: MemberId,
    pub incarnation: u64,
}

/// An amount of a budget, in thousandths of a token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Amount {
    /// Thousandths of a token per second.
    pub rate_milli: u32,
    /// Thousandths of a token that may be spent at once.
    pub burst_milli: u32,
}

/// One token in the unit of [`Amount`].
pub const ONE_TOKEN_MILLI: u32 = 1000;

impl Amount {
    pub const NONE: Amount = Amount {
        rate_milli: 0,
        burst_milli: 0,
    };

    fn combine(self, other: Amount, operation: impl Fn(u32, u32) -> u32) -> Amount {
        Amount {
            rate_milli: operation(self.rate_milli, other.rate_milli),
            burst_milli: operation(self.burst_milli, other.burst_milli),
        }
    }
    pub fn max(self, other: Amount) -> Amount {
        self.combine(other, u32::max)
    }
    pub fn min(self, other: Amount) -> Amount {
        self.combine(other, u32::min)
    }
    pub fn saturating_add(self, other: Amount) -> Amount {
        self.combine(other, u32::saturating_add)
    }
    pub fn saturating_sub(self, other: Amount) -> Amount {
        self.combine(other, u32::saturating_sub)
    }
    /// Whether neither the rate nor the burst exceeds that of `limit`.
    pub fn is_within(self, limit: Amount) -> bool {
        self.rate_milli <= limit.rate_milli && self.burst_milli <= limit.burst_milli
    }
}

/// Amounts with the keys of their budgets.
pub type Amounts = Vec<(u64, Amount)>;

/// The amount of one budget; [`Amount::NONE`] if it is not in the list.
pub fn amount_of(amounts: &[(u64, Amount)], key: u64) -> Amount {
    amounts
        .iter()
        .find(|(known, _)| *known == key)
        .map_or(Amount::NONE, |(_, amount)| *amount)
}

/// What a member holds of a budget and what it would use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetDemand {
    pub key: u64,
    pub held: Amount,
    /// Thousandths of a token per second; the whole budget if any spend was refused.
    pub demand_milli: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A voter asks for votes to become the coordinator in this term, or to remain it.
    VoteRequest {
        term: Term,
        number: u64,
        is_coordinator: bool,
    },
    /// The response to the request of this term and number, and so of the term's incarnation.
    VoteResponse {
        term: Term,
        number: u64,
        granted: bool,
        /// How long the voter has surely not been the coordinator, in milliseconds.
        idle_ms: u32,
        /// The latest term that the voter knows.
        latest_term: Term,
    },
    /// Gives back the votes for requests up to this number.
    ReleaseVote { number: u64 },
    /// What a member holds and would use. It has accepted the grants of this term up to number `accepted`, and will
    /// accept no earlier one.
    ShareRequest {
        term: Term,
        number: u64,
        accepted: u64,
        demands: Vec<BudgetDemand>,
    },
    /// What this incarnation of the member may hold, for a lease that begins when it sent the request of this number.
    ShareGrant {
        term: Term,
        incarnation: u64,
        number: u64,
        amounts: Amounts,
    },
    /// Names the coordinator that the sender knows.
    CoordinatorHint { term: Term },
    /// The sender's incarnation holds nothing and will accept no grant.
    Leave,
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Datagram {
    /// The id of the fleet's name.
    pub fleet: u64,
    pub from: MemberId,
    /// The sender's incarnation.
    pub incarnation: u64,
    pub to: MemberId,
    pub message: Message,
}

/// The largest size of a datagram, so that none is fragmented or truncated on its way.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The largest number of budgets, so that a message about all of them fits into one datagram.
pub const MAX_BUDGETS: usize = 16;
/// The first byte of every datagram.
const MAGIC_BYTE: u8 = 0x6d;

impl Datagram {
    /// The encoded datagram; `None` if it would be longer than [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![MAGIC_BYTE]).ok()?;
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Decodes a datagram; `None` if it is too long, begins with another byte, is truncated, has bytes left over, or
    /// names too many budgets.
    pub fn decode(bytes: &[u8]) -> Option<Datagram> {
        let (first, rest) = bytes
            .split_first()
            .filter(|_| bytes.len() <= MAX_DATAGRAM_BYTES)?;
        let (datagram, left) = postcard::take_from_bytes::<Datagram>(rest).ok()?;
        let fits = match &datagram.message {
            Message::ShareRequest { demands, .. } => demands.len() <= MAX_BUDGETS,
            Message::ShareGrant { amounts, .. } => amounts.len() <= MAX_BUDGETS,
            _ => true,
        };
        (*first == MAGIC_BYTE && left.is_empty() && fits).then_some(datagram)
    }
}
