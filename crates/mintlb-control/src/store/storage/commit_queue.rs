//! Group commit: one thread commits to the file; what is queued while a commit is in progress goes
//! into the next one.

use super::error::DiskError;
use super::shard_storage::{ShardStorage, ShardWrite};
use mintlb_batch::replica::{AfterSync, DiskWrite};
use parking_lot::{Condvar, Mutex, MutexGuard};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// Writes wait this long for others that can share their commit,
const GROUP_COMMIT_DELAY: Duration = Duration::from_millis(6);
/// unless so many bytes are queued.
const GROUP_COMMIT_BYTES: usize = 64 << 10;
/// Bytes in the queue above which the store accepts nothing new: bounds its memory while the disk
/// is slow.
pub const MAX_QUEUED_BYTES: usize = 12 << 20;
/// A commit that takes this long shows that the disk does not respond.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Bytes that a write takes in the queue beside its entry.
const WRITE_OVERHEAD_BYTES: usize = 64;
/// Name of the thread.
const THREAD_NAME: &str = "lots-commit";

/// What a shard's replica does once the writes before it are durable.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardContinuation {
    /// The shard.
    pub shard: u32,
    /// To be handed back to its replica.
    pub after_sync: AfterSync,
}

/// The continuations of a commit, or why it failed.
pub type CommitOutcome = Result<Vec<ShardContinuation>, DiskError>;

/// What became of writes that were given to [`CommitQueue::enqueue`].
#[derive(Debug, PartialEq)]
#[must_use]
pub enum Enqueued {
    /// They are part of a later commit, whose outcome brings the continuations.
    Queued,
    /// There was nothing to wait for: the caller is to run these continuations now.
    AlreadyDurable(Vec<AfterSync>),
    /// A commit has failed and the file is not open again: they were discarded.
    Discarded,
}

struct CommitBatch {
    writes: Vec<ShardWrite>,
    continuations: Vec<ShardContinuation>,
}

#[derive(Default)]
struct QueueState {
    writes: Vec<ShardWrite>,
    /// Continuations of the next commit.
    continuations: Vec<ShardContinuation>,
    /// Continuations that were queued without writes while a commit was in progress: they run after
    /// that one.
    current_continuations: Vec<ShardContinuation>,
    /// Bytes of `writes`.
    bytes: usize,
    /// Since when a commit is in progress.
    commit_started: Option<Instant>,
    /// A commit failed: all writes are discarded until the file has been opened again.
    failed: bool,
}

impl QueueState {
    fn is_idle(&self) -> bool {
        self.writes.is_empty() && self.commit_started.is_none()
    }

    fn push(&mut self, shard: u32, writes: Vec<DiskWrite>, after: Vec<AfterSync>) {
        self.bytes += writes.iter().map(queued_bytes).sum::<usize>();
        let writes = writes.into_iter();
        self.writes
            .extend(writes.map(|write| ShardWrite { shard, write }));
        let continuations = after
            .into_iter()
            .map(|after_sync| ShardContinuation { shard, after_sync });
        match self.writes.is_empty() {
            true => self.current_continuations.extend(continuations),
            false => self.continuations.extend(continuations),
        }
    }

    fn take_batch(&mut self) -> CommitBatch {
        self.commit_started = Some(Instant::now());
        self.bytes = 0;
        CommitBatch {
            writes: std::mem::take(&mut self.writes),
            continuations: std::mem::take(&mut self.continuations),
        }
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<QueueState>,
    writes_queued: Condvar,
}

/// Queue of the commit thread. Cheap to clone.
#[derive(Clone)]
pub struct CommitQueue {
    shared: Arc<Shared>,
}

impl CommitQueue {
    /// Starts the thread. It sends the outcome of each commit; after a failed one all writes are
    /// discarded until [`CommitQueue::resume`]. The thread is never joined: a disk that does not
    /// respond would keep the process from ending. It ends by itself once nobody receives the
    /// outcomes.
    ///
    /// # Errors
    ///
    /// If the system starts no thread.
    pub fn start(
        storage: ShardStorage,
        outcomes: UnboundedSender<CommitOutcome>,
    ) -> std::io::Result<CommitQueue> {
        let queue = CommitQueue {
            shared: Arc::default(),
        };
        let worker = queue.clone();
        std::thread::Builder::new()
            .name(THREAD_NAME.to_string())
            .spawn(move || worker.run(&storage, &outcomes))?;
        Ok(queue)
    }

