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
pub(super) const ENTRY_CHUNKS: TableDefinition<ChunkKey, &[u8]> = TableDefinition::new("parts");
/// Whole entries by shard and index, as files of the first version hold them.
const LEGACY_ENTRIES: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("entries");
/// The most bytes of a part.
const MAX_CHUNK_BYTES: usize = 1000;

type ChunkKey = (u32, u64, u16);
type ChunkTable<'a> = Table<'a, ChunkKey, &'static [u8]>;

/// Carries out a change of a shard's entries.
pub(super) fn apply(
    chunks: &mut ChunkTable,
    shard: u32,
    write: &DiskWrite,
) -> Result<(), StorageError> {
    match write {
        DiskWrite::Put(index, bytes) => put(chunks, shard, *index, bytes)?,
        DiskWrite::Truncate(last) => remove(chunks, shard, last + 1, u64::MAX)?,
        DiskWrite::Clear => remove(chunks, shard, 0, u64::MAX)?,
        DiskWrite::Remove(indexes) => {
            for index in indexes {
                remove(chunks, shard, *index, *index)?;
            }
        }
        DiskWrite::Strip(indexes) => {
            for index in indexes {
                if let Some(head) = read(chunks, shard, *index)?.and_then(header_of) {
                    put(chunks, shard, *index, &head)?;
                }
            }
        }
        DiskWrite::Meta(_) => (),
    }
    Ok(())
}

fn put(chunks: &mut ChunkTable, shard: u32, index: u64, bytes: &[u8]) -> Result<(), StorageError> {
    if chunks.get((shard, index, 0))?.is_some() {
        remove(chunks, shard, index, index)?;
    }
    let count = bytes.len().div_ceil(MAX_CHUNK_BYTES).max(1);
    for (chunk_number, chunk) in bytes.chunks(bytes.len().div_ceil(count).max(1)).enumerate() {
        chunks.insert((shard, index, chunk_number as u16), chunk)?;
    }
    Ok(())
}

fn remove(chunks: &mut ChunkTable, shard: u32, first: u64, last: u64) -> Result<(), StorageError> {
    chunks.retain_in((shard, first, 0)..=(shard, last, u16::MAX), |_, _| false)
}

/// A whole entry, if it is there.
pub(super) fn read(
    chunks: &impl ReadableTable<ChunkKey, &'static [u8]>,
    shard: u32,
    index: u64,
) -> Result<Option<Bytes>, StorageError> {
    let mut entry = BytesMut::new();
    for chunk in chunks.range((shard, index, 0)..=(shard, index, u16::MAX))? {
        entry.extend_from_slice(chunk?.1.value());
    }
    Ok((!entry.is_empty()).then(|| entry.freeze()))
}

/// All entries in order, by shard and index.
pub(super) fn read_all<E: From<StorageError>>(
    chunks: &impl ReadableTable<ChunkKey, &'static [u8]>,
    mut each: impl FnMut(u32, u64, &[u8]) -> Result<(), E>,
) -> Result<(), E> {
    let mut entry: Vec<u8> = Vec::new();
    let mut current = None;
    for chunk in chunks.iter()? {
        let (key, bytes) = chunk?;
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
pub(super) fn migrate_legacy_entries(database: &Database) -> Result<(), redb::Error> {
    match database.begin_read()?.open_table(LEGACY_ENTRIES) {
        Ok(_) => (),
        Err(TableError::TableDoesNotExist(_)) => return Ok(()),
        Err(error) => return Err(error.into()),
    }
    let transaction = database.begin_write()?;
    {
        let legacy = transaction.open_table(LEGACY_ENTRIES)?;
        let mut chunks = transaction.open_table(ENTRY_CHUNKS)?;
        for row in legacy.iter()? {
            let (key, bytes) = row?;
            let (shard, index) = key.value();
            put(&mut chunks, shard, index, bytes.value())?;
        }
    }
    transaction.delete_table(LEGACY_ENTRIES)?;
    Ok(transaction.commit()?)
}

fn header_of(bytes: Bytes) -> Option<Bytes> {
    let (_, end) = framing::decode_head::<Entry>(&bytes)?;
    Some(bytes.slice(..end))
}
