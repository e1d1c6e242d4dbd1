//! A controller's pings and duties; mirrors `controller/singleton/leader.rs` and `controller/contact/pings.rs` around the product's
//! `PingState`.

use super::Controller;
use super::tasks::{Awaited, Ended, Purpose};
use crate::context::{Context, Out, Time, Timer};
use crate::message::Call;
use crate::planted::Planted;
use mintlb_batch::heartbeat::StoreHeartbeat;
use mintlb_batch::placement_planner::{ClusterSnapshot, StoreTable};
use mintlb_common::placement::Placement;
use mintlb_control::controller::contact::messages::{Ping, Pong};
use mintlb_control::controller::contact::ping_state::{PingState, STEP};
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A controller without a vote pings at each so many steps.
const STEPS_WITHOUT_VOTE: u32 = 2;
const PING_WITHIN: Duration = Duration::from_millis(600);
const CHANGE_WITHIN: Duration = Duration::from_millis(700);
const SETTLE_WITHIN: Duration = Duration::from_millis(1500);
/// `fault_tolerance.machines` of the model.
pub const TOLERANCE: usize = 1;

/// What the duties know.
pub struct Duties {
    pings: PingState,
    steps: u32,
    stores: StoreTable,
    begun: Time,
    /// As noted last.
    held: Option<u64>,
    busy: bool,
}

impl Duties {
    /// Nothing is known yet.
    pub fn new(context: &mut Context, own: ReplicaId) -> Duties {
        Duties {
            pings: PingState::new(
                context.instant,
                Some(own),
                context.own,
                context.random.number(),
            ),
            steps: 0,
            stores: StoreTable::new(Duration::ZERO),
            begun: context.now,
            held: None,
            busy: false,
        }
    }

    /// What is known of the stores under a placement.
    pub fn store_view(&mut self, context: &Context, placement: &Placement) -> ClusterSnapshot {
        self.stores.snapshot(placement, context.now - self.begun)
    }

    /// A store has told; whether it is news.
    pub fn note_store(&mut self, context: &Context, heartbeat: StoreHeartbeat) -> bool {
        self.stores
            .record_heartbeat(heartbeat, context.now - self.begun)
    }

    /// A controller pings.
    pub fn pinged(
        &mut self,
        context: &Context,
        from: SocketAddr,
        ping: &Ping,
        set: Option<&ReplicaSet>,
    ) -> Pong {
        self.pings.on_ping(context.instant, from, *ping, set)
    }

    /// A ping that was sent at that time was answered.
    pub fn answered(&mut self, context: &Context, from: SocketAddr, sent_at: Instant, pong: &Pong) {
        self.pings.on_pong(context.instant, from, sent_at, *pong);
    }

    /// Replicas that have long been silent.
    pub fn silent(&self, context: &Context, set: &ReplicaSet) -> Vec<ReplicaId> {
        self.pings.peers.unresponsive(context.instant, set)
    }
}

impl Controller {
    /// Whether this process is in contact with a majority now.
    pub(super) fn is_in_contact(&mut self, context: &Context) -> bool {
        if matches!(
            context.planted,
            Planted::ContactNotChecked | Planted::DrainInIsolation
        ) {
            return true;
        }
        let Some(set) = self.register.set() else {
            return false;
        };
        let peers = &mut self.duties.pings.peers;
        self.register
            .majority_at()
            .into_iter()
            .for_each(|at| peers.record_majority_round(at));
        peers.is_in_contact(context.instant, set)
    }

    /// For how long it has been in contact without a pause.
    pub(super) fn in_contact_for(&self, context: &Context) -> Duration {
        let set = self.register.set();
        set.map_or(Duration::ZERO, |set| {
            self.duties.pings.peers.in_contact_for(context.instant, set)
        })
    }

    /// Whether the duties fall to this process now.
    pub(super) fn has_duties(&self, context: &Context) -> bool {
        self.register
            .set()
            .and_then(|set| self.duties.pings.peers.leader_epoch(context.instant, set))
            .is_some()
    }

    /// Whether duties are to be begun; they are under way from now on then.
    pub(super) fn may_begin_duties(&mut self, context: &Context) -> bool {
        let begins = !self.duties.busy && self.has_duties(context);
        self.duties.busy |= begins;
        begins
    }

    /// Pings, looks who has the duties, and does them.
    pub(super) fn step(&mut self, context: &mut Context) {
        context.wake(STEP, Timer::Step);
        self.duties.steps += 1;
        let Some(set) = self.register.set().cloned() else {
            return;
        };
        if self.duties.pings.is_member(&set) || self.duties.steps.is_multiple_of(STEPS_WITHOUT_VOTE)
        {
            self.ping(context, &set);
        }
        let peers = &mut self.duties.pings.peers;
        self.register
            .majority_at()
            .into_iter()
            .for_each(|at| peers.record_majority_round(at));
        peers.step(context.instant, &set);
        let held = peers
            .leader_epoch(context.instant, &set)
            .map(|epoch| epoch.0);
        if held != self.duties.held {
            self.duties.held = held;
            context
                .out
                .push(Out::Note(format!("{} has duties {held:?}", self.name)));
        }
        self.do_duties(context);
    }

    fn ping(&mut self, context: &mut Context, set: &ReplicaSet) {
        for address in self.duties.pings.targets(context.instant, set) {
            let ping = self.duties.pings.ping(context.instant, address, set);
            let id = self
                .register
                .await_call(Awaited::Ping(address, context.instant));
            context.call(address, id, Call::Ping(ping));
            context.wake(PING_WITHIN, Timer::CallLost(id));
        }
    }

    /// Takes a long silent replica out of a set that is larger than it has to be.
    pub(super) fn remove_silent_replica(&mut self, context: &mut Context) {
        self.duties.busy = false;
        if !self.has_duties(context) {
            return;
        }
        let Some(chosen) = self.register.chosen() else {
            return;
        };
        let set = &chosen.state.replicas;
        let min_replicas = 2 * TOLERANCE + 1;
        if set.is_joint() || set.current.len() <= min_replicas {
            return;
        }
        let Some(id) = self.duties.silent(context, set).first().copied() else {
            return;
        };
        self.duties.busy = true;
        self.change(
            context,
            Change::RemoveReplica { id, min_replicas },
            CHANGE_WITHIN,
            Purpose::Remove,
        );
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
            && outcome.change == ChangeOutcome::Applied
        {
            return self.change(
                context,
                Change::LeaveJoint,
                SETTLE_WITHIN,
                Purpose::SettleRemoved,
            );
        }
        self.duties.busy = false;
    }
}
