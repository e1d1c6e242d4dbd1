//! A controller's pings and singleton role; mirrors `controller/singleton/leader.rs` and `controller/contact/pings.rs` around the product's
//! `PingState`.

use super::Controller;
use super::tasks::{Awaited, Ended, Purpose};
use crate::context::{Context, Out, Time, Timer};
use crate::message::Call;
use crate::mutations::Mutation;
use mintlb_batch::heartbeat::StoreHeartbeat;
use mintlb_batch::placement_planner::{ClusterSnapshot, StoreTable};
use mintlb_common::placement::Placement;
use mintlb_common::quorum::FaultTolerance;
use mintlb_control::controller::contact::messages::{Ping, Pong};
use mintlb_control::controller::contact::ping_state::{PingState, STEP};
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A controller without a vote pings at each so many steps.
const STEPS_WITHOUT_VOTE: u32 = 2;
const PING_TIMEOUT: Duration = Duration::from_millis(600);
const CHANGE_TIMEOUT: Duration = Duration::from_millis(700);
const FINISH_SET_CHANGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// `fault_tolerance` of the model.
pub const TOLERANCE: FaultTolerance = FaultTolerance {
    machines: 1,
    zones: 0,
    regions: 0,
};

/// State of the singleton role.
pub struct SingletonRole {
    pings: PingState,
    steps: u32,
    stores: StoreTable,
    begun: Time,
    /// The leader epoch that the trace shows.
    leader_epoch: Option<u64>,
    busy: bool,
}

impl SingletonRole {
    /// Nothing is known yet.
    pub fn new(context: &mut Context, own: ReplicaId) -> SingletonRole {
        SingletonRole {
            pings: PingState::new(
                context.instant,
                Some(own),
                context.own,
                context.random.number(),
            ),
            steps: 0,
            stores: StoreTable::new(Duration::ZERO),
            begun: context.now,
            leader_epoch: None,
            busy: false,
        }
    }

    /// What is known of the stores under a placement.
    pub fn store_snapshot(&mut self, context: &Context, placement: &Placement) -> ClusterSnapshot {
        self.stores.snapshot(placement, context.now - self.begun)
    }

    /// Records a store's heartbeat; returns whether it changed anything.
    pub fn record_store_heartbeat(&mut self, context: &Context, heartbeat: StoreHeartbeat) -> bool {
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

    /// Replicas that have long been unresponsive.
    pub fn unresponsive(&self, context: &Context, set: &ReplicaSet) -> Vec<ReplicaId> {
        self.pings.peers.unresponsive(context.instant, set)
    }
}

impl SingletonRole {
    /// Whether a replica of the set has sent nothing lately, or nothing yet.
    pub fn has_silent_member(&self, context: &Context, set: &ReplicaSet) -> bool {
        self.pings.peers.has_silent_member(context.instant, set)
    }
}

impl Controller {
    /// Whether this process is in contact with a majority now.
    pub(super) fn is_in_contact(&mut self, context: &Context) -> bool {
        if matches!(
            context.mutation,
            Mutation::ContactNotChecked | Mutation::DrainWithoutContact
        ) {
            return true;
        }
        let Some(set) = self.register.set() else {
            return false;
        };
        let peers = &mut self.singleton.pings.peers;
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
            self.singleton
                .pings
                .peers
                .in_contact_for(context.instant, set)
        })
    }

    /// Whether this process is the leader now.
    pub(super) fn is_leader(&self, context: &Context) -> bool {
        self.register
            .set()
            .and_then(|set| {
                self.singleton
                    .pings
                    .peers
                    .leader_epoch(context.instant, set)
            })
            .is_some()
    }

    /// Starts the singleton tasks if this process is the leader and none are running; returns whether it did.
    pub(super) fn try_begin_singleton_work(&mut self, context: &Context) -> bool {
        let begins = !self.singleton.busy && self.is_leader(context);
        self.singleton.busy |= begins;
        begins
    }

    /// Pings the peers, determines the leader, and runs the singleton tasks.
    pub(super) fn step(&mut self, context: &mut Context) {
        context.wake(STEP, Timer::Step);
        self.singleton.steps += 1;
        let Some(set) = self.register.set().cloned() else {
            return;
        };
        if self.singleton.pings.is_member(&set)
            || self.singleton.steps.is_multiple_of(STEPS_WITHOUT_VOTE)
        {
            self.ping(context, &set);
        }
        let peers = &mut self.singleton.pings.peers;
        self.register
            .majority_at()
            .into_iter()
            .for_each(|at| peers.record_majority_round(at));
        peers.step(context.instant, &set);
        let leader_epoch = peers
            .leader_epoch(context.instant, &set)
            .map(|epoch| epoch.0);
        if leader_epoch != self.singleton.leader_epoch {
            self.singleton.leader_epoch = leader_epoch;
            context.out.push(Out::Note(format!(
                "{} leads in epoch {leader_epoch:?}",
                self.name
            )));
        }
        self.run_singleton_work(context);
    }

    fn ping(&mut self, context: &mut Context, set: &ReplicaSet) {
        for address in self.singleton.pings.targets(context.instant, set) {
            let ping = self.singleton.pings.ping(context.instant, address, set);
            let id = self
                .register
                .await_call(Awaited::Ping(address, context.instant));
            context.call(address, id, Call::Ping(ping));
            context.wake(PING_TIMEOUT, Timer::CallLost(id));
        }
    }

    /// Removes an unresponsive replica from a set that is larger than necessary.
    pub(super) fn remove_unresponsive_replica(&mut self, context: &mut Context) {
        self.singleton.busy = false;
        if !self.is_leader(context) {
            return;
        }
        let Some(chosen) = self.register.chosen() else {
            return;
        };
        let set = &chosen.state.replicas;
        if set.is_joint() {
            return;
        }
        let mut unresponsive = self.singleton.unresponsive(context, set).into_iter();
        let Some(id) = unresponsive.find(|id| set.can_spare(*id, &TOLERANCE)) else {
            return;
        };
        self.singleton.busy = true;
        self.change(
            context,
            Change::RemoveReplica {
                id,
                tolerance: TOLERANCE,
            },
            CHANGE_TIMEOUT,
            Purpose::Remove,
        );
    }

    /// A read or change of the singleton tasks completed.
    pub(super) fn singleton_task_completed(
        &mut self,
        context: &mut Context,
        purpose: Purpose,
        ended: Ended,
    ) {
        if matches!(purpose, Purpose::RefreshPlacement) {
            return self.place_shards(context);
        }
        if matches!(purpose, Purpose::PlaceShards) {
            return self.remove_unresponsive_replica(context);
        }
        if let (Purpose::Remove, Ended::Changed(outcome)) = (purpose, ended)
            && outcome.change == ChangeOutcome::Applied
        {
            return self.change(
                context,
                Change::LeaveJoint,
                FINISH_SET_CHANGE_TIMEOUT,
                Purpose::FinishReplicaRemoval,
            );
        }
        self.singleton.busy = false;
    }
}
