//! Callers with lots, and the operator who retires a store.

use super::outside::Caller;
use super::{Event, World};
use crate::lot_client::{LotAct, PATIENCE};
use crate::message::{Ask, Told};
use bytes::Bytes;
use mintlb_batch::messages::StoreResponse;
use std::time::Duration;

/// The operator asks again how far a retirement is.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// A retirement under way.
#[derive(Clone, Copy, Debug)]
pub struct Retiring {
    machine: usize,
    ordered: bool,
}

impl World {
    /// A caller with lots goes on.
    pub(super) fn lot_client_wakes(&mut self, number: usize, turn: u64) {
        if self.lot_clients[number].turn() != turn || self.is_ending() {
            return;
        }
        let act = self.lot_clients[number].wake(&mut self.random, &mut self.lots);
        let turn = self.lot_clients[number].turn();
        let machine = self.draw_dispatcher();
        self.ask_about(machine, Caller::LotClient { number, turn }, act);
        self.schedule(PATIENCE, Event::LotClient { number, turn });
    }

    fn draw_dispatcher(&mut self) -> usize {
        self.tier.counted() + self.random.below(self.tier.dispatchers)
    }

    /// It was answered.
    pub(super) fn lot_client_told(&mut self, number: usize, turn: u64, told: &Told) {
        if self.lot_clients[number].turn() != turn {
            return;
        }
        let pause = self.lot_clients[number].told(&mut self.random, told);
        let turn = self.lot_clients[number].turn();
        self.schedule(pause, Event::LotClient { number, turn });
    }

    /// Holds an answer on a lot against what was told before.
    pub(super) fn judge_lot(
        &mut self,
        act: &LotAct,
        accepted: bool,
        last: bool,
        answer: &StoreResponse,
        raw: &Bytes,
    ) {
        self.note(|| format!("{act:?}: {answer:?}"));
        let id = act.lot();
        match (act, answer) {
            (LotAct::Submit(_), StoreResponse::Accepted { .. }) => {
                if let Some(lot) = self.lots.lots.get_mut(id) {
                    lot.accepted = true;
                }
            }
            (LotAct::Submit(_), StoreResponse::Conflict) => {
                self.checks.violates(
                    "P5",
                    self.now,
                    format!("lot {id} came again and is a conflict"),
                );
            }
            (LotAct::Record(_, item, _), StoreResponse::Recorded) => {
                self.lots.result_kept(id, *item)
            }
            (LotAct::End(_), StoreResponse::Ended) => {
                if let Some(lot) = self.lots.lots.get_mut(id) {
                    lot.ended = true;
                }
            }
            (_, StoreResponse::NotFound) if accepted => {
                let what = format!("lot {id} was accepted and is unknown to {act:?}");
                self.checks.violates("P3", self.now, what);
            }
            (LotAct::Read(_), answer) => {
                if let Err((point, what)) = self.lots.read(id, accepted, last, answer, raw) {
                    self.checks.violates(point, self.now, what);
                }
            }
            _ => (),
        }
    }

    /// At the end every lot that was accepted is read.
    pub(super) fn read_lots_at_last(&mut self) {
        let accepted = self.lots.lots.iter().filter(|(_, lot)| lot.accepted);
        let ids: Vec<String> = accepted.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.last_lots_open += 1;
            let machine = self.draw_dispatcher();
            self.ask_about(machine, Caller::LastLot, LotAct::Read(id));
        }
    }

    /// One of them was.
    pub(super) fn last_lot_read(&mut self, told: &Told) {
        if matches!(told, Told::Lots(..)) {
            self.last_lots_open -= 1;
        }
    }

    /// The operator orders a retirement.
    pub(super) fn retire(&mut self, machine: usize) {
        self.retiring = Some(Retiring {
            machine,
            ordered: false,
        });
        self.schedule(Duration::ZERO, Event::Retirement);
    }

    /// He orders again, or asks how far it is.
    pub(super) fn go_on_retiring(&mut self) {
        let Some(Retiring { machine, ordered }) = self.retiring else {
            return;
        };
        self.schedule(ASK_AGAIN, Event::Retirement);
        let node = self.machines[machine].name.clone();
        let controller = self.draw_controller();
        self.ask(
            controller,
            Ask::Retire {
                node,
                begin: !ordered,
            },
            Caller::Retirer,
            None,
        );
    }

    /// He was answered.
    pub(super) fn retirer_told(&mut self, told: &Told) {
        let Some(retiring) = &mut self.retiring else {
            return;
        };
        match told {
            Told::Retiring { completed: true } if retiring.ordered => {
                let machine = retiring.machine;
                self.retiring = None;
                self.checks.counts.retired += 1;
                self.take_away(machine);
            }
            Told::Retiring { .. } => retiring.ordered = true,
            // The store was replaced or wiped: the order has to be given anew.
            Told::Refused => retiring.ordered = false,
            _ => (),
        }
    }
}
