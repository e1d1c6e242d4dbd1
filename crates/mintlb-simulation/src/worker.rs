//! Workers: each calls a controller regularly, drains after a while, ends, and is followed by another one. A call that
//! is refused or not answered goes to another controller, under a new sequence.

use crate::message::{ClientRequest, ClientResponse};
use crate::random::Random;
use mintlb_common::record::{WorkerRecord, WorkerState};
use std::time::Duration;

/// After this time without a response a worker calls another controller.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The pause between two heartbeats, in ms.
const HEARTBEAT_MS: u64 = 400;

/// One worker.
#[derive(Clone, Debug)]
pub struct Worker {
    number: usize,
    generation: u64,
    state: WorkerState,
    sequence: u64,
    controller: usize,
    heartbeats: u64,
    turn: u64,
}

impl Worker {
    /// The first worker of this number.
    pub fn new(number: usize) -> Worker {
        Worker {
            number,
            generation: 1,
            state: WorkerState::InService,
            sequence: 0,
            controller: number,
            heartbeats: 0,
            turn: 0,
        }
    }

    /// What it waits for.
    pub fn turn(&self) -> u64 {
        self.turn
    }

    /// Its id.
    pub fn id(&self) -> String {
        format!("w{}-{}", self.number, self.generation)
    }

    /// The controller that it calls.
    pub fn controller(&self) -> usize {
        self.controller
    }

    /// Its next call; `again` if the last one was not answered.
    pub fn call(&mut self, random: &mut Random, controllers: usize, again: bool) -> ClientRequest {
        self.turn += 1;
        self.sequence += 1;
        if again {
            self.controller = random.below(controllers);
        }
        match self.state {
            WorkerState::Deregistered => ClientRequest::Leave(self.id()),
            _ => ClientRequest::Heartbeat(self.record()),
        }
    }

    /// Its record as it is sent.
    pub fn record(&self) -> WorkerRecord {
        WorkerRecord {
            instance_id: self.id(),
            service: "s".to_string(),
            address: format!("10.1.0.{}:80", self.number + 1),
            zone: "z".to_string(),
            capacity_slots: 4,
            state: self.state,
            call_sequence: self.sequence,
            slow_start_until_ms: 0,
        }
    }

    /// Handles a response: whether it calls another controller next, and the pause before that.
    pub fn on_response(
        &mut self,
        random: &mut Random,
        response: &ClientResponse,
    ) -> (bool, Duration) {
        self.turn += 1;
        if *response != ClientResponse::Done {
            return (true, random.time(10, 100));
        }
        self.heartbeats += 1;
        let next = match self.state {
            WorkerState::InService if self.heartbeats > 3 && random.with_probability(20) => {
                WorkerState::Draining
            }
            WorkerState::Draining if random.with_probability(40) => WorkerState::Deregistered,
            WorkerState::Deregistered => {
                self.generation += 1;
                (self.heartbeats, self.sequence) = (0, 0);
                WorkerState::InService
            }
            state => state,
        };
        let changes = next != self.state;
        self.state = next;
        let pause = if changes {
            random.time(1, 100)
        } else {
            random.time(HEARTBEAT_MS - 50, HEARTBEAT_MS + 50)
        };
        (false, pause)
    }
}
