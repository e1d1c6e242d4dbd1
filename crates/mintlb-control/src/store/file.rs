//! The lots' file: how it is made, opened and read, and what a failure says of it.

use super::chunked_entries::{self, ENTRY_CHUNKS};
use super::disk::{LoadedShard, LoadedShards};
use mintlb_batch::entry::Entry;
use mintlb_batch::framing;
use mintlb_common::placement::StoreId;
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use std::io::ErrorKind;
use std::path::Path;
use std::sync::Arc;

/// The file in the data directory.
pub const FILE_NAME: &str = "lots.redb";
/// The file while it is being made.
const TEMPORARY_FILE: &str = "lots.redb.new";
/// A file that could not be read, kept for whoever looks into it.
pub const QUARANTINED_FILE: &str = "lots.redb.unreadable";
/// Bytes of the file kept in memory.
pub const CACHE_BYTES: usize = 2 << 20;

/// Meta data by shard.
pub(super) const SHARD_META: TableDefinition<u32, &[u8]> = TableDefinition::new("shards");
/// Bytes that only show that the disk takes some.
pub(super) const PROBE: TableDefinition<(), &[u8]> = TableDefinition::new("probe");
/// The store's identity, under [`IDENTITY`].
const STORE_TABLE: TableDefinition<&str, u64> = TableDefinition::new("store");
const IDENTITY: &str = "identity";

/// Opens the database at a path, or makes it there.
pub type DatabaseOpener = Arc<dyn Fn(&Path) -> Result<Database, DatabaseError> + Send + Sync>;

/// Why the lots' file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// What the file holds is not what was written.
    #[error("{0}")]
    Damaged(String),
    /// The disk does not take or give bytes now, as it is full or broken. The file itself may be whole.
    #[error("{0}")]
    Unavailable(String),
    /// The folder is none, or may not be used.
    #[error("{0}")]
    Directory(String),
}

/// A file that was opened, with what it holds.
pub(super) struct OpenedFile {
    pub database: Database,
    pub id: StoreId,
    pub shards: LoadedShards,
}

/// How files are opened outside tests.
pub(super) fn default_opener() -> DatabaseOpener {
    Arc::new(|path| Database::builder().set_cache_size(CACHE_BYTES).create(path))
}

/// Whether a failure is the file's or the disk's: only a file that is damaged itself may ever be put aside.
pub(super) fn disk_error(cause: impl Into<redb::Error>) -> DiskError {
    use redb::Error;
    let cause = cause.into();
    let text = cause.to_string();
    match cause {
        Error::Corrupted(_)
        | Error::TableDoesNotExist(_)
        | Error::TableTypeMismatch { .. }
        | Error::TypeDefinitionChanged { .. } => DiskError::Damaged(text),
        Error::Io(error)
            if matches!(
                error.kind(),
                ErrorKind::InvalidData | ErrorKind::UnexpectedEof
            ) =>
        {
            DiskError::Damaged(text)
        }
        _ => DiskError::Unavailable(text),
    }
}

impl From<redb::StorageError> for DiskError {
    fn from(error: redb::StorageError) -> DiskError {
        disk_error(error)
    }
}

fn refused(directory: &Path, cause: std::io::Error) -> DiskError {
    let text = format!("{}: {cause}", directory.display());
    match cause.kind() {
        ErrorKind::PermissionDenied | ErrorKind::NotADirectory | ErrorKind::AlreadyExists => {
            DiskError::Directory(text)
        }
        _ => DiskError::Unavailable(text),
    }
}

/// Makes the file under another name first, so that a file with the right name is whole.
pub(super) fn create(
    open: &DatabaseOpener,
    directory: &Path,
    id: StoreId,
) -> Result<OpenedFile, DiskError> {
    let refused = |cause| refused(directory, cause);
    std::fs::create_dir_all(directory).map_err(refused)?;
    let unfinished = directory.join(TEMPORARY_FILE);
    if unfinished.exists() {
        std::fs::remove_file(&unfinished).map_err(refused)?;
    }
    {
        let new = open(&unfinished).map_err(disk_error)?;
        let transaction = new.begin_write().map_err(disk_error)?;
        {
            transaction.open_table(ENTRY_CHUNKS).map_err(disk_error)?;
            transaction.open_table(SHARD_META).map_err(disk_error)?;
            let mut store = transaction.open_table(STORE_TABLE).map_err(disk_error)?;
            store.insert(IDENTITY, id).map_err(disk_error)?;
        }
        transaction.commit().map_err(disk_error)?;
    }
    let path = directory.join(FILE_NAME);
    std::fs::rename(&unfinished, &path).map_err(refused)?;
    std::fs::File::open(directory)
        .and_then(|folder| folder.sync_all())
        .map_err(refused)?;
    open_existing(open, &path)?
        .ok_or_else(|| DiskError::Unavailable("the new file is gone".to_string()))
}

/// Gives a damaged file another name.
pub(super) fn quarantine(directory: &Path) -> Result<(), DiskError> {
    std::fs::rename(directory.join(FILE_NAME), directory.join(QUARANTINED_FILE))
        .map_err(|cause| refused(directory, cause))
}

/// Opens and reads the file, if there is one.
pub(super) fn open_existing(
    open: &DatabaseOpener,
    path: &Path,
) -> Result<Option<OpenedFile>, DiskError> {
    match std::fs::metadata(path) {
        Ok(meta) if meta.len() == 0 => return Err(DiskError::Damaged("it is empty".to_string())),
        Ok(_) => (),
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(refused(path, error)),
    }
    let database = open(path).map_err(disk_error)?;
    chunked_entries::migrate_legacy_entries(&database).map_err(disk_error)?;
    let transaction = database.begin_read().map_err(disk_error)?;
    let store = transaction.open_table(STORE_TABLE).map_err(disk_error)?;
    let id = store
        .get(IDENTITY)
        .map_err(disk_error)?
        .map(|id| id.value());
    let id = id.ok_or_else(|| DiskError::Damaged("there is no identity in it".to_string()))?;
    let shards = read_shards(&transaction)?;
    drop((store, transaction));
    Ok(Some(OpenedFile {
        database,
        id,
        shards,
    }))
}

fn read_shards(transaction: &redb::ReadTransaction) -> Result<LoadedShards, DiskError> {
    let mut shards = LoadedShards::new();
    let metas = transaction.open_table(SHARD_META).map_err(disk_error)?;
    for row in metas.iter().map_err(disk_error)? {
        let (shard, meta) = row.map_err(disk_error)?;
        let meta = minicbor::decode(meta.value())
            .map_err(|error| DiskError::Damaged(error.to_string()))?;
        shards.entry(shard.value()).or_default().meta = meta;
    }
    let entries = transaction.open_table(ENTRY_CHUNKS).map_err(disk_error)?;
    chunked_entries::read_all(&entries, |shard, index, bytes| {
        let Some((entry, end)) = framing::decode_head::<Entry>(bytes) else {
            return Err(DiskError::Damaged(format!(
                "entry {index} of shard {shard} can't be read"
            )));
        };
        let loaded: &mut LoadedShard = shards.entry(shard).or_default();
        loaded
            .entries
            .push((index, entry, bytes.len() as u64, (bytes.len() - end) as u64));
        Ok(())
    })?;
    Ok(shards)
}
