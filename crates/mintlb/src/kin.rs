//! Other processes of this scheduler's name, on a machine that holds the listening socket for all of them.
//!
//! Each keeps a file locked for as long as it takes clients. A lock ends with its process, however that ends, so a
//! file that can be locked tells of nobody and goes. What can't be read or written is as if nobody were there.

use mintlb_core::membership::worker_id;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

pub struct Kin {
    folder: PathBuf,
    /// What the names of all their files begin with.
    prefix: String,
    own: Option<(PathBuf, File)>,
}

impl Kin {
    pub fn new(folder: &Path, name: &str) -> Kin {
        Kin {
            folder: folder.into(),
            prefix: format!("mintlb-{:012x}-", worker_id(name)),
            own: None,
        }
    }

    /// From now on the others can see this one.
    pub fn enter(&mut self) -> io::Result<()> {
        let began = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let name = format!("{}{}-{}", self.prefix, std::process::id(), began.as_nanos());
        // Locked before the others can find it: unlocked it would tell of nobody.
        let (path, hidden) = (
            self.folder.join(&name),
            self.folder.join(format!(".{name}")),
        );
        let file = File::create_new(&hidden)?;
        file.lock()?;
        fs::rename(&hidden, &path)?;
        self.own = Some((path, file));
        Ok(())
    }

    /// From now on they can't: it takes no clients any more.
    pub fn leave(&mut self) {
        if let Some((path, _)) = self.own.take() {
            fs::remove_file(path).ok();
        }
    }

    /// How many others there are.
    pub fn others(&self) -> usize {
        let own = self.own.as_ref().map(|(path, _)| path);
        let found = fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let theirs = found.filter(|e| e.file_name().to_string_lossy().starts_with(&self.prefix));
        theirs
            .map(|e| e.path())
            .filter(|path| own != Some(path) && is_locked(path))
            .count()
    }
}

/// Whether somebody holds it; if not, it goes.
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

impl Drop for Kin {
    fn drop(&mut self) {
        self.leave();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Who has died, and what was never locked or is torn, is nobody; another name is no kin.
    #[test]
    fn only_the_living_of_one_name_count() {
        let folder = std::env::temp_dir().join(format!("mintlb-kin-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let kin = |name| Kin::new(&folder, name);
        let (mut one, mut two, mut other) = (kin("n1"), kin("n1"), kin("n2"));
        assert_eq!((one.others(), two.others()), (0, 0), "nobody has entered");
        other.enter().unwrap();
        one.enter().unwrap();
        assert_eq!(
            (one.others(), two.others(), other.others()),
            (0, 1, 0),
            "one is there"
        );
        two.enter().unwrap();
        assert_eq!((one.others(), two.others()), (1, 1), "both are");
        fs::write(folder.join(format!("{}77-1", one.prefix)), "torn").unwrap();
        assert_eq!(one.others(), 1, "a file of nobody");
        // A killed one removes nothing.
        let (path, lock) = two.own.take().unwrap();
        drop(lock);
        assert!(path.exists());
        assert_eq!(one.others(), 0, "the second died");
        assert!(!path.exists(), "and what it left is gone");
        assert_eq!(
            Kin::new(&folder.join("none"), "n1").others(),
            0,
            "no such folder"
        );
        assert!(Kin::new(&folder.join("none"), "n1").enter().is_err());
        let mut three = kin("n1");
        three.enter().unwrap();
        one.leave();
        assert_eq!(
            (one.others(), three.others()),
            (1, 0),
            "who stops takes no clients"
        );
        drop((one, three, other));
        assert_eq!(
            fs::read_dir(&folder).unwrap().count(),
            0,
            "who ends takes its file along"
        );
        fs::remove_dir_all(&folder).unwrap();
    }
}
