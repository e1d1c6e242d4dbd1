//! Messages between the replicas of a shard.
//!
//! They are notifications on [`mintlb_common::transport::Channel::Batch`], each a
//! [`crate::framing`] head with log entries as raw bytes. Delivery is not reliable: a lost message
//! is made up for by the sender's next one.
//!
//! Replication is primary-backup with epochs, close to Viewstamped Replication and Raft:
//! [`PeerMessage::Append`] is Raft's AppendEntries; [`PeerMessage::NewEpoch`] and
//! [`PeerMessage::EpochAck`] are the discovery phase of Zab (and the view change of Viewstamped
//! Replication), except that the controllers choose the primary.

use crate::epoch_history::{Epoch, EpochHistory, EpochRun, LogIndex, LogPosition};
use minicbor::{Decode, Encode};
use mintlb_common::placement::StoreId;

/// A message with its sender, receiver, shard and epoch.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Envelope {
    /// The sender.
    #[n(0)]
    pub from: StoreId,
    /// The receiver; another store at the same address drops the message.
    #[n(1)]
    pub to: StoreId,
    /// The shard.
    #[n(2)]
    pub shard: u32,
    /// The epoch in which the message was sent; replicas in a later one reject it.
    #[n(3)]
    pub epoch: Epoch,
    /// The message.
    #[n(4)]
    pub message: PeerMessage,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// Entries of the primary's log, or none as a probe. Raw: the entries.
    #[n(0)]
    Append(#[n(0)] Append),
    /// The sender's log equals the primary's up to `matched`, and is durable.
    #[n(1)]
    Appended {
        /// Index of the last matching entry.
        #[n(0)]
        matched: LogIndex,
        /// `sent_at` of the acknowledged append.
        #[n(1)]
        echo: u64,
    },
    /// The sender's log lacks the position that an append starts from.
    #[n(2)]
    Diverged {
        /// The sender's log.
        #[n(0)]
        log: EpochHistory,
        /// `sent_at` of the rejected append.
        #[n(1)]
        echo: u64,
    },
    /// The receiver is fenced: the sender is in a later epoch, that of the envelope.
    #[n(3)]
    Fenced,
    /// A new primary asks the receiver to enter its epoch, and for its log.
    #[n(4)]
    NewEpoch,
    /// The sender has entered the epoch durably, and rejects earlier ones from now on.
    #[n(5)]
    EpochAck {
        /// The sender's log.
        #[n(0)]
        log: EpochHistory,
    },
    /// A new primary requests entries of the receiver's log.
    #[n(6)]
    Fetch {
        /// Index of the last entry that need not be sent.
        #[n(0)]
        after: LogIndex,
    },
    /// Entries of the sender's log. Raw: the entries.
    #[n(7)]
    Fetched(#[n(0)] Append),
}

/// A range of a log.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Append {
    /// The position just before the range.
    #[n(0)]
    pub previous: LogPosition,
    /// Index of the last entry; that of `previous` if the range is empty.
    #[n(1)]
    pub through: LogIndex,
    /// The epochs of the range.
    #[n(2)]
    pub runs: Vec<EpochRun>,
    /// Index and length of each entry that is still needed, in ascending order.
    #[n(3)]
    pub entries: Vec<EntryLength>,
    /// Commit index of the primary.
    #[n(4)]
    pub commit_index: LogIndex,
    /// When it was sent, in ms of the primary's monotonic clock; echoed in the response.
    #[n(5)]
    pub sent_at: u64,
    /// If entries of the range are omitted as no longer needed: the sender's jobs up to the end of
    /// the range, by the indexes of their entries. The receiver drops all others, as the results or
    /// the end of such a job may be among the omitted entries, and without them it would stay
    /// pending forever.
    #[n(6)]
    pub jobs: Option<Vec<LogIndex>>,
}

/// Index and encoded length of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EntryLength {
    /// Its index.
    #[n(0)]
    pub index: LogIndex,
    /// Its length in bytes.
    #[n(1)]
    pub length: u64,
}
