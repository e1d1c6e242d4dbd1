//! The keys by which clients identify their tenant. Only their digests are kept: a key itself never
//! reaches a log, a message or a worker.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::fmt;

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 32;
/// Bytes of a digest that are shown, enough to tell two keys apart.
const SHOWN_BYTES: usize = 4;

/// The SHA-256 digest of a key. Keys are drawn at random, so that the digest needs no salt; and as
/// digests are compared, the time of a comparison tells nothing of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct ApiKeyDigest([u8; DIGEST_BYTES]);

impl ApiKeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> ApiKeyDigest {
        ApiKeyDigest(Sha256::digest(key).into())
    }
}

impl fmt::Display for ApiKeyDigest {
    /// The first bytes in hexadecimal.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..SHOWN_BYTES] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ApiKeyDigest({self})")
    }
}

impl Serialize for ApiKeyDigest {
    /// Writes what [`fmt::Display`] shows.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// The keys of a tenant, read from a list of strings and kept as digests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct ApiKeys(Vec<ApiKeyDigest>);

impl ApiKeys {
    /// The digests in the operator's order.
    pub fn iter(&self) -> impl Iterator<Item = &ApiKeyDigest> {
        self.0.iter()
    }
}

impl<'de> Deserialize<'de> for ApiKeys {
    /// An error does not quote a value, which may have been meant as a key.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ApiKeys, D::Error> {
        let digests = match Value::deserialize(deserializer)? {
            Value::Array(keys) => keys.iter().map(digest_of).collect(),
            _ => None,
        };
        digests
            .map(ApiKeys)
            .ok_or_else(|| D::Error::custom("has to be a list of strings"))
    }
}

fn digest_of(key: &Value) -> Option<ApiKeyDigest> {
    key.as_str().map(|key| ApiKeyDigest::of(key.as_bytes()))
}
