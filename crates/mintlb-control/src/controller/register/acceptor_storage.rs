//! Durable storage of a replica's acceptor state. A thread of its own syncs the file; writes that
//! queue up during a sync are committed together (group commit).
//!
//! After a failed commit the state in memory may be ahead of the disk, so that the replica must not
//! reply from it. The thread discards the queue and reopens the file, with a bounded backoff, until
//! the disk accepts writes again. It then rewrites the state that it finds in the file and hands it
//! back, and the replica resumes from what is durable.

pub use super::acceptor_file::FILE;
use super::acceptor_file::{self, Contents};
use super::acceptor_file_error::AcceptorFileError;
use super::committer::{Committer, Shared, SyncJob};
pub use super::committer::{Health, Opener};
use mintlb_register::acceptor::{AcceptorState, DurableWrite};
use mintlb_register::replica_set::ReplicaId;
use parking_lot::Mutex;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// The name under which a damaged file is kept for examination.
const QUARANTINED_FILE: &str = "register.redb.unreadable";
/// Capacity of the queue of writes that are not synced yet.
pub const MAX_PENDING_SYNCS: usize = 256;

/// The file and its thread. Dropping it waits until the thread has closed the file.
pub struct AcceptorStorage {
    jobs: Mutex<Option<SyncSender<SyncJob>>>,
    thread: Mutex<Option<JoinHandle<()>>>,
    shared: Arc<Shared>,
}

impl Drop for AcceptorStorage {
    fn drop(&mut self) {
        self.close();
    }
}

/// An opened file and its contents.
pub struct OpenedAcceptor {
    /// The file.
    pub storage: AcceptorStorage,
    /// The identity of the replica.
    pub id: ReplicaId,
    /// Its acceptor state.
    pub state: AcceptorState,
}

impl AcceptorStorage {
    /// Opens the file, or creates it under a new identity. A damaged file is quarantined: the
    /// replica then starts anew, like one whose disk was replaced.
    ///
    /// # Errors
    ///
    /// If the file can't be used, though it isn't damaged, or can't be created.
    pub fn open(directory: &Path, new_id: ReplicaId) -> Result<OpenedAcceptor, AcceptorFileError> {
        let path = directory.join(FILE);
        let reopened = path.clone();
        let opener = move || acceptor_file::open(&reopened);
        if path.exists() {
            match AcceptorStorage::start(Box::new(opener.clone())) {
                Err(error) if error.is_damage() => {
                    log::warn!(
                        "register: quarantined the damaged file {} as {QUARANTINED_FILE}, this replica starts anew: {error}",
                        path.display()
                    );
                    std::fs::rename(&path, directory.join(QUARANTINED_FILE))
                        .map_err(|cause| AcceptorFileError::io(&path, cause))?;
                }
                opened => return opened,
            }
        }
        acceptor_file::create(directory, new_id)?;
        AcceptorStorage::start(Box::new(opener))
    }

    /// Resumes from the state that a database holds.
    ///
    /// # Errors
    ///
    /// If the database can't be opened or read, or the thread can't be started.
    pub fn start(opener: Opener) -> Result<OpenedAcceptor, AcceptorFileError> {
        let database = opener()?;
        let Contents { id, state } = acceptor_file::read(&database)?;
        let (jobs, queue) = sync_channel(MAX_PENDING_SYNCS);
        let shared = Arc::new(Shared::default());
        let committer = Committer {
            opener,
            id,
            queue,
            shared: shared.clone(),
        };
        let thread = std::thread::Builder::new()
            .name("register-sync".to_string())
            .spawn(move || committer.run(database))
            .map_err(|cause| AcceptorFileError::io(Path::new(FILE), cause))?;
        let storage = AcceptorStorage {
            jobs: Mutex::new(Some(jobs)),
            thread: Mutex::new(Some(thread)),
            shared,
        };
        Ok(OpenedAcceptor { storage, id, state })
    }

    /// Waits until all queued writes are synced and the file is closed. Later writes fail.
    pub fn close(&self) {
        self.jobs.lock().take();
        if let Some(thread) = self.thread.lock().take() {
            thread.join().ok();
        }
    }

    /// Whether the replica may reply from the state in memory. A reloaded state is handed over
    /// once.
    pub fn take_health(&self) -> Health {
        let mut health = self.shared.health.lock();
        match &*health {
            Health::Failed => Health::Failed,
            _ => std::mem::take(&mut *health),
        }
    }

    /// Whether queued writes are not finished yet.
    pub fn is_busy(&self) -> bool {
        self.shared.unfinished.load(SeqCst) > 0
    }

    /// Whether all queued writes are on disk.
    pub fn is_synced(&self) -> bool {
        !self.is_busy() && *self.shared.health.lock() == Health::Good
    }

    /// Whether the queue of writes is full.
    pub fn is_full(&self) -> bool {
        self.shared.unfinished.load(SeqCst) >= MAX_PENDING_SYNCS
    }

    /// Queues a write behind all earlier ones. The receiver resolves once it is synced, and fails
    /// if it could not be.
    pub fn sync(&self, write: DurableWrite) -> oneshot::Receiver<()> {
        let (done, receiver) = oneshot::channel();
        let mut health = self.shared.health.lock();
        if *health != Health::Good {
            return receiver;
        }
        let job = SyncJob {
            write,
            generation: self.shared.generation.load(SeqCst),
            done,
        };
        self.shared.unfinished.fetch_add(1, SeqCst);
        if self
            .jobs
            .lock()
            .as_ref()
            .is_none_or(|jobs| jobs.try_send(job).is_err())
        {
            // The state in memory is ahead of the disk for good, as the file is closed.
            *health = Health::Failed;
            self.shared.finish(1);
        }
        receiver
    }
}
