//! Messages of anti-entropy: digests of the tables of two neighbors, and the repair of differences.

use super::record::{RecordFrame, RecordVersion};
use crate::record_id::RecordId;
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

/// A keep-alive with a digest of the sender's table.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Heartbeat {
    /// The hash of the whole table.
    #[n(0)]
    pub table_hash: u64,
    /// The number of records in the table.
    #[n(1)]
    pub record_count: u64,
    /// The hashes of all buckets, 4 bytes each in big-endian order; empty if the tables seemed
    /// equal to the sender.
    #[n(2)]
    pub bucket_hashes: ByteVec,
}

/// The versions of all records in some buckets of the sender's table.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct BucketVersions {
    /// The indexes of the buckets, a byte each.
    #[n(0)]
    pub buckets: ByteVec,
    /// The versions of all records in these buckets.
    #[n(1)]
    pub versions: Vec<RecordVersion>,
}

/// Requests records that the sender lacks.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Fetch {
    /// The requested records.
    #[n(0)]
    pub ids: Vec<RecordId>,
}

/// Records that the receiver lacks.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Records {
    /// The records.
    #[n(0)]
    pub records: Vec<RecordFrame>,
    /// The indexes of buckets whose records did not all fit into the message, a byte each. The
    /// receiver sends its versions of these buckets again.
    #[n(1)]
    pub incomplete_buckets: ByteVec,
}
