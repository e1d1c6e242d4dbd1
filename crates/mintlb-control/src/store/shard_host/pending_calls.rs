//! Calls of one shard that wait for its replica: for a commit, for a result, or for the followers'
//! confirmation.

use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// How the wait for a commit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitStatus {
    /// The entry is committed.
    Committed,
    /// It is not known whether the entry will be committed: the replica stepped down, the disk
    /// failed or time ran out.
    Indeterminate,
}

/// A wait for the commit of an entry.
pub struct CommitWait(oneshot::Receiver<()>);

impl CommitWait {
    /// Waits for the commit, for `limit` at most.
    pub async fn status(self, limit: Duration) -> CommitStatus {
        match timeout(limit, self.0).await {
            Ok(Ok(())) => CommitStatus::Committed,
            _ => CommitStatus::Indeterminate,
        }
    }
}

/// A wait that ends when there is something new to look at, or when the replica has stepped down.
pub type Wakeup = oneshot::Receiver<()>;

/// A result whose commit wakes the readers of its job.
struct PendingResult {
    index: u64,
    job: u64,
}

/// The waiting calls of a shard. Dropping it ends all waits: commits as
/// [`CommitStatus::Indeterminate`].
#[derive(Default)]
pub struct PendingCalls {
    /// Calls that wait for a commit, by the index of their entry.
    commits: BTreeMap<u64, Vec<oneshot::Sender<()>>>,
    /// Results that are not committed yet, in ascending order of their indexes.
    results: VecDeque<PendingResult>,
    /// Readers that wait for the next result of a job.
    readers: FxHashMap<u64, Vec<oneshot::Sender<()>>>,
    /// Readers that wait for a confirmation by the followers.
    confirmations: Vec<oneshot::Sender<()>>,
}

impl PendingCalls {
    /// Waits for the commit of the entry at `index`.
    pub fn wait_for_commit(&mut self, index: u64) -> CommitWait {
        let (waiter, receiver) = oneshot::channel();
        self.commits.entry(index).or_default().push(waiter);
        CommitWait(receiver)
    }

    /// Wakes the readers of `job` once the result at `index` is committed.
    pub fn track_result(&mut self, index: u64, job: u64) {
        self.results.push_back(PendingResult { index, job });
    }

    /// Waits for the next result of `job`.
    pub fn wait_for_result(&mut self, job: u64) -> Wakeup {
        let (waiter, receiver) = oneshot::channel();
        let readers = self.readers.entry(job).or_default();
        readers.retain(|reader| !reader.is_closed());
        readers.push(waiter);
        receiver
    }

    /// Waits for a confirmation by the followers.
    pub fn wait_for_confirmation(&mut self) -> Wakeup {
        let (waiter, receiver) = oneshot::channel();
        self.confirmations.retain(|reader| !reader.is_closed());
        self.confirmations.push(waiter);
        receiver
    }

    /// Jobs that readers wait for.
    pub fn jobs_with_readers(&self) -> usize {
        self.readers.len()
    }

    /// Removes readers whose calls have ended meanwhile.
    pub fn remove_abandoned_readers(&mut self) {
        self.readers.retain(|_, readers| {
            readers.retain(|reader| !reader.is_closed());
            !readers.is_empty()
        });
    }

    /// Wakes the calls that wait for an entry or a result up to and including `through`.
    pub fn on_committed(&mut self, through: u64) {
        while let Some(first) = self
            .commits
            .first_entry()
            .filter(|entry| *entry.key() <= through)
        {
            wake(first.remove());
        }
        while let Some(result) = self.results.pop_front_if(|result| result.index <= through) {
            wake(self.readers.remove(&result.job).unwrap_or_default());
        }
    }

    /// Wakes the readers that wait for a confirmation.
    pub fn on_confirmed(&mut self) {
        wake(std::mem::take(&mut self.confirmations));
    }
}

fn wake(waiters: Vec<oneshot::Sender<()>>) {
    for waiter in waiters {
        // A call that has ended meanwhile needs no wake-up.
        waiter.send(()).ok();
    }
}