    fn run(&self, storage: &ShardStorage, outcomes: &UnboundedSender<CommitOutcome>) {
        loop {
            let batch = self.next_batch();
            let result = storage.commit(&batch.writes);
            drop(batch.writes);
            let continuations = self.finish_commit(batch.continuations, result.is_err());
            if let Err(error) = &result {
                log::error!("store: a commit failed: {error}");
            }
            if outcomes.send(result.map(|()| continuations)).is_err() {
                return;
            }
        }
    }

    /// Waits for writes, and for a while for more of them.
    fn next_batch(&self) -> CommitBatch {
        let Shared {
            state,
            writes_queued,
        } = &*self.shared;
        let mut state = state.lock();
        while state.writes.is_empty() {
            writes_queued.wait(&mut state);
        }
        let deadline = Instant::now() + GROUP_COMMIT_DELAY;
        while state.bytes < GROUP_COMMIT_BYTES
            && !writes_queued.wait_until(&mut state, deadline).timed_out()
        {}
        state.take_batch()
    }

    /// Returns all continuations of the commit that has ended.
    fn finish_commit(
        &self,
        mut continuations: Vec<ShardContinuation>,
        failed: bool,
    ) -> Vec<ShardContinuation> {
        let mut state = self.state();
        state.commit_started = None;
        continuations.append(&mut state.current_continuations);
        if failed {
            *state = QueueState {
                failed: true,
                ..QueueState::default()
            };
        }
        continuations
    }

    fn state(&self) -> MutexGuard<'_, QueueState> {
        self.shared.state.lock()
    }

    /// Accepts writes again, after the file was opened again.
    pub fn resume(&self) {
        self.state().failed = false;
    }

    /// Whether nothing is queued and no commit is in progress.
    pub fn is_idle(&self) -> bool {
        self.state().is_idle()
    }

    /// Whether a commit has been in progress for so long that the disk counts as one that does not
    /// respond.
    pub fn is_stalled(&self, now: Instant) -> bool {
        let started = self.state().commit_started;
        started.is_some_and(|started| now.saturating_duration_since(started) >= STALL_TIMEOUT)
    }

    /// Whether so much is queued that the store should accept nothing new.
    pub fn is_full(&self) -> bool {
        self.state().bytes > MAX_QUEUED_BYTES
    }

    /// Queues a shard's writes for one commit, and what its replica does after it.
    pub fn enqueue(&self, shard: u32, writes: Vec<DiskWrite>, after: Vec<AfterSync>) -> Enqueued {
        let mut state = self.state();
        if state.failed {
            return Enqueued::Discarded;
        }
        if writes.is_empty() && state.is_idle() {
            return Enqueued::AlreadyDurable(after);
        }
        let was_empty = state.writes.is_empty();
        let bytes_before = state.bytes;
        state.push(shard, writes, after);
        let reached_group_size =
            bytes_before < GROUP_COMMIT_BYTES && state.bytes >= GROUP_COMMIT_BYTES;
        if (was_empty || reached_group_size) && !state.writes.is_empty() {
            drop(state);
            self.shared.writes_queued.notify_one();
        }
        Enqueued::Queued
    }
}

fn queued_bytes(write: &DiskWrite) -> usize {
    match write {
        DiskWrite::Put(_, bytes) => bytes.len() + WRITE_OVERHEAD_BYTES,
        _ => WRITE_OVERHEAD_BYTES,
    }
}
