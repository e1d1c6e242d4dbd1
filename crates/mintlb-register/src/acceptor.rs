//! One replica's vote: the highest ballot promised and the value accepted last.

use crate::ballot::Ballot;
use crate::message::{Accepted, Ask, Reply, Report, Request};
use crate::state::ReplicaId;

/// What a replica has to remember for good.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Vote {
    /// Lower ballots are refused.
    pub promised: Ballot,
    /// The value accepted last.
    pub accepted: Option<Accepted>,
}

/// What of the vote has to be synced before the reply may be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Sync {
    /// Nothing new; but what was to be synced before has to be.
    Nothing,
    /// The promise.
    Promise(Ballot),
    /// The promise and the value, both at the value's ballot.
    Value(Accepted),
    /// A chosen value, and the promise, which may be higher.
    Learned {
        /// What is promised.
        promised: Ballot,
        /// The value.
        chosen: Accepted,
    },
}

/// An answer that may be given once `sync` is on disk.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    /// What to sync first.
    pub sync: Sync,
    /// The answer.
    pub reply: Reply,
}

/// The vote of one replica. Requests are handled one after the other.
#[derive(Clone, Debug)]
pub struct Acceptor {
    id: ReplicaId,
    vote: Vote,
}

impl Acceptor {
    /// A replica with what its disk holds.
    pub fn new(id: ReplicaId, vote: Vote) -> Acceptor {
        Acceptor { id, vote }
    }

    /// Its identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// What it has promised and accepted.
    pub fn vote(&self) -> &Vote {
        &self.vote
    }

    /// Handles a request.
    pub fn handle(&mut self, request: Request) -> Answered {
        if request.target != self.id {
            return Answered {
                sync: Sync::Nothing,
                reply: Reply::Stranger { id: self.id },
            };
        }
        match request.ask {
            Ask::Prepare { ballot, known } => self.prepare(ballot, known),
            Ask::Accept { proposed } => self.accept(proposed),
            Ask::Read { known } => {
                let (report, promised) = (self.report(known), self.vote.promised);
                Answered {
                    sync: Sync::Nothing,
                    reply: Reply::Read { report, promised },
                }
            }
        }
    }

    /// Takes in a value that is known to be chosen, also where a higher ballot was promised meanwhile: whoever holds that
    /// promise hears of the value from a majority, so that one more holder changes nothing for it.
    pub fn learn(&mut self, chosen: &Accepted) -> Sync {
        if self
            .vote
            .accepted
            .as_ref()
            .is_some_and(|held| held.ballot >= chosen.ballot)
        {
            return Sync::Nothing;
        }
        self.vote.promised = self.vote.promised.max(chosen.ballot);
        self.vote.accepted = Some(chosen.clone());
        Sync::Learned {
            promised: self.vote.promised,
            chosen: chosen.clone(),
        }
    }

    fn prepare(&mut self, ballot: Ballot, known: Option<Ballot>) -> Answered {
        if ballot < self.vote.promised {
            return self.refuse(ballot);
        }
        let sync = if ballot == self.vote.promised {
            Sync::Nothing
        } else {
            Sync::Promise(ballot)
        };
        self.vote.promised = ballot;
        Answered {
            sync,
            reply: Reply::Promised {
                ballot,
                report: self.report(known),
            },
        }
    }

    fn accept(&mut self, proposed: Accepted) -> Answered {
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
        let sync = if repeated {
            Sync::Nothing
        } else {
            Sync::Value(proposed.clone())
        };
        self.vote.accepted = Some(proposed);
        Answered {
            sync,
            reply: Reply::Accepted { ballot },
        }
    }

    fn refuse(&self, ballot: Ballot) -> Answered {
        Answered {
            sync: Sync::Nothing,
            reply: Reply::Refused {
                ballot,
                promised: self.vote.promised,
            },
        }
    }

    fn report(&self, known: Option<Ballot>) -> Report {
        match &self.vote.accepted {
            None => Report::Nothing,
            Some(accepted) if known == Some(accepted.ballot) => Report::Known(accepted.ballot),
            Some(accepted) => Report::Value(accepted.clone()),
        }
    }
}
