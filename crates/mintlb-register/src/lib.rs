//! A replicated register: one value, changed by compare-and-set at a quorum of replicas.
//!
//! The algorithm is CASPaxos (D. Rystsov, "CASPaxos: Replicated State Machines without logs", 2018), which is
//! single-decree Paxos (L. Lamport, "Paxos Made Simple", 2001) run again for each change. A [`proposal`] learns the
//! newest value from a quorum of acceptors (phase 1, prepare), applies its [`change`] to it, and has the result accepted
//! by a quorum (phase 2, accept). There is neither a log nor a leader. The set of replicas is part of the value, so that
//! the quorum rule always follows from the value that was read.
//!
//! The crate is pure: it does no I/O and reads no clock. A driver sends the requests, runs the timers and syncs the
//! acceptor's writes to disk.
//!
//! - [`ballot`]: ballot numbers, the order of attempts.
//! - [`replica_set`]: replicas, the sets that they form, quorums.
//! - [`state`]: the value of the register.
//! - [`applied_history`]: configurations that were applied before the current one.
//! - [`change`]: changes of the value and their outcomes.
//! - [`message`]: requests to acceptors and their replies.
//! - [`acceptor`]: the state machine of one replica.
//! - [`proposal`]: the state machine of one change, from its first request to its outcome.
//! - [`quorum_read`]: a linearizable read in one round trip.
//! - [`bootstrap`]: which process writes the first value.
//! - [`join`]: how a replica outside of the set joins it.
//!
//! # Safety
//!
//! A value is *chosen* once a quorum by the value's own replica set has accepted it at one ballot. These invariants keep
//! at most one value chosen for each revision, and each chosen value readable:
//!
//! - **Promise durability.** An acceptor replies only after what the reply says is on disk
//!   ([`acceptor::AcceptorResponse`]). A replica whose disk was lost comes back with another
//!   [`replica_set::ReplicaId`], since its former promises are unknown.
//! - **Recovery before change.** A proposal applies a change only to a value that it knows to be chosen. A value that was
//!   perhaps accepted by some replicas only is first written again, unchanged, at the proposal's own ballot.
//! - **Quorum intersection.** A change of the set passes through a joint set (D. Ongaro and J. Ousterhout, "In Search of
//!   an Understandable Consensus Algorithm", 2014, section 6), whose quorums hold a quorum of the set before and of the
//!   set after. Each set's quorums thus hold a quorum of the `current` members of the value before it, and meet the
//!   quorums of anything else that builds on that value.
//! - **Durability.** Once the set is large enough for it, each quorum outlasts any loss of machines, zones or regions
//!   that is tolerated ([`mintlb_common::quorum`]). The tolerance is part of the value, as the members are.

pub mod acceptor;
pub mod applied_history;
pub mod ballot;
pub mod bootstrap;
pub mod change;
pub mod join;
pub mod message;
pub mod proposal;
pub mod quorum_read;
pub mod replica_set;
mod report_collector;
pub mod state;
mod transition;
mod varint;
