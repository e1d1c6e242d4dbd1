//! Why the store's file can't be used, and whether a retry can help.

use std::error::Error;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use tokio::task::JoinError;

/// The underlying error of a [`DiskError`].
type Cause = Box<dyn Error + Send + Sync>;

/// Why the store's file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The file does not hold what was written. A retry does not help; only such a file may be
    /// quarantined.
    #[error("{0}")]
    Damaged(#[source] Cause),
    /// The disk does not accept or return bytes at present: it is full, broken, or the file is
    /// closed after a failed commit. The file itself may be intact: retry.
    #[error("{0}")]
    Unavailable(#[source] Cause),
    /// The data directory is no directory, or access to it is denied. A retry does not help.
    #[error("{0}")]
    Directory(#[source] Cause),
}

impl DiskError {
    /// Whether the same attempt may succeed later.
    pub fn is_retryable(&self) -> bool {
        matches!(self, DiskError::Unavailable(_))
    }

    /// Classifies an error of redb: what shows that the file's contents are wrong is damage, all
    /// else may pass.
    pub(super) fn from_redb(cause: impl Into<redb::Error>) -> DiskError {
        use redb::Error;
        let cause = cause.into();
        match &cause {
            Error::Corrupted(_)
            | Error::TableDoesNotExist(_)
            | Error::TableTypeMismatch { .. }
            | Error::TypeDefinitionChanged { .. } => DiskError::Damaged(cause.into()),
            Error::Io(error) if is_damage(error.kind()) => DiskError::Damaged(cause.into()),
            _ => DiskError::Unavailable(cause.into()),
        }
    }

    /// Classifies an error of a file-system call on `path`.
    pub(super) fn from_io(path: &Path, cause: std::io::Error) -> DiskError {
        let kind = cause.kind();
        let error = FileSystemError {
            path: path.to_path_buf(),
            cause,
        };
        match kind {
            ErrorKind::PermissionDenied | ErrorKind::NotADirectory | ErrorKind::AlreadyExists => {
                DiskError::Directory(error.into())
            }
            _ => DiskError::Unavailable(error.into()),
        }
    }
}

fn is_damage(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::InvalidData | ErrorKind::UnexpectedEof)
}

impl From<FileDamage> for DiskError {
    fn from(damage: FileDamage) -> DiskError {
        DiskError::Damaged(damage.into())
    }
}

impl From<redb::StorageError> for DiskError {
    fn from(error: redb::StorageError) -> DiskError {
        DiskError::from_redb(error)
    }
}

/// A panic while the file was being opened: it can't be trusted.
impl From<JoinError> for DiskError {
    fn from(error: JoinError) -> DiskError {
        DiskError::Damaged(error.into())
    }
}

/// What is wrong with the file's contents.
#[derive(Debug, thiserror::Error)]
pub enum FileDamage {
    /// The file has no bytes.
    #[error("it is empty")]
    Empty,
    /// The file names no store.
    #[error("there is no identity in it")]
    NoIdentity,
    /// The meta data of a shard can't be decoded.
    #[error("{0}")]
    ShardMeta(#[source] minicbor::decode::Error),
    /// An entry can't be decoded.
    #[error("entry {index} of shard {shard} can't be read")]
    Entry {
        /// The entry's shard.
        shard: u32,
        /// Its index in the shard's log.
        index: u64,
    },
    /// The file was removed while the store ran.
    #[error("the file is gone")]
    Removed,
    /// The file was exchanged while the store ran.
    #[error("the file is another store's")]
    OtherIdentity,
}

/// Why the file can't be used although the disk reported no error.
#[derive(Debug, thiserror::Error)]
pub(super) enum FileUnavailable {
    /// A commit failed, and the file has not been opened again yet.
    #[error("the file is closed after a failed commit")]
    Closed,
    /// The file that was just created can't be found.
    #[error("the new file is gone")]
    NewFileRemoved,
}

impl From<FileUnavailable> for DiskError {
    fn from(cause: FileUnavailable) -> DiskError {
        DiskError::Unavailable(cause.into())
    }
}

/// A file-system call that failed, with its path.
#[derive(Debug, thiserror::Error)]
#[error("{}: {cause}", path.display())]
struct FileSystemError {
    path: PathBuf,
    #[source]
    cause: std::io::Error,
}
