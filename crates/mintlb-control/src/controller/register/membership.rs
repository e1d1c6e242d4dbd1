//! Keeps this process in touch with the register: founds it, joins it, and reads it now and then.

use crate::controller::Controller;
use mintlb_common::record::REPLICAS;
use mintlb_register::bootstrap::{Bootstrap, BootstrapStep, SeedStatus};
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The largest set of replicas.
const MAX_REPLICAS: usize = 9;
/// How long a seed may take to answer.
const SEED_TIMEOUT: Duration = Duration::from_millis(250);
/// The pause between two rounds of questions to the seeds.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// How long a join may take before it is tried anew.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1500);
/// The pause after a change of the set that did not come about.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// How long a read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// The mean pause between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(1000);
/// So many unclear reads in a row are followed by a proposal that makes sure of the value.
const MAX_UNCLEAR_READS: u32 = 2;

/// Runs for the life of the process.
pub async fn run(controller: Arc<Controller>) {
    let mut unclear = 0;
    loop {
        let pause = if controller.register.set().is_none() {
            discover_replica_set(&controller).await;
            SEED_RETRY_INTERVAL
        } else if read(&controller, &mut unclear).await {
            maintain_membership(&controller).await
        } else {
            discover_newer_replica_set(&controller).await;
            JOIN_RETRY_INTERVAL
        };
        let spread = controller.random_below(pause.as_millis() as u64 / 4 + 1);
        sleep(pause + Duration::from_millis(spread)).await;
    }
}

/// Finds the register or founds it.
async fn discover_replica_set(controller: &Controller) {
    if hint_from_gossip(controller) {
        return;
    }
    let settings = controller.settings();
    let seeds = settings.seed_addresses();
    let own = controller.transport.local_address();
    let answers = query_seeds(controller, &seeds).await;
    let bootstrap = Bootstrap {
        first_start: settings.first_start,
        has_disk: controller.register.replica().is_some(),
        own_index: seeds.iter().position(|seed| *seed == own),
        seed_statuses: &answers,
    };
    match bootstrap.next_step() {
        BootstrapStep::Initialize => found(controller).await,
        BootstrapStep::RequestVotes => {
            for seed in seeds {
                if !controller
                    .register
                    .request_bootstrap_grant(seed, SEED_TIMEOUT)
                    .await
                {
                    return;
                }
            }
            found(controller).await;
        }
        BootstrapStep::Join(set) => controller.register.hint(set),
        BootstrapStep::Wait => (),
    }
}

async fn found(controller: &Controller) {
    if controller.register.found().await {
        log::info!("register: founded here");
    }
}

/// The newest set may be known to others when nobody of the known one answers.
async fn discover_newer_replica_set(controller: &Controller) {
    hint_from_gossip(controller);
    let seeds = controller.settings().seed_addresses();
    for answer in query_seeds(controller, &seeds).await.into_iter().flatten() {
        if let Some(set) = answer.replica_set {
            controller.register.hint(set);
        }
    }
}

/// Takes the set from the overlay's records; whether there is one.
fn hint_from_gossip(controller: &Controller) -> bool {
    let Some(record) = controller.gossip.get(REPLICAS) else {
        return false;
    };
    let Ok(set) = minicbor::decode::<ReplicaSet>(&record.body) else {
        return false;
    };
    controller.register.hint(set);
    true
}

/// The seeds' answers, each at its place.
async fn query_seeds(controller: &Controller, seeds: &[SocketAddr]) -> Vec<Option<SeedStatus>> {
    let own = controller.transport.local_address();
    let mut answers = vec![None; seeds.len()];
    let mut calls = JoinSet::new();
    for (index, seed) in seeds
        .iter()
        .copied()
        .enumerate()
        .filter(|(_, seed)| *seed != own)
    {
        let register = controller.register.clone();
        calls.spawn(async move { (index, register.status_of(seed, SEED_TIMEOUT).await) });
    }
    while let Some(Ok((index, answer))) = calls.join_next().await {
        answers[index] = answer;
    }
    answers
}

/// Reads the register; after unclear reads it makes sure of the value.
async fn read(controller: &Controller, unclear: &mut u32) -> bool {
    if controller
        .register
        .read_once(Instant::now() + READ_TIMEOUT)
        .await
        .is_some()
    {
        *unclear = 0;
        return true;
    }
    *unclear += 1;
    let unknown = controller.register.chosen().is_none();
    if *unclear < MAX_UNCLEAR_READS && !unknown {
        return false;
    }
    controller
        .register
        .change(Change::Identity, READ_TIMEOUT)
        .await
        .is_ok()
}

/// Joins the set, and ends changes of it. Returns the pause until the next look.
async fn maintain_membership(controller: &Controller) -> Duration {
    let Some(chosen) = controller.register.chosen() else {
        return JOIN_RETRY_INTERVAL;
    };
    let set = &chosen.state.replicas;
    if let Some(replica) = controller.register.replica() {
        replica.catch_up(&chosen).await;
    }
    if let Some(replica) = controller.register.replica()
        && !set.current.contains(replica.identity())
    {
        if controller.shutting_down.load(Relaxed) {
            return READ_INTERVAL;
        }
        let silent = controller.singleton.unresponsive_replicas(set);
        return join(controller, silent).await;
    }
    if set.is_joint() {
        complete_reconfiguration(controller).await;
    }
    READ_INTERVAL
}

/// Joins the set. Returns the pause until the next look.
async fn join(controller: &Controller, silent: Vec<ReplicaId>) -> Duration {
    let Some(replica) = controller.register.replica() else {
        return READ_INTERVAL;
    };
    let change = Change::AddReplica {
        replica: replica.identity().clone(),
        unresponsive: silent,
        max_replicas: MAX_REPLICAS,
    };
    match controller.register.change(change, JOIN_TIMEOUT).await {
        Ok(outcome)
            if outcome.change.is_applied() && complete_reconfiguration(controller).await =>
        {
            Duration::ZERO
        }
        Ok(outcome) if outcome.change == ChangeOutcome::SetFull => READ_INTERVAL,
        Ok(_) | Err(_) => JOIN_RETRY_INTERVAL,
    }
}

/// Leaves a set that is larger than it has to be, before the process ends: a member that is gone for good and still
/// counts would add to the losses that the set has to bear. The replica votes until the change is over.
pub async fn leave(controller: &Controller) {
    controller.shutting_down.store(true, Relaxed);
    let Some(id) = controller.replica_id() else {
        return;
    };
    let Ok(chosen) = controller.register.read(READ_TIMEOUT).await else {
        return;
    };
    let min_replicas = 2 * controller.settings().fault_tolerance.machines + 1;
    let set = &chosen.state.replicas;
    if set.current_replica(id).is_none() || set.current.len() <= min_replicas {
        return;
    }
    let left = controller
        .register
        .change(Change::RemoveReplica { id, min_replicas }, JOIN_TIMEOUT)
        .await;
    if left.is_ok_and(|outcome| outcome.change.is_applied())
        && complete_reconfiguration(controller).await
    {
        log::info!("register: this replica has left the set");
    }
}

/// Ends a change of the set.
pub async fn complete_reconfiguration(controller: &Controller) -> bool {
    controller
        .register
        .change(Change::LeaveJoint, JOIN_TIMEOUT)
        .await
        .is_ok()
}
