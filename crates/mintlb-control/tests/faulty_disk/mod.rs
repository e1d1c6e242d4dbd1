//! A disk in memory below redb: full, failing at a sync, hanging, without power.

use mintlb_control::controller::register::AcceptorFileError;
use mintlb_control::controller::register::acceptor_file::{self, Contents};
use mintlb_control::controller::register::acceptor_storage::Opener;
use mintlb_register::acceptor::AcceptorState;
use mintlb_register::replica_set::ReplicaId;
use parking_lot::{Condvar, Mutex};
use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

/// A sync hangs no longer than this.
const LONGEST_HANG: Duration = Duration::from_secs(5);

/// What the disk does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It works.
    Good,
    /// It takes no bytes.
    Full,
    /// It takes bytes, and each sync fails.
    SyncFails,
    /// A sync waits until the mode is another.
    Hangs,
}

#[derive(Debug)]
struct Bytes {
    mode: Mode,
    /// What a read gives.
    written: Vec<u8>,
    /// What a loss of power leaves.
    synced: Vec<u8>,
    longest: usize,
    syncs: usize,
    hanging: usize,
}

/// The disk.
#[derive(Clone, Debug)]
pub struct Disk(Arc<(Mutex<Bytes>, Condvar)>);

impl Disk {
    /// A disk with the file of a new replica.
    pub fn with_replica(id: u64) -> Disk {
        let bytes = Bytes {
            mode: Mode::Good,
            written: Vec::new(),
            synced: Vec::new(),
            longest: 0,
            syncs: 0,
            hanging: 0,
        };
        let disk = Disk(Arc::new((Mutex::new(bytes), Condvar::new())));
        let database = acceptor_file::builder()
            .create_with_backend(disk.clone())
            .unwrap();
        acceptor_file::rewrite(
            &database,
            &Contents {
                id: ReplicaId(id),
                state: AcceptorState::default(),
            },
        )
        .unwrap();
        disk
    }

    /// How a replica opens it.
    pub fn opener(&self) -> Opener {
        let disk = self.clone();
        Box::new(move || {
            let opened = acceptor_file::builder().create_with_backend(disk.clone());
            opened.map_err(|error| AcceptorFileError::Database(error.into()))
        })
    }

    /// It behaves otherwise from now on.
    pub fn set(&self, mode: Mode) {
        self.0.0.lock().mode = mode;
        self.0.1.notify_all();
    }

    /// What was not synced is gone.
    pub fn lose_power(&self) {
        let mut bytes = self.0.0.lock();
        bytes.written = bytes.synced.clone();
    }

    /// Bytes of the file at its largest.
    pub fn longest(&self) -> usize {
        self.0.0.lock().longest
    }

    /// Syncs so far.
    pub fn syncs(&self) -> usize {
        self.0.0.lock().syncs
    }

    /// Waits until a sync hangs.
    pub fn wait_until_it_hangs(&self) {
        let mut bytes = self.0.0.lock();
        while bytes.hanging == 0 {
            self.0.1.wait(&mut bytes);
        }
    }
}

fn full() -> Error {
    Error::from(ErrorKind::StorageFull)
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.0.0.lock().written.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let bytes = self.0.0.lock();
        let offset = offset as usize;
        let Some(part) = bytes.written.get(offset..offset + out.len()) else {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        };
        out.copy_from_slice(part);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        let mut bytes = self.0.0.lock();
        if bytes.mode == Mode::Full && len as usize > bytes.written.len() {
            return Err(full());
        }
        bytes.written.resize(len as usize, 0);
        bytes.longest = bytes.longest.max(len as usize);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), Error> {
        let mut bytes = self.0.0.lock();
        bytes.hanging += 1;
        self.0.1.notify_all();
        while bytes.mode == Mode::Hangs {
            // The end of a test that failed meanwhile waits for this sync.
            if self.0.1.wait_for(&mut bytes, LONGEST_HANG).timed_out() {
                break;
            }
        }
        bytes.hanging -= 1;
        if bytes.mode == Mode::SyncFails {
            return Err(Error::other("the sync failed"));
        }
        bytes.syncs += 1;
        bytes.synced = bytes.written.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let mut bytes = self.0.0.lock();
        if bytes.mode == Mode::Full {
            return Err(full());
        }
        let offset = offset as usize;
        bytes.written[offset..offset + data.len()].copy_from_slice(data);
        Ok(())
    }
}
