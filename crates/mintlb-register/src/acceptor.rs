//! The acceptor: the state machine of one replica.

use crate::ballot::Ballot;
use crate::message::{AcceptedValue, Reply, ReportedValue, Request, RequestBody};
use crate::replica_set::ReplicaId;

/// An acceptor's durable state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptorState {
    /// The highest ballot promised; requests with a lower one are rejected.
    pub promised: Ballot,
    /// The value accepted last.
    pub accepted: Option<AcceptedValue>,
}

impl AcceptorState {
    /// Applies a write: to the state in memory at once, to the state on disk once it is synced.
    pub fn apply(&mut self, write: &DurableWrite) {
        match write {
            DurableWrite::Nothing => (),
            DurableWrite::Promise(ballot) => self.promised = *ballot,
            DurableWrite::Accepted(accepted) => {
                self.promised = accepted.ballot;
                self.accepted = Some(accepted.clone());
            }
            DurableWrite::Learned { promised, chosen } => {
                self.promised = *promised;
                self.accepted = Some(chosen.clone());
            }
        }
    }
}

/// The change of an [`AcceptorState`] that has to be on disk before the reply is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum DurableWrite {
    /// No change. The writes of earlier requests still have to be on disk before the reply is sent.
    Nothing,
    /// A promise.
    Promise(Ballot),
    /// An accepted value, which implies the promise of its ballot.
    Accepted(AcceptedValue),
    /// A value that was chosen elsewhere.
    Learned {
        /// The promise, which may be above the value's ballot.
        promised: Ballot,
        /// The value.
        chosen: AcceptedValue,
    },
}

/// An acceptor's response to a request.
///
/// The reply may be sent only after `durable_write` is on disk: a proposer counts it towards a quorum, so that a promise
/// or an accepted value that a crash can undo may lose a chosen value.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptorResponse {
    /// What has to be synced first.
    pub durable_write: DurableWrite,
    /// The reply.
    pub reply: Reply,
}

impl AcceptorResponse {
    fn without_write(reply: Reply) -> AcceptorResponse {
        AcceptorResponse {
            durable_write: DurableWrite::Nothing,
            reply,
        }
    }
}

/// The acceptor of one replica. Requests are handled one after the other.
#[derive(Clone, Debug)]
pub struct Acceptor {
    id: ReplicaId,
    state: AcceptorState,
}

impl Acceptor {
    /// An acceptor with the state that its disk holds.
    pub fn new(id: ReplicaId, state: AcceptorState) -> Acceptor {
        Acceptor { id, state }
    }

    /// Identity of the replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The state in memory, which may be ahead of the disk.
    pub fn state(&self) -> &AcceptorState {
        &self.state
    }

    /// Handles a request.
    pub fn handle(&mut self, request: Request) -> AcceptorResponse {
        if request.target != self.id {
            return AcceptorResponse::without_write(Reply::WrongReplica { id: self.id });
        }
        match request.body {
            RequestBody::Prepare { ballot, known } => self.prepare(ballot, known),
            RequestBody::Accept { proposed } => self.accept(proposed),
            RequestBody::Read { known } => self.read(known),
        }
    }

    /// Stores a value that is known to be chosen, also if a higher ballot has been promised since.
    ///
    /// This is safe: the proposer with the higher ballot learns of the chosen value from a majority anyhow, and one more
    /// replica that reports it does not change its decision. Returns what has to be synced.
    pub fn learn(&mut self, chosen: &AcceptedValue) -> DurableWrite {
        if self.has_accepted_since(chosen.ballot) {
            return DurableWrite::Nothing;
        }
        self.write(DurableWrite::Learned {
            promised: self.state.promised.max(chosen.ballot),
            chosen: chosen.clone(),
        })
    }

    /// Changes the state in memory and returns what has to be synced.
    fn write(&mut self, write: DurableWrite) -> DurableWrite {
        self.state.apply(&write);
        write
    }

    /// Whether a value has been accepted at this ballot or a higher one.
    fn has_accepted_since(&self, ballot: Ballot) -> bool {
        self.last_accepted_ballot()
            .is_some_and(|accepted| accepted >= ballot)
    }

    fn last_accepted_ballot(&self) -> Option<Ballot> {
        self.state.accepted.as_ref().map(|accepted| accepted.ballot)
    }

    fn prepare(&mut self, ballot: Ballot, known: Option<Ballot>) -> AcceptorResponse {
        if ballot < self.state.promised {
            return self.reject(ballot);
        }
        let reply = Reply::Promise {
            ballot,
            last_accepted: self.report(known),
        };
        let is_repeated = ballot == self.state.promised;
        if is_repeated {
            return AcceptorResponse::without_write(reply);
        }
        AcceptorResponse {
            durable_write: self.write(DurableWrite::Promise(ballot)),
            reply,
        }
    }

    fn accept(&mut self, proposed: AcceptedValue) -> AcceptorResponse {
        let ballot = proposed.ballot;
        if ballot < self.state.promised {
            return self.reject(ballot);
        }
        let reply = Reply::Accepted { ballot };
        // At one ballot only one value is proposed, so that this is the same value.
        let is_repeated = self.last_accepted_ballot() == Some(ballot);
        if is_repeated {
            return AcceptorResponse::without_write(reply);
        }
        AcceptorResponse {
            durable_write: self.write(DurableWrite::Accepted(proposed)),
            reply,
        }
    }

    fn read(&self, known: Option<Ballot>) -> AcceptorResponse {
        AcceptorResponse::without_write(Reply::Read {
            last_accepted: self.report(known),
            promised: self.state.promised,
        })
    }

    fn reject(&self, ballot: Ballot) -> AcceptorResponse {
        AcceptorResponse::without_write(Reply::Rejected {
            ballot,
            promised: self.state.promised,
        })
    }

    fn report(&self, known: Option<Ballot>) -> ReportedValue {
        match &self.state.accepted {
            None => ReportedValue::Nothing,
            Some(accepted) if known == Some(accepted.ballot) => {
                ReportedValue::Unchanged(accepted.ballot)
            }
            Some(accepted) => ReportedValue::Value(accepted.clone()),
        }
    }
}
