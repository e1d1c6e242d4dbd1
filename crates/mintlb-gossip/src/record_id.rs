//! Record identifiers: a stable 64-bit hash of the record's key.

use minicbor::{Decode, Encode};

/// Identifies a record in digests, announcements and requests, in place of its key.
///
/// The hash (FNV-1a, finished with a step of SplitMix64) is the same in every build, because
/// processes of different builds exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct RecordId(#[n(0)] u64);

impl RecordId {
    /// The identifier with this number.
    pub const fn new(number: u64) -> RecordId {
        RecordId(number)
    }

    /// The identifier of the record with this key.
    pub fn of_key(key: &str) -> RecordId {
        const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const FNV_PRIME: u64 = 0x0100_0000_01b3;
        let hash = key.bytes().fold(FNV_OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
        RecordId(mix64(hash))
    }

    /// The identifier as a number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// A bijection that spreads every input bit over all output bits: one step of SplitMix64 (Steele,
/// Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
pub(crate) const fn mix64(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
