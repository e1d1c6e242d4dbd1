//! The errors of the file in which a replica of the register keeps its acceptor state.

use redb::{DatabaseError, StorageError};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// An error of the database, of whichever of its types.
pub type DatabaseFailure = Box<dyn std::error::Error + Send + Sync>;

/// The reason for which the file can't be used.
///
/// [`AcceptorFileError::Io`] and [`AcceptorFileError::Database`] may go away by themselves, as when
/// a full disk has space again: the operation may be tried again after the file has been reopened.
/// [`AcceptorFileError::Damaged`] stays.
#[derive(Debug, thiserror::Error)]
pub enum AcceptorFileError {
    /// The operating system refuses an operation on a file or folder.
    #[error("M433 {path}: {cause}")]
    Io {
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The database refuses an operation, without the file being known to be damaged.
    #[error("M434 the register's file: {0}")]
    Database(DatabaseFailure),
    /// An entry of a stopped worker can't be read, though the file is undamaged: a later release has
    /// written it. The file is left as it is.
    #[error("M437 the register's file: stopped worker {instance_id}: {cause}")]
    StoppedWorker {
        /// The key of the entry.
        instance_id: String,
        /// What is wrong with it.
        cause: minicbor::decode::Error,
    },
    /// The file is damaged or belongs to another replica.
    #[error("M436 the register's file is damaged: {0}")]
    Damaged(Damage),
}

/// The kind of damage to the file.
#[derive(Debug, thiserror::Error)]
pub enum Damage {
    /// The database rejects the file as a whole, or its table is missing or of another type.
    #[error("{0}")]
    Unreadable(DatabaseFailure),
    /// An entry can't be decoded.
    #[error(transparent)]
    Entry(minicbor::decode::Error),
    /// The identity of the replica is missing.
    #[error("there is no identity in it")]
    MissingIdentity,
    /// The identity is not the one that was read when the process started.
    #[error("it is another replica's")]
    ForeignIdentity,
}

impl AcceptorFileError {
    pub(super) fn io(path: &Path, cause: std::io::Error) -> AcceptorFileError {
        AcceptorFileError::Io {
            path: path.to_owned(),
            cause,
        }
    }

    pub(super) fn database(cause: impl Into<DatabaseFailure>) -> AcceptorFileError {
        AcceptorFileError::Database(cause.into())
    }

    /// Classifies an error of opening the file: a refusal of the operating system is no damage.
    pub(super) fn opening(cause: DatabaseError) -> AcceptorFileError {
        let damaged = match &cause {
            DatabaseError::Storage(StorageError::Io(error)) => {
                matches!(
                    error.kind(),
                    ErrorKind::InvalidData | ErrorKind::UnexpectedEof
                )
            }
            DatabaseError::Storage(StorageError::Corrupted(_)) => true,
            DatabaseError::RepairAborted | DatabaseError::UpgradeRequired(_) => true,
            _ => false,
        };
        if damaged {
            AcceptorFileError::Damaged(Damage::Unreadable(cause.into()))
        } else {
            AcceptorFileError::database(cause)
        }
    }

    /// Whether the file is damaged, so that opening it again can't succeed.
    pub fn is_damage(&self) -> bool {
        matches!(self, AcceptorFileError::Damaged(_))
    }
}
