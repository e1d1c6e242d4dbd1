//! The thread that commits: what waits meanwhile goes into one commit.

use super::StoreError;
use super::disk::{LoadedShards, LotDisk};
use super::file::DiskError;
use mintlb_batch::replica::{AfterSync, DiskWrite};
use parking_lot::{Condvar, Mutex};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// Small writes wait so long for others to share their commit,
const LINGER: Duration = Duration::from_millis(6);
/// until there are so many bytes.
const WORTH_A_COMMIT: usize = 64 << 10;
/// Writes that wait for a commit take no more than this; the store takes nothing new meanwhile.
pub const MOST_WAITING: usize = 12 << 20;
/// A commit that takes so long tells that the disk answers nothing.
const STALLED: Duration = Duration::from_millis(1500);

/// An opened file with its thread.
pub struct Opened {
    /// The file.
    pub disk: LotDisk,
    /// Its thread.
    pub writer: Writer,
    /// What it held, by shard.
    pub shards: LoadedShards,
}

/// What follows a commit, by shard, or that it failed.
pub type Committed = Result<Vec<(u32, AfterSync)>, DiskError>;

/// What goes into one commit, and what follows it.
struct Batch {
    writes: Vec<(u32, DiskWrite)>,
    after: Vec<(u32, AfterSync)>,
}

#[derive(Default)]
struct Waiting {
    writes: Vec<(u32, DiskWrite)>,
    after: Vec<(u32, AfterSync)>,
    /// What follows the commit under way beside what it was begun with.
    after_current: Vec<(u32, AfterSync)>,
    bytes: usize,
    /// Since when a commit is under way.
    committing: Option<Instant>,
    /// A commit failed: nothing is taken until the file has been opened again.
    failed: bool,
}

/// The thread that commits. Cheap to clone.
#[derive(Clone)]
pub struct Writer {
    shared: Arc<(Mutex<Waiting>, Condvar)>,
}

impl Writer {
    /// Starts the thread. After each commit it says what follows; after a failed one that it failed, and then
    /// drops all that it is given until [`Writer::resume`].
    pub fn start(
        disk: LotDisk,
        committed: UnboundedSender<Committed>,
    ) -> Result<Writer, StoreError> {
        let writer = Writer {
            shared: Arc::default(),
        };
        let worker = writer.clone();
        std::thread::Builder::new()
            .name("lots-commit".to_string())
            .spawn(move || worker.work(&disk, &committed))
            .map_err(StoreError::System)?;
        Ok(writer)
    }

    fn work(&self, disk: &LotDisk, committed: &UnboundedSender<Committed>) {
        loop {
            let Batch { writes, mut after } = self.next();
            let outcome = disk.commit(&writes);
            drop(writes);
            {
                let mut waiting = self.shared.0.lock();
                waiting.committing = None;
                after.append(&mut waiting.after_current);
                if outcome.is_err() {
                    *waiting = Waiting {
                        failed: true,
                        ..Waiting::default()
                    };
                }
            }
            if let Err(error) = &outcome {
                log::error!("store: a commit failed: {error}");
            }
            if committed.send(outcome.map(|()| after)).is_err() {
                return;
            }
        }
    }

    /// Takes changes again, after the file was opened again.
    pub fn resume(&self) {
        self.shared.0.lock().failed = false;
    }

    fn next(&self) -> Batch {
        let (lock, condition) = &*self.shared;
        let mut waiting = lock.lock();
        while waiting.writes.is_empty() {
            condition.wait(&mut waiting);
        }
        let until = Instant::now() + LINGER;
        while waiting.bytes < WORTH_A_COMMIT
            && !condition.wait_until(&mut waiting, until).timed_out()
        {}
        waiting.committing = Some(Instant::now());
        waiting.bytes = 0;
        Batch {
            writes: std::mem::take(&mut waiting.writes),
            after: std::mem::take(&mut waiting.after),
        }
    }

    /// Whether nothing is on its way to the disk.
    pub fn is_idle(&self) -> bool {
        let waiting = self.shared.0.lock();
        waiting.writes.is_empty() && waiting.committing.is_none()
    }

    /// Whether a commit has been under way for so long that the disk counts as one that answers nothing.
    pub fn is_stalled(&self, now: Instant) -> bool {
        let since = self.shared.0.lock().committing;
        since.is_some_and(|since| now.saturating_duration_since(since) >= STALLED)
    }

    /// Whether so much waits that nothing new should be taken.
    pub fn is_full(&self) -> bool {
        self.shared.0.lock().bytes > MOST_WAITING
    }

    /// Has a shard's changes committed together, and says what follows. If nothing has to be waited for, what
    /// follows is given back at once. After a failed commit nothing is done and nothing follows.
    pub fn write(
        &self,
        shard: u32,
        writes: Vec<DiskWrite>,
        after: Vec<AfterSync>,
    ) -> Result<(), Vec<AfterSync>> {
        let (lock, condition) = &*self.shared;
        let mut waiting = lock.lock();
        if waiting.failed {
            return Ok(());
        }
        if writes.is_empty() && waiting.writes.is_empty() && waiting.committing.is_none() {
            return Err(after);
        }
        let before = waiting.bytes;
        waiting.bytes += writes.iter().map(bytes_of).sum::<usize>();
        let enough = before < WORTH_A_COMMIT && waiting.bytes >= WORTH_A_COMMIT;
        let idle = waiting.writes.is_empty();
        waiting
            .writes
            .extend(writes.into_iter().map(|write| (shard, write)));
        let after = after.into_iter().map(|after| (shard, after));
        match waiting.writes.is_empty() {
            true => waiting.after_current.extend(after),
            false => waiting.after.extend(after),
        }
        if (idle || enough) && !waiting.writes.is_empty() {
            drop(waiting);
            condition.notify_one();
        }
        Ok(())
    }
}

fn bytes_of(write: &DiskWrite) -> usize {
    match write {
        DiskWrite::Put(_, bytes) => bytes.len() + 64,
        _ => 64,
    }
}
