//! Why a controller can't run.

use redb::{DatabaseError, StorageError};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why the controller can't run.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// A service address is missing in the settings.
    #[error("M431 listen_addresses.control_plane: is missing")]
    NoAddress,
    /// An address can't be listened on.
    #[error("M432 {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The disk can't be used.
    #[error("M433 {path}: {cause}")]
    Disk {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The register's file can't be used.
    #[error("M434 the register's file: {0}")]
    Database(String),
    /// The register's file is not whole.
    #[error("M436 the register's file is damaged: {0}")]
    Damaged(String),
    /// The runtime or a signal can't be set up.
    #[error("M435 {0}")]
    System(std::io::Error),
}

impl ControllerError {
    pub(super) fn disk(path: &Path, cause: std::io::Error) -> ControllerError {
        ControllerError::Disk {
            path: path.to_owned(),
            cause,
        }
    }

    pub(super) fn database(cause: impl std::fmt::Display) -> ControllerError {
        ControllerError::Database(cause.to_string())
    }

    /// What opening the file came to: what the system refuses is no damage.
    pub(super) fn opening(cause: DatabaseError) -> ControllerError {
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
        match damaged {
            true => ControllerError::Damaged(cause.to_string()),
            false => ControllerError::database(cause),
        }
    }

    /// Whether a file is not whole.
    pub(super) fn is_damage(&self) -> bool {
        matches!(self, ControllerError::Damaged(_))
    }
}
