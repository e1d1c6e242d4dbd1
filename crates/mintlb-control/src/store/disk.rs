//! The lots on disk: one redb file. A thread of its own commits; what waits meanwhile goes into one commit.

use super::StoreError;
use bytes::Bytes;
use mintlb_lots::entry::Entry;
use mintlb_lots::framing;
use mintlb_lots::replica::{AfterSync, DiskWrite, ShardMeta};
use mintlb_tier::placement::StoreId;
use parking_lot::{Condvar, Mutex};
use redb::{Database, ReadableDatabase, ReadableTable, Table, TableDefinition};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// The file in the data directory.
pub const FILE: &str = "lots.redb";
/// The file while it is being made.
const UNFINISHED_FILE: &str = "lots.redb.new";
/// A file that could not be read, kept for whoever looks into it.
const UNREADABLE_FILE: &str = "lots.redb.unreadable";
/// Bytes of the file kept in memory.
const CACHE_BYTES: usize = 2 << 20;
/// Small writes wait so long for others to share their commit,
const LINGER: Duration = Duration::from_millis(6);
/// until there are so many bytes.
const WORTH_A_COMMIT: usize = 64 << 10;
/// Writes that wait for a commit take no more than this; the store takes nothing new meanwhile.
pub const MOST_WAITING: usize = 12 << 20;

/// Entries by shard and index.
const ENTRIES: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("entries");
/// Meta data by shard.
const SHARDS: TableDefinition<u32, &[u8]> = TableDefinition::new("shards");
/// The store's identity, under [`IDENTITY`].
const STORE: TableDefinition<&str, u64> = TableDefinition::new("store");
const IDENTITY: &str = "identity";

/// The file.
#[derive(Clone)]
pub struct LotDisk {
    database: Arc<Database>,
    path: PathBuf,
    id: StoreId,
}

/// What a shard's part of the file holds.
#[derive(Default)]
pub struct LoadedShard {
    /// Its meta data.
    pub meta: ShardMeta,
    /// Its entries in order, each with its length and that of its raw part.
    pub entries: Vec<(u64, Entry, u64, u64)>,
}

/// An opened file with its thread.
pub struct Opened {
    /// The file.
    pub disk: LotDisk,
    /// Its thread.
    pub writer: Writer,
    /// What it held, by shard.
    pub shards: BTreeMap<u32, LoadedShard>,
}

impl LotDisk {
    /// Opens the file, or makes it with a new identity. A file that is damaged is put aside: the store then
    /// begins anew, as one that has lost its disk.
    pub fn open(
        directory: &Path,
        new_id: StoreId,
    ) -> Result<(LotDisk, BTreeMap<u32, LoadedShard>), StoreError> {
        let path = directory.join(FILE);
        if path.exists() {
            match open_existing(&path) {
                Ok(opened) => return Ok(opened),
                Err(error) => {
                    log::warn!("store: {} can't be read and is put aside: {error}", path.display());
                    std::fs::rename(&path, directory.join(UNREADABLE_FILE))
                        .map_err(|cause| StoreError::Disk { path: path.clone(), cause })?;
                }
            }
        }
        create(directory, new_id)?;
        open_existing(&path)
    }

    /// The store's identity.
    pub fn id(&self) -> StoreId {
        self.id
    }

    /// The file's length.
    pub fn file_bytes(&self) -> u64 {
        std::fs::metadata(&self.path).map_or(0, |meta| meta.len())
    }

    /// Committed entries of a shard; those that are not there are left out.
    pub fn read(&self, shard: u32, indexes: &[u64]) -> Result<Vec<(u64, Bytes)>, StoreError> {
        let transaction = self.database.begin_read().map_err(database)?;
        let table = transaction.open_table(ENTRIES).map_err(database)?;
        let mut entries = Vec::with_capacity(indexes.len());
        for index in indexes {
            if let Some(bytes) = table.get((shard, *index)).map_err(database)? {
                entries.push((*index, Bytes::copy_from_slice(bytes.value())));
            }
        }
        Ok(entries)
    }

