//! Configurations that were applied before the current one.
//!
//! An operator whose call got no answer sends the same configuration again. The history tells that it was applied, also
//! when other configurations have followed. It is bounded: of the versions before its last [`MAX_ENTRIES`] entries it
//! claims nothing.

use crate::varint;
use minicbor::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// Configurations in a history at most. Each takes [`DIGEST_BYTES`] and one to ten bytes for its version, about 70 kB
/// in all. This bounds what each change writes and sends, as the register's value is written as a whole.
pub const MAX_ENTRIES: usize = 4096;
/// Bytes of a configuration's SHA-256 that are stored; enough that nobody finds two configurations with the same ones.
pub const DIGEST_BYTES: usize = 16;

/// What is known of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryLookup {
    /// It was applied.
    Applied,
    /// It was not applied.
    NotApplied,
    /// Its version is older than the history: it may have been applied or not.
    Compacted,
}

/// Versions and digests of the configurations that others have followed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct AppliedHistory {
    /// Nothing is known of versions up to this one.
    #[n(0)]
    compacted_through: u64,
    /// The entries by rising version. Each is the difference to the version before, as LEB128, and the digest.
    #[cbor(n(1), with = "minicbor::bytes")]
    entries: Vec<u8>,
}

/// One decoded entry.
#[derive(Clone, Copy)]
struct Entry<'a> {
    version: u64,
    digest: &'a [u8],
    /// Offset of the next entry.
    end: usize,
}

impl AppliedHistory {
    /// An empty history that claims nothing of versions up to `version`.
    pub fn starting_after(version: u64) -> AppliedHistory {
        AppliedHistory {
            compacted_through: version,
            entries: Vec::new(),
        }
    }

    /// Whether the configuration with this version and text was applied.
    pub fn lookup(&self, version: u64, text: &[u8]) -> HistoryLookup {
        if version <= self.compacted_through {
            return HistoryLookup::Compacted;
        }
        let mut end = 0;
        for entry in self.iter() {
            if entry.version == version {
                return entry.lookup(text);
            }
            end = entry.end;
        }
        let is_fully_decoded = end == self.entries.len();
        if is_fully_decoded {
            HistoryLookup::NotApplied
        } else {
            HistoryLookup::Compacted
        }
    }

    /// Appends a configuration that is no longer in force. Its version has to be above those of all entries.
    pub fn push(&mut self, version: u64, text: &[u8]) {
        let last_version = self
            .iter()
            .last()
            .map_or(self.compacted_through, |entry| entry.version);
        varint::encode(&mut self.entries, version.saturating_sub(last_version));
        self.entries.extend_from_slice(&digest(text));
        if self.len() > MAX_ENTRIES {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let oldest = self.iter().next().map(|entry| (entry.version, entry.end));
        if let Some((version, end)) = oldest {
            self.compacted_through = version;
            self.entries.drain(..end);
        }
    }

    /// Number of configurations in the history.
    pub fn len(&self) -> usize {
        self.iter().count()
    }

    /// Whether the history has no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entries up to the first that can't be decoded.
    fn iter(&self) -> impl Iterator<Item = Entry<'_>> {
        let mut version = self.compacted_through;
        let mut start = 0;
        std::iter::from_fn(move || {
            let entry = self.entry_at(start, version)?;
            version = entry.version;
            start = entry.end;
            Some(entry)
        })
    }

    fn entry_at(&self, start: usize, previous_version: u64) -> Option<Entry<'_>> {
        let difference = varint::decode(&self.entries, start)?;
        let end = difference.end.checked_add(DIGEST_BYTES)?;
        Some(Entry {
            version: previous_version.checked_add(difference.value)?,
            digest: self.entries.get(difference.end..end)?,
            end,
        })
    }
}

impl Entry<'_> {
    fn lookup(&self, text: &[u8]) -> HistoryLookup {
        if self.digest == digest(text) {
            HistoryLookup::Applied
        } else {
            HistoryLookup::NotApplied
        }
    }
}

fn digest(text: &[u8]) -> [u8; DIGEST_BYTES] {
    let sha256 = Sha256::digest(text);
    std::array::from_fn(|index| sha256[index])
}
