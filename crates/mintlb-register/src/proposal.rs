//! The proposer: the state machine of one change, from its first request to its outcome.
//!
//! Each attempt has a ballot of its own and two phases, as in Paxos:
//!
//! 1. *Prepare*: acceptors promise to reject lower ballots and report the value accepted last.
//! 2. *Accept*: the changed value is accepted by a quorum, and thereby chosen. If phase 1 has found a value that may not
//!    be chosen yet, this value is accepted first, and another attempt follows for the change.
//!
//! An attempt that fails, by rejections, losses or time-out, is followed by another with a higher ballot after a random
//! backoff, so that competing proposers don't preempt each other for ever.

mod acceptance;
mod backoff;
mod io;

use crate::ballot::Ballot;
use crate::change::{Change, ChangeOutcome};
use crate::message::{AcceptedValue, OutboundRequest, Reply, ReportedValue, RequestBody};
use crate::replica_set::{ReplicaId, ReplicaSet};
use crate::report_collector::ReportCollector;
use crate::state::ControlState;
use crate::transition::Transition;
use acceptance::Acceptance;
use backoff::Backoff;
pub use backoff::{INITIAL_BACKOFF, MAX_BACKOFF};
pub use io::{Effects, Input, ProposalOutcome};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// How long one phase may take before the attempt is given up.
pub const PHASE_TIMEOUT: Duration = Duration::from_millis(300);

/// One change in progress.
///
/// It makes attempts until it has an outcome. A driver that gives it up earlier does not know whether the change is or
/// will become part of the value: another proposer may find and complete it.
#[derive(Clone, Debug)]
pub struct Proposal {
    proposer: u64,
    change: Change,
    /// A value that the process has, which acceptors need not send.
    known: Option<AcceptedValue>,
    /// The newest replica set that the proposal knows.
    replica_set: ReplicaSet,
    /// Ballot of the current attempt.
    ballot: Ballot,
    highest_ballot: Ballot,
    phase: Phase,
    /// Replicas that have failed in the current phase.
    failed: BTreeSet<ReplicaId>,
    backoff: Backoff,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Phase 1.
    Prepare(ReportCollector),
    /// Phase 2.
    Accept(Acceptance),
    /// Between two attempts.
    Backoff,
    /// The outcome has been reported.
    Ended,
}

impl Proposal {
    /// Starts a proposal at the newest replica set that the process knows.
    ///
    /// - `proposer`: a random number that no other proposal has.
    /// - `floor`: the highest ballot that the process knows of. The first attempt is above it, as it would be rejected
    ///   otherwise.
    /// - `known`: a value that the process has, which acceptors need not send.
    pub fn start(
        proposer: u64,
        floor: Ballot,
        replica_set: ReplicaSet,
        known: Option<AcceptedValue>,
        change: Change,
    ) -> (Proposal, Effects) {
        let known_ballot = known.as_ref().map(|known| known.ballot).unwrap_or_default();
        let mut proposal = Proposal {
            proposer,
            change,
            known,
            replica_set,
            ballot: floor,
            highest_ballot: floor.max(known_ballot),
            phase: Phase::Backoff,
            failed: BTreeSet::new(),
            backoff: Backoff::new(proposer, floor),
        };
        let effects = proposal.start_attempt();
        (proposal, effects)
    }

    /// The highest ballot that the proposal has used or learned of. Later proposals of the process have to be above it.
    pub fn highest_ballot(&self) -> Ballot {
        self.highest_ballot
    }

    /// Handles an event.
    pub fn handle(&mut self, input: Input) -> Effects {
        match input {
            Input::Reply { from, reply } => self.handle_reply(from, reply),
            Input::Lost { from, ballot } if ballot == self.ballot => self.handle_failure(from),
            Input::Lost { .. } => Effects::default(),
            Input::Timer => self.handle_timer(),
        }
    }

    fn handle_timer(&mut self) -> Effects {
        match self.phase {
            Phase::Backoff => self.start_attempt(),
            Phase::Prepare(_) | Phase::Accept(_) => self.back_off(),
            Phase::Ended => Effects::default(),
        }
    }

    /// Handles a reply. Those to earlier attempts are ignored, but for the ballot that a rejection tells.
    fn handle_reply(&mut self, from: ReplicaId, reply: Reply) -> Effects {
        match reply {
            Reply::Promise {
                ballot,
                last_accepted,
            } if ballot == self.ballot => self.handle_promise(from, last_accepted),
            Reply::Accepted { ballot } if ballot == self.ballot => self.handle_accepted(from),
            Reply::Rejected { ballot, promised } => {
                self.highest_ballot = self.highest_ballot.max(promised);
                if ballot == self.ballot {
                    self.handle_failure(from)
                } else {
                    Effects::default()
                }
            }
            Reply::WrongReplica { .. } => self.handle_failure(from),
            Reply::Promise { .. } | Reply::Accepted { .. } | Reply::Read { .. } => {
                Effects::default()
            }
        }
    }

    /// Starts phase 1 of an attempt with a ballot above all that the proposal knows of.
    fn start_attempt(&mut self) -> Effects {
        self.backoff.count_attempt();
        self.ballot = self.highest_ballot.next(self.proposer);
        self.highest_ballot = self.ballot;
        self.failed.clear();
        let mut reports = ReportCollector::new(self.replica_set.clone(), self.known.clone());
        let requests = prepare_requests(&mut reports, self.ballot);
        self.phase = Phase::Prepare(reports);
        Effects {
            requests,
            timer: Some(PHASE_TIMEOUT),
            outcome: None,
        }
    }

