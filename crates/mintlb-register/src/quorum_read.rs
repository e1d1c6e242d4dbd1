//! A linearizable read in one round trip, without a promise and without a write to disk.
//!
//! A value that a quorum reports at one ballot is chosen. It is not outdated: a later value that was chosen before the
//! read began would have been accepted by a member of that quorum. If no quorum reports one ballot, the read is
//! inconclusive, and a proposal of [`Change::Identity`] has to decide.
//!
//! [`Change::Identity`]: crate::change::Change::Identity

use crate::ballot::Ballot;
use crate::message::{AcceptedValue, OutboundRequest, Reply, RequestBody};
use crate::replica_set::{ReplicaId, ReplicaSet};
use crate::report_collector::ReportCollector;

/// Progress of a read.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadProgress {
    /// These requests have to be sent; replies are outstanding.
    Send(Vec<OutboundRequest>),
    /// The value is chosen, and no value was chosen after it when the read began.
    Chosen(AcceptedValue),
    /// All replicas have replied or failed, and no quorum reports one value.
    Inconclusive,
}

/// One read.
#[derive(Debug)]
pub struct QuorumRead {
    reports: ReportCollector,
    /// Requests without a reply so far.
    outstanding: usize,
    highest_ballot: Ballot,
}

impl QuorumRead {
    /// Starts a read at the newest replica set that the reader knows. `known` is a value that the reader has, which
    /// replicas need not send.
    pub fn start(
        replica_set: ReplicaSet,
        known: Option<AcceptedValue>,
    ) -> (QuorumRead, ReadProgress) {
        let mut read = QuorumRead {
            reports: ReportCollector::new(replica_set, known),
            outstanding: 0,
            highest_ballot: Ballot::default(),
        };
        let progress = read.progress();
        (read, progress)
    }

    /// Handles a replica's reply, or `None` if the request or the reply was lost.
    pub fn handle_reply(&mut self, from: ReplicaId, reply: Option<Reply>) -> ReadProgress {
        self.outstanding = self.outstanding.saturating_sub(1);
        if let Some(Reply::Read {
            last_accepted,
            promised,
        }) = reply
        {
            self.highest_ballot = self.highest_ballot.max(promised);
            self.reports.record(from, last_accepted);
        }
        self.progress()
    }

    /// The highest ballot that a replica has promised. A proposal below it would be rejected.
    pub fn highest_ballot(&self) -> Ballot {
        self.highest_ballot
    }

    fn progress(&mut self) -> ReadProgress {
        if let Some(chosen) = self.reports.chosen() {
            return ReadProgress::Chosen(chosen.clone());
        }
        let requests = self.requests();
        self.outstanding += requests.len();
        if self.outstanding == 0 {
            return ReadProgress::Inconclusive;
        }
        ReadProgress::Send(requests)
    }

    /// Requests to members that have not been sent one yet.
    fn requests(&mut self) -> Vec<OutboundRequest> {
        let known = self.reports.known_ballot();
        self.reports
            .take_unrequested()
            .into_iter()
            .map(|replica| OutboundRequest::new(replica, RequestBody::Read { known }))
            .collect()
    }
}
