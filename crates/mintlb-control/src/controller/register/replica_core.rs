//! The replica of one process as a state machine without I/O: its acceptor, the stopped workers that
//! it keeps for the fleet, the writes that wait for a sync, and the replies withheld until what they
//! promise is durable.
//!
//! The driver hands in events and carries out the returned [`Command`]s in their order. It commits
//! one batch at a time: it takes the batch by [`ReplicaCore::begin_commit`] and reports its end.
//! Writes that queue up during a commit form the next batch (group commit).
//!
//! After a failed commit the state in memory may be ahead of the disk, so that the replica must not
//! reply from it. The core then discards the queue and refuses requests, until the driver hands in
//! the state that it has reloaded from the disk. That state replaces the one in memory at once. After
//! the close every request is refused.

use super::stopped_workers::{StoppedWorker, StoppedWorkerChange, StoppedWorkers};
use mintlb_register::acceptor::{Acceptor, AcceptorResponse, AcceptorState, DurableWrite};
use mintlb_register::ballot::Ballot;
use mintlb_register::message::{AcceptedValue, Reply, Request};
use mintlb_register::replica_set::ReplicaId;

/// Bound on the writes that are queued or being committed; requests beyond it fail.
pub const MAX_PENDING_SYNCS: usize = 256;

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<T> {
    /// Writes wait and no commit is under way: take them by [`ReplicaCore::begin_commit`].
    StartCommit,
    /// The event of this token is complete, and everything that its completion promises is durable.
    Complete {
        /// The caller's token.
        token: T,
        /// What the caller gets.
        completion: Completion,
    },
    /// The event of this token could not be made durable, or was refused. Its caller gets no reply.
    Fail {
        /// The caller's token.
        token: T,
        /// The reason.
        error: NotDurable,
    },
}

/// The reason for which the replica gives no reply. The request may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotDurable {
    /// The disk has failed and is being reopened, or the file is closed.
    #[error("the reply could not be made durable")]
    DiskFailed,
    /// The queue of writes is full.
    #[error("too many writes wait for the disk")]
    QueueFull,
}

/// The result of an event that a caller waits for.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// The reply to a request.
    Reply(Reply),
    /// The chosen value needs no further write.
    Learned,
    /// The stopped worker is on disk.
    WorkerStored,
}

/// What a replica's disk holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaState {
    /// The acceptor's state.
    pub acceptor: AcceptorState,
    /// The workers that have announced their drain or end.
    pub stopped_workers: StoppedWorkers,
}

impl From<AcceptorState> for ReplicaState {
    fn from(acceptor: AcceptorState) -> ReplicaState {
        ReplicaState {
            acceptor,
            ..ReplicaState::default()
        }
    }
}

/// A batch of writes that the driver commits together.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// The generation of the state in memory that the batch belongs to; it rises with each failed
    /// commit.
    pub generation: u64,
    /// What has to be synced of the acceptor's state; `None` if the batch doesn't change it.
    pub write: Option<StateWrite>,
    /// What has to be synced of the stopped workers, in this order.
    pub stopped_workers: Vec<StoppedWorkerChange>,
}

impl Commit {
    /// Whether nothing changes on disk.
    pub fn is_empty(&self) -> bool {
        self.write.is_none() && self.stopped_workers.is_empty()
    }
}

/// The combined writes of a batch to the acceptor's state.
#[derive(Clone, Debug, PartialEq)]
pub struct StateWrite {
    /// The promise.
    pub promised: Ballot,
    /// The value accepted last, unless it is unchanged.
    pub accepted: Option<AcceptedValue>,
}

impl StateWrite {
    /// Combines writes into the last promise and the last accepted value: ballots only rise, so
    /// that these supersede the others.
    fn combine(writes: &[DurableWrite]) -> Option<StateWrite> {
        let promised = writes.iter().rev().find_map(|write| match write {
            DurableWrite::Nothing => None,
            DurableWrite::Promise(ballot) => Some(*ballot),
            DurableWrite::Accepted(accepted) => Some(accepted.ballot),
            DurableWrite::Learned { promised, .. } => Some(*promised),
        })?;
        let accepted = writes.iter().rev().find_map(|write| match write {
            DurableWrite::Accepted(accepted)
            | DurableWrite::Learned {
                chosen: accepted, ..
            } => Some(accepted.clone()),
            DurableWrite::Nothing | DurableWrite::Promise(_) => None,
        });
        Some(StateWrite { promised, accepted })
    }
}

/// Whether the replica may reply from the state in memory.
#[derive(Debug, Default, PartialEq)]
enum Health {
    /// The state is on disk or queued to be synced.
    #[default]
    Good,
    /// A commit has failed: no reply may be given before the state was reloaded.
    Failed,
}

/// A caller whose completion is withheld until the writes before it are durable.
struct Waiter<T> {
    token: T,
    completion: Completion,
}

impl<T> Waiter<T> {
    fn complete(self) -> Command<T> {
        Command::Complete {
            token: self.token,
            completion: self.completion,
        }
    }

