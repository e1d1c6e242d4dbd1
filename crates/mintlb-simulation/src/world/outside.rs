//! The callers outside of the tier: operators and the last readers.

use super::{Event, World};
use crate::checks::Order;
use crate::context::Time;
use crate::lot_client::{self, LotAct};
use crate::message::{Ask, Told};
use crate::operator::{Next, PATIENCE};
use crate::process::Role;
use mintlb_batch::messages::StoreResponse;
use std::time::Duration;

/// Of a hundred answers so many never reach the caller.
const ANSWERS_LOST: u32 = 4;

/// Who made a call, and what has to be known to judge its answer.
#[derive(Clone, Debug)]
pub struct Open {
    caller: Caller,
    order: Option<Order>,
    /// What is done with a lot, and whether it had been accepted when that began.
    act: Option<(LotAct, bool)>,
    /// The newest version acknowledged when a read began.
    floor: u64,
    until: Time,
}

/// The caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Caller {
    Operator {
        number: usize,
        turn: u64,
    },
    LastReader,
    /// With a lot, about it, and whether everything has to be there.
    LotClient {
        number: usize,
        turn: u64,
    },
    LastLot,
    Retirer,
    /// By its number, what it waits for, and whom it called.
    Worker {
        number: usize,
        turn: u64,
        controller: usize,
    },
}

impl World {
    /// An operator goes on.
    pub(super) fn operator_wakes(&mut self, number: usize, turn: u64) {
        if self.operators[number].turn() != turn {
            return;
        }
        if self.now >= self.operators_until && self.operators[number].is_idle() {
            return;
        }
        let next_order = self.checks.orders() + 1;
        let next = self.operators[number].wake(&mut self.random, next_order);
        if self.operators[number]
            .order()
            .is_some_and(|order| order.number == next_order)
        {
            self.checks.ordered();
        }
        self.operator_does(number, next);
    }

    fn operator_does(&mut self, number: usize, next: Next) {
        let turn = self.operators[number].turn();
        let wait = match next {
            Next::Wait(time) => time,
            Next::Call(ask, count) => {
                let order = self.operators[number].order().cloned();
                for _ in 0..count {
                    let caller = Caller::Operator { number, turn };
                    let machine = self.draw_controller();
                    self.ask(machine, ask.clone(), caller, order.clone());
                }
                PATIENCE
            }
        };
        self.schedule(wait, Event::Operator { number, turn });
    }

    pub(super) fn draw_controller(&mut self) -> usize {
        self.random.below(self.tier.controllers)
    }

    pub(super) fn ask_about(&mut self, machine: usize, caller: Caller, act: LotAct) {
        let accepted = self
            .lots
            .lots
            .get(act.lot())
            .is_some_and(|lot| lot.accepted);
        let ask = act.ask(&self.lots);
        self.ask(machine, ask, caller, None);
        if let Some(open) = self.open.get_mut(&self.next_ask) {
            open.until = self.now + lot_client::PATIENCE;
            open.act = Some((act, accepted));
        }
    }

    pub(super) fn ask(&mut self, machine: usize, ask: Ask, caller: Caller, order: Option<Order>) {
        self.next_ask += 1;
        let id = self.next_ask;
        let until = self.now + PATIENCE;
        self.open.insert(
            id,
            Open {
                caller,
                order,
                act: None,
                floor: self.checks.newest(),
                until,
            },
        );
        let delay = self.random.time(0, 5);
        self.schedule(delay, Event::Ask { machine, id, ask });
    }

    /// A call comes to a machine.
    pub(super) fn asked(&mut self, machine: usize, id: u64, ask: Ask) {
        if self.machines[machine].frozen {
            return self.machines[machine]
                .held
                .push(Event::Ask { machine, id, ask });
        }
        if self.machines[machine].process.is_none() {
            // Refused at once: the caller goes on to another one.
            return self.schedule(
                Duration::from_millis(1),
                Event::Told {
                    id,
                    told: Told::Unavailable,
                },
            );
        }
        self.with(machine, |process, context| process.ask(context, id, ask));
    }

    /// An answer is on its way to the caller.
    pub(super) fn tell(&mut self, id: u64, told: Told) {
        let is_promise = match &told {
            Told::Done => true,
            Told::Lots(answer, _) => {
                matches!(
                    answer,
                    StoreResponse::Accepted { .. } | StoreResponse::Recorded | StoreResponse::Ended
                )
            }
            _ => false,
        };
        if is_promise && self.armed.is_some() && self.random.chance(30) {
            let after = self.random.time(0, 3);
            self.schedule(after, Event::Strike);
        }
        let is_last = self
            .open
            .get(&id)
            .is_some_and(|open| matches!(open.caller, Caller::LastReader | Caller::LastLot));
        if is_last || !self.random.chance(ANSWERS_LOST) {
            let delay = self.random.time(0, 5);
            self.schedule(delay, Event::Told { id, told });
        }
    }

    /// An answer has come to its caller, who may have gone on.
    pub(super) fn told(&mut self, id: u64, told: &Told) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        if self.now > open.until {
            return;
        }
        self.judge(&open, told);
        match open.caller {
            Caller::Operator { number, turn } if self.operators[number].turn() == turn => {
                let next = self.operators[number].told(&mut self.random, told);
                self.operator_does(number, next);
            }
            Caller::Operator { .. } => (),
            Caller::LastReader => self.last_read(told),
            Caller::LotClient { number, turn } => self.lot_client_told(number, turn, told),
            Caller::LastLot => self.last_lot_read(told),
            Caller::Worker {
                number,
                turn,
                controller,
            } => {
                self.worker_told(number, turn, controller, told);
            }
            Caller::Retirer => self.retirer_told(told),
        }
    }

    fn judge(&mut self, open: &Open, told: &Told) {
        let now = self.now;
        if let Some(order) = &open.order {
            let text = String::from_utf8_lossy(&order.body).into_owned();
            self.note(|| format!("order {text:?} on {}: {told:?}", order.base));
        }
        if let (Some((act, accepted)), Told::Lots(answer, raw)) = (&open.act, told) {
            return self.judge_lot(act, *accepted, open.caller == Caller::LastLot, answer, raw);
        }
        match (&open.order, told) {
            (Some(order), Told::Done) => {
                self.checks.acknowledged(now, order);
                self.last_acknowledged = now;
            }
            (Some(order), Told::Refused) => self.checks.refused(now, order),
            (None, Told::Configuration { version, body }) => {
                self.checks.read(now, open.floor, *version, body);
            }
            _ => (),
        }
    }

    /// At the end the configuration is read at every controller.
    pub(super) fn ask_last_readers(&mut self) {
        let controllers =
            (0..self.machines.len()).filter(|i| self.machines[*i].role == Role::Controller);
        for machine in controllers.collect::<Vec<_>>() {
            self.last_reads_open += 1;
            self.ask(machine, Ask::Get, Caller::LastReader, None);
        }
    }

    fn last_read(&mut self, told: &Told) {
        if let Told::Configuration { version, .. } = told {
            self.last_reads_open -= 1;
            self.last_versions.push(*version);
        }
    }
}
