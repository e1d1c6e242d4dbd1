//! The network, which loses, duplicates and delays messages, and the acceptors behind it.

use super::machine::PendingReply;
use super::simulation::{Event, PlantedFault, Simulation};
use mintlb_register::acceptor::DurableWrite;
use mintlb_register::message::{OutboundRequest, Request};

impl Simulation {
    /// Sends a message to a machine, or to an address at which none is up.
    fn send(&mut self, from: usize, to: Option<usize>, event: impl Fn() -> Event) {
        let is_inbound_cut = to.is_some_and(|to| self.machines[to].is_inbound_cut);
        let is_cut = self.machines[from].is_outbound_cut || is_inbound_cut;
        let copies = match self.random_below(100) {
            percent if percent < self.loss_percent => 0,
            98..=99 => 2,
            _ => 1,
        };
        if is_cut {
            return;
        }
        for _ in 0..copies {
            let delay = if self.random_below(50) == 0 {
                self.random_below(600)
            } else {
                1 + self.random_below(12)
            };
            self.schedule(delay, event());
        }
    }

    /// Index of the machine that is up at this address.
    fn machine_at(&self, address: &str) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| machine.is_up && machine.address == address)
    }

    pub fn send_requests(&mut self, from: usize, operation: u64, requests: Vec<OutboundRequest>) {
        for OutboundRequest { to, request } in requests {
            let recipient = self.machine_at(&to.address);
            self.send(from, recipient, || Event::Request {
                address: to.address.clone(),
                from,
                operation,
                request: request.clone(),
            });
        }
    }

    fn send_reply(&mut self, from: usize, pending: &PendingReply) {
        let id = self.machines[from].id();
        self.send(from, Some(pending.to), || Event::Reply {
            to: pending.to,
            operation: pending.operation,
            from: id,
            reply: pending.reply.clone(),
        });
    }

    /// The acceptor at this address handles a request.
    pub fn handle_request(
        &mut self,
        address: String,
        from: usize,
        operation: u64,
        request: Request,
    ) {
        let Some(index) = self.machine_at(&address) else {
            return;
        };
        if self.machines[index].paused_until > self.now {
            let delay = self.machines[index].paused_until - self.now;
            let event = Event::Request {
                address,
                from,
                operation,
                request,
            };
            return self.schedule(delay, event);
        }
        let machine = &mut self.machines[index];
        let response = machine.acceptor.handle(request);
        let is_synced =
            response.durable_write == DurableWrite::Nothing && machine.unsynced.is_empty();
        let pending = PendingReply {
            write: response.durable_write,
            reply: response.reply,
            to: from,
            operation,
        };
        if is_synced || self.planted == PlantedFault::RepliesBeforeSync {
            self.send_reply(index, &pending);
        }
        if !is_synced {
            self.machines[index].unsynced.push_back(pending);
            let is_slow = self.random_below(12) == 0;
            let sync_time = 1 + self.random_below(if is_slow { 600 } else { 15 });
            self.schedule_synced(index, sync_time);
        }
    }

    pub fn schedule_synced(&mut self, machine: usize, delay: u64) {
        let incarnation = self.machines[machine].incarnation;
        self.schedule(
            delay,
            Event::Synced {
                machine,
                incarnation,
            },
        );
    }

    /// The oldest unsynced write is on disk; its reply can be sent.
    pub fn handle_synced(&mut self, index: usize, incarnation: u64) {
        let machine = &mut self.machines[index];
        if machine.incarnation != incarnation {
            return;
        }
        let Some(pending) = machine.unsynced.pop_front() else {
            return;
        };
        machine.durable.apply(&pending.write);
        if self.planted != PlantedFault::RepliesBeforeSync {
            self.send_reply(index, &pending);
        }
        let has_written = pending.write != DurableWrite::Nothing;
        if has_written && !self.is_calm && self.random_below(400) == 0 && self.may_lose(index) {
            self.wipe_disk(index);
        }
    }
}
