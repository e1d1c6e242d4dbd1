//! One change of the register, from its first message to its outcome.

use crate::ballot::Ballot;
use crate::change::{Change, ChangeOutcome, Verdict};
use crate::message::{AcceptedValue, Reply, ReportedValue, Request, RequestBody};
use crate::replica_set::{Replica, ReplicaId, ReplicaSet};
use crate::state::ControlState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// How long a round may take before another attempt is made.
pub const PHASE_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause before the second attempt; it doubles with each further one, and half of it is drawn at random.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(8);
/// The longest pause.
pub const MAX_BACKOFF: Duration = Duration::from_millis(128);

/// What happens to a proposal.
#[derive(Clone, Debug)]
pub enum Input {
    /// A replica's reply.
    Reply(ReplicaId, Reply),
    /// A message of this attempt to a replica, or its reply, is lost.
    Lost(ReplicaId, Ballot),
    /// The timer that was set last has run out.
    Timer,
}

/// What is to be done for a proposal.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages to send.
    pub send: Vec<(Replica, Request)>,
    /// Sets the timer anew.
    pub timer: Option<Duration>,
    /// The end, after which nothing more comes.
    pub outcome: Option<ProposalOutcome>,
}

/// The end of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposalOutcome {
    /// What became of the change.
    pub change: ChangeOutcome,
    /// The newest value, which is chosen.
    pub chosen: AcceptedValue,
}

/// One change on its way. It goes on until it has an outcome; whoever drives it may give up, after which the change may
/// or may not become part of the value.
#[derive(Clone, Debug)]
pub struct Proposal {
    proposer: u64,
    change: Change,
    known: Option<AcceptedValue>,
    rule: ReplicaSet,
    ballot: Ballot,
    highest_ballot: Ballot,
    phase: Phase,
    failed: BTreeSet<ReplicaId>,
    asked: BTreeSet<ReplicaId>,
    attempts: u32,
    dice: u64,
}

#[derive(Clone, Debug)]
enum Phase {
    Preparing {
        reported: BTreeMap<ReplicaId, Option<Ballot>>,
        newest: Option<AcceptedValue>,
    },
    Accepting {
        read: ReplicaSet,
        written: AcceptedValue,
        answer: Option<ChangeOutcome>,
        accepted: BTreeSet<ReplicaId>,
    },
    Pausing,
    Ended,
}

impl Proposal {
    /// A change by the newest set that the proposer knows.
    ///
    /// `proposer` is drawn at random for this proposal. `floor` is the highest ballot that the process knows of, so that
    /// the first attempt is not refused for want of height. `known` is a value that the proposer has.
    pub fn start(
        proposer: u64,
        floor: Ballot,
        rule: ReplicaSet,
        known: Option<AcceptedValue>,
        change: Change,
    ) -> (Proposal, Effects) {
        let known_ballot = known.as_ref().map(|known| known.ballot).unwrap_or_default();
        let mut proposal = Proposal {
            proposer,
            change,
            known,
            rule,
            ballot: floor,
            highest_ballot: floor.max(known_ballot),
            phase: Phase::Pausing,
            failed: BTreeSet::new(),
            asked: BTreeSet::new(),
            attempts: 0,
            dice: proposer ^ floor.counter.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        };
        let effects = proposal.prepare();
        (proposal, effects)
    }

    /// The highest ballot that the proposal has used or heard of.
    pub fn highest_ballot(&self) -> Ballot {
        self.highest_ballot
    }

