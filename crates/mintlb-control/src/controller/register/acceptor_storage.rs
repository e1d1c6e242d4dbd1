//! A replica's vote on disk. Syncs happen on a thread of their own, and what waits there is written with one commit.
//!
//! After a failed commit the vote in memory may be ahead of the disk. Nothing is answered from then on: the thread drops
//! what waits, opens the file again, with bounded pauses until the disk takes bytes, writes the vote that it finds there
//! once more and hands it back, so that the replica goes on from what is synced.

use crate::controller::ControllerError;
pub use crate::controller::register::acceptor_file::FILE;
use crate::controller::register::acceptor_file::{self, Contents};
use mintlb_register::acceptor::{AcceptorState, DurableWrite};
use mintlb_register::replica_set::ReplicaId;
use parking_lot::Mutex;
use redb::Database;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::oneshot;

/// A file that could not be read, kept for whoever looks into it.
const QUARANTINED_FILE: &str = "register.redb.unreadable";
/// Syncs that may wait.
pub const MAX_PENDING_SYNCS: usize = 256;
/// The pause before a file is opened again after a failure; it doubles with each further try.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest pause.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Opens the file, at the start and after each failure.
pub type Opener = Box<dyn Fn() -> Result<Database, ControllerError> + Send>;

/// A sync that is asked for, and whom to tell of it.
struct SyncJob {
    sync: DurableWrite,
    /// The life of the vote in memory to which it belongs.
    generation: u64,
    done: oneshot::Sender<()>,
}

/// Whether the vote in memory may be answered from.
#[derive(Debug, Default, PartialEq)]
pub enum Health {
    /// It is on disk, or asked to be synced.
    #[default]
    Good,
    /// A commit has failed: nothing may be answered.
    Failed,
    /// The disk takes bytes again: this vote takes the place of the one in memory.
    Reloaded(AcceptorState),
}

/// What the thread and its owner share.
#[derive(Default)]
struct Shared {
    unfinished: AtomicUsize,
    generation: AtomicU64,
    health: Mutex<Health>,
}

impl Shared {
    /// Before the jobs are counted as finished, so that whoever finds none unfinished finds the failure.
    fn fail(&self) {
        *self.health.lock() = Health::Failed;
        self.generation.fetch_add(1, SeqCst);
    }

    fn finish(&self, jobs: usize) {
        self.unfinished.fetch_sub(jobs, SeqCst);
    }
}

/// The file with its thread. Dropping it waits until the thread has closed the file.
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

/// What the file held when it was opened.
pub struct OpenedAcceptor {
    /// The file.
    pub store: AcceptorStorage,
    /// The replica's identity.
    pub id: ReplicaId,
    /// Its vote.
    pub vote: AcceptorState,
}

impl AcceptorStorage {
    /// Opens the file, or makes it with a new identity. A damaged file is put aside: the replica then begins anew, as one
    /// that has lost its disk.
    pub fn open(directory: &Path, new_id: ReplicaId) -> Result<OpenedAcceptor, ControllerError> {
        let path = directory.join(FILE);
        let reopen = path.clone();
        let opener = move || acceptor_file::open(&reopen);
        if path.exists() {
            match AcceptorStorage::start(Box::new(opener.clone())) {
                Err(error) if error.is_damage() => {
                    log::warn!(
                        "register: {} is damaged and put aside: {error}",
                        path.display()
                    );
                    std::fs::rename(&path, directory.join(QUARANTINED_FILE))
                        .map_err(|cause| ControllerError::disk(&path, cause))?;
                }
                opened => return opened,
            }
        }
        acceptor_file::create(directory, new_id)?;
        AcceptorStorage::start(Box::new(opener))
    }

    /// Goes on with the vote that a database holds.
    pub fn start(opener: Opener) -> Result<OpenedAcceptor, ControllerError> {
        let database = opener()?;
        let Contents { id, vote } = acceptor_file::read(&database)?;
        let (jobs, queue) = sync_channel(MAX_PENDING_SYNCS);
        let shared = Arc::new(Shared::default());
        let worker = Worker {
            opener,
            id,
            queue,
            shared: shared.clone(),
        };
        let thread = std::thread::Builder::new()
            .name("register-sync".to_string())
            .spawn(move || worker.run(database))
            .map_err(|cause| ControllerError::disk(Path::new(FILE), cause))?;
        let store = AcceptorStorage {
            jobs: Mutex::new(Some(jobs)),
            thread: Mutex::new(Some(thread)),
            shared,
        };
        Ok(OpenedAcceptor { store, id, vote })
    }

