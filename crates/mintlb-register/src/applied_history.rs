//! Which configurations were taken before the current one: an order that comes again is acknowledged by that, for the
//! last [`MAX_ENTRIES`] of them. Of an older one nothing is claimed.

use minicbor::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// Configurations that are remembered, not counting the current one. Each takes [`DIGEST_BYTES`] and one to ten bytes
/// for the distance of its version from the one before, so about 70 kB in all; the register's value is written and sent
/// whole with each change.
pub const MAX_ENTRIES: usize = 4096;
/// Bytes of a text's SHA-256 that are kept: no two texts that agree in them can be found.
pub const DIGEST_BYTES: usize = 16;
/// Low bits of one byte of an encoded number; the highest bit says that more follow.
const NUMBER_BITS: u32 = 7;

/// What is remembered of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryLookup {
    /// This very configuration was taken.
    Applied,
    /// It was not.
    NotApplied,
    /// It may have been, too long ago to tell.
    Compacted,
}

/// The configurations that others have followed, by version and digest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct AppliedHistory {
    /// Of versions up to this one nothing is known.
    #[n(0)]
    forgotten: u64,
    /// The entries in the order of versions, each the distance from the version before and the digest.
    #[cbor(n(1), with = "minicbor::bytes")]
    entries: Vec<u8>,
}

/// One configuration that was taken.
#[derive(Clone, Copy)]
struct Entry<'a> {
    version: u64,
    digest: &'a [u8],
    /// Where the next entry begins.
    end: usize,
}

impl AppliedHistory {
    /// A history that begins after this version.
    pub fn starting_after(forgotten: u64) -> AppliedHistory {
        AppliedHistory {
            forgotten,
            entries: Vec::new(),
        }
    }

    /// What is remembered of this text under this version.
    pub fn look_up(&self, version: u64, text: &[u8]) -> HistoryLookup {
        if version <= self.forgotten {
            return HistoryLookup::Compacted;
        }
        let mut read = 0;
        for entry in self.iter() {
            if entry.version == version {
                let same = entry.digest == digest(text);
                return if same {
                    HistoryLookup::Applied
                } else {
                    HistoryLookup::NotApplied
                };
            }
            read = entry.end;
        }
        if read == self.entries.len() {
            HistoryLookup::NotApplied
        } else {
            HistoryLookup::Compacted
        }
    }

    /// Adds a configuration that is no longer current. Its version is above all others.
    pub fn push(&mut self, version: u64, text: &[u8]) {
        let before = self
            .iter()
            .last()
            .map_or(self.forgotten, |entry| entry.version);
        push_number(&mut self.entries, version.saturating_sub(before));
        self.entries.extend_from_slice(&digest(text));
        if self.len() > MAX_ENTRIES {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.iter().next().map(|entry| (entry.version, entry.end));
        if let Some((version, end)) = oldest {
            self.forgotten = version;
            self.entries.drain(..end);
        }
    }

    /// How many configurations are remembered.
    pub fn len(&self) -> usize {
        self.iter().count()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn iter(&self) -> impl Iterator<Item = Entry<'_>> {
        let (mut version, mut at) = (self.forgotten, 0);
        std::iter::from_fn(move || {
            let (distance, digest_at) = read_number(&self.entries, at)?;
            version = version.checked_add(distance)?;
            at = digest_at.checked_add(DIGEST_BYTES)?;
            Some(Entry {
                version,
                digest: self.entries.get(digest_at..at)?,
                end: at,
            })
        })
    }
}

fn digest(text: &[u8]) -> [u8; DIGEST_BYTES] {
    let whole = Sha256::digest(text);
    std::array::from_fn(|i| whole[i])
}

/// Appends a number, the lowest bits first.
fn push_number(bytes: &mut Vec<u8>, mut number: u64) {
    loop {
        let low = (number & 0x7f) as u8;
        number >>= NUMBER_BITS;
        if number == 0 {
            return bytes.push(low);
        }
        bytes.push(low | 0x80);
    }
}

/// The number that begins at this place, and where it ends.
fn read_number(bytes: &[u8], at: usize) -> Option<(u64, usize)> {
    let mut number = 0;
    for (place, byte) in bytes.get(at..)?.iter().enumerate() {
        let shift = NUMBER_BITS * u32::try_from(place).ok()?;
        number |= u64::from(byte & 0x7f).checked_shl(shift)?;
        if byte & 0x80 == 0 {
            return Some((number, at + place + 1));
        }
    }
    None
}
