//! What one controller does for all: it places the shards on the stores, takes silent replicas out of the register's
//! set, and ends the records of workers that no controller hears any more. Every replica listens to the stores'
//! heartbeats, so that any can take the duties over.

pub mod messages;
pub mod retirement;
pub mod service;

use crate::controller::Controller;
use crate::controller::contact::ping_state::{PingState, STEP};
use crate::controller::register::membership;
use crate::controller::singleton::messages::{SingletonRequest, SingletonResponse, encoded};
use crate::controller::workers::unclaimed_workers::{UnclaimedWorkers, id_hash};
use mintlb_batch::heartbeat::StoreHeartbeat;
use mintlb_batch::placement_planner::{ClusterSnapshot, StoreTable, plan};
use mintlb_common::placement::Placement;
use mintlb_common::record::PLACEMENT;
use mintlb_common::transport::Channel;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use parking_lot::{Mutex, MutexGuard};
use rustc_hash::FxHashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Between two looks at the placement at least.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a change of the register for a duty may take.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a read of the register for a duty may take.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// How long another controller may take to say which workers call it.
const WORKER_LIST_TIMEOUT: Duration = Duration::from_millis(600);
/// How often workers without a controller are looked for.
const UNCLAIMED_SCAN_INTERVAL: Duration = Duration::from_secs(5);

/// The state behind the duties.
pub struct Singleton {
    pings: Mutex<PingState>,
    stores: Mutex<StoreTable>,
    started_at: Instant,
    newer_record: Notify,
}

impl Singleton {
    /// Nothing is known yet. `random_seed` is a random number of this life of the process.
    pub fn new(own: Option<ReplicaId>, local_address: SocketAddr, random_seed: u64) -> Singleton {
        let now = Instant::now();
        Singleton {
            pings: Mutex::new(PingState::new(now, own, local_address, random_seed)),
            stores: Mutex::new(StoreTable::new(Duration::ZERO)),
            started_at: now,
            newer_record: Notify::new(),
        }
    }

    /// The pings, locked: not to be held while anything is waited for.
    pub fn pings(&self) -> MutexGuard<'_, PingState> {
        self.pings.lock()
    }

    /// What is known of the stores under a placement.
    pub fn store_view(&self, placement: &Placement) -> ClusterSnapshot {
        self.stores
            .lock()
            .snapshot(placement, self.started_at.elapsed())
    }

    /// Replicas that have long been silent.
    pub fn unresponsive_replicas(&self, set: &ReplicaSet) -> Vec<ReplicaId> {
        self.pings().peers.unresponsive(Instant::now(), set)
    }

    /// Whether this process is in contact with a majority of the set now. `majority_at` is when the newest round of the
    /// register began that a majority answered.
    pub fn is_in_contact(&self, set: &ReplicaSet, majority_at: Option<Instant>) -> bool {
        let peers = &mut self.pings().peers;
        majority_at
            .into_iter()
            .for_each(|at| peers.record_majority_round(at));
        peers.is_in_contact(Instant::now(), set)
    }

    /// For how long it has been in contact without a pause.
    pub fn in_contact_for(&self, set: &ReplicaSet) -> Duration {
        self.pings().peers.in_contact_for(Instant::now(), set)
    }

    /// Looks at who has the duties; the epoch under which this process has them.
    pub fn step(&self, set: &ReplicaSet, majority_at: Option<Instant>) -> Option<u64> {
        let now = Instant::now();
        let peers = &mut self.pings().peers;
        majority_at
            .into_iter()
            .for_each(|at| peers.record_majority_round(at));
        peers.step(now, set);
        peers.leader_epoch(now, set)
    }

    /// The epoch under which this process has the duties now.
    pub fn held(&self, set: &ReplicaSet) -> Option<u64> {
        self.pings().peers.leader_epoch(Instant::now(), set)
    }

    /// Lets the duties be looked at now.
    pub fn wake(&self) {
        self.newer_record.notify_one();
    }

    /// Notes a store's heartbeat.
    pub fn record_store_heartbeat(&self, heartbeat: StoreHeartbeat) {
        if self
            .stores
            .lock()
            .record_heartbeat(heartbeat, self.started_at.elapsed())
        {
            self.wake();
        }
    }

    fn live_addresses(&self) -> Vec<SocketAddr> {
        self.pings().peers.live_addresses(Instant::now())
    }
}

