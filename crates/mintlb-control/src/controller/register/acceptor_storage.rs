//! Durable storage of a replica's acceptor state. A thread of its own syncs the file; writes that queue up during a sync are
//! committed together (group commit).
//!
//! After a failed commit the state in memory may be ahead of the disk, so that the replica must not reply from it. The
//! thread discards the queue and reopens the file, with a bounded backoff, until the disk accepts writes again. It then
//! rewrites the state that it finds in the file and hands it back, and the replica resumes from what is durable.

pub use super::acceptor_file::FILE;
use super::acceptor_file::{self, Contents};
use super::acceptor_file_error::{AcceptorFileError, Damage};
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

/// The name under which a damaged file is kept for examination.
const QUARANTINED_FILE: &str = "register.redb.unreadable";
/// Capacity of the queue of writes that are not synced yet.
pub const MAX_PENDING_SYNCS: usize = 256;
/// The delay before the file is reopened after a failure; it doubles with each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Opens the file, at the start and after each failure.
pub type Opener = Box<dyn Fn() -> Result<Database, AcceptorFileError> + Send>;

/// A queued write, and the sender that reports its sync.
struct SyncJob {
    write: DurableWrite,
    /// The generation of the state in memory that the write belongs to.
    generation: u64,
    done: oneshot::Sender<()>,
}

/// Whether the replica may reply from the state in memory.
#[derive(Debug, Default, PartialEq)]
pub enum Health {
    /// The state is on disk or queued to be synced.
    #[default]
    Good,
    /// A commit has failed: no reply may be given.
    Failed,
    /// The disk accepts writes again: this state, which is durable, replaces the one in memory.
    Reloaded(AcceptorState),
}

/// State shared by the thread and its owner.
#[derive(Default)]
struct Shared {
    unfinished: AtomicUsize,
    generation: AtomicU64,
    health: Mutex<Health>,
}

impl Shared {
    /// Has to precede [`Shared::finish`] for the failed jobs: otherwise a reader that sees no unfinished job could take
    /// the state for durable.
    fn fail(&self) {
        *self.health.lock() = Health::Failed;
        self.generation.fetch_add(1, SeqCst);
    }

    fn finish(&self, jobs: usize) {
        self.unfinished.fetch_sub(jobs, SeqCst);
    }
}

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
    /// Opens the file, or creates it under a new identity. A damaged file is quarantined: the replica then starts anew,
    /// like one whose disk was replaced.
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

    /// Whether the replica may reply from the state in memory. A reloaded state is handed over once.
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

    /// Queues a write behind all earlier ones. The receiver resolves once it is synced, and fails if it could not be.
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

/// The thread that commits queued writes.
struct Committer {
    opener: Opener,
    id: ReplicaId,
    queue: Receiver<SyncJob>,
    shared: Arc<Shared>,
}

impl Committer {
    /// Commits queued writes until the queue is closed.
    fn run(self, mut database: Database) {
        while let Ok(first) = self.queue.recv() {
            let mut jobs = vec![first];
            jobs.extend(self.queue.try_iter());
            let taken = jobs.len();
            let generation = self.shared.generation.load(SeqCst);
            jobs.retain(|job| job.generation == generation);
            let Err(error) = commit(&database, &jobs) else {
                self.shared.finish(taken);
                for job in jobs {
                    job.done.send(()).ok();
                }
                continue;
            };
            log::error!(
                "register: a sync of the acceptor state failed, replica {:x} stops replying until its disk recovers: {error}",
                self.id.0
            );
            self.shared.fail();
            self.shared.finish(taken);
            drop((jobs, database));
            match self.reopen() {
                Some(reopened) => database = reopened,
                None => return,
            }
            log::warn!(
                "register: the disk accepts writes again, replica {:x} resumes",
                self.id.0
            );
        }
    }

    /// The file, once it can be read and written again; `None` if the queue is closed.
    fn reopen(&self) -> Option<Database> {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            match self.queue.recv_timeout(backoff) {
                // The write belongs to the generation that failed: it must not reach the disk.
                Ok(_) => self.shared.finish(1),
                Err(RecvTimeoutError::Disconnected) => return None,
                Err(RecvTimeoutError::Timeout) => {
                    match self.reload() {
                        Ok((database, state)) => {
                            *self.shared.health.lock() = Health::Reloaded(state);
                            return Some(database);
                        }
                        Err(error) => {
                            log::debug!("register: the file can't be reopened yet: {error}")
                        }
                    }
                    backoff = (2 * backoff).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Reads the state and writes it once more: a failed commit may have left it where no later sync would cover it.
    fn reload(&self) -> Result<(Database, AcceptorState), AcceptorFileError> {
        let database = (self.opener)()?;
        let contents = acceptor_file::read(&database)?;
        if contents.id != self.id {
            return Err(AcceptorFileError::Damaged(Damage::ForeignIdentity));
        }
        acceptor_file::rewrite(&database, &contents)?;
        Ok((database, contents.state))
    }
}

/// Writes the last promise and the last accepted value of the jobs: ballots only rise, so that these supersede the others.
fn commit(database: &Database, jobs: &[SyncJob]) -> Result<(), AcceptorFileError> {
    let promised = jobs.iter().rev().find_map(|job| match &job.write {
        DurableWrite::Nothing => None,
        DurableWrite::Promise(ballot) => Some(*ballot),
        DurableWrite::Accepted(accepted) => Some(accepted.ballot),
        DurableWrite::Learned { promised, .. } => Some(*promised),
    });
    let Some(promised) = promised else {
        return Ok(());
    };
    let accepted = jobs.iter().rev().find_map(|job| match &job.write {
        DurableWrite::Accepted(accepted)
        | DurableWrite::Learned {
            chosen: accepted, ..
        } => Some(accepted),
        _ => None,
    });
    acceptor_file::write_state(database, promised, accepted)
}
