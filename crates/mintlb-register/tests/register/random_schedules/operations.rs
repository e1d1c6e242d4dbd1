//! Proposals and reads in progress.

use super::network::Message;
use super::world::World;
use mintlb_register::ballot::Ballot;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::message::{AcceptedValue, OutboundRequest};
use mintlb_register::proposal::{Effects, Input, Proposal, ProposalOutcome};
use mintlb_register::quorum_read::{QuorumRead, ReadProgress};
use mintlb_register::replica_set::ReplicaSet;

pub struct Operation {
    pub kind: OperationKind,
    /// The highest revision acknowledged when it began.
    floor: u64,
}

pub enum OperationKind {
    Proposal {
        proposal: Box<Proposal>,
        is_timer_set: bool,
        change: Change,
    },
    Read(Box<QuorumRead>),
}

impl World {
    pub fn start_proposal(&mut self, change: Change, set: ReplicaSet) {
        let number = self.next_number();
        let (proposal, effects) = Proposal::start(
            number,
            Ballot::default(),
            set,
            self.known_value(number),
            change.clone(),
        );
        let kind = OperationKind::Proposal {
            proposal: Box::new(proposal),
            is_timer_set: false,
            change,
        };
        self.insert_operation(number, kind);
        self.carry_out(number, effects);
    }

    pub fn start_read(&mut self) {
        let number = self.next_number();
        let (read, progress) = QuorumRead::start(self.known_set(), self.known_value(number));
        self.insert_operation(number, OperationKind::Read(Box::new(read)));
        self.handle_read_progress(number, progress);
    }

    fn insert_operation(&mut self, number: u64, kind: OperationKind) {
        let floor = self.checker.acknowledged();
        self.operations.insert(number, Operation { kind, floor });
    }

    /// The set that the next operation begins with: an outdated one for most, from which the newest has to be found.
    pub fn known_set(&self) -> ReplicaSet {
        let age = (self.last_number % 3) * 2;
        let newest = self.newest();
        self.checker
            .chosen_up_to(newest.revision.saturating_sub(age))
            .map(|state| &state.replicas)
            .filter(|set| self.has_reachable_quorum(set))
            .unwrap_or(&newest.replicas)
            .clone()
    }

    fn has_reachable_quorum(&self, set: &ReplicaSet) -> bool {
        set.is_quorum(|id| self.machines.iter().any(|machine| machine.id() == id))
    }

    /// Every other operation has the newest value already.
    fn known_value(&self, number: u64) -> Option<AcceptedValue> {
        number
            .is_multiple_of(2)
            .then(|| self.checker.newest().clone())
    }

    pub fn handle_input(&mut self, number: u64, input: Input) {
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        match &mut operation.kind {
            OperationKind::Proposal {
                proposal,
                is_timer_set,
                ..
            } => {
                if matches!(input, Input::Timer) && !std::mem::take(is_timer_set) {
                    return;
                }
                let effects = proposal.handle(input);
                self.carry_out(number, effects);
            }
            OperationKind::Read(read) => {
                let progress = match input {
                    Input::Reply { from, reply } => read.handle_reply(from, Some(reply)),
                    Input::Lost { from, .. } => read.handle_reply(from, None),
                    Input::Timer => ReadProgress::Inconclusive,
                };
                self.handle_read_progress(number, progress);
            }
        }
    }

    fn send_requests(&mut self, operation: u64, requests: Vec<OutboundRequest>) {
        for OutboundRequest { request, .. } in requests {
            self.send(Message::Request { operation, request });
        }
    }

    fn carry_out(&mut self, number: u64, effects: Effects) {
        self.send_requests(number, effects.requests);
        if let Some(Operation {
            kind: OperationKind::Proposal { is_timer_set, .. },
            ..
        }) = self.operations.get_mut(&number)
        {
            *is_timer_set |= effects.timer.is_some();
        }
        if let Some(outcome) = effects.outcome {
            self.finish_proposal(number, outcome);
        }
    }

    fn finish_proposal(&mut self, number: u64, outcome: ProposalOutcome) {
        let Some(operation) = self.operations.remove(&number) else {
            return;
        };
        self.check_chosen(&outcome.chosen, operation.floor);
        if let OperationKind::Proposal {
            change: Change::SetConfiguration { base, version, .. },
            ..
        } = operation.kind
            && outcome.change == ChangeOutcome::Applied
        {
            self.stats.applied += 1;
            if let Err(violation) = self.checker.record_applied(base, version) {
                self.report_violation(violation);
            }
        }
    }

    fn handle_read_progress(&mut self, number: u64, progress: ReadProgress) {
        match progress {
            ReadProgress::Send(requests) => self.send_requests(number, requests),
            ReadProgress::Inconclusive => {
                self.operations.remove(&number);
            }
            ReadProgress::Chosen(chosen) => {
                self.stats.reads += 1;
                if let Some(operation) = self.operations.remove(&number) {
                    self.check_chosen(&chosen, operation.floor);
                }
            }
        }
    }

    /// Checks a value that an operation which began at this floor reports as chosen.
    fn check_chosen(&mut self, chosen: &AcceptedValue, floor: u64) {
        let epoch = self.newest().replicas.epoch;
        if let Err(violation) = self.checker.record_chosen(chosen, floor) {
            self.report_violation(violation);
        }
        self.stats.set_changes += u64::from(self.newest().replicas.epoch > epoch);
    }
}
