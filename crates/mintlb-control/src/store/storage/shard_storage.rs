//! The store's file while it is in use: reads and commits.
//!
//! After a failed commit redb accepts nothing until the file is opened again, and only then is it
//! known what the disk holds: [`ShardStorage::close`], then [`ShardStorage::reopen`] until the disk
//! accepts writes.

use super::chunked_entries;
use super::error::{DiskError, FileDamage, FileUnavailable};
use super::file::{self, DatabaseOpener};
use super::loaded_shards::LoadedShards;
use super::tables::{ENTRY_CHUNKS, PROBE, SHARD_META};
use bytes::Bytes;
use mintlb_batch::replica::{DiskWrite, ShardMeta};
use mintlb_common::placement::StoreId;
use parking_lot::RwLock;
use redb::{Database, ReadableDatabase};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Bytes that are written and synced when the file is opened again: a disk that is still full
/// rejects them.
const PROBE_BYTES: usize = 64 << 10;

/// A log entry with its index, as it lies on disk: [`mintlb_batch::framing`] bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// Index in the shard's log.
    pub index: u64,
    /// Header and raw part.
    pub bytes: Bytes,
}

/// A write of one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardWrite {
    /// The shard.
    pub shard: u32,
    /// The write.
    pub write: DiskWrite,
}

/// Handle of the file. Cheap to clone.
#[derive(Clone)]
pub struct ShardStorage {
    shared: Arc<Shared>,
}

struct Shared {
    /// `None` while the file is closed after a failed commit.
    database: RwLock<Option<Database>>,
    open: DatabaseOpener,
    path: PathBuf,
    id: StoreId,
}

/// A file that was opened, with its contents.
pub struct LoadedStorage {
    /// The file.
    pub storage: ShardStorage,
    /// Its contents when it was opened.
    pub shards: LoadedShards,
}

impl ShardStorage {
    /// Opens the file in `directory`, or creates it with `new_id` as the store's identity. A
    /// damaged file is quarantined: the store then starts empty, like one that has lost its disk.
    ///
    /// # Errors
    ///
    /// [`DiskError::Unavailable`] if the disk accepts or returns no bytes at present; the file
    /// stays, and the caller is to retry. [`DiskError::Directory`] if the directory can't be used
    /// at all.
    pub fn open(directory: &Path, new_id: StoreId) -> Result<LoadedStorage, DiskError> {
        ShardStorage::open_with(file::default_opener(), directory, new_id)
    }

    /// As [`ShardStorage::open`], with another way to open a database at a path.
    ///
    /// # Errors
    ///
    /// As [`ShardStorage::open`].
    pub fn open_with(
        open: DatabaseOpener,
        directory: &Path,
        new_id: StoreId,
    ) -> Result<LoadedStorage, DiskError> {
        let path = directory.join(file::FILE_NAME);
        let opened = match file::open_existing(&open, &path) {
            Ok(Some(opened)) => opened,
            Ok(None) => file::create(&open, directory, new_id)?,
            Err(DiskError::Damaged(cause)) => {
                log::warn!(
                    "store: {} can't be read and is quarantined: {cause}",
                    path.display()
                );
                file::quarantine(directory)?;
                file::create(&open, directory, new_id)?
            }
            Err(error) => return Err(error),
        };
        let shared = Arc::new(Shared {
            database: RwLock::new(Some(opened.database)),
            open,
            path,
            id: opened.id,
        });
        Ok(LoadedStorage {
            storage: ShardStorage { shared },
            shards: opened.shards,
        })
    }

    /// Closes the file after a failed commit: nothing can be read or written until
    /// [`ShardStorage::reopen`].
    pub fn close(&self) {
        *self.shared.database.write() = None;
    }

    /// Opens the file again and returns its contents.
    ///
    /// # Errors
    ///
    /// [`DiskError::Unavailable`] while the disk accepts no writes. [`DiskError::Damaged`] if the
    /// file is damaged, was removed or exchanged; it stays where it is.
    pub fn reopen(&self) -> Result<LoadedShards, DiskError> {
        let mut database = self.shared.database.write();
        *database = None;
        let opened = file::open_existing(&self.shared.open, &self.shared.path)?
            .ok_or(FileDamage::Removed)?;
        if opened.id != self.shared.id {
            return Err(FileDamage::OtherIdentity.into());
        }
        probe(&opened.database).map_err(DiskError::from_redb)?;
        *database = Some(opened.database);
        Ok(opened.shards)
    }

    /// The store's identity.
    pub fn id(&self) -> StoreId {
        self.shared.id
    }

    /// Length of the file in bytes.
    pub fn file_bytes(&self) -> u64 {
        std::fs::metadata(&self.shared.path).map_or(0, |metadata| metadata.len())
    }

    /// Reads committed entries of a shard; indexes without an entry are left out.
    ///
    /// # Errors
    ///
    /// If the file is closed or can't be read.
    pub fn read(&self, shard: u32, indexes: &[u64]) -> Result<Vec<StoredEntry>, DiskError> {
        let database = self.shared.database.read();
        let transaction = opened(&database)?
            .begin_read()
            .map_err(DiskError::from_redb)?;
        let table = transaction
            .open_table(ENTRY_CHUNKS)
            .map_err(DiskError::from_redb)?;
        let mut entries = Vec::with_capacity(indexes.len());
        for index in indexes {
            if let Some(bytes) = chunked_entries::read(&table, shard, *index)? {
                entries.push(StoredEntry {
                    index: *index,
                    bytes,
                });
            }
        }
        Ok(entries)
    }

    /// Commits all of these writes, or none of them.
    ///
    /// # Errors
    ///
    /// If the file is closed or the commit failed: then the file has to be closed and opened again.
    pub fn commit(&self, writes: &[ShardWrite]) -> Result<(), DiskError> {
        let database = self.shared.database.read();
        commit_to(opened(&database)?, writes).map_err(DiskError::from_redb)
    }
}

fn opened(database: &Option<Database>) -> Result<&Database, FileUnavailable> {
    database.as_ref().ok_or(FileUnavailable::Closed)
}

fn commit_to(database: &Database, writes: &[ShardWrite]) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut chunks = transaction.open_table(ENTRY_CHUNKS)?;
        // Only the last meta data of a shard counts.
        let mut metas: BTreeMap<u32, &ShardMeta> = BTreeMap::new();
        for ShardWrite { shard, write } in writes {
            match write {
                DiskWrite::Meta(meta) => _ = metas.insert(*shard, meta),
                write => chunked_entries::apply(&mut chunks, *shard, write)?,
            }
        }
        let mut table = transaction.open_table(SHARD_META)?;
        for (shard, meta) in metas {
            table.insert(shard, &*encoded(meta))?;
        }
    }
    Ok(transaction.commit()?)
}

/// Writes and syncs some bytes, then removes them again.
fn probe(database: &Database) -> Result<(), redb::Error> {
    for bytes in [&[1; PROBE_BYTES][..], &[]] {
        let transaction = database.begin_write()?;
        transaction.open_table(PROBE)?.insert((), bytes)?;
        transaction.commit()?;
    }
    Ok(())
}

fn encoded(meta: &ShardMeta) -> Vec<u8> {
    minicbor::to_vec(meta).unwrap_or_default()
}
