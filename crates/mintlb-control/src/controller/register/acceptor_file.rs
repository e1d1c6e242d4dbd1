//! What the register's file holds, a replica's identity and vote, and how it is made, read and written.

use crate::controller::ControllerError;
use minicbor::{Decode, Encode};
use mintlb_register::acceptor::AcceptorState;
use mintlb_register::ballot::Ballot;
use mintlb_register::message::AcceptedValue;
use mintlb_register::replica_set::ReplicaId;
use redb::{Database, ReadableDatabase, TableDefinition};
use std::path::Path;

/// The file in the data directory.
pub const FILE: &str = "register.redb";
/// The file while it is being made.
const TEMPORARY_FILE: &str = "register.redb.new";
/// Bytes of the file kept in memory.
const CACHE_BYTES: usize = 1 << 20;

const VOTE: TableDefinition<&str, &[u8]> = TableDefinition::new("vote");
const IDENTITY: &str = "identity";
const PROMISED: &str = "promised";
const ACCEPTED: &str = "accepted";

/// What a file holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Contents {
    /// The replica's identity.
    pub id: ReplicaId,
    /// Its vote.
    pub vote: AcceptorState,
}

/// How every database of a replica is opened.
pub fn builder() -> redb::Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// Opens a file that is there.
pub fn open(path: &Path) -> Result<Database, ControllerError> {
    builder().open(path).map_err(ControllerError::opening)
}

/// Makes the file of a new replica, under another name first, so that a file with the right name is whole.
pub fn create(directory: &Path, id: ReplicaId) -> Result<(), ControllerError> {
    let unfinished = directory.join(TEMPORARY_FILE);
    let disk = |cause| ControllerError::disk(directory, cause);
    if unfinished.exists() {
        std::fs::remove_file(&unfinished).map_err(disk)?;
    }
    {
        let database = builder()
            .create(&unfinished)
            .map_err(ControllerError::database)?;
        rewrite(
            &database,
            &Contents {
                id,
                vote: AcceptorState::default(),
            },
        )?;
    }
    std::fs::rename(&unfinished, directory.join(FILE)).map_err(disk)?;
    std::fs::File::open(directory)
        .and_then(|folder| folder.sync_all())
        .map_err(disk)
}

/// Reads everything.
pub fn read(database: &Database) -> Result<Contents, ControllerError> {
    let transaction = database.begin_read().map_err(ControllerError::database)?;
    let table = transaction
        .open_table(VOTE)
        .map_err(|error| ControllerError::Damaged(error.to_string()))?;
    let read = |key: &str| table.get(key).map_err(ControllerError::database);
    let id = match read(IDENTITY)? {
        Some(bytes) => decoded(bytes.value())?,
        None => {
            return Err(ControllerError::Damaged(
                "there is no identity in it".to_string(),
            ));
        }
    };
    let promised: Option<Ballot> = read(PROMISED)?
        .map(|bytes| decoded(bytes.value()))
        .transpose()?;
    let accepted: Option<AcceptedValue> = read(ACCEPTED)?
        .map(|bytes| decoded(bytes.value()))
        .transpose()?;
    Ok(Contents {
        id,
        vote: AcceptorState {
            promised: promised.unwrap_or_default(),
            accepted,
        },
    })
}

/// Writes everything and syncs it.
pub fn rewrite(database: &Database, contents: &Contents) -> Result<(), ControllerError> {
    let Contents { id, vote } = contents;
    write(database, Some(*id), vote.promised, vote.accepted.as_ref())
}

/// Writes a vote that has changed, without the value if that is as before, and syncs it.
pub fn write_vote(
    database: &Database,
    promised: Ballot,
    accepted: Option<&AcceptedValue>,
) -> Result<(), ControllerError> {
    write(database, None, promised, accepted)
}

fn write(
    database: &Database,
    id: Option<ReplicaId>,
    promised: Ballot,
    accepted: Option<&AcceptedValue>,
) -> Result<(), ControllerError> {
    let transaction = database.begin_write().map_err(ControllerError::database)?;
    {
        let mut table = transaction
            .open_table(VOTE)
            .map_err(ControllerError::database)?;
        if let Some(id) = id {
            table
                .insert(IDENTITY, &*encoded(&id))
                .map_err(ControllerError::database)?;
        }
        table
            .insert(PROMISED, &*encoded(&promised))
            .map_err(ControllerError::database)?;
        if let Some(accepted) = accepted {
            table
                .insert(ACCEPTED, &*encoded(accepted))
                .map_err(ControllerError::database)?;
        }
    }
    transaction.commit().map_err(ControllerError::database)
}

fn encoded<T: Encode<()>>(value: &T) -> Vec<u8> {
    minicbor::to_vec(value).unwrap_or_default()
}

fn decoded<T: for<'b> Decode<'b, ()>>(bytes: &[u8]) -> Result<T, ControllerError> {
    minicbor::decode(bytes).map_err(|error| ControllerError::Damaged(error.to_string()))
}
