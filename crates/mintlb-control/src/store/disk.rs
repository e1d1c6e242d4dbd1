//! The lots on disk: one redb file, by its tables.
//!
//! After a failed commit redb takes nothing more until the file is opened again, and only that tells what the
//! disk holds: [`ShardStorage::close`], then [`ShardStorage::reopen`] until the disk takes bytes.

use super::chunked_entries::{self, ENTRY_CHUNKS};
use super::file::{self, DatabaseOpener, DiskError, PROBE, SHARD_META, disk_error};
use bytes::Bytes;
use mintlb_batch::entry::Entry;
use mintlb_batch::replica::{DiskWrite, ShardMeta};
use mintlb_common::placement::StoreId;
use parking_lot::RwLock;
use redb::{Database, ReadableDatabase};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Bytes that are written and synced when the file is opened again: a disk that is still full refuses them.
const PROBE_BYTES: usize = 64 << 10;

/// The file. Cheap to clone.
#[derive(Clone)]
pub struct ShardStorage {
    shared: Arc<Shared>,
}

struct Shared {
    /// None while the disk is given up after a failed commit.
    database: RwLock<Option<Database>>,
    open: DatabaseOpener,
    path: PathBuf,
    id: StoreId,
}

/// What the file holds, by shard.
pub type LoadedShards = BTreeMap<u32, LoadedShard>;

/// What a shard's part of the file holds.
#[derive(Default)]
pub struct LoadedShard {
    /// Its meta data.
    pub meta: ShardMeta,
    /// Its entries in order, each with its length and that of its raw part.
    pub entries: Vec<(u64, Entry, u64, u64)>,
}

impl ShardStorage {
    /// Opens the file, or makes it with a new identity. A file that is damaged is put aside: the store then
    /// begins anew, as one that has lost its disk. One that can't be read or written for another reason, as
    /// the disk is full, stays: [`DiskError::Unavailable`] says that it is to be tried again.
    pub fn open(
        directory: &Path,
        new_id: StoreId,
    ) -> Result<(ShardStorage, LoadedShards), DiskError> {
        ShardStorage::open_by(file::default_opener(), directory, new_id)
    }

    /// The same with another way to open a database at a path.
    pub fn open_by(
        open: DatabaseOpener,
        directory: &Path,
        new_id: StoreId,
    ) -> Result<(ShardStorage, LoadedShards), DiskError> {
        let path = directory.join(file::FILE_NAME);
        let loaded = match file::open_existing(&open, &path) {
            Ok(Some(loaded)) => loaded,
            Ok(None) => file::create(&open, directory, new_id)?,
            Err(DiskError::Damaged(cause)) => {
                log::warn!(
                    "store: {} can't be read and is put aside: {cause}",
                    path.display()
                );
                file::quarantine(directory)?;
                file::create(&open, directory, new_id)?
            }
            Err(refused) => return Err(refused),
        };
        let database = RwLock::new(Some(loaded.database));
        let shared = Shared {
            database,
            open,
            path,
            id: loaded.id,
        };
        Ok((
            ShardStorage {
                shared: Arc::new(shared),
            },
            loaded.shards,
        ))
    }

    /// Lets go of the file after a failed commit: nothing can be read or written until it is opened again.
    pub fn close(&self) {
        *self.shared.database.write() = None;
    }

    /// Opens the file again and returns what is on it. Fails while the disk takes no bytes; a damaged file
    /// stays where it is.
    pub fn reopen(&self) -> Result<LoadedShards, DiskError> {
        let mut database = self.shared.database.write();
        *database = None;
        let Some(loaded) = file::open_existing(&self.shared.open, &self.shared.path)? else {
            return Err(DiskError::Damaged("the file is gone".to_string()));
        };
        if loaded.id != self.shared.id {
            return Err(DiskError::Damaged(
                "the file is another store's".to_string(),
            ));
        }
        probe(&loaded.database)?;
        *database = Some(loaded.database);
        Ok(loaded.shards)
    }

    /// The store's identity.
    pub fn id(&self) -> StoreId {
        self.shared.id
    }

    /// The file's length.
    pub fn file_bytes(&self) -> u64 {
        std::fs::metadata(&self.shared.path).map_or(0, |meta| meta.len())
    }

    /// Committed entries of a shard; those that are not there are left out.
    pub fn read(&self, shard: u32, indexes: &[u64]) -> Result<Vec<(u64, Bytes)>, DiskError> {
        let database = self.shared.database.read();
        let transaction = opened(&database)?.begin_read().map_err(disk_error)?;
        let table = transaction.open_table(ENTRY_CHUNKS).map_err(disk_error)?;
        let mut entries = Vec::with_capacity(indexes.len());
        for index in indexes {
            if let Some(bytes) = chunked_entries::read(&table, shard, *index).map_err(disk_error)? {
                entries.push((*index, bytes));
            }
        }
        Ok(entries)
    }

    /// Makes changes, all or none of them.
    pub fn commit(&self, writes: &[(u32, DiskWrite)]) -> Result<(), DiskError> {
        let database = self.shared.database.read();
        let transaction = opened(&database)?.begin_write().map_err(disk_error)?;
        {
            let mut entries = transaction.open_table(ENTRY_CHUNKS).map_err(disk_error)?;
            let mut metas: BTreeMap<u32, &ShardMeta> = BTreeMap::new();
            for (shard, write) in writes {
                match write {
                    DiskWrite::Meta(meta) => _ = metas.insert(*shard, meta),
                    write => {
                        chunked_entries::apply(&mut entries, *shard, write).map_err(disk_error)?
                    }
                }
            }
            let mut shards = transaction.open_table(SHARD_META).map_err(disk_error)?;
            for (shard, meta) in metas {
                shards.insert(shard, &*encoded(meta)).map_err(disk_error)?;
            }
        }
        transaction.commit().map_err(disk_error)
    }
}

fn opened(database: &Option<Database>) -> Result<&Database, DiskError> {
    database.as_ref().ok_or_else(|| {
        DiskError::Unavailable("the file is closed after a failed commit".to_string())
    })
}

/// Writes and syncs some bytes, then takes them back.
fn probe(database: &Database) -> Result<(), DiskError> {
    for bytes in [&[1; PROBE_BYTES][..], &[]] {
        let transaction = database.begin_write().map_err(disk_error)?;
        transaction
            .open_table(PROBE)
            .and_then(|mut table| Ok(_ = table.insert((), bytes)?))
            .map_err(disk_error)?;
        transaction.commit().map_err(disk_error)?;
    }
    Ok(())
}

fn encoded(meta: &ShardMeta) -> Vec<u8> {
    minicbor::to_vec(meta).unwrap_or_default()
}
