//! A controller's pings and duties; mirrors `controller/duties.rs` around the product's `Peers`.

use super::Controller;
use super::tasks::{Awaited, Ended, Purpose};
use crate::context::{Context, Out, Time, Timer};
use crate::message::Call;
use mintlb_control::controller::peers::Peers;
use mintlb_lots::heartbeat::StoreHeartbeat;
use mintlb_lots::placement_planner::{StoreTable, StoreView};
use mintlb_register::change::{Answer as ChangeAnswer, Change};
use mintlb_register::state::{ReplicaId, ReplicaSet};
use mintlb_tier::placement::Placement;
use std::net::SocketAddr;
use std::time::Duration;

/// How often controllers ping each other.
pub const STEP: Duration = Duration::from_millis(300);
const PING_WITHIN: Duration = Duration::from_millis(600);
const CHANGE_WITHIN: Duration = Duration::from_millis(700);
const SETTLE_WITHIN: Duration = Duration::from_millis(1500);
/// `fault_tolerance.machines` of the model.
pub const TOLERANCE: usize = 1;

/// What the duties know.
pub struct Duties {
    peers: Peers,
    stores: StoreTable,
    begun: Time,
    held: Option<u64>,
    busy: bool,
}

impl Duties {
    /// Nothing is known yet.
    pub fn new(context: &Context, own: ReplicaId) -> Duties {
        Duties {
            peers: Peers::new(context.instant, Some(own)),
            stores: StoreTable::new(Duration::ZERO),
            begun: context.now,
            held: None,
            busy: false,
        }
    }

    /// Whether the duties fall to this process and none is under way; they are under way from now on then.
    pub fn may_begin(&mut self) -> bool {
        let begins = self.held.is_some() && !self.busy;
        self.busy |= begins;
        begins
    }

    /// What is known of the stores under a placement.
    pub fn store_view(&mut self, context: &Context, placement: &Placement) -> StoreView {
        self.stores.view(placement, context.now - self.begun)
    }

    /// A store has told; whether it is news.
    pub fn note_store(&mut self, context: &Context, heartbeat: StoreHeartbeat) -> bool {
        self.stores.note(heartbeat, context.now - self.begun)
    }

    /// A controller pinged or answered.
    pub fn heard(&mut self, context: &Context, address: SocketAddr, replica: Option<ReplicaId>, epoch: u64) {
        self.peers.heard(context.instant, address, replica, epoch);
    }

    /// The highest epoch of the duties heard of.
    pub fn epoch(&self) -> u64 {
        self.peers.epoch()
    }

    /// Replicas that have long been silent.
    pub fn silent(&self, context: &Context, set: &ReplicaSet) -> Vec<ReplicaId> {
        self.peers.silent(context.instant, set)
    }

    /// Whether a majority was heard of lately.
    pub fn is_in_touch(&self) -> bool {
        self.peers.is_in_touch()
    }
}

impl Controller {
    /// Pings, looks who has the duties, and does them.
    pub(super) fn step(&mut self, context: &mut Context) {
        context.wake(STEP, Timer::Step);
        let Some(set) = self.register.set().cloned() else { return };
        self.ping(context, &set);
        self.duties.peers.step(context.instant, &set);
        let held = self.duties.peers.held();
        if held != self.duties.held {
            self.duties.held = held;
            context.out.push(Out::Note(format!("{} has duties {held:?}", self.name)));
        }
        self.do_duties(context);
    }

    fn ping(&mut self, context: &mut Context, set: &ReplicaSet) {
        let own = context.own;
        let call = Call::Ping { replica: Some(self.replica.identity().id), epoch: self.duties.epoch() };
        let addresses: Vec<SocketAddr> =
            set.members().filter_map(|member| member.address.parse().ok()).collect();
        for address in addresses {
            // Of two replicas that hear each other the one with the lower address pings.
            let heard = self.duties.peers.is_heard(context.instant, address, STEP * 3 / 2);
            if address == own || (own > address && heard) {
                continue;
            }
            let id = self.register.await_call(Awaited::Ping(address));
            context.call(address, id, call.clone());
            context.wake(PING_WITHIN, Timer::CallLost(id));
        }
    }

    /// Takes a long silent replica out of a set that is larger than it has to be.
    pub(super) fn remove_silent_replica(&mut self, context: &mut Context) {
        self.duties.busy = false;
        let Some(chosen) = self.register.chosen() else { return };
        let set = &chosen.state.replicas;
        let fewest = 2 * TOLERANCE + 1;
        if set.is_joint() || set.current.len() <= fewest {
            return;
        }
        let Some(id) = self.duties.silent(context, set).first().copied() else { return };
        self.duties.busy = true;
        self.change(context, Change::Leave { id, fewest }, CHANGE_WITHIN, Purpose::Remove);
    }

    /// A read or change of the duties has ended.
    pub(super) fn duty_completed(&mut self, context: &mut Context, purpose: Purpose, ended: Ended) {
        if matches!(purpose, Purpose::KeepUp) {
            return self.place_shards(context);
        }
        if matches!(purpose, Purpose::Place) {
            return self.remove_silent_replica(context);
        }
        if let (Purpose::Remove, Ended::Changed(outcome)) = (purpose, ended)
            && outcome.answer == ChangeAnswer::Done
        {
            return self.change(context, Change::Settle, SETTLE_WITHIN, Purpose::SettleRemoved);
        }
        self.duties.busy = false;
    }
}