    fn handle_promise(&mut self, from: ReplicaId, last_accepted: ReportedValue) -> Effects {
        let Phase::Prepare(reports) = &mut self.phase else {
            return Effects::default();
        };
        reports.record(from, last_accepted);
        self.replica_set = reports.replica_set().clone();
        let requests = prepare_requests(reports, self.ballot);
        let mut effects = self.try_finish_prepare();
        effects.requests.splice(0..0, requests);
        effects
    }

    /// Starts phase 2 once a quorum has promised: with the changed value if the newest one is chosen, otherwise with the
    /// newest one itself.
    fn try_finish_prepare(&mut self) -> Effects {
        let Phase::Prepare(reports) = &self.phase else {
            return Effects::default();
        };
        let Some(newest) = reports.newest().filter(|_| reports.is_quorum_reported()) else {
            return self.back_off_if_failed();
        };
        match reports.chosen().cloned() {
            Some(chosen) => self.apply_change(chosen),
            None => {
                let recovered = newest.state.clone();
                self.start_accept(recovered, None)
            }
        }
    }

    fn apply_change(&mut self, chosen: AcceptedValue) -> Effects {
        if let Some(prerequisite) = self.change.prerequisite(&chosen.state) {
            return self.start_accept(Arc::new(prerequisite), None);
        }
        match self.change.apply(&chosen.state) {
            Transition::Unchanged(outcome) => self.end(outcome, chosen),
            Transition::Propose(next) => {
                self.start_accept(Arc::new(*next), Some(ChangeOutcome::Applied))
            }
        }
    }

    /// Starts phase 2. `outcome` is that of the change once the value is chosen; `None` if the change is not yet part of
    /// the value.
    fn start_accept(
        &mut self,
        state: Arc<ControlState>,
        outcome: Option<ChangeOutcome>,
    ) -> Effects {
        let proposed = AcceptedValue {
            ballot: self.ballot,
            state,
        };
        let acceptance = Acceptance::new(self.replica_set.clone(), proposed, outcome);
        let requests = acceptance.requests();
        self.failed.clear();
        self.phase = Phase::Accept(acceptance);
        Effects {
            requests,
            timer: Some(PHASE_TIMEOUT),
            outcome: None,
        }
    }

    fn handle_accepted(&mut self, from: ReplicaId) -> Effects {
        let Phase::Accept(acceptance) = &mut self.phase else {
            return Effects::default();
        };
        self.failed.remove(&from);
        acceptance.record(from);
        if !acceptance.is_chosen() {
            return Effects::default();
        }
        let chosen = acceptance.proposed().clone();
        let outcome = acceptance.outcome();
        self.known = Some(chosen.clone());
        self.replica_set = chosen.state.replicas.clone();
        match outcome.map_or_else(|| self.change.apply(&chosen.state), Transition::Unchanged) {
            Transition::Unchanged(outcome) => self.end(outcome, chosen),
            Transition::Propose(_) => self.start_attempt(),
        }
    }

    fn handle_failure(&mut self, from: ReplicaId) -> Effects {
        self.failed.insert(from);
        self.back_off_if_failed()
    }

    /// Gives the attempt up once the replicas that have not failed form no quorum.
    fn back_off_if_failed(&mut self) -> Effects {
        if self.has_attempt_failed() {
            self.back_off()
        } else {
            Effects::default()
        }
    }

    fn has_attempt_failed(&self) -> bool {
        let may_succeed = |id| !self.failed.contains(&id);
        match &self.phase {
            // Until all have replied, one of them may know a newer value with another replica set.
            Phase::Prepare(reports) if reports.is_awaiting_reports(&self.failed) => false,
            Phase::Prepare(reports) => {
                let is_no_value_known = reports.newest().is_none() && reports.is_quorum_reported();
                is_no_value_known || !self.replica_set.is_quorum(may_succeed)
            }
            Phase::Accept(acceptance) => !acceptance.is_quorum(may_succeed),
            Phase::Backoff | Phase::Ended => false,
        }
    }

    fn back_off(&mut self) -> Effects {
        if let Phase::Prepare(reports) = &self.phase
            && let Some(newest) = reports.newest()
        {
            self.known = Some(newest.clone());
        }
        self.phase = Phase::Backoff;
        Effects {
            timer: Some(self.backoff.next_delay()),
            ..Effects::default()
        }
    }

    fn end(&mut self, change: ChangeOutcome, chosen: AcceptedValue) -> Effects {
        self.phase = Phase::Ended;
        Effects {
            outcome: Some(ProposalOutcome { change, chosen }),
            ..Effects::default()
        }
    }
}

/// Prepare requests to members that have not been sent one in this attempt.
fn prepare_requests(reports: &mut ReportCollector, ballot: Ballot) -> Vec<OutboundRequest> {
    let known = reports.known_ballot();
    reports
        .take_unrequested()
        .into_iter()
        .map(|replica| OutboundRequest::new(replica, RequestBody::Prepare { ballot, known }))
        .collect()
}
