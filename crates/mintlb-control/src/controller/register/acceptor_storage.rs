//! Durable storage of a replica's state: the driver of its [`ReplicaCore`]. A thread of
//! its own syncs the file; writes that queue up during a sync are committed together (group
//! commit).
//!
//! After a failed commit the thread reopens the file, with a bounded backoff, until the disk
//! accepts writes again. It then rewrites the state that it finds in the file and hands it back,
//! and the replica resumes from what is durable.

pub use super::acceptor_file::FILE;
use super::acceptor_file::{self, Contents};
use super::acceptor_file_error::AcceptorFileError;
pub use super::committer::Opener;
use super::committer::{Caller, Committer, Shared};
pub use super::replica_core::MAX_PENDING_SYNCS;
use super::replica_core::{Command, Completion, NotDurable, ReplicaCore};
use super::stopped_workers::{StoppedWorker, StoppedWorkers};
use mintlb_register::acceptor::AcceptorState;
use mintlb_register::message::{AcceptedValue, Request};
use mintlb_register::replica_set::ReplicaId;
use parking_lot::{Condvar, Mutex};
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// The name under which a damaged file is kept for examination.
const QUARANTINED_FILE: &str = "register.redb.unreadable";

/// The file and its thread. Dropping it waits until the thread has closed the file.
pub struct AcceptorStorage {
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
        let acceptor = state.acceptor.clone();
        let shared = Arc::new(Shared {
            core: Mutex::new(ReplicaCore::new(id, state)),
            wake: Condvar::new(),
        });
        let committer = Committer {
            opener,
            id,
            shared: shared.clone(),
        };
        let thread = std::thread::Builder::new()
            .name("register-sync".to_string())
            .spawn(move || committer.run(database))
            .map_err(|cause| AcceptorFileError::io(Path::new(FILE), cause))?;
        let storage = AcceptorStorage {
            thread: Mutex::new(Some(thread)),
            shared,
        };
        Ok(OpenedAcceptor {
            storage,
            id,
            state: acceptor,
        })
    }

    /// Waits until all queued writes are synced and the file is closed. Later writes fail.
    pub fn close(&self) {
        self.shared.core.lock().close();
        self.shared.wake.notify_all();
        if let Some(thread) = self.thread.lock().take() {
            thread.join().ok();
        }
    }

    /// The value that the replica accepted last, which may not be chosen.
    pub fn accepted(&self) -> Option<AcceptedValue> {
        self.shared.core.lock().accepted().cloned()
    }

    /// The workers that have announced their drain or end.
    pub fn stopped_workers(&self) -> StoppedWorkers {
        self.shared.core.lock().stopped_workers().clone()
    }

    /// Stores a worker that has announced its drain or end. The receiver resolves once this version
    /// of its record or a newer one is durable, and fails if that could not be done.
    pub fn store_stopped_worker(
        &self,
        stopped: StoppedWorker,
    ) -> oneshot::Receiver<Result<Completion, NotDurable>> {
        self.submit(|core, caller| core.on_worker_stopped(stopped, caller))
    }

    /// Whether queued writes are not finished yet.
    pub fn is_busy(&self) -> bool {
        self.shared.core.lock().is_busy()
    }

    /// Handles a request. The receiver resolves to the reply once everything that it promises is
    /// durable, and fails if that could not be done, or while the queue of writes is full.
    pub fn request(&self, request: Request) -> oneshot::Receiver<Result<Completion, NotDurable>> {
        self.submit(|core, caller| core.on_request(request, caller))
    }

    /// Learns a chosen value if the replica is a member of its replica set and has an older one.
    /// The receiver resolves once it is durable, and fails if that could not be done.
    pub fn learn(
        &self,
        chosen: &AcceptedValue,
    ) -> oneshot::Receiver<Result<Completion, NotDurable>> {
        self.submit(|core, caller| core.on_chosen(chosen, caller))
    }

    fn submit(
        &self,
        event: impl FnOnce(&mut ReplicaCore<Caller>, Caller) -> Vec<Command<Caller>>,
    ) -> oneshot::Receiver<Result<Completion, NotDurable>> {
        let (caller, receiver) = oneshot::channel();
        let commands = event(&mut self.shared.core.lock(), caller);
        self.shared.carry_out(commands);
        receiver
    }
}
