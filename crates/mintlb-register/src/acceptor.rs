//! One replica's vote: the highest ballot promised and the value accepted last.

use crate::ballot::Ballot;
use crate::message::{AcceptedValue, Reply, ReportedValue, Request, RequestBody};
use crate::replica_set::ReplicaId;

/// What a replica has to remember for good.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptorState {
    /// Lower ballots are refused.
    pub promised: Ballot,
    /// The value accepted last.
    pub accepted: Option<AcceptedValue>,
}

/// What of the vote has to be synced before the reply may be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum DurableWrite {
    /// Nothing new; but what was to be synced before has to be.
    Nothing,
    /// The promise.
    Promise(Ballot),
    /// The promise and the value, both at the value's ballot.
    Accepted(AcceptedValue),
    /// A chosen value, and the promise, which may be higher.
    Learned {
        /// What is promised.
        promised: Ballot,
        /// The value.
        chosen: AcceptedValue,
    },
}

/// An answer that may be given once `sync` is on disk.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptorResponse {
    /// What to sync first.
    pub durable_write: DurableWrite,
    /// The answer.
    pub reply: Reply,
}

/// The vote of one replica. Requests are handled one after the other.
#[derive(Clone, Debug)]
pub struct Acceptor {
    id: ReplicaId,
    vote: AcceptorState,
}

impl Acceptor {
    /// A replica with what its disk holds.
    pub fn new(id: ReplicaId, vote: AcceptorState) -> Acceptor {
        Acceptor { id, vote }
    }

    /// Its identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// What it has promised and accepted.
    pub fn state(&self) -> &AcceptorState {
        &self.vote
    }

    /// Handles a request.
    pub fn handle(&mut self, request: Request) -> AcceptorResponse {
        if request.target != self.id {
            return AcceptorResponse {
                durable_write: DurableWrite::Nothing,
                reply: Reply::WrongReplica { id: self.id },
            };
        }
        match request.body {
            RequestBody::Prepare { ballot, known } => self.prepare(ballot, known),
            RequestBody::Accept { proposed } => self.accept(proposed),
            RequestBody::Read { known } => {
                let (last_accepted, promised) = (self.last_accepted(known), self.vote.promised);
                AcceptorResponse {
                    durable_write: DurableWrite::Nothing,
                    reply: Reply::Read {
                        last_accepted,
                        promised,
                    },
                }
            }
        }
    }

    /// Takes in a value that is known to be chosen, also where a higher ballot was promised meanwhile: whoever holds that
    /// promise hears of the value from a majority, so that one more holder changes nothing for it.
    pub fn learn(&mut self, chosen: &AcceptedValue) -> DurableWrite {
        if self
            .vote
            .accepted
            .as_ref()
            .is_some_and(|held| held.ballot >= chosen.ballot)
        {
            return DurableWrite::Nothing;
        }
        self.vote.promised = self.vote.promised.max(chosen.ballot);
        self.vote.accepted = Some(chosen.clone());
        DurableWrite::Learned {
            promised: self.vote.promised,
            chosen: chosen.clone(),
        }
    }

    fn prepare(&mut self, ballot: Ballot, known: Option<Ballot>) -> AcceptorResponse {
        if ballot < self.vote.promised {
            return self.refuse(ballot);
        }
        let durable_write = if ballot == self.vote.promised {
            DurableWrite::Nothing
        } else {
            DurableWrite::Promise(ballot)
        };
        self.vote.promised = ballot;
        AcceptorResponse {
            durable_write,
            reply: Reply::Promise {
                ballot,
                last_accepted: self.last_accepted(known),
            },
        }
    }

    fn accept(&mut self, proposed: AcceptedValue) -> AcceptorResponse {
        let ballot = proposed.ballot;
        if ballot < self.vote.promised {
            return self.refuse(ballot);
        }
        let repeated = self
            .vote
            .accepted
            .as_ref()
            .is_some_and(|accepted| accepted.ballot == ballot);
        self.vote.promised = ballot;
        let durable_write = if repeated {
            DurableWrite::Nothing
        } else {
            DurableWrite::Accepted(proposed.clone())
        };
        self.vote.accepted = Some(proposed);
        AcceptorResponse {
            durable_write,
            reply: Reply::Accepted { ballot },
        }
    }

    fn refuse(&self, ballot: Ballot) -> AcceptorResponse {
        AcceptorResponse {
            durable_write: DurableWrite::Nothing,
            reply: Reply::Rejected {
                ballot,
                promised: self.vote.promised,
            },
        }
    }

    fn last_accepted(&self, known: Option<Ballot>) -> ReportedValue {
        match &self.vote.accepted {
            None => ReportedValue::Nothing,
            Some(accepted) if known == Some(accepted.ballot) => {
                ReportedValue::Unchanged(accepted.ballot)
            }
            Some(accepted) => ReportedValue::Value(accepted.clone()),
        }
    }
}
