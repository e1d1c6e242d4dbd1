//! Files of a disk that can be full, hang, or lose power: writes that were not synced then survive,
//! are lost or torn.
#![allow(dead_code)]

use mintlb_control::store::storage::file::{CACHE_BYTES, DatabaseOpener};
use parking_lot::{Condvar, Mutex};
use redb::backends::FileBackend;
use redb::{Database, StorageBackend};
use std::io::{Error, ErrorKind};
use std::path::Path;
use std::sync::Arc;

/// A change of the file.
#[derive(Clone, Debug)]
enum Change {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug, Default)]
struct State {
    /// It rejects all writes.
    full: bool,
    /// Writes and syncs wait.
    stalled: bool,
    /// Writes and syncs until the power fails.
    remaining: Option<u64>,
    /// The file has been opened.
    opened: bool,
    /// The bytes that the last sync covered.
    durable: Vec<u8>,
    /// The changes since then.
    unsynced: Vec<Change>,
}

/// A disk with one file. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<(Mutex<State>, Condvar)>);

impl Disk {
    /// How a store opens its file on this disk.
    pub fn opener(&self) -> DatabaseOpener {
        let disk = self.clone();
        Arc::new(move |path| {
            let mut options = std::fs::OpenOptions::new();
            let file = options
                .read(true)
                .write(true)
                .create(true)
                .truncate(false)
                .open(path)?;
            {
                let mut state = disk.0.0.lock();
                if !std::mem::replace(&mut state.opened, true) {
                    state.durable = std::fs::read(path)?;
                }
            }
            let backend = FaultyFile {
                file: FileBackend::new(file)?,
                disk: disk.clone(),
            };
            Database::builder()
                .set_cache_size(CACHE_BYTES)
                .create_with_backend(backend)
        })
    }

    pub fn set_full(&self, full: bool) {
        self.0.0.lock().full = full;
    }

    pub fn set_stalled(&self, stalled: bool) {
        self.0.0.lock().stalled = stalled;
        self.0.1.notify_all();
    }

    /// The power fails after so many more writes and syncs; `None`: never.
    pub fn fail_after(&self, remaining: Option<u64>) {
        self.0.0.lock().remaining = remaining;
    }

    /// Writes the file as the power loss leaves it to `path`. `choose` returns how many bytes of a
    /// write survive, of so many.
    pub fn lose_power(&self, path: &Path, mut choose: impl FnMut(usize) -> usize) {
        let mut state = self.0.0.lock();
        let mut image = state.durable.clone();
        for change in std::mem::take(&mut state.unsynced) {
            match change {
                Change::Length(length) => {
                    if choose(1) == 1 {
                        image.resize(length as usize, 0);
                    }
                }
                Change::Write(offset, bytes) => {
                    let surviving = choose(bytes.len());
                    let end = offset as usize + surviving;
                    if surviving > 0 {
                        image.resize(image.len().max(end), 0);
                        image[offset as usize..end].copy_from_slice(&bytes[..surviving]);
                    }
                }
            }
        }
        std::fs::write(path, &image).unwrap();
        (state.durable, state.remaining) = (image, None);
    }

    fn take(&self, change: Option<Change>) -> Result<(), Error> {
        let mut state = self.0.0.lock();
        while state.stalled {
            self.0.1.wait(&mut state);
        }
        if state.full {
            return Err(ErrorKind::StorageFull.into());
        }
        match &mut state.remaining {
            Some(0) => return Err(Error::other("no power")),
            Some(remaining) => *remaining -= 1,
            None => (),
        }
        state.unsynced.extend(change);
        Ok(())
    }
}

#[derive(Debug)]
struct FaultyFile {
    file: FileBackend,
    disk: Disk,
}

impl StorageBackend for FaultyFile {
    fn len(&self) -> Result<u64, Error> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        self.file.read(offset, out)
    }

    fn set_len(&self, length: u64) -> Result<(), Error> {
        self.disk.take(Some(Change::Length(length)))?;
        self.file.set_len(length)
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.disk.take(None)?;
        let mut state = self.disk.0.0.lock();
        for change in std::mem::take(&mut state.unsynced) {
            match change {
                Change::Length(length) => state.durable.resize(length as usize, 0),
                Change::Write(offset, bytes) => {
                    let end = offset as usize + bytes.len();
                    let length = state.durable.len().max(end);
                    state.durable.resize(length, 0);
                    state.durable[offset as usize..end].copy_from_slice(&bytes);
                }
            }
        }
        Ok(())
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> Result<(), Error> {
        self.disk
            .take(Some(Change::Write(offset, bytes.to_vec())))?;
        self.file.write(offset, bytes)
    }
}