    /// Makes changes, all or none of them.
    pub fn commit(&self, writes: &[(u32, DiskWrite)]) -> Result<(), StoreError> {
        let transaction = self.database.begin_write().map_err(database)?;
        {
            let mut entries = transaction.open_table(ENTRIES).map_err(database)?;
            let mut metas: BTreeMap<u32, &ShardMeta> = BTreeMap::new();
            for (shard, write) in writes {
                match write {
                    DiskWrite::Meta(meta) => _ = metas.insert(*shard, meta),
                    write => apply(&mut entries, *shard, write).map_err(database)?,
                }
            }
            let mut shards = transaction.open_table(SHARDS).map_err(database)?;
            for (shard, meta) in metas {
                shards.insert(shard, &*encoded(meta)).map_err(database)?;
            }
        }
        transaction.commit().map_err(database)
    }
}

fn apply(
    entries: &mut Table<(u32, u64), &[u8]>,
    shard: u32,
    write: &DiskWrite,
) -> Result<(), redb::StorageError> {
    match write {
        DiskWrite::Put(index, bytes) => _ = entries.insert((shard, *index), &bytes[..])?,
        DiskWrite::Truncate(last) => {
            entries.retain_in((shard, last + 1)..=(shard, u64::MAX), |_, _| false)?
        }
        DiskWrite::Clear => entries.retain_in((shard, 0)..=(shard, u64::MAX), |_, _| false)?,
        DiskWrite::Remove(indexes) => {
            for index in indexes {
                entries.remove((shard, *index))?;
            }
        }
        DiskWrite::Strip(indexes) => {
            for index in indexes {
                let head = entries.get((shard, *index))?.and_then(|bytes| head_of(bytes.value()));
                if let Some(head) = head {
                    entries.insert((shard, *index), &*head)?;
                }
            }
        }
        DiskWrite::Meta(_) => (),
    }
    Ok(())
}

fn head_of(bytes: &[u8]) -> Option<Vec<u8>> {
    let (_, end) = framing::decode_head::<Entry>(bytes)?;
    Some(bytes[..end].to_vec())
}

/// Makes the file under another name first, so that a file with the right name is whole.
fn create(directory: &Path, id: StoreId) -> Result<(), StoreError> {
    let disk = |cause| StoreError::Disk { path: directory.to_owned(), cause };
    std::fs::create_dir_all(directory).map_err(disk)?;
    let unfinished = directory.join(UNFINISHED_FILE);
    if unfinished.exists() {
        std::fs::remove_file(&unfinished).map_err(disk)?;
    }
    {
        let new = builder().create(&unfinished).map_err(database)?;
        let transaction = new.begin_write().map_err(database)?;
        {
            transaction.open_table(ENTRIES).map_err(database)?;
            transaction.open_table(SHARDS).map_err(database)?;
            let mut store = transaction.open_table(STORE).map_err(database)?;
            store.insert(IDENTITY, id).map_err(database)?;
        }
        transaction.commit().map_err(database)?;
    }
    std::fs::rename(&unfinished, directory.join(FILE)).map_err(disk)?;
    std::fs::File::open(directory).and_then(|folder| folder.sync_all()).map_err(disk)
}

fn open_existing(path: &Path) -> Result<(LotDisk, BTreeMap<u32, LoadedShard>), StoreError> {
    let opened = builder().open(path).map_err(database)?;
    let transaction = opened.begin_read().map_err(database)?;
    let store = transaction.open_table(STORE).map_err(database)?;
    let Some(id) = store.get(IDENTITY).map_err(database)?.map(|id| id.value()) else {
        return Err(StoreError::Database("there is no identity in it".to_string()));
    };
    let mut shards: BTreeMap<u32, LoadedShard> = BTreeMap::new();
    let metas = transaction.open_table(SHARDS).map_err(database)?;
    for row in metas.iter().map_err(database)? {
        let (shard, meta) = row.map_err(database)?;
        let meta = minicbor::decode(meta.value()).map_err(|error| StoreError::Database(error.to_string()))?;
        shards.entry(shard.value()).or_default().meta = meta;
    }
    let entries = transaction.open_table(ENTRIES).map_err(database)?;
    for row in entries.iter().map_err(database)? {
        let (key, bytes) = row.map_err(database)?;
        let (shard, index) = key.value();
        let bytes = bytes.value();
        let Some((entry, end)) = framing::decode_head::<Entry>(bytes) else {
            return Err(StoreError::Database(format!("entry {index} of shard {shard} can't be read")));
        };
        let lengths = (bytes.len() as u64, (bytes.len() - end) as u64);
        shards.entry(shard).or_default().entries.push((index, entry, lengths.0, lengths.1));
    }
    drop((store, metas, entries, transaction));
    Ok((LotDisk { database: Arc::new(opened), path: path.to_owned(), id }, shards))
}

