//! Detection of sibling processes: other processes of the same scheduler name on a machine where the listening socket
//! is shared.
//!
//! Each process holds a lock on a file of its own for as long as it accepts clients. The system releases the lock when
//! the process ends, in whatever way, so a file that can be locked is stale and is removed. Files that can't be read or
//! written are treated as if there were no sibling.

use mintlb_core::membership::worker_id;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// The lock files of one scheduler name in a directory.
pub struct Siblings {
    directory: PathBuf,
    /// The prefix of the file names of this scheduler name.
    prefix: String,
    own: Option<(PathBuf, File)>,
}

impl Siblings {
    pub fn new(directory: &Path, name: &str) -> Siblings {
        Siblings {
            directory: directory.into(),
            prefix: format!("mintlb-{:012x}-", worker_id(name)),
            own: None,
        }
    }

    /// Makes this process visible to its siblings.
    pub fn register(&mut self) -> io::Result<()> {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let name = format!("{}{}-{}", self.prefix, std::process::id(), now.as_nanos());
        // The file is locked before it gets its visible name: a sibling would remove an unlocked file as stale.
        let (path, hidden) = (
            self.directory.join(&name),
            self.directory.join(format!(".{name}")),
        );
        let file = File::create_new(&hidden)?;
        file.lock()?;
        fs::rename(&hidden, &path)?;
        self.own = Some((path, file));
        Ok(())
    }

    /// Hides this process from its siblings, once it accepts no more clients.
    pub fn unregister(&mut self) {
        if let Some((path, _)) = self.own.take() {
            fs::remove_file(path).ok();
        }
    }

    /// The number of other registered processes that are alive. Stale files are removed.
    pub fn count(&self) -> usize {
        let own = self.own.as_ref().map(|(path, _)| path);
        let entries = fs::read_dir(&self.directory)
            .into_iter()
            .flatten()
            .flatten();
        let registered =
            entries.filter(|e| e.file_name().to_string_lossy().starts_with(&self.prefix));
        registered
            .map(|e| e.path())
            .filter(|path| own != Some(path) && is_locked(path))
            .count()
    }
}

/// Whether a live process holds the lock; if not, the stale file is removed.
fn is_locked(path: &Path) -> bool {
    let Ok(file) = File::open(path) else {
        return false;
    };
    let locked = matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock));
    if !locked {
        fs::remove_file(path).ok();
    }
    locked
}

impl Drop for Siblings {
    fn drop(&mut self) {
        self.unregister();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Processes that were killed, files that were never locked or are corrupt, and processes of another name do not
    /// count as siblings.
    #[test]
    fn only_live_processes_of_the_same_name_count() {
        let directory =
            std::env::temp_dir().join(format!("mintlb-siblings-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let siblings = |name| Siblings::new(&directory, name);
        let (mut first, mut second, mut other_name) =
            (siblings("n1"), siblings("n1"), siblings("n2"));
        assert_eq!(
            (first.count(), second.count()),
            (0, 0),
            "none has registered"
        );
        other_name.register().unwrap();
        first.register().unwrap();
        assert_eq!(
            (first.count(), second.count(), other_name.count()),
            (0, 1, 0),
            "one of each name has registered"
        );
        second.register().unwrap();
        assert_eq!(
            (first.count(), second.count()),
            (1, 1),
            "both have registered"
        );
        fs::write(directory.join(format!("{}77-1", first.prefix)), "torn").unwrap();
        assert_eq!(first.count(), 1, "an unlocked file does not count");
        // A killed process does not remove its file.
        let (path, lock) = second.own.take().unwrap();
        drop(lock);
        assert!(path.exists());
        assert_eq!(first.count(), 0, "the second process was killed");
        assert!(!path.exists(), "its stale file is removed");
        assert_eq!(
            Siblings::new(&directory.join("none"), "n1").count(),
            0,
            "the directory does not exist"
        );
        assert!(
            Siblings::new(&directory.join("none"), "n1")
                .register()
                .is_err()
        );
        let mut third = siblings("n1");
        third.register().unwrap();
        first.unregister();
        assert_eq!(
            (first.count(), third.count()),
            (1, 0),
            "an unregistered process does not count"
        );
        drop((first, third, other_name));
        assert_eq!(
            fs::read_dir(&directory).unwrap().count(),
            0,
            "a process that ends removes its file"
        );
        fs::remove_dir_all(&directory).unwrap();
    }
}
