//! A replica's identity and vote on disk, in one redb file. Syncs happen on a thread of their own, and what waits
//! there is written with one commit.

use super::ControllerError;
use minicbor::{Decode, Encode};
use mintlb_register::acceptor::{Sync, Vote};
use mintlb_register::ballot::Ballot;
use mintlb_register::message::Accepted;
use mintlb_register::state::ReplicaId;
use parking_lot::Mutex;
use redb::{Database, ReadableDatabase, TableDefinition};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// The file in the data directory.
pub const FILE: &str = "register.redb";
/// The file while it is being made.
const UNFINISHED_FILE: &str = "register.redb.new";
/// A file that could not be read, kept for whoever looks into it.
const UNREADABLE_FILE: &str = "register.redb.unreadable";
/// Syncs that may wait.
const QUEUE: usize = 256;
/// Bytes of the file kept in memory.
const CACHE_BYTES: usize = 1 << 20;

const VOTE: TableDefinition<&str, &[u8]> = TableDefinition::new("vote");
const IDENTITY: &str = "identity";
const PROMISED: &str = "promised";
const ACCEPTED: &str = "accepted";

/// A sync that is asked for, and whom to tell of it.
struct Job {
    sync: Sync,
    done: oneshot::Sender<()>,
}

/// The file with its thread. Dropping it waits until the thread has closed the file.
pub struct VoteStore {
    jobs: Mutex<Option<SyncSender<Job>>>,
    thread: Mutex<Option<JoinHandle<()>>>,
    unfinished: Arc<AtomicUsize>,
}

impl Drop for VoteStore {
    fn drop(&mut self) {
        self.close();
    }
}

/// What the file held when it was opened.
pub struct Opened {
    /// The file.
    pub store: VoteStore,
    /// The replica's identity.
    pub id: ReplicaId,
    /// Its vote.
    pub vote: Vote,
}

impl VoteStore {
    /// Opens the file, or makes it with a new identity. A damaged file is put aside: the replica then begins anew, as one
    /// that has lost its disk.
    pub fn open(directory: &Path, new_id: ReplicaId) -> Result<Opened, ControllerError> {
        let path = directory.join(FILE);
        if path.exists() {
            match open_existing(&path) {
                Ok((database, id, vote)) => return start(database, id, vote),
                Err(error) if !error.is_damage() => return Err(error),
                Err(error) => {
                    log::warn!("register: {} is damaged and put aside: {error}", path.display());
                    std::fs::rename(&path, directory.join(UNREADABLE_FILE))
                        .map_err(|cause| ControllerError::disk(&path, cause))?;
                }
            }
        }
        create(directory, new_id)?;
        let (database, id, vote) = open_existing(&path)?;
        start(database, id, vote)
    }

    /// Waits until all that was asked for is synced and the file is closed. No sync comes about after it.
    pub fn close(&self) {
        self.jobs.lock().take();
        if let Some(thread) = self.thread.lock().take() {
            thread.join().ok();
        }
    }

    /// Whether syncs that were asked for before are still to be finished.
    pub fn is_busy(&self) -> bool {
        self.unfinished.load(SeqCst) > 0
    }

    /// Asks for a sync after all those asked for before; the receiver fails if it did not come about.
    pub fn sync(&self, sync: Sync) -> oneshot::Receiver<()> {
        let (done, receiver) = oneshot::channel();
        self.unfinished.fetch_add(1, SeqCst);
        let queued = self.jobs.lock().as_ref().is_some_and(|jobs| jobs.try_send(Job { sync, done }).is_ok());
        if !queued {
            self.unfinished.fetch_sub(1, SeqCst);
        }
        receiver
    }
}

fn start(database: Database, id: ReplicaId, vote: Vote) -> Result<Opened, ControllerError> {
    let (jobs, queue) = sync_channel(QUEUE);
    let unfinished = Arc::new(AtomicUsize::new(0));
    let counter = unfinished.clone();
    let thread = std::thread::Builder::new()
        .name("register-sync".to_string())
        .spawn(move || work(&database, &queue, &counter))
        .map_err(|cause| ControllerError::disk(Path::new(FILE), cause))?;
    let store = VoteStore { jobs: Mutex::new(Some(jobs)), thread: Mutex::new(Some(thread)), unfinished };
    Ok(Opened { store, id, vote })
}