/// Does the duties while they fall to this process, for its life.
pub async fn run(controller: Arc<Controller>) {
    let mut unclaimed_workers = (None, UnclaimedWorkers::default());
    let mut next_unclaimed_scan = Instant::now();
    loop {
        timeout(STEP, controller.singleton.newer_record.notified())
            .await
            .ok();
        let leader_epoch = controller.leader_epoch();
        if unclaimed_workers.0 != leader_epoch {
            unclaimed_workers = (leader_epoch, UnclaimedWorkers::default());
            next_unclaimed_scan = Instant::now() + UNCLAIMED_SCAN_INTERVAL;
        }
        if let Some(epoch) = leader_epoch {
            refresh_placement(&controller).await;
            if controller.is_leader(epoch) {
                place_shards(&controller).await;
            }
            if controller.is_leader(epoch) {
                remove_unresponsive_replica(&controller).await;
            }
            if Instant::now() >= next_unclaimed_scan {
                next_unclaimed_scan = Instant::now() + UNCLAIMED_SCAN_INTERVAL;
                expire_unclaimed_workers(&controller, &mut unclaimed_workers.1, epoch).await;
            }
        }
        sleep(MIN_CHECK_INTERVAL).await;
    }
}

/// Reads the register if another controller has written a newer placement than the one known here.
async fn refresh_placement(controller: &Controller) {
    let published = controller
        .gossip
        .get(PLACEMENT)
        .map_or(0, |record| record.version);
    let known = controller
        .register
        .chosen()
        .map_or(0, |chosen| chosen.state.placement.epoch);
    if published > known {
        controller
            .register
            .read_once(Instant::now() + READ_TIMEOUT)
            .await;
    }
}

/// Writes the next placement, if the planner has one.
async fn place_shards(controller: &Controller) {
    let Some(chosen) = controller.register.chosen() else {
        return;
    };
    let placement = &chosen.state.placement;
    let view = controller.singleton.store_view(placement);
    let tolerance = controller.settings().fault_tolerance.machines;
    let Some(next) = plan(placement, &view, tolerance) else {
        return;
    };
    let epoch = next.epoch;
    match controller
        .register
        .change(Change::SetPlacement(next), CHANGE_TIMEOUT)
        .await
    {
        Ok(outcome) if outcome.change.is_applied() => log::info!("duties: placement epoch {epoch}"),
        Ok(outcome) => log::info!("duties: placement epoch {epoch}: {:?}", outcome.change),
        Err(error) => log::info!("duties: placement epoch {epoch}: {error}"),
    }
}

/// Takes one long silent replica out of a set that is larger than it has to be.
async fn remove_unresponsive_replica(controller: &Controller) {
    let Some(chosen) = controller.register.chosen() else {
        return;
    };
    let set = &chosen.state.replicas;
    let min_replicas = 2 * controller.settings().fault_tolerance.machines + 1;
    if set.is_joint() || set.current.len() <= min_replicas {
        return;
    }
    let Some(id) = controller
        .singleton
        .unresponsive_replicas(set)
        .first()
        .copied()
    else {
        return;
    };
    let change = Change::RemoveReplica { id, min_replicas };
    if let Ok(outcome) = controller.register.change(change, CHANGE_TIMEOUT).await
        && outcome.change == ChangeOutcome::Applied
    {
        log::info!("duties: a silent replica was taken out of the set");
        membership::complete_reconfiguration(controller).await;
    }
}

/// Ends the records of workers that no controller has heard for long.
async fn expire_unclaimed_workers(
    controller: &Arc<Controller>,
    unclaimed_workers: &mut UnclaimedWorkers,
    epoch: u64,
) {
    let own: Vec<u32> = controller.registry.lock().ids().map(id_hash).collect();
    let mut claimed: FxHashSet<u32> = own.into_iter().collect();
    let body = encoded(&SingletonRequest::Workers { epoch });
    let mut calls = JoinSet::new();
    for address in controller.singleton.live_addresses() {
        let (transport, body) = (controller.transport.clone(), body.clone());
        calls.spawn(async move {
            transport
                .call(address, Channel::Control, body, WORKER_LIST_TIMEOUT)
                .await
        });
    }
    while let Some(answer) = calls.join_next().await {
        let answer = answer.ok().and_then(Result::ok);
        match answer.and_then(|answer| minicbor::decode(&answer).ok()) {
            Some(SingletonResponse::Workers(workers)) => claimed.extend(workers),
            // Without the word of all of them nobody is an orphan.
            _ => return,
        }
    }
    if !controller.is_leader(epoch) {
        return;
    }
    for record in unclaimed_workers.expired(Instant::now(), &controller.gossip.snapshot(), &claimed)
    {
        log::info!(
            "duties: no controller hears the worker {}",
            record.instance_id
        );
        controller.gossip.publish_now(record.to_record());
    }
}