    fn fail(self, error: NotDurable) -> Command<T> {
        Command::Fail {
            token: self.token,
            error,
        }
    }
}

/// Writes that are committed together, and who waits for them.
struct Batch<T> {
    writes: Vec<DurableWrite>,
    stopped_workers: Vec<StoppedWorkerChange>,
    waiters: Vec<Waiter<T>>,
}

impl<T> Batch<T> {
    /// The number of writes.
    fn len(&self) -> usize {
        self.writes.len() + self.stopped_workers.len()
    }

    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<T> Default for Batch<T> {
    fn default() -> Batch<T> {
        Batch {
            writes: Vec::new(),
            stopped_workers: Vec::new(),
            waiters: Vec::new(),
        }
    }
}

/// The state machine of one replica. `T` identifies a caller of the driver.
pub struct ReplicaCore<T> {
    acceptor: Acceptor,
    stopped_workers: StoppedWorkers,
    queue: Batch<T>,
    /// The batch of the commit under way.
    committing: Option<Batch<T>>,
    health: Health,
    generation: u64,
    is_closed: bool,
    #[cfg(feature = "mutations")]
    mutation: Mutation,
}

impl<T> ReplicaCore<T> {
    /// A replica with the state that its disk holds.
    pub fn new(id: ReplicaId, state: impl Into<ReplicaState>) -> ReplicaCore<T> {
        let state = state.into();
        ReplicaCore {
            acceptor: Acceptor::new(id, state.acceptor),
            stopped_workers: state.stopped_workers,
            queue: Batch::default(),
            committing: None,
            health: Health::Good,
            generation: 0,
            is_closed: false,
            #[cfg(feature = "mutations")]
            mutation: Mutation::None,
        }
    }

    /// The value accepted last, which may be neither chosen nor durable.
    pub fn accepted(&self) -> Option<&AcceptedValue> {
        self.acceptor.state().accepted.as_ref()
    }

    /// The stopped workers, some of which may not be durable.
    pub fn stopped_workers(&self) -> &StoppedWorkers {
        &self.stopped_workers
    }

    /// Whether writes are queued or being committed.
    pub fn is_busy(&self) -> bool {
        self.pending_syncs() > 0
    }

    /// Whether [`ReplicaCore::close`] was called.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Handles a request. It completes once everything that the reply promises is durable.
    pub fn on_request(&mut self, request: Request, token: T) -> Vec<Command<T>> {
        if let Err(error) = self.admit() {
            return vec![Command::Fail { token, error }];
        }
        let AcceptorResponse {
            durable_write,
            reply,
        } = self.acceptor.handle(request);
        let waiter = Waiter {
            token,
            completion: Completion::Reply(reply),
        };
        #[cfg(feature = "mutations")]
        if self.mutation.replies_early(&durable_write) {
            return self.reply_early(durable_write, waiter);
        }
        self.complete_once_durable(durable_write, waiter)
    }

    /// Learns a chosen value that has not reached this replica, so that its disk is as recent as
    /// those of the majority. Completes at once if it has this value or a newer one, or is no
    /// member of the value's replica set.
    pub fn on_chosen(&mut self, chosen: &AcceptedValue, token: T) -> Vec<Command<T>> {
        let waiter = Waiter {
            token,
            completion: Completion::Learned,
        };
        if let Err(error) = self.admit() {
            return vec![waiter.fail(error)];
        }
        if !self.is_behind(chosen) || !self.is_member(chosen) {
            return vec![waiter.complete()];
        }
        let write = self.acceptor.learn(chosen);
        self.complete_once_durable(write, waiter)
    }

    /// Stores a worker that has announced its drain or end. Completes once this version of its
    /// record, or a newer one, is durable.
    pub fn on_worker_stopped(&mut self, stopped: StoppedWorker, token: T) -> Vec<Command<T>> {
        let waiter = Waiter {
            token,
            completion: Completion::WorkerStored,
        };
        if let Err(error) = self.admit() {
            return vec![waiter.fail(error)];
        }
        #[cfg(feature = "mutations")]
        if self.mutation == Mutation::StoppedWorkerInMemory {
            self.stopped_workers.insert(stopped);
            return vec![waiter.complete()];
        }
        let Some(change) = self.stopped_workers.insert(stopped) else {
            return self.complete_once_durable(DurableWrite::Nothing, waiter);
        };
        self.queue.waiters.push(waiter);
        self.queue.stopped_workers.push(change);
        self.start_commit()
    }

    /// Takes all queued writes for the next commit; `None` if none is queued or a commit is under
    /// way.
    pub fn begin_commit(&mut self) -> Option<Commit> {
        if self.committing.is_some() || self.queue.is_empty() {
            return None;
        }
        let batch = std::mem::take(&mut self.queue);
        let commit = Commit {
            generation: self.generation,
            write: StateWrite::combine(&batch.writes),
            stopped_workers: batch.stopped_workers.clone(),
        };
        self.committing = Some(batch);
        Some(commit)
    }