/// Commits what waits, until nobody asks any more. After a failed commit nothing more is confirmed.
fn work(database: &Database, queue: &Receiver<Job>, unfinished: &AtomicUsize) {
    let mut failed = false;
    while let Ok(first) = queue.recv() {
        let mut jobs = vec![first];
        while let Ok(job) = queue.try_recv() {
            jobs.push(job);
        }
        if let Err(error) = if failed { Ok(()) } else { commit(database, &jobs) } {
            log::error!("register: a sync failed, this replica no longer votes: {error}");
            failed = true;
        }
        unfinished.fetch_sub(jobs.len(), SeqCst);
        for job in jobs {
            if !failed {
                job.done.send(()).ok();
            }
        }
    }
}

/// Writes the last promise and the last value of the jobs. Later ones are never lower.
fn commit(database: &Database, jobs: &[Job]) -> Result<(), ControllerError> {
    let promise = jobs.iter().rev().find_map(|job| match &job.sync {
        Sync::Nothing => None,
        Sync::Promise(ballot) => Some(*ballot),
        Sync::Value(accepted) => Some(accepted.ballot),
    });
    let Some(promise) = promise else { return Ok(()) };
    let value = jobs.iter().rev().find_map(|job| match &job.sync {
        Sync::Value(accepted) => Some(accepted),
        _ => None,
    });
    let transaction = database.begin_write().map_err(ControllerError::database)?;
    {
        let mut table = transaction.open_table(VOTE).map_err(ControllerError::database)?;
        table.insert(PROMISED, &*encoded(&promise)).map_err(ControllerError::database)?;
        if let Some(accepted) = value {
            table.insert(ACCEPTED, &*encoded(accepted)).map_err(ControllerError::database)?;
        }
    }
    transaction.commit().map_err(ControllerError::database)
}

/// Makes the file under another name first, so that a file with the right name is whole.
fn create(directory: &Path, id: ReplicaId) -> Result<(), ControllerError> {
    let unfinished = directory.join(UNFINISHED_FILE);
    let disk = |cause| ControllerError::disk(directory, cause);
    if unfinished.exists() {
        std::fs::remove_file(&unfinished).map_err(disk)?;
    }
    {
        let database = builder().create(&unfinished).map_err(ControllerError::database)?;
        let transaction = database.begin_write().map_err(ControllerError::database)?;
        {
            let mut table = transaction.open_table(VOTE).map_err(ControllerError::database)?;
            table.insert(IDENTITY, &*encoded(&id)).map_err(ControllerError::database)?;
        }
        transaction.commit().map_err(ControllerError::database)?;
    }
    std::fs::rename(&unfinished, directory.join(FILE)).map_err(disk)?;
    std::fs::File::open(directory).and_then(|folder| folder.sync_all()).map_err(disk)
}

fn open_existing(path: &Path) -> Result<(Database, ReplicaId, Vote), ControllerError> {
    let database = builder().open(path).map_err(ControllerError::opening)?;
    let transaction = database.begin_read().map_err(ControllerError::database)?;
    let table = transaction.open_table(VOTE).map_err(|error| ControllerError::Damaged(error.to_string()))?;
    let read = |key: &str| table.get(key).map_err(ControllerError::database);
    let id = match read(IDENTITY)? {
        Some(bytes) => decoded(bytes.value())?,
        None => return Err(ControllerError::Damaged("there is no identity in it".to_string())),
    };
    let promised: Option<Ballot> = read(PROMISED)?.map(|bytes| decoded(bytes.value())).transpose()?;
    let accepted: Option<Accepted> = read(ACCEPTED)?.map(|bytes| decoded(bytes.value())).transpose()?;
    drop(table);
    Ok((database, id, Vote { promised: promised.unwrap_or_default(), accepted }))
}

fn builder() -> redb::Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

fn encoded<T: Encode<()>>(value: &T) -> Vec<u8> {
    minicbor::to_vec(value).unwrap_or_default()
}

fn decoded<T: for<'b> Decode<'b, ()>>(bytes: &[u8]) -> Result<T, ControllerError> {
    minicbor::decode(bytes).map_err(|error| ControllerError::Damaged(error.to_string()))
}
