//! Messages in flight, and the acceptors that handle them.

use super::world::{PendingReply, PlantedFault, World};
use mintlb_register::acceptor::DurableWrite;
use mintlb_register::message::{Reply, Request};
use mintlb_register::proposal::Input;
use mintlb_register::replica_set::ReplicaId;

/// Messages in flight at most; beyond it the oldest are lost.
const MAX_IN_FLIGHT: usize = 200;

#[derive(Clone)]
pub enum Message {
    Request {
        operation: u64,
        request: Request,
    },
    Reply {
        operation: u64,
        from: ReplicaId,
        reply: Reply,
    },
}

/// What the network does to one message.
#[derive(Clone, Copy, Debug)]
pub enum Mutation {
    Drop,
    /// It arrives twice, the second time after all others.
    Duplicate,
    /// It arrives after all others.
    Delay,
    /// It arrives after the next one.
    Swap,
}

impl Mutation {
    pub const ALL: [Mutation; 4] = [
        Mutation::Drop,
        Mutation::Duplicate,
        Mutation::Delay,
        Mutation::Swap,
    ];
}

impl World {
    pub fn send(&mut self, message: Message) {
        self.in_flight.push_back(message);
        if self.in_flight.len() > MAX_IN_FLIGHT {
            self.in_flight.pop_front();
        }
    }

    /// Delivers the message that was first in flight, mutated or not.
    pub fn deliver_mutated(&mut self, message: Message, mutation: Option<Mutation>) {
        match mutation {
            None => self.deliver(message),
            Some(Mutation::Drop) => (),
            Some(Mutation::Duplicate) => {
                self.in_flight.push_back(message.clone());
                self.deliver(message);
            }
            Some(Mutation::Delay) => self.in_flight.push_back(message),
            Some(Mutation::Swap) => {
                let next = self.in_flight.pop_front();
                self.in_flight.push_front(message);
                if let Some(next) = next {
                    self.in_flight.push_front(next);
                }
            }
        }
    }

    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::Reply {
                operation,
                from,
                reply,
            } => self.handle_input(operation, Input::Reply { from, reply }),
            Message::Request { operation, request } => self.handle_request(operation, request),
        }
    }

    fn handle_request(&mut self, operation: u64, request: Request) {
        let target = request.target;
        // A request goes to an address; with an empty disk the machine there is another replica.
        let recipient = self
            .machines
            .iter()
            .position(|machine| machine.id() == target);
        let Some(index) = recipient else {
            let reply = Reply::WrongReplica { id: ReplicaId(0) };
            return self.send(Message::Reply {
                operation,
                from: target,
                reply,
            });
        };
        let machine = &mut self.machines[index];
        let response = machine.acceptor.handle(request);
        let is_synced =
            response.durable_write == DurableWrite::Nothing && machine.unsynced.is_empty();
        let reply = response.reply.clone();
        machine.unsynced.push_back(PendingReply {
            write: response.durable_write,
            reply: response.reply,
            operation,
        });
        if is_synced {
            self.finish_syncs(index, 1);
        } else if self.planted == PlantedFault::RepliesBeforeSync {
            self.send(Message::Reply {
                operation,
                from: target,
                reply,
            });
        }
    }

    /// The oldest unsynced writes of a machine are on disk; their replies can be sent.
    pub fn finish_syncs(&mut self, index: usize, max_count: usize) {
        for _ in 0..max_count {
            let machine = &mut self.machines[index];
            let Some(pending) = machine.unsynced.pop_front() else {
                return;
            };
            machine.durable.apply(&pending.write);
            let from = machine.id();
            if self.planted != PlantedFault::RepliesBeforeSync {
                self.send(Message::Reply {
                    operation: pending.operation,
                    from,
                    reply: pending.reply,
                });
            }
        }
    }
}
