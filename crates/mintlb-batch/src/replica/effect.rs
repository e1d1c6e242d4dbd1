//! What a replica asks its driver to do.

use super::ShardMeta;
use crate::epoch_history::{Epoch, LogIndex};
use crate::peer::Envelope;
use bytes::Bytes;

/// A change of a shard on disk. The changes of a replica are applied in order.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskWrite {
    /// Stores an entry, as [`crate::framing`] bytes.
    Put(LogIndex, Bytes),
    /// Removes all entries after this index.
    Truncate(LogIndex),
    /// Removes these entries.
    Remove(Vec<LogIndex>),
    /// Removes the raw bytes of these entries, and keeps their heads.
    Strip(Vec<LogIndex>),
    /// Removes all entries.
    Clear,
    /// Replaces the shard's metadata.
    Meta(ShardMeta),
}

/// An action for the driver. Effects are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Change the disk.
    Write(DiskWrite),
    /// Pass this to [`super::Replica::on_synced`] once all earlier writes are durable.
    AfterSync(AfterSync),
    /// Send a message.
    Send(Envelope),
    /// Send a message with the entries at these indexes. The driver fills in `entries`, and omits
    /// those that are no longer on disk.
    SendEntries(Envelope, Vec<LogIndex>),
    /// The log is committed up to this index: requests that wait for it can be answered.
    Committed(LogIndex),
    /// A follower has confirmed this primary: readers that wait for [`super::Replica::confirm`] may
    /// retry.
    Confirmed,
    /// The replica is no longer the primary: the outcome of pending requests is unknown.
    SteppedDown,
    /// The value of [`super::Replica::report`] has changed.
    ReportChanged,
    /// All followers have the log up to this index on disk.
    Replicated(LogIndex),
}

/// What follows once earlier writes are durable.
#[derive(Clone, Debug, PartialEq)]
pub enum AfterSync {
    /// A message may be sent, unless the replica has entered a later epoch meanwhile.
    Send(Envelope),
    /// The primary's log is durable.
    LogPersisted {
        /// The epoch in which it was written.
        epoch: Epoch,
        /// Index of the last durable entry.
        through: LogIndex,
    },
    /// The new primary has entered this epoch durably.
    EpochPersisted(Epoch),
}
