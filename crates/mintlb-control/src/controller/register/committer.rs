//! The thread that commits a replica's acceptor state, and its recovery after a failed commit.

use super::acceptor_file;
use super::acceptor_file_error::{AcceptorFileError, Damage};
use mintlb_register::acceptor::{AcceptorState, DurableWrite};
use mintlb_register::replica_set::ReplicaId;
use parking_lot::Mutex;
use redb::Database;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;
use tokio::sync::oneshot;

/// The delay before the file is reopened after a failure; it doubles with each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Opens the file, at the start and after each failure.
pub type Opener = Box<dyn Fn() -> Result<Database, AcceptorFileError> + Send>;

/// A queued write, and the sender that reports its sync.
pub(super) struct SyncJob {
    pub(super) write: DurableWrite,
    /// The generation of the state in memory that the write belongs to.
    pub(super) generation: u64,
    pub(super) done: oneshot::Sender<()>,
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
pub(super) struct Shared {
    pub(super) unfinished: AtomicUsize,
    pub(super) generation: AtomicU64,
    pub(super) health: Mutex<Health>,
}

impl Shared {
    /// Has to precede [`Shared::finish`] for the failed jobs: otherwise a reader that sees no
    /// unfinished job could take the state for durable.
    fn fail(&self) {
        *self.health.lock() = Health::Failed;
        self.generation.fetch_add(1, SeqCst);
    }

    pub(super) fn finish(&self, jobs: usize) {
        self.unfinished.fetch_sub(jobs, SeqCst);
    }
}

/// The thread that commits queued writes.
pub(super) struct Committer {
    pub(super) opener: Opener,
    pub(super) id: ReplicaId,
    pub(super) queue: Receiver<SyncJob>,
    pub(super) shared: Arc<Shared>,
}

impl Committer {
    /// Commits queued writes until the queue is closed.
    pub(super) fn run(self, mut database: Database) {
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

    /// Reads the state and writes it once more: a failed commit may have left it where no later
    /// sync would cover it.
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

/// Writes the last promise and the last accepted value of the jobs: ballots only rise, so that
/// these supersede the others.
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
