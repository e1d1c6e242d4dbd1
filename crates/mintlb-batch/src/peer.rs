//! Messages between the replicas of a shard: notices on [`mintlb_common::transport::Channel::Batch`], each a
//! [`crate::framing`] head; entries are raw behind it. A lost one is made good by the sender's next one.

use crate::epoch_history::{EpochHistory, EpochRun, LogPosition};
use minicbor::{Decode, Encode};
use mintlb_common::placement::StoreId;

/// A message with its sender and shard.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Envelope {
    /// The store that sends it.
    #[n(0)]
    pub from: StoreId,
    /// The store it is for; another one at this address drops it.
    #[n(1)]
    pub to: StoreId,
    /// The shard it is about.
    #[n(2)]
    pub shard: u32,
    /// The epoch the sender speaks for.
    #[n(3)]
    pub epoch: u64,
    /// What it says.
    #[n(4)]
    pub message: PeerMessage,
}

/// What replicas say to each other.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// The primary's log from a place on. Raw: the entries.
    #[n(0)]
    Append(#[n(0)] Append),
    /// The sender's log equals the primary's up to `matched`, on disk.
    #[n(1)]
    Appended {
        /// Up to here.
        #[n(0)]
        matched: u64,
        /// `sent_at` of the message that is answered.
        #[n(1)]
        echo: u64,
    },
    /// The sender lacks the place that the append goes on from. Its log:
    #[n(2)]
    Diverged {
        /// Its log.
        #[n(0)]
        log: EpochHistory,
        /// `sent_at` of the message that is answered.
        #[n(1)]
        echo: u64,
    },
    /// The sender has promised a higher epoch, the one of the envelope.
    #[n(3)]
    Fenced,
    /// A new primary asks for a promise and for what the receiver has.
    #[n(4)]
    NewEpoch,
    /// The promise is given, on disk; the sender's log is this.
    #[n(5)]
    EpochAck {
        /// Its log.
        #[n(0)]
        log: EpochHistory,
    },
    /// A new primary lacks what lies behind this index.
    #[n(6)]
    Fetch {
        /// Behind this index.
        #[n(0)]
        after: u64,
    },
    /// A part of the sender's log. Raw: the entries.
    #[n(7)]
    Fetched(#[n(0)] Append),
}

/// A part of a log.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Append {
    /// The place just before the part.
    #[n(0)]
    pub previous: LogPosition,
    /// The part's last index; equal to the previous one if the part is empty.
    #[n(1)]
    pub through: u64,
    /// The epochs of the part.
    #[n(2)]
    pub runs: Vec<EpochRun>,
    /// Index and length of each entry that is still needed, in order.
    #[n(3)]
    pub entries: Vec<EntryLength>,
    /// Up to here the primary's log is committed.
    #[n(4)]
    pub commit_index: u64,
    /// The primary's clock, given back by the answer.
    #[n(5)]
    pub sent_at: u64,
    /// Where entries of the part are no longer needed and left out: all lots up to its end that the sender has,
    /// by the index of their entries. Any others are dropped by the receiver, as the results or the end of such
    /// a lot may be what is left out, and without them it would seem to wait.
    #[n(6)]
    pub jobs: Option<Vec<u64>>,
}

/// An entry's index and the bytes it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EntryLength {
    /// Its index.
    #[n(0)]
    pub index: u64,
    /// Its bytes.
    #[n(1)]
    pub length: u64,
}
