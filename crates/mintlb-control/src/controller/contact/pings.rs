//! Controllers ping each other: so each knows who runs, whether it is in contact with a majority, and who has the duties.

use crate::controller::Controller;
use crate::controller::contact::ping_state::STEP;
use crate::controller::singleton::messages::{SingletonRequest, SingletonResponse, encoded};
use mintlb_common::transport::Channel;
use mintlb_register::replica_set::ReplicaSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A controller without a vote pings at each so many steps.
const STEPS_PER_PING_WITHOUT_REPLICA: u32 = 2;
/// How long a ping may take.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// Pings the replicas and looks at who has the duties, for the life of the process.
pub async fn run(controller: Arc<Controller>) {
    let (mut held, mut in_contact) = (None, false);
    let mut step = 0;
    loop {
        sleep(STEP).await;
        step += 1;
        let Some(set) = controller.register.set() else {
            continue;
        };
        let votes = controller.singleton.pings().is_member(&set);
        if votes || step % STEPS_PER_PING_WITHOUT_REPLICA == 0 {
            ping_all(&controller, &set);
        }
        let leader_epoch = controller
            .singleton
            .step(&set, controller.register.majority_at());
        if controller.is_in_contact() != in_contact {
            in_contact = !in_contact;
            log::info!(
                "contact: {}",
                if in_contact {
                    "with a majority"
                } else {
                    "lost"
                }
            );
        }
        if leader_epoch != held {
            log::info!(
                "duties: {}",
                leader_epoch.map_or("given up".into(), |epoch| format!("taken, epoch {epoch}"))
            );
            held = leader_epoch;
            controller.singleton.wake();
        }
    }
}

/// Pings every other replica; the answers are noted as they come.
fn ping_all(controller: &Arc<Controller>, set: &ReplicaSet) {
    let targets = controller.singleton.pings().targets(Instant::now(), set);
    for address in targets {
        let (controller, set) = (controller.clone(), set.clone());
        tokio::spawn(async move { ping(&controller, address, &set).await });
    }
}

async fn ping(controller: &Controller, to: SocketAddr, set: &ReplicaSet) {
    let sent_at = Instant::now();
    let call = SingletonRequest::Ping(controller.singleton.pings().ping(sent_at, to, set));
    let answer = controller
        .transport
        .call(to, Channel::Control, encoded(&call), PING_TIMEOUT)
        .await;
    if let Some(SingletonResponse::Pong(pong)) = answer
        .ok()
        .and_then(|answer| minicbor::decode(&answer).ok())
    {
        controller
            .singleton
            .pings()
            .answered(Instant::now(), to, sent_at, pong);
    }
}
