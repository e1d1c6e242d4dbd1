//! A disk in memory below redb that can be full, fail at a sync, hang, or lose power.

use mintlb_control::controller::register::AcceptorFileError;
use mintlb_control::controller::register::acceptor_file::{self, Contents};
use mintlb_control::controller::register::acceptor_storage::Opener;
use mintlb_control::controller::register::replica_core::ReplicaState;
use mintlb_register::replica_set::ReplicaId;
use parking_lot::{Condvar, Mutex};
use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

/// How long a sync hangs at most.
const MAX_HANG: Duration = Duration::from_secs(5);

/// The behavior of the disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It works.
    Good,
    /// It rejects writes for lack of space.
    Full,
    /// It accepts writes, and each sync fails.
    SyncFails,
    /// A sync waits until the mode changes.
    Hangs,
}

#[derive(Debug)]
struct Bytes {
    mode: Mode,
    /// The bytes that a read returns.
    written: Vec<u8>,
    /// The bytes that survive a power loss.
    synced: Vec<u8>,
    max_length: usize,
    syncs: usize,
    hanging: usize,
}

/// The disk.
#[derive(Clone, Debug)]
pub struct FaultyDisk(Arc<(Mutex<Bytes>, Condvar)>);

impl FaultyDisk {
    /// A disk with the file of a new replica.
    pub fn with_replica(id: u64) -> FaultyDisk {
        let bytes = Bytes {
            mode: Mode::Good,
            written: Vec::new(),
            synced: Vec::new(),
            max_length: 0,
            syncs: 0,
            hanging: 0,
        };
        let disk = FaultyDisk(Arc::new((Mutex::new(bytes), Condvar::new())));
        let database = acceptor_file::builder()
            .create_with_backend(disk.clone())
            .unwrap();
        acceptor_file::rewrite(
            &database,
            &Contents {
                id: ReplicaId(id),
                state: ReplicaState::default(),
            },
        )
        .unwrap();
        disk
    }

    /// The opener for a replica.
    pub fn opener(&self) -> Opener {
        let disk = self.clone();
        Box::new(move || {
            let opened = acceptor_file::builder().create_with_backend(disk.clone());
            opened.map_err(|error| AcceptorFileError::Database(error.into()))
        })
    }

    /// Changes the behavior.
    pub fn set_mode(&self, mode: Mode) {
        self.0.0.lock().mode = mode;
        self.0.1.notify_all();
    }

    /// Discards what was not synced.
    pub fn lose_power(&self) {
        let mut bytes = self.0.0.lock();
        bytes.written = bytes.synced.clone();
    }

    /// The largest length of the file, in bytes.
    pub fn max_length(&self) -> usize {
        self.0.0.lock().max_length
    }

    /// The number of syncs.
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

impl StorageBackend for FaultyDisk {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.0.0.lock().written.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let bytes = self.0.0.lock();
        let offset = offset as usize;
        let Some(written) = bytes.written.get(offset..offset + out.len()) else {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        };
        out.copy_from_slice(written);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        let mut bytes = self.0.0.lock();
        if bytes.mode == Mode::Full && len as usize > bytes.written.len() {
            return Err(full());
        }
        bytes.written.resize(len as usize, 0);
        bytes.max_length = bytes.max_length.max(len as usize);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), Error> {
        let mut bytes = self.0.0.lock();
        bytes.hanging += 1;
        self.0.1.notify_all();
        while bytes.mode == Mode::Hangs {
            // A test that failed meanwhile must still be able to end.
            if self.0.1.wait_for(&mut bytes, MAX_HANG).timed_out() {
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