    /// Waits until all that was asked for is synced and the file is closed. No sync comes about after it.
    pub fn close(&self) {
        self.jobs.lock().take();
        if let Some(thread) = self.thread.lock().take() {
            thread.join().ok();
        }
    }

    /// Whether the vote in memory may be answered from; a vote read anew is handed over once.
    pub fn take_health(&self) -> Health {
        let mut health = self.shared.health.lock();
        match &*health {
            Health::Failed => Health::Failed,
            _ => std::mem::take(&mut *health),
        }
    }

    /// Whether syncs that were asked for before are still to be finished.
    pub fn is_busy(&self) -> bool {
        self.shared.unfinished.load(SeqCst) > 0
    }

    /// Whether all that was asked for is on disk.
    pub fn is_synced(&self) -> bool {
        !self.is_busy() && *self.shared.health.lock() == Health::Good
    }

    /// Whether as many syncs wait as may.
    pub fn is_full(&self) -> bool {
        self.shared.unfinished.load(SeqCst) >= MAX_PENDING_SYNCS
    }

    /// Asks for a sync after all those asked for before; the receiver fails if it did not come about.
    pub fn sync(&self, sync: DurableWrite) -> oneshot::Receiver<()> {
        let (done, receiver) = oneshot::channel();
        let mut health = self.shared.health.lock();
        if *health != Health::Good {
            return receiver;
        }
        let job = SyncJob {
            sync,
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
            // The vote in memory is ahead of the disk, and the file is closed.
            *health = Health::Failed;
            self.shared.finish(1);
        }
        receiver
    }
}

/// The thread that commits.
struct Worker {
    opener: Opener,
    id: ReplicaId,
    queue: Receiver<SyncJob>,
    shared: Arc<Shared>,
}

impl Worker {
    /// Commits what waits, until nobody asks any more.
    fn run(self, mut database: Database) {
        while let Ok(first) = self.queue.recv() {
            let mut jobs = vec![first];
            jobs.extend(self.queue.try_iter());
            let waited = jobs.len();
            let generation = self.shared.generation.load(SeqCst);
            jobs.retain(|job| job.generation == generation);
            let Err(error) = commit(&database, &jobs) else {
                self.shared.finish(waited);
                for job in jobs {
                    job.done.send(()).ok();
                }
                continue;
            };
            log::error!(
                "register: a sync failed, this replica answers nothing until the disk is back: {error}"
            );
            self.shared.fail();
            self.shared.finish(waited);
            drop((jobs, database));
            match self.reopen() {
                Some(again) => database = again,
                None => return,
            }
            log::warn!("register: the disk takes bytes again, this replica votes again");
        }
    }

    /// The file, once it can be read and written again; `None` if nobody asks any more.
    fn reopen(&self) -> Option<Database> {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            match self.queue.recv_timeout(backoff) {
                // It belongs to the life before.
                Ok(_) => self.shared.finish(1),
                Err(RecvTimeoutError::Disconnected) => return None,
                Err(RecvTimeoutError::Timeout) => {
                    match self.reload() {
                        Ok((database, vote)) => {
                            *self.shared.health.lock() = Health::Reloaded(vote);
                            return Some(database);
                        }
                        Err(error) => log::debug!("register: the file can't be used yet: {error}"),
                    }
                    backoff = (2 * backoff).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// What was read is written once more: a commit that failed may have left it where no later sync would cover it.
    fn reload(&self) -> Result<(Database, AcceptorState), ControllerError> {
        let database = (self.opener)()?;
        let contents = acceptor_file::read(&database)?;
        if contents.id != self.id {
            return Err(ControllerError::Damaged(
                "it is another replica's".to_string(),
            ));
        }
        acceptor_file::rewrite(&database, &contents)?;
        Ok((database, contents.vote))
    }
}

/// Writes the last promise and the last value of the jobs. Later ones are never lower.
fn commit(database: &Database, jobs: &[SyncJob]) -> Result<(), ControllerError> {
    let promise = jobs.iter().rev().find_map(|job| match &job.sync {
        DurableWrite::Nothing => None,
        DurableWrite::Promise(ballot) => Some(*ballot),
        DurableWrite::Accepted(accepted) => Some(accepted.ballot),
        DurableWrite::Learned { promised, .. } => Some(*promised),
    });
    let Some(promise) = promise else {
        return Ok(());
    };
    let value = jobs.iter().rev().find_map(|job| match &job.sync {
        DurableWrite::Accepted(accepted)
        | DurableWrite::Learned {
            chosen: accepted, ..
        } => Some(accepted),
        _ => None,
    });
    acceptor_file::write_vote(database, promise, value)
}
