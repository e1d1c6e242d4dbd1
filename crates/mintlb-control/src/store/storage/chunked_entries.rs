//! Layout of log entries in the file: each entry is cut into chunks of equal length that share
//! pages well. redb gives a value longer than a page the next power of two, up to 2.4 times its
//! bytes (measured); chunks of at most 1000 bytes take 1.1 to 1.3 times their bytes.

use super::tables::{ChunkKey, ENTRY_CHUNKS, LEGACY_ENTRIES};
use bytes::{Bytes, BytesMut};
use mintlb_batch::entry::Entry;
use mintlb_batch::framing;
use mintlb_batch::replica::DiskWrite;
use redb::{Database, ReadableDatabase, ReadableTable, StorageError, Table, TableError};

/// Bytes of a chunk at most.
const MAX_CHUNK_BYTES: usize = 1000;

type ChunkTable<'a> = Table<'a, ChunkKey, &'static [u8]>;

/// Applies a write to a shard's entries. Meta data lies in another table and is ignored here.
pub(super) fn apply(
    table: &mut ChunkTable,
    shard: u32,
    write: &DiskWrite,
) -> Result<(), StorageError> {
    match write {
        DiskWrite::Put(index, bytes) => put(table, shard, *index, bytes)?,
        DiskWrite::Truncate(last) => remove(table, shard, last + 1, u64::MAX)?,
        DiskWrite::Clear => remove(table, shard, 0, u64::MAX)?,
        DiskWrite::Remove(indexes) => {
            for index in indexes {
                remove(table, shard, *index, *index)?;
            }
        }
        DiskWrite::Strip(indexes) => {
            for index in indexes {
                if let Some(header) = read(table, shard, *index)?.and_then(header_of) {
                    put(table, shard, *index, &header)?;
                }
            }
        }
        DiskWrite::Meta(_) => (),
    }
    Ok(())
}

fn put(table: &mut ChunkTable, shard: u32, index: u64, bytes: &[u8]) -> Result<(), StorageError> {
    if table.get((shard, index, 0))?.is_some() {
        remove(table, shard, index, index)?;
    }
    let chunk_count = bytes.len().div_ceil(MAX_CHUNK_BYTES).max(1);
    let chunk_bytes = bytes.len().div_ceil(chunk_count).max(1);
    for (number, chunk) in bytes.chunks(chunk_bytes).enumerate() {
        table.insert((shard, index, number as u16), chunk)?;
    }
    Ok(())
}

fn remove(table: &mut ChunkTable, shard: u32, first: u64, last: u64) -> Result<(), StorageError> {
    table.retain_in((shard, first, 0)..=(shard, last, u16::MAX), |_, _| false)
}

/// Joins the chunks of an entry; `None` if there is no such entry.
pub(super) fn read(
    table: &impl ReadableTable<ChunkKey, &'static [u8]>,
    shard: u32,
    index: u64,
) -> Result<Option<Bytes>, StorageError> {
    let mut entry = BytesMut::new();
    for chunk in table.range((shard, index, 0)..=(shard, index, u16::MAX))? {
        entry.extend_from_slice(chunk?.1.value());
    }
    Ok((!entry.is_empty()).then(|| entry.freeze()))
}

/// Calls `each` with every entry's shard, index and bytes, ordered by shard and index.
pub(super) fn read_all<E: From<StorageError>>(
    table: &impl ReadableTable<ChunkKey, &'static [u8]>,
    mut each: impl FnMut(u32, u64, &[u8]) -> Result<(), E>,
) -> Result<(), E> {
    let mut entry: Vec<u8> = Vec::new();
    let mut current = None;
    for row in table.iter()? {
        let (key, chunk) = row?;
        let (shard, index, _) = key.value();
        let previous = current.replace((shard, index));
        if let Some((shard, index)) = previous.filter(|last| *last != (shard, index)) {
            each(shard, index, &entry)?;
            entry.clear();
        }
        entry.extend_from_slice(chunk.value());
    }
    match current {
        Some((shard, index)) => each(shard, index, &entry),
        None => Ok(()),
    }
}

/// Converts a file of the first version in one transaction. Does nothing to a newer file.
pub(super) fn migrate_legacy_entries(database: &Database) -> Result<(), redb::Error> {
    match database.begin_read()?.open_table(LEGACY_ENTRIES) {
        Ok(_) => (),
        Err(TableError::TableDoesNotExist(_)) => return Ok(()),
        Err(error) => return Err(error.into()),
    }
    let transaction = database.begin_write()?;
    {
        let legacy = transaction.open_table(LEGACY_ENTRIES)?;
        let mut table = transaction.open_table(ENTRY_CHUNKS)?;
        for row in legacy.iter()? {
            let (key, bytes) = row?;
            let (shard, index) = key.value();
            put(&mut table, shard, index, bytes.value())?;
        }
    }
    transaction.delete_table(LEGACY_ENTRIES)?;
    Ok(transaction.commit()?)
}

fn header_of(entry: Bytes) -> Option<Bytes> {
    let (_, end) = framing::decode_head::<Entry>(&entry)?;
    Some(entry.slice(..end))
}
