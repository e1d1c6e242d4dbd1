//! The thread that commits a replica's acceptor state, and its recovery after a failed commit.

use super::acceptor_file;
use super::acceptor_file_error::{AcceptorFileError, Damage};
use super::replica_core::{Command, Commit, Completion, NotDurable, ReplicaCore, ReplicaState};
use mintlb_register::replica_set::ReplicaId;
use parking_lot::{Condvar, Mutex};
use redb::Database;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The delay before the file is reopened after a failure; it doubles with each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Opens the file, at the start and after each failure.
pub type Opener = Box<dyn Fn() -> Result<Database, AcceptorFileError> + Send>;

/// The sender that resolves a caller's completion.
pub(super) type Caller = oneshot::Sender<Result<Completion, NotDurable>>;

/// State shared by the thread and its owner.
pub(super) struct Shared {
    /// Never locked across a sync or an await.
    pub(super) core: Mutex<ReplicaCore<Caller>>,
    /// Notified when writes wait for the thread, and at the close.
    pub(super) wake: Condvar,
}

impl Shared {
    /// Carries out commands. The core must not be locked by the caller.
    pub(super) fn carry_out(&self, commands: Vec<Command<Caller>>) {
        for command in commands {
            match command {
                Command::StartCommit => {
                    self.wake.notify_one();
                }
                Command::Complete { token, completion } => {
                    token.send(Ok(completion)).ok();
                }
                Command::Fail { token, error } => {
                    token.send(Err(error)).ok();
                }
            }
        }
    }
}

/// The thread that commits queued writes.
pub(super) struct Committer {
    pub(super) opener: Opener,
    pub(super) id: ReplicaId,
    pub(super) shared: Arc<Shared>,
}

/// If the thread panics, the writes that wait for it fail, as do later ones.
impl Drop for Committer {
    fn drop(&mut self) {
        let commands = self.shared.core.lock().on_committer_stopped();
        self.shared.carry_out(commands);
    }
}

impl Committer {
    /// Commits queued writes until the replica is closed and none is left.
    pub(super) fn run(self, mut database: Database) {
        while let Some(commit) = self.next_commit() {
            let Err(error) = acceptor_file::write(&database, &commit) else {
                let commands = self
                    .shared
                    .core
                    .lock()
                    .on_commit_succeeded(commit.generation);
                self.shared.carry_out(commands);
                continue;
            };
            log::error!(
                "register: a sync of the acceptor state failed, replica {:x} stops replying until its disk recovers: {error}",
                self.id.0
            );
            let commands = self.shared.core.lock().on_commit_failed(commit.generation);
            self.shared.carry_out(commands);
            drop(database);
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

    /// Waits for the next batch; `None` once the replica is closed and no write is left.
    fn next_commit(&self) -> Option<Commit> {
        let mut core = self.shared.core.lock();
        loop {
            if let Some(commit) = core.begin_commit() {
                return Some(commit);
            }
            if core.is_closed() {
                return None;
            }
            self.shared.wake.wait(&mut core);
        }
    }

    /// The file, once it can be read and written again; `None` if the replica is closed.
    fn reopen(&self) -> Option<Database> {
        let mut backoff = INITIAL_BACKOFF;
        while !self.is_closed_within(backoff) {
            match self.reload() {
                Ok((database, state)) => {
                    self.shared.core.lock().on_reloaded(state);
                    return Some(database);
                }
                Err(error) => log::debug!("register: the file can't be reopened yet: {error}"),
            }
            backoff = (2 * backoff).min(MAX_BACKOFF);
        }
        None
    }

    /// Waits for a delay, or until the replica is closed.
    fn is_closed_within(&self, delay: Duration) -> bool {
        let mut core = self.shared.core.lock();
        self.shared
            .wake
            .wait_while_for(&mut core, |core| !core.is_closed(), delay);
        core.is_closed()
    }

    /// Reads the state and writes it once more: a failed commit may have left it where no later
    /// sync would cover it.
    fn reload(&self) -> Result<(Database, ReplicaState), AcceptorFileError> {
        let database = (self.opener)()?;
        let contents = acceptor_file::read(&database)?;
        if contents.id != self.id {
            return Err(AcceptorFileError::Damaged(Damage::ForeignIdentity));
        }
        acceptor_file::rewrite(&database, &contents)?;
        Ok((database, contents.state))
    }
}