    /// The commit under way is durable. A report of a former generation is ignored.
    pub fn on_commit_succeeded(&mut self, generation: u64) -> Vec<Command<T>> {
        if generation != self.generation {
            return Vec::new();
        }
        let batch = self.committing.take().unwrap_or_default();
        let mut commands: Vec<_> = batch.waiters.into_iter().map(Waiter::complete).collect();
        if !self.queue.is_empty() {
            commands.push(Command::StartCommit);
        }
        commands
    }

    /// The commit under way has failed. The queued writes belong to the same generation, which must
    /// not reach the disk any more: they fail with it. A report of a former generation is ignored.
    pub fn on_commit_failed(&mut self, generation: u64) -> Vec<Command<T>> {
        if generation != self.generation {
            return Vec::new();
        }
        self.health = Health::Failed;
        self.generation += 1;
        let failed = self.committing.take().unwrap_or_default();
        let queued = std::mem::take(&mut self.queue);
        let waiters = failed.waiters.into_iter().chain(queued.waiters);
        waiters
            .map(|waiter| waiter.fail(NotDurable::DiskFailed))
            .collect()
    }

    /// The disk accepts writes again; `state` was read from it and is durable. It replaces the one in
    /// memory.
    pub fn on_reloaded(&mut self, state: impl Into<ReplicaState>) {
        let state = state.into();
        self.acceptor = Acceptor::new(self.acceptor.id(), state.acceptor);
        self.stopped_workers = state.stopped_workers;
        self.health = Health::Good;
    }

    /// Refuses later requests. The queued writes still have to be committed.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// The driver commits no more writes: those that wait fail, unless there are none.
    pub fn on_committer_stopped(&mut self) -> Vec<Command<T>> {
        self.close();
        match self.is_busy() {
            true => self.on_commit_failed(self.generation),
            false => Vec::new(),
        }
    }

    /// Checks whether a request may be handled. A refused one must leave no trace in memory, as no write
    /// would follow it.
    fn admit(&self) -> Result<(), NotDurable> {
        if self.is_closed || self.health == Health::Failed {
            return Err(NotDurable::DiskFailed);
        }
        if self.pending_syncs() >= MAX_PENDING_SYNCS {
            return Err(NotDurable::QueueFull);
        }
        Ok(())
    }

    /// Withholds a completion until the write and all earlier ones are durable.
    fn complete_once_durable(&mut self, write: DurableWrite, waiter: Waiter<T>) -> Vec<Command<T>> {
        if write == DurableWrite::Nothing && self.is_synced() {
            return vec![waiter.complete()];
        }
        self.queue.waiters.push(waiter);
        self.enqueue(write)
    }

    fn enqueue(&mut self, write: DurableWrite) -> Vec<Command<T>> {
        self.queue.writes.push(write);
        self.start_commit()
    }

    /// The command for queued writes, unless the commit under way will be followed by theirs.
    fn start_commit(&self) -> Vec<Command<T>> {
        match &self.committing {
            None => vec![Command::StartCommit],
            Some(_) => Vec::new(),
        }
    }

    fn pending_syncs(&self) -> usize {
        self.queue.len() + self.committing.as_ref().map_or(0, Batch::len)
    }

    /// Whether the state in memory is on disk.
    fn is_synced(&self) -> bool {
        !self.is_busy() && self.health == Health::Good
    }

    fn is_behind(&self, chosen: &AcceptedValue) -> bool {
        self.accepted()
            .is_none_or(|accepted| accepted.ballot < chosen.ballot)
    }

    fn is_member(&self, chosen: &AcceptedValue) -> bool {
        let mut members = chosen.state.replicas.members();
        members.any(|member| member.id == self.acceptor.id())
    }
}

/// A fault planted by a test of the checks that have to find it.
#[cfg(feature = "mutations")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    /// None.
    #[default]
    None,
    /// A promise is replied to without a sync, and never synced by itself.
    PromiseNotSynced,
    /// Each reply precedes its sync.
    AnswerBeforeSync,
    /// A stopped worker is kept in memory alone.
    StoppedWorkerInMemory,
}

#[cfg(feature = "mutations")]
impl Mutation {
    fn replies_early(self, write: &DurableWrite) -> bool {
        match self {
            Mutation::None | Mutation::StoppedWorkerInMemory => false,
            Mutation::PromiseNotSynced => matches!(write, DurableWrite::Promise(_)),
            Mutation::AnswerBeforeSync => true,
        }
    }
}

#[cfg(feature = "mutations")]
impl<T> ReplicaCore<T> {
    /// Plants a fault from now on.
    pub fn plant(&mut self, mutation: Mutation) {
        self.mutation = mutation;
    }

    fn reply_early(&mut self, write: DurableWrite, waiter: Waiter<T>) -> Vec<Command<T>> {
        let write = match self.mutation {
            Mutation::PromiseNotSynced => DurableWrite::Nothing,
            _ => write,
        };
        let mut commands = self.enqueue(write);
        commands.push(waiter.complete());
        commands
    }
}