    /// Goes on.
    pub fn handle(&mut self, input: Input) -> Effects {
        match input {
            Input::Timer => match self.phase {
                Phase::Pausing => self.prepare(),
                Phase::Preparing { .. } | Phase::Accepting { .. } => self.pause(),
                Phase::Ended => Effects::default(),
            },
            Input::Lost(from, ballot) if ballot == self.ballot => self.fail(from),
            Input::Lost(..) => Effects::default(),
            Input::Reply(
                from,
                Reply::Promise {
                    ballot,
                    last_accepted,
                },
            ) if ballot == self.ballot => self.promised(from, last_accepted),
            Input::Reply(from, Reply::Accepted { ballot }) if ballot == self.ballot => {
                self.accepted(from)
            }
            Input::Reply(from, Reply::Rejected { ballot, promised }) => {
                self.highest_ballot = self.highest_ballot.max(promised);
                if ballot == self.ballot {
                    self.fail(from)
                } else {
                    Effects::default()
                }
            }
            Input::Reply(from, Reply::WrongReplica { .. }) => self.fail(from),
            Input::Reply(..) => Effects::default(),
        }
    }

    /// Begins an attempt.
    fn prepare(&mut self) -> Effects {
        self.attempts += 1;
        self.ballot = self.highest_ballot.next(self.proposer);
        self.highest_ballot = self.ballot;
        self.phase = Phase::Preparing {
            reported: BTreeMap::new(),
            newest: None,
        };
        self.failed.clear();
        self.asked.clear();
        let send = self.ask_members();
        Effects {
            send,
            timer: Some(PHASE_TIMEOUT),
            outcome: None,
        }
    }

    /// The prepare messages for members of the rule that have none yet.
    fn ask_members(&mut self) -> Vec<(Replica, Request)> {
        let known = self.known.as_ref().map(|known| known.ballot);
        let ballot = self.ballot;
        let new: Vec<Replica> = self
            .rule
            .members()
            .filter(|replica| !self.asked.contains(&replica.id))
            .cloned()
            .collect();
        self.asked.extend(new.iter().map(|replica| replica.id));
        let ask = |replica: Replica| {
            let request = Request {
                target: replica.id,
                body: RequestBody::Prepare { ballot, known },
            };
            (replica, request)
        };
        new.into_iter().map(ask).collect()
    }

    fn promised(&mut self, from: ReplicaId, last_accepted: ReportedValue) -> Effects {
        let Phase::Preparing { reported, newest } = &mut self.phase else {
            return Effects::default();
        };
        reported.insert(from, last_accepted.ballot());
        let value = match last_accepted {
            ReportedValue::Value(accepted) => Some(accepted),
            ReportedValue::Unchanged(_) => self.known.clone(),
            ReportedValue::Nothing => None,
        };
        let before = newest.as_ref().map(|newest| newest.ballot);
        if let Some(value) = value.filter(|value| Some(value.ballot) > before) {
            self.rule = value.state.replicas.clone();
            *newest = Some(value);
        }
        let send = self.ask_members();
        let mut effects = self.prepared();
        effects.send.splice(0..0, send);
        effects
    }

    /// Once a quorum has promised: the change applied to a chosen value, or a value that may not be chosen written again.
    fn prepared(&mut self) -> Effects {
        let Phase::Preparing {
            reported,
            newest: Some(newest),
        } = &self.phase
        else {
            return self.pause_if_hopeless();
        };
        if !self.rule.is_quorum(|id| reported.contains_key(&id)) {
            return self.pause_if_hopeless();
        }
        let chosen = self
            .rule
            .is_quorum(|id| reported.get(&id) == Some(&Some(newest.ballot)));
        let newest = newest.clone();
        match chosen {
            true => self.apply(newest),
            false => self.accept(newest.state, None),
        }
    }

    /// Applies the change to a value that is chosen.
    fn apply(&mut self, chosen: AcceptedValue) -> Effects {
        if let Some(settled) = self.change.first(&chosen.state) {
            return self.accept(Arc::new(settled), None);
        }
        match self.change.apply(&chosen.state) {
            Verdict::Keep(answer) => self.end(answer, chosen),
            Verdict::Write(next) => self.accept(Arc::new(*next), Some(ChangeOutcome::Applied)),
        }
    }

