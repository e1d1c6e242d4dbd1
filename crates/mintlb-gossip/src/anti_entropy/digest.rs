//! Digests of a table, and the differences between two of them.

use crate::message::{BucketVersions, Heartbeat, MAX_MESSAGE_BYTES};
use crate::table::{BUCKETS, BucketIndex, Table};

/// Estimated bytes of a version in a message.
const VERSION_BYTES: usize = 20;
/// How many versions a message lists.
pub(super) const MAX_LISTED_VERSIONS: usize = MAX_MESSAGE_BYTES / VERSION_BYTES;

/// Bytes of a bucket's hash in a heartbeat.
const BUCKET_HASH_BYTES: usize = size_of::<u32>();

/// How much of the table a heartbeat describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Detail {
    /// The hash of the whole table.
    Table,
    /// The hash of each bucket, too.
    Buckets,
}

/// A heartbeat with a digest of the table.
pub(super) fn heartbeat(table: &Table, detail: Detail) -> Heartbeat {
    let bucket_hashes: Vec<u8> = match detail {
        Detail::Table => Vec::new(),
        Detail::Buckets => BucketIndex::all()
            .flat_map(|bucket| table.bucket_hash(bucket).to_be_bytes())
            .collect(),
    };
    Heartbeat {
        table_hash: table.hash(),
        record_count: table.len() as u64,
        bucket_hashes: bucket_hashes.into(),
    }
}

/// The XOR of the hashes of each bucket at both sides; 0 where they are equal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct BucketDifferences(Vec<u32>);

impl BucketDifferences {
    /// The differences between the table and the bucket hashes of a heartbeat; none if it has no
    /// bucket hashes.
    pub(super) fn between(table: &Table, bucket_hashes: &[u8]) -> Option<BucketDifferences> {
        if bucket_hashes.len() != BUCKETS * BUCKET_HASH_BYTES {
            return None;
        }
        let (hashes, _) = bucket_hashes.as_chunks::<BUCKET_HASH_BYTES>();
        let differences = BucketIndex::all()
            .zip(hashes)
            .map(|(bucket, &hash)| u32::from_be_bytes(hash) ^ table.bucket_hash(bucket));
        Some(BucketDifferences(differences.collect()))
    }

    /// The difference of one bucket.
    pub(super) fn of(&self, bucket: BucketIndex) -> u32 {
        self.0[bucket.as_usize()]
    }
}

/// The versions in as many of the buckets as fit into a message, at least in the first.
pub(super) fn bucket_versions(table: &Table, buckets: &[BucketIndex]) -> BucketVersions {
    let (mut listed_buckets, mut versions) = (Vec::new(), Vec::new());
    for &bucket in buckets {
        let count = versions.len() + table.bucket_len(bucket);
        if !listed_buckets.is_empty() && count > MAX_LISTED_VERSIONS {
            break;
        }
        listed_buckets.push(bucket.number());
        versions.extend(table.versions(bucket));
    }
    BucketVersions {
        buckets: listed_buckets.into(),
        versions,
    }
}

/// The valid indexes among bytes of a message, in order.
pub(super) fn bucket_indexes(bytes: &[u8]) -> Vec<BucketIndex> {
    bytes
        .iter()
        .filter_map(|&number| BucketIndex::new(number))
        .collect()
}
