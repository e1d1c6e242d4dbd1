//! How entries lie in the file: each in parts of equal length that share pages well. A value longer than a page takes
//! the next power of two of it, up to 2.4 times its bytes (measured); parts of 1000 bytes at most take 1.1 to 1.3 times.

use bytes::{Bytes, BytesMut};
use mintlb_batch::entry::Entry;
use mintlb_batch::framing;
use mintlb_batch::replica::DiskWrite;
use redb::{
    Database, ReadableDatabase, ReadableTable, StorageError, Table, TableDefinition, TableError,
};

/// Parts of entries by shard, index and place.
pub(super) const PARTS: TableDefinition<PartKey, &[u8]> = TableDefinition::new("parts");
/// Whole entries by shard and index, as files of the first version hold them.
const WHOLE: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("entries");
/// The most bytes of a part.
const MOST_BYTES: usize = 1000;

type PartKey = (u32, u64, u16);
type Parts<'a> = Table<'a, PartKey, &'static [u8]>;

/// Carries out a change of a shard's entries.
pub(super) fn apply(parts: &mut Parts, shard: u32, write: &DiskWrite) -> Result<(), StorageError> {
    match write {
        DiskWrite::Put(index, bytes) => put(parts, shard, *index, bytes)?,
        DiskWrite::Truncate(last) => remove(parts, shard, last + 1, u64::MAX)?,
        DiskWrite::Clear => remove(parts, shard, 0, u64::MAX)?,
        DiskWrite::Remove(indexes) => {
            for index in indexes {
                remove(parts, shard, *index, *index)?;
            }
        }
        DiskWrite::Strip(indexes) => {
            for index in indexes {
                if let Some(head) = read(parts, shard, *index)?.and_then(head_of) {
                    put(parts, shard, *index, &head)?;
                }
            }
        }
        DiskWrite::Meta(_) => (),
    }
    Ok(())
}

fn put(parts: &mut Parts, shard: u32, index: u64, bytes: &[u8]) -> Result<(), StorageError> {
    if parts.get((shard, index, 0))?.is_some() {
        remove(parts, shard, index, index)?;
    }
    let count = bytes.len().div_ceil(MOST_BYTES).max(1);
    for (place, part) in bytes.chunks(bytes.len().div_ceil(count).max(1)).enumerate() {
        parts.insert((shard, index, place as u16), part)?;
    }
    Ok(())
}

fn remove(parts: &mut Parts, shard: u32, first: u64, last: u64) -> Result<(), StorageError> {
    parts.retain_in((shard, first, 0)..=(shard, last, u16::MAX), |_, _| false)
}

/// A whole entry, if it is there.
pub(super) fn read(
    parts: &impl ReadableTable<PartKey, &'static [u8]>,
    shard: u32,
    index: u64,
) -> Result<Option<Bytes>, StorageError> {
    let mut entry = BytesMut::new();
    for part in parts.range((shard, index, 0)..=(shard, index, u16::MAX))? {
        entry.extend_from_slice(part?.1.value());
    }
    Ok((!entry.is_empty()).then(|| entry.freeze()))
}

/// All entries in order, by shard and index.
pub(super) fn read_all<E: From<StorageError>>(
    parts: &impl ReadableTable<PartKey, &'static [u8]>,
    mut each: impl FnMut(u32, u64, &[u8]) -> Result<(), E>,
) -> Result<(), E> {
    let mut entry: Vec<u8> = Vec::new();
    let mut current = None;
    for part in parts.iter()? {
        let (key, bytes) = part?;
        let (shard, index, _) = key.value();
        if let Some((shard, index)) = current
            .replace((shard, index))
            .filter(|last| *last != (shard, index))
        {
            each(shard, index, &entry)?;
            entry.clear();
        }
        entry.extend_from_slice(bytes.value());
    }
    match current {
        Some((shard, index)) => each(shard, index, &entry),
        None => Ok(()),
    }
}

/// Brings a file of the first version to the one of now, all at once.
pub(super) fn convert(database: &Database) -> Result<(), redb::Error> {
    match database.begin_read()?.open_table(WHOLE) {
        Ok(_) => (),
        Err(TableError::TableDoesNotExist(_)) => return Ok(()),
        Err(error) => return Err(error.into()),
    }
    let transaction = database.begin_write()?;
    {
        let whole = transaction.open_table(WHOLE)?;
        let mut parts = transaction.open_table(PARTS)?;
        for row in whole.iter()? {
            let (key, bytes) = row?;
            let (shard, index) = key.value();
            put(&mut parts, shard, index, bytes.value())?;
        }
    }
    transaction.delete_table(WHOLE)?;
    Ok(transaction.commit()?)
}

fn head_of(bytes: Bytes) -> Option<Bytes> {
    let (_, end) = framing::decode_head::<Entry>(&bytes)?;
    Some(bytes.slice(..end))
}
