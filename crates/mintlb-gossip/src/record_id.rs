//! Record identifiers: a stable 64-bit hash of the record's key.

use minicbor::{Decode, Encode};
use mintlb_common::mix64::mix64;

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
