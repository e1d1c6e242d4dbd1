//! The store's file: how it is created, opened, read at the start and quarantined.

use super::chunked_entries;
use super::error::{DiskError, FileDamage, FileUnavailable};
use super::loaded_shards::{LoadedShard, LoadedShards};
use super::tables::{ENTRY_CHUNKS, IDENTITY, SHARD_META, STORE};
use mintlb_batch::entry::Entry;
use mintlb_batch::framing;
use mintlb_batch::replica::LoadedEntry;
use mintlb_common::placement::StoreId;
use redb::{Database, DatabaseError, ReadTransaction, ReadableDatabase, ReadableTable};
use std::fs::File;
use std::io::ErrorKind;
use std::path::Path;
use std::sync::Arc;

/// Name of the file in the data directory.
pub const FILE_NAME: &str = "lots.redb";
/// Name of the file while it is being created.
const TEMPORARY_FILE: &str = "lots.redb.new";
/// Name of a damaged file, retained for inspection.
pub const QUARANTINED_FILE: &str = "lots.redb.unreadable";
/// Bytes of the file that redb caches in memory.
pub const CACHE_BYTES: usize = 2 << 20;

/// Opens the database at a path, or creates it there.
pub type DatabaseOpener = Arc<dyn Fn(&Path) -> Result<Database, DatabaseError> + Send + Sync>;

/// An open file with its contents.
pub(super) struct OpenedFile {
    pub database: Database,
    pub id: StoreId,
    pub shards: LoadedShards,
}

/// The opener that is used outside tests.
pub(super) fn default_opener() -> DatabaseOpener {
    Arc::new(|path| Database::builder().set_cache_size(CACHE_BYTES).create(path))
}

/// Creates the file under another name and renames it once it is complete: a file with the right
/// name is never one that a crash left half-written.
pub(super) fn create(
    open: &DatabaseOpener,
    directory: &Path,
    id: StoreId,
) -> Result<OpenedFile, DiskError> {
    let io_error = |cause| DiskError::from_io(directory, cause);
    std::fs::create_dir_all(directory).map_err(io_error)?;
    let temporary = directory.join(TEMPORARY_FILE);
    if temporary.exists() {
        std::fs::remove_file(&temporary).map_err(io_error)?;
    }
    initialize(open, &temporary, id).map_err(DiskError::from_redb)?;
    let path = directory.join(FILE_NAME);
    std::fs::rename(&temporary, &path).map_err(io_error)?;
    File::open(directory)
        .and_then(|directory| directory.sync_all())
        .map_err(io_error)?;
    open_existing(open, &path)?.ok_or_else(|| FileUnavailable::NewFileRemoved.into())
}

fn initialize(open: &DatabaseOpener, path: &Path, id: StoreId) -> Result<(), redb::Error> {
    let database = open(path)?;
    let transaction = database.begin_write()?;
    {
        transaction.open_table(ENTRY_CHUNKS)?;
        transaction.open_table(SHARD_META)?;
        transaction.open_table(STORE)?.insert(IDENTITY, id.0)?;
    }
    Ok(transaction.commit()?)
}

/// Renames a damaged file to [`QUARANTINED_FILE`].
pub(super) fn quarantine(directory: &Path) -> Result<(), DiskError> {
    std::fs::rename(directory.join(FILE_NAME), directory.join(QUARANTINED_FILE))
        .map_err(|cause| DiskError::from_io(directory, cause))
}

/// Opens and reads the file; `None` if there is none.
pub(super) fn open_existing(
    open: &DatabaseOpener,
    path: &Path,
) -> Result<Option<OpenedFile>, DiskError> {
    match std::fs::metadata(path) {
        Ok(metadata) if metadata.len() == 0 => return Err(FileDamage::Empty.into()),
        Ok(_) => (),
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(DiskError::from_io(path, error)),
    }
    let database = open(path).map_err(DiskError::from_redb)?;
    chunked_entries::migrate_legacy_entries(&database).map_err(DiskError::from_redb)?;
    let transaction = database.begin_read().map_err(DiskError::from_redb)?;
    let id = read_identity(&transaction)
        .map_err(DiskError::from_redb)?
        .ok_or(FileDamage::NoIdentity)?;
    let shards = read_shards(&transaction)?;
    drop(transaction);
    Ok(Some(OpenedFile {
        database,
        id,
        shards,
    }))
}

fn read_identity(transaction: &ReadTransaction) -> Result<Option<StoreId>, redb::Error> {
    let table = transaction.open_table(STORE)?;
    Ok(table.get(IDENTITY)?.map(|id| StoreId(id.value())))
}

fn read_shards(transaction: &ReadTransaction) -> Result<LoadedShards, DiskError> {
    let mut shards = LoadedShards::new();
    let table = transaction
        .open_table(SHARD_META)
        .map_err(DiskError::from_redb)?;
    for row in table.iter()? {
        let (shard, meta) = row?;
        let meta = minicbor::decode(meta.value()).map_err(FileDamage::ShardMeta)?;
        shards.entry(shard.value()).or_default().meta = meta;
    }
    let table = transaction
        .open_table(ENTRY_CHUNKS)
        .map_err(DiskError::from_redb)?;
    chunked_entries::read_all(&table, |shard, index, bytes| {
        let (entry, header_bytes) =
            framing::decode_head::<Entry>(bytes).ok_or(FileDamage::Entry { shard, index })?;
        let loaded: &mut LoadedShard = shards.entry(shard).or_default();
        let raw_bytes = bytes.len() - header_bytes;
        loaded.entries.push(LoadedEntry {
            index,
            entry,
            length: bytes.len() as u64,
            raw_length: raw_bytes as u64,
        });
        Ok::<(), DiskError>(())
    })?;
    Ok(shards)
}