    /// Begins round two. Without an answer, the value is one that was read.
    fn accept(&mut self, state: Arc<ControlState>, answer: Option<ChangeOutcome>) -> Effects {
        let written = AcceptedValue {
            ballot: self.ballot,
            state,
        };
        let read = self.rule.clone();
        let leaving = read.members().filter(|replica| {
            !written
                .state
                .replicas
                .members()
                .any(|member| member.id == replica.id)
        });
        let send: Vec<_> = written
            .state
            .replicas
            .members()
            .chain(leaving)
            .map(|replica| {
                let body = RequestBody::Accept {
                    proposed: written.clone(),
                };
                (
                    replica.clone(),
                    Request {
                        target: replica.id,
                        body,
                    },
                )
            })
            .collect();
        self.failed.clear();
        self.phase = Phase::Accepting {
            read,
            written,
            answer,
            accepted: BTreeSet::new(),
        };
        Effects {
            send,
            timer: Some(PHASE_TIMEOUT),
            outcome: None,
        }
    }

    fn accepted(&mut self, from: ReplicaId) -> Effects {
        let Phase::Accepting {
            read,
            written,
            answer,
            accepted,
        } = &mut self.phase
        else {
            return Effects::default();
        };
        accepted.insert(from);
        self.failed.remove(&from);
        let by = |id| accepted.contains(&id);
        if !written.state.replicas.is_quorum(by) || (answer.is_some() && !read.is_quorum(by)) {
            return Effects::default();
        }
        let (written, answer) = (written.clone(), *answer);
        self.known = Some(written.clone());
        self.rule = written.state.replicas.clone();
        match answer.map_or_else(|| self.change.apply(&written.state), Verdict::Keep) {
            Verdict::Keep(answer) => self.end(answer, written),
            Verdict::Write(_) => self.prepare(),
        }
    }

    fn end(&mut self, answer: ChangeOutcome, chosen: AcceptedValue) -> Effects {
        self.phase = Phase::Ended;
        Effects {
            outcome: Some(ProposalOutcome {
                change: answer,
                chosen,
            }),
            ..Effects::default()
        }
    }

    fn fail(&mut self, from: ReplicaId) -> Effects {
        self.failed.insert(from);
        self.pause_if_hopeless()
    }

    /// Pauses once those that have not failed are no quorum.
    fn pause_if_hopeless(&mut self) -> Effects {
        let hopes = |set: &ReplicaSet| set.is_quorum(|id| !self.failed.contains(&id));
        let hopeless = match &self.phase {
            Phase::Preparing { reported, newest } => {
                // Until all have answered, one may know a newer value with another set.
                let open = self
                    .asked
                    .iter()
                    .any(|id| !reported.contains_key(id) && !self.failed.contains(id));
                let nothing =
                    newest.is_none() && self.rule.is_quorum(|id| reported.contains_key(&id));
                !open && (nothing || !hopes(&self.rule))
            }
            Phase::Accepting {
                read,
                written,
                answer,
                ..
            } => !hopes(&written.state.replicas) || (answer.is_some() && !hopes(read)),
            Phase::Pausing | Phase::Ended => false,
        };
        if hopeless {
            self.pause()
        } else {
            Effects::default()
        }
    }

    fn pause(&mut self) -> Effects {
        if let Phase::Preparing {
            newest: Some(newest),
            ..
        } = &self.phase
        {
            self.known = Some(newest.clone());
        }
        self.phase = Phase::Pausing;
        let doubled = INITIAL_BACKOFF * (1 << self.attempts.min(8));
        let longest = doubled.min(MAX_BACKOFF);
        Effects {
            timer: Some(longest / 2 + longest.mul_f64(self.roll() / 2.0)),
            ..Effects::default()
        }
    }

    /// A number from 0 to 1 (xorshift).
    fn roll(&mut self) -> f64 {
        self.dice ^= self.dice << 13;
        self.dice ^= self.dice >> 7;
        self.dice ^= self.dice << 17;
        (self.dice >> 11) as f64 / (1_u64 << 53) as f64
    }
}
