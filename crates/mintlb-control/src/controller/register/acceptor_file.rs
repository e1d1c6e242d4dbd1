//! The file in which a replica of the register keeps its identity and acceptor state: its creation,
//! reads and writes.

use super::acceptor_file_error::{AcceptorFileError, Damage};
use minicbor::{Decode, Encode};
use mintlb_register::acceptor::AcceptorState;
use mintlb_register::ballot::Ballot;
use mintlb_register::message::AcceptedValue;
use mintlb_register::replica_set::ReplicaId;
use redb::{Database, ReadableDatabase, TableDefinition};
use std::path::Path;

/// The name of the file in the data directory.
pub const FILE: &str = "register.redb";
/// The name of the file until it is complete.
const TEMPORARY_FILE: &str = "register.redb.new";
/// Bytes of the file that the database caches in memory.
const CACHE_BYTES: usize = 1 << 20;

const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("vote");
const IDENTITY_KEY: &str = "identity";
const PROMISED_KEY: &str = "promised";
const ACCEPTED_KEY: &str = "accepted";

/// The contents of a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Contents {
    /// The identity of the replica.
    pub id: ReplicaId,
    /// Its acceptor state.
    pub state: AcceptorState,
}

/// The options with which each database of a replica is opened.
pub fn builder() -> redb::Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// Opens an existing file.
///
/// # Errors
///
/// If the file can't be opened: [`AcceptorFileError::Damaged`] if it never will be.
pub fn open(path: &Path) -> Result<Database, AcceptorFileError> {
    builder().open(path).map_err(AcceptorFileError::opening)
}

/// Creates the file of a new replica. It is written and synced under a temporary name, so that a
/// file under the final name is complete even after a crash.
///
/// # Errors
///
/// If the file or the directory can't be written or synced.
pub fn create(directory: &Path, id: ReplicaId) -> Result<(), AcceptorFileError> {
    let temporary = directory.join(TEMPORARY_FILE);
    let io = |cause| AcceptorFileError::io(directory, cause);
    if temporary.exists() {
        std::fs::remove_file(&temporary).map_err(io)?;
    }
    {
        let database = builder()
            .create(&temporary)
            .map_err(AcceptorFileError::database)?;
        let state = AcceptorState::default();
        rewrite(&database, &Contents { id, state })?;
    }
    std::fs::rename(&temporary, directory.join(FILE)).map_err(io)?;
    std::fs::File::open(directory)
        .and_then(|directory| directory.sync_all())
        .map_err(io)
}

/// Reads the contents.
///
/// # Errors
///
/// If the file can't be read or its contents can't be decoded.
pub fn read(database: &Database) -> Result<Contents, AcceptorFileError> {
    let transaction = database.begin_read().map_err(AcceptorFileError::database)?;
    let table = transaction
        .open_table(TABLE)
        .map_err(|error| AcceptorFileError::Damaged(Damage::Unreadable(error.into())))?;
    let read = |key: &str| table.get(key).map_err(AcceptorFileError::database);
    let id = match read(IDENTITY_KEY)? {
        Some(bytes) => decode(bytes.value())?,
        None => return Err(AcceptorFileError::Damaged(Damage::MissingIdentity)),
    };
    let promised: Option<Ballot> = read(PROMISED_KEY)?
        .map(|bytes| decode(bytes.value()))
        .transpose()?;
    let accepted: Option<AcceptedValue> = read(ACCEPTED_KEY)?
        .map(|bytes| decode(bytes.value()))
        .transpose()?;
    let state = AcceptorState {
        promised: promised.unwrap_or_default(),
        accepted,
    };
    Ok(Contents { id, state })
}

/// Writes and syncs the complete contents.
///
/// # Errors
///
/// If the file can't be written or synced.
pub fn rewrite(database: &Database, contents: &Contents) -> Result<(), AcceptorFileError> {
    let Contents { id, state } = contents;
    write(database, Some(*id), state.promised, state.accepted.as_ref())
}

/// Writes and syncs a promise, and the accepted value unless that is unchanged.
///
/// # Errors
///
/// If the file can't be written or synced.
pub fn write_state(
    database: &Database,
    promised: Ballot,
    accepted: Option<&AcceptedValue>,
) -> Result<(), AcceptorFileError> {
    write(database, None, promised, accepted)
}

fn write(
    database: &Database,
    id: Option<ReplicaId>,
    promised: Ballot,
    accepted: Option<&AcceptedValue>,
) -> Result<(), AcceptorFileError> {
    let transaction = database
        .begin_write()
        .map_err(AcceptorFileError::database)?;
    {
        let mut table = transaction
            .open_table(TABLE)
            .map_err(AcceptorFileError::database)?;
        if let Some(id) = id {
            table
                .insert(IDENTITY_KEY, &*encode(&id))
                .map_err(AcceptorFileError::database)?;
        }
        table
            .insert(PROMISED_KEY, &*encode(&promised))
            .map_err(AcceptorFileError::database)?;
        if let Some(accepted) = accepted {
            table
                .insert(ACCEPTED_KEY, &*encode(accepted))
                .map_err(AcceptorFileError::database)?;
        }
    }
    transaction.commit().map_err(AcceptorFileError::database)
}

fn encode<T: Encode<()>>(value: &T) -> Vec<u8> {
    minicbor::to_vec(value).unwrap_or_default()
}

fn decode<T: for<'b> Decode<'b, ()>>(bytes: &[u8]) -> Result<T, AcceptorFileError> {
    minicbor::decode(bytes).map_err(|error| AcceptorFileError::Damaged(Damage::Entry(error)))
}