fn builder() -> redb::Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

fn encoded(meta: &ShardMeta) -> Vec<u8> {
    minicbor::to_vec(meta).unwrap_or_default()
}

fn database(cause: impl std::fmt::Display) -> StoreError {
    StoreError::Database(cause.to_string())
}

/// What follows a commit, by shard, or that it failed.
pub type Committed = Result<Vec<(u32, AfterSync)>, StoreError>;

/// What goes into one commit, and what follows it.
struct Batch {
    writes: Vec<(u32, DiskWrite)>,
    after: Vec<(u32, AfterSync)>,
}

#[derive(Default)]
struct Waiting {
    writes: Vec<(u32, DiskWrite)>,
    after: Vec<(u32, AfterSync)>,
    /// What follows the commit under way beside what it was begun with.
    after_current: Vec<(u32, AfterSync)>,
    bytes: usize,
    committing: bool,
}

/// The thread that commits. Cheap to clone.
#[derive(Clone)]
pub struct Writer {
    shared: Arc<(Mutex<Waiting>, Condvar)>,
}

impl Writer {
    /// Starts the thread. After each commit it says what follows; after a failed one it ends.
    pub fn start(disk: LotDisk, committed: UnboundedSender<Committed>) -> Result<Writer, StoreError> {
        let writer = Writer { shared: Arc::default() };
        let worker = writer.clone();
        std::thread::Builder::new()
            .name("lots-commit".to_string())
            .spawn(move || worker.work(&disk, &committed))
            .map_err(StoreError::System)?;
        Ok(writer)
    }

    fn work(&self, disk: &LotDisk, committed: &UnboundedSender<Committed>) {
        loop {
            let Batch { writes, mut after } = self.next();
            let outcome = disk.commit(&writes);
            drop(writes);
            {
                let mut waiting = self.shared.0.lock();
                waiting.committing = false;
                after.append(&mut waiting.after_current);
            }
            let failed = outcome.is_err();
            if let Err(error) = &outcome {
                log::error!("store: a commit failed: {error}");
            }
            if committed.send(outcome.map(|()| after)).is_err() || failed {
                return;
            }
        }
    }

    fn next(&self) -> Batch {
        let (lock, condition) = &*self.shared;
        let mut waiting = lock.lock();
        while waiting.writes.is_empty() {
            condition.wait(&mut waiting);
        }
        let until = Instant::now() + LINGER;
        while waiting.bytes < WORTH_A_COMMIT && !condition.wait_until(&mut waiting, until).timed_out() {}
        waiting.committing = true;
        waiting.bytes = 0;
        Batch { writes: std::mem::take(&mut waiting.writes), after: std::mem::take(&mut waiting.after) }
    }

    /// Whether nothing is on its way to the disk.
    pub fn is_idle(&self) -> bool {
        let waiting = self.shared.0.lock();
        waiting.writes.is_empty() && !waiting.committing
    }

    /// Whether so much waits that nothing new should be taken.
    pub fn is_full(&self) -> bool {
        self.shared.0.lock().bytes > MOST_WAITING
    }

    /// Has a shard's changes committed together, and says what follows. If nothing has to be waited for, what
    /// follows is given back at once.
    pub fn write(
        &self,
        shard: u32,
        writes: Vec<DiskWrite>,
        after: Vec<AfterSync>,
    ) -> Result<(), Vec<AfterSync>> {
        let (lock, condition) = &*self.shared;
        let mut waiting = lock.lock();
        if writes.is_empty() && waiting.writes.is_empty() && !waiting.committing {
            return Err(after);
        }
        let before = waiting.bytes;
        waiting.bytes += writes.iter().map(bytes_of).sum::<usize>();
        let enough = before < WORTH_A_COMMIT && waiting.bytes >= WORTH_A_COMMIT;
        let idle = waiting.writes.is_empty();
        waiting.writes.extend(writes.into_iter().map(|write| (shard, write)));
        let after = after.into_iter().map(|after| (shard, after));
        match waiting.writes.is_empty() {
            true => waiting.after_current.extend(after),
            false => waiting.after.extend(after),
        }
        if (idle || enough) && !waiting.writes.is_empty() {
            drop(waiting);
            condition.notify_one();
        }
        Ok(())
    }
}

fn bytes_of(write: &DiskWrite) -> usize {
    match write {
        DiskWrite::Put(_, bytes) => bytes.len() + 64,
        _ => 64,
    }
}
