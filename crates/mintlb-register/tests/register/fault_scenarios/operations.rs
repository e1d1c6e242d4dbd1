//! Reads and proposals in progress.

use super::machine::{Operation, OperationKind, Purpose};
use super::simulation::{Event, Simulation};
use mintlb_register::change::Change;
use mintlb_register::proposal::{Effects, Input, Proposal, ProposalOutcome};
use mintlb_register::quorum_read::{QuorumRead, ReadProgress};

/// Time for a change, in ms.
const CHANGE_TIMEOUT_MS: u64 = 1500;
/// Time for a read, in ms.
const READ_TIMEOUT_MS: u64 = 400;

impl Simulation {
    pub fn start_read(&mut self, index: usize) {
        let machine = &self.machines[index];
        let Some(set) = machine.newest_set().cloned() else {
            return;
        };
        let (read, progress) = QuorumRead::start(set, machine.known.clone());
        let kind = OperationKind::Read(Box::new(read));
        let operation = self.start_operation(index, kind, Purpose::Poll, READ_TIMEOUT_MS);
        self.handle_read_progress(index, operation, progress);
    }

    pub fn start_change(&mut self, index: usize, change: Change, purpose: Purpose) {
        self.start_proposal(index, change, purpose, CHANGE_TIMEOUT_MS);
    }

    /// Determines the value by a proposal, for a poll whose read was inconclusive.
    pub fn confirm_value(&mut self, index: usize) {
        self.start_proposal(index, Change::Identity, Purpose::Poll, READ_TIMEOUT_MS);
    }

    fn start_proposal(&mut self, index: usize, change: Change, purpose: Purpose, timeout_ms: u64) {
        let machine = &self.machines[index];
        let Some(set) = machine.newest_set().cloned() else {
            return;
        };
        let proposer = self.last_number + 7;
        let (proposal, effects) = Proposal::start(
            proposer,
            machine.ballot_floor,
            set,
            machine.known.clone(),
            change,
        );
        let kind = OperationKind::Proposal(Box::new(proposal));
        let operation = self.start_operation(index, kind, purpose, timeout_ms);
        self.carry_out(index, operation, effects);
    }

    /// Returns the operation's number.
    fn start_operation(
        &mut self,
        machine: usize,
        kind: OperationKind,
        purpose: Purpose,
        timeout_ms: u64,
    ) -> u64 {
        // Far enough from the numbers before that each proposal has a proposer of its own.
        self.last_number += 10;
        let number = self.last_number;
        let operation = Operation {
            kind,
            purpose,
            floor: self.checker.acknowledged(),
            timer: 0,
        };
        self.machines[machine].operations.insert(number, operation);
        self.schedule(
            timeout_ms,
            Event::Deadline {
                machine,
                operation: number,
            },
        );
        number
    }

    pub fn handle_timer(&mut self, machine: usize, operation: u64, timer: u64) {
        let current = self.machines[machine].operations.get(&operation);
        if current.is_some_and(|operation| operation.timer == timer) {
            self.handle_input(machine, operation, Input::Timer);
        }
    }

    pub fn handle_deadline(&mut self, machine: usize, operation: u64) {
        if let Some(operation) = self.machines[machine].operations.remove(&operation) {
            self.handle_timeout(machine, operation.purpose);
        }
    }

    pub fn handle_input(&mut self, index: usize, number: u64, input: Input) {
        if self.machines[index].paused_until > self.now {
            return;
        }
        let Some(operation) = self.machines[index].operations.get_mut(&number) else {
            return;
        };
        match &mut operation.kind {
            OperationKind::Proposal(proposal) => {
                let effects = proposal.handle(input);
                self.carry_out(index, number, effects);
            }
            OperationKind::Read(read) => {
                if let Input::Reply { from, reply } = input {
                    let progress = read.handle_reply(from, Some(reply));
                    self.handle_read_progress(index, number, progress);
                }
            }
        }
    }

    fn carry_out(&mut self, index: usize, number: u64, effects: Effects) {
        self.send_requests(index, number, effects.requests);
        let timer = self.next_number();
        let Some(operation) = self.machines[index].operations.get_mut(&number) else {
            return;
        };
        if let Some(delay) = effects.timer {
            operation.timer = timer;
            let event = Event::Timer {
                machine: index,
                operation: number,
                timer,
            };
            self.schedule(delay.as_millis() as u64, event);
        }
        if let Some(outcome) = effects.outcome {
            self.finish_proposal(index, number, outcome);
        }
    }

    fn finish_proposal(&mut self, index: usize, number: u64, outcome: ProposalOutcome) {
        let machine = &mut self.machines[index];
        let Some(operation) = machine.operations.remove(&number) else {
            return;
        };
        if let OperationKind::Proposal(proposal) = &operation.kind {
            machine.ballot_floor = machine.ballot_floor.max(proposal.highest_ballot());
        }
        self.check_chosen(&outcome.chosen, operation.floor);
        self.machines[index].learn(&outcome.chosen);
        self.handle_outcome(index, operation.purpose, outcome.change);
    }

    fn handle_read_progress(&mut self, index: usize, number: u64, progress: ReadProgress) {
        match progress {
            ReadProgress::Send(requests) => self.send_requests(index, number, requests),
            ReadProgress::Inconclusive => {
                self.machines[index].operations.remove(&number);
                self.confirm_value(index);
            }
            ReadProgress::Chosen(chosen) => {
                let Some(operation) = self.machines[index].operations.remove(&number) else {
                    return;
                };
                self.check_chosen(&chosen, operation.floor);
                self.machines[index].learn(&chosen);
                self.maintain_membership(index);
            }
        }
    }
}
