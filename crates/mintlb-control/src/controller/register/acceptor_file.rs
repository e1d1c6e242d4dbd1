//! The file in which a replica of the register keeps its identity, its acceptor state and the workers
//! that have announced their drain or end: its creation, reads and writes.

use super::acceptor_file_error::{AcceptorFileError, Damage};
use super::replica_core::{Commit, ReplicaState, StateWrite};
use super::stopped_workers::{StoppedWorker, StoppedWorkerChange, StoppedWorkers};
use minicbor::{Decode, Encode};
use mintlb_register::acceptor::AcceptorState;
use mintlb_register::ballot::Ballot;
use mintlb_register::message::AcceptedValue;
use mintlb_register::replica_set::ReplicaId;
use redb::{
    Database, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition, TableError,
    WriteTransaction,
};
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

/// Stopped workers by their instance ids. Created with the first one: files of earlier releases lack
/// it.
const STOPPED_WORKERS_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("stopped_workers");

/// The contents of a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Contents {
    /// The identity of the replica.
    pub id: ReplicaId,
    /// Its state.
    pub state: ReplicaState,
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
        let state = ReplicaState::default();
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
    let state = ReplicaState {
        acceptor: AcceptorState {
            promised: promised.unwrap_or_default(),
            accepted,
        },
        stopped_workers: read_stopped_workers(&transaction)?,
    };
    Ok(Contents { id, state })
}

fn read_stopped_workers(
    transaction: &ReadTransaction,
) -> Result<StoppedWorkers, AcceptorFileError> {
    let table = match transaction.open_table(STOPPED_WORKERS_TABLE) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(StoppedWorkers::default()),
        Err(error) => {
            return Err(AcceptorFileError::Damaged(Damage::Unreadable(error.into())));
        }
    };
    table
        .iter()
        .map_err(AcceptorFileError::database)?
        .map(|entry| {
            let (key, bytes) = entry.map_err(AcceptorFileError::database)?;
            minicbor::decode(bytes.value()).map_err(|cause| AcceptorFileError::StoppedWorker {
                instance_id: key.value().to_string(),
                cause,
            })
        })
        .collect()
}

/// Writes and syncs the complete contents.
///
/// # Errors
///
/// If the file can't be written or synced.
pub fn rewrite(database: &Database, contents: &Contents) -> Result<(), AcceptorFileError> {
    let Contents { id, state } = contents;
    let acceptor = StateWrite {
        promised: state.acceptor.promised,
        accepted: state.acceptor.accepted.clone(),
    };
    let transaction = begin(database)?;
    write_identity(&transaction, *id)?;
    write_acceptor(&transaction, &acceptor)?;
    for stopped in state.stopped_workers.iter() {
        insert_stopped_worker(&transaction, stopped)?;
    }
    transaction.commit().map_err(AcceptorFileError::database)
}

/// Writes and syncs a batch. One without changes needs no sync.
///
/// # Errors
///
/// If the file can't be written or synced.
pub fn write(database: &Database, commit: &Commit) -> Result<(), AcceptorFileError> {
    if commit.is_empty() {
        return Ok(());
    }
    let transaction = begin(database)?;
    if let Some(write) = &commit.write {
        write_acceptor(&transaction, write)?;
    }
    for change in &commit.stopped_workers {
        apply_change(&transaction, change)?;
    }
    transaction.commit().map_err(AcceptorFileError::database)
}

fn begin(database: &Database) -> Result<WriteTransaction, AcceptorFileError> {
    database.begin_write().map_err(AcceptorFileError::database)
}

fn write_identity(transaction: &WriteTransaction, id: ReplicaId) -> Result<(), AcceptorFileError> {
    let mut table = transaction
        .open_table(TABLE)
        .map_err(AcceptorFileError::database)?;
    table
        .insert(IDENTITY_KEY, &*encode(&id))
        .map_err(AcceptorFileError::database)?;
    Ok(())
}

/// Writes a promise, and the accepted value unless that is unchanged.
fn write_acceptor(
    transaction: &WriteTransaction,
    write: &StateWrite,
) -> Result<(), AcceptorFileError> {
    let mut table = transaction
        .open_table(TABLE)
        .map_err(AcceptorFileError::database)?;
    table
        .insert(PROMISED_KEY, &*encode(&write.promised))
        .map_err(AcceptorFileError::database)?;
    if let Some(accepted) = &write.accepted {
        table
            .insert(ACCEPTED_KEY, &*encode(accepted))
            .map_err(AcceptorFileError::database)?;
    }
    Ok(())
}

fn apply_change(
    transaction: &WriteTransaction,
    change: &StoppedWorkerChange,
) -> Result<(), AcceptorFileError> {
    insert_stopped_worker(transaction, &change.stored)?;
    let mut table = transaction
        .open_table(STOPPED_WORKERS_TABLE)
        .map_err(AcceptorFileError::database)?;
    for id in &change.evicted {
        table
            .remove(id.as_str())
            .map_err(AcceptorFileError::database)?;
    }
    Ok(())
}

fn insert_stopped_worker(
    transaction: &WriteTransaction,
    stopped: &StoppedWorker,
) -> Result<(), AcceptorFileError> {
    let mut table = transaction
        .open_table(STOPPED_WORKERS_TABLE)
        .map_err(AcceptorFileError::database)?;
    table
        .insert(stopped.record.instance_id.as_str(), &*encode(stopped))
        .map_err(AcceptorFileError::database)?;
    Ok(())
}

fn encode<T: Encode<()>>(value: &T) -> Vec<u8> {
    minicbor::to_vec(value).unwrap_or_default()
}

fn decode<T: for<'b> Decode<'b, ()>>(bytes: &[u8]) -> Result<T, AcceptorFileError> {
    minicbor::decode(bytes).map_err(|error| AcceptorFileError::Damaged(Damage::Entry(error)))
}
