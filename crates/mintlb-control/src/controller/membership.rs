//! Keeps this process in touch with the register: founds it, joins it, and reads it now and then.

use super::Controller;
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
const MOST_REPLICAS: usize = 9;
/// How long a seed may take to answer.
const SEED_WITHIN: Duration = Duration::from_millis(250);
/// The pause between two rounds of questions to the seeds.
const SEED_PAUSE: Duration = Duration::from_millis(40);
/// How long a join may take before it is tried anew.
const JOIN_WITHIN: Duration = Duration::from_millis(1500);
/// The pause after a change of the set that did not come about.
const JOIN_PAUSE: Duration = Duration::from_millis(60);
/// How long a read may take.
const READ_WITHIN: Duration = Duration::from_millis(400);
/// The mean pause between two reads.
const READ_EVERY: Duration = Duration::from_millis(1000);
/// So many unclear reads in a row are followed by a proposal that makes sure of the value.
const UNCLEAR_READS: u32 = 2;

/// Runs for the life of the process.
pub async fn run(controller: Arc<Controller>) {
    let mut unclear = 0;
    loop {
        let pause = if controller.register.set().is_none() {
            look_for_set(&controller).await;
            SEED_PAUSE
        } else if read(&controller, &mut unclear).await {
            keep_place(&controller).await
        } else {
            ask_for_newer_set(&controller).await;
            JOIN_PAUSE
        };
        let spread = controller.roll_below(pause.as_millis() as u64 / 4 + 1);
        sleep(pause + Duration::from_millis(spread)).await;
    }
}

/// Finds the register or founds it.
async fn look_for_set(controller: &Controller) {
    if hint_from_gossip(controller) {
        return;
    }
    let settings = controller.settings();
    let seeds = settings.seed_addresses();
    let own = controller.transport.local_address();
    let answers = ask(controller, &seeds).await;
    let founding = Bootstrap {
        first_start: settings.first_start,
        has_disk: controller.register.replica().is_some(),
        own_index: seeds.iter().position(|seed| *seed == own),
        seed_statuses: &answers,
    };
    match founding.step() {
        BootstrapStep::Initialize => found(controller).await,
        BootstrapStep::RequestVotes => {
            for seed in seeds {
                if !controller.register.ask_grant(seed, SEED_WITHIN).await {
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
async fn ask_for_newer_set(controller: &Controller) {
    hint_from_gossip(controller);
    let seeds = controller.settings().seed_addresses();
    for answer in ask(controller, &seeds).await.into_iter().flatten() {
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
async fn ask(controller: &Controller, seeds: &[SocketAddr]) -> Vec<Option<SeedStatus>> {
    let own = controller.transport.local_address();
    let mut answers = vec![None; seeds.len()];
    let mut calls = JoinSet::new();
    for (place, seed) in seeds
        .iter()
        .copied()
        .enumerate()
        .filter(|(_, seed)| *seed != own)
    {
        let register = controller.register.clone();
        calls.spawn(async move { (place, register.status_of(seed, SEED_WITHIN).await) });
    }
    while let Some(Ok((place, answer))) = calls.join_next().await {
        answers[place] = answer;
    }
    answers
}

/// Reads the register; after unclear reads it makes sure of the value.
async fn read(controller: &Controller, unclear: &mut u32) -> bool {
    if controller
        .register
        .read_once(Instant::now() + READ_WITHIN)
        .await
        .is_some()
    {
        *unclear = 0;
        return true;
    }
    *unclear += 1;
    let unknown = controller.register.chosen().is_none();
    if *unclear < UNCLEAR_READS && !unknown {
        return false;
    }
    controller
        .register
        .change(Change::Identity, READ_WITHIN)
        .await
        .is_ok()
}

/// Joins the set, and ends changes of it. Returns the pause until the next look.
async fn keep_place(controller: &Controller) -> Duration {
    let Some(chosen) = controller.register.chosen() else {
        return JOIN_PAUSE;
    };
    let set = &chosen.state.replicas;
    if let Some(replica) = controller.register.replica() {
        replica.catch_up(&chosen).await;
    }
    if let Some(replica) = controller.register.replica()
        && !set.current.contains(replica.identity())
    {
        if controller.stopping.load(Relaxed) {
            return READ_EVERY;
        }
        let silent = controller.duties.silent_replicas(set);
        return join(controller, silent).await;
    }
    if set.is_joint() {
        settle(controller).await;
    }
    READ_EVERY
}

/// Joins the set. Returns the pause until the next look.
async fn join(controller: &Controller, silent: Vec<ReplicaId>) -> Duration {
    let Some(replica) = controller.register.replica() else {
        return READ_EVERY;
    };
    let change = Change::AddReplica {
        replica: replica.identity().clone(),
        unresponsive: silent,
        max_replicas: MOST_REPLICAS,
    };
    match controller.register.change(change, JOIN_WITHIN).await {
        Ok(outcome) if outcome.change.is_applied() && settle(controller).await => Duration::ZERO,
        Ok(outcome) if outcome.change == ChangeOutcome::SetFull => READ_EVERY,
        Ok(_) | Err(_) => JOIN_PAUSE,
    }
}

/// Leaves a set that is larger than it has to be, before the process ends: a member that is gone for good and still
/// counts would add to the losses that the set has to bear. The replica votes until the change is over.
pub async fn leave(controller: &Controller) {
    controller.stopping.store(true, Relaxed);
    let Some(id) = controller.replica_id() else {
        return;
    };
    let Ok(chosen) = controller.register.read(READ_WITHIN).await else {
        return;
    };
    let min_replicas = 2 * controller.settings().fault_tolerance.machines + 1;
    let set = &chosen.state.replicas;
    if set.current_replica(id).is_none() || set.current.len() <= min_replicas {
        return;
    }
    let left = controller
        .register
        .change(Change::RemoveReplica { id, min_replicas }, JOIN_WITHIN)
        .await;
    if left.is_ok_and(|outcome| outcome.change.is_applied()) && settle(controller).await {
        log::info!("register: this replica has left the set");
    }
}

/// Ends a change of the set.
pub async fn settle(controller: &Controller) -> bool {
    controller
        .register
        .change(Change::LeaveJoint, JOIN_WITHIN)
        .await
        .is_ok()
}
