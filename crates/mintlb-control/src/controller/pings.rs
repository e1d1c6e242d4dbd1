//! Controllers ping each other: so each knows who runs, whether it is in contact with a majority, and who has the duties.

use super::Controller;
use super::duty_messages::{DutyAnswer, DutyCall, encoded};
use mintlb_register::state::{ReplicaId, ReplicaSet};
use mintlb_tier::transport::Channel;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often controllers ping each other, and who has the duties is looked at.
pub const STEP: Duration = Duration::from_millis(300);
/// A controller without a vote pings at each so many steps.
const STEPS_WITHOUT_VOTE: u32 = 2;
/// How long a ping may take.
const PING_WITHIN: Duration = Duration::from_millis(600);

/// Pings the replicas and looks at who has the duties, for the life of the process.
pub async fn run(controller: Arc<Controller>) {
    let mut held = None;
    let mut step = 0;
    loop {
        sleep(STEP).await;
        step += 1;
        let Some(set) = controller.register.set() else { continue };
        if votes(&controller, &set) || step % STEPS_WITHOUT_VOTE == 0 {
            ping(&controller, &set);
        }
        let holds = controller.duties.step(&set, controller.register.majority_at());
        if holds != held {
            log::info!(
                "duties: {}",
                holds.map_or("given up".into(), |epoch| format!("taken, epoch {epoch}"))
            );
            held = holds;
            controller.duties.wake();
        }
    }
}

/// What this controller answers to a ping.
pub fn answer(
    controller: &Controller,
    from: SocketAddr,
    replica: Option<ReplicaId>,
    epoch: u64,
    in_contact: bool,
    echo: Option<u64>,
) -> DutyAnswer {
    let duties = &controller.duties;
    let now = Instant::now();
    duties.heard(from, replica, epoch);
    let answered_at = echo.and_then(|echo| duties.stamps.made_at(now, echo));
    if let (Some(replica), Some(answered_at)) = (replica, answered_at) {
        duties.reached(replica, answered_at, in_contact);
    }
    DutyAnswer::Pong {
        replica: controller.replica_id(),
        epoch: duties.epoch(),
        in_contact: controller.is_in_contact(),
        stamp: duties.stamps.stamp(now),
    }
}

fn votes(controller: &Controller, set: &ReplicaSet) -> bool {
    controller.replica_id().is_some_and(|id| set.members().any(|replica| replica.id == id))
}

/// Pings every other replica; the answers are noted as they come.
fn ping(controller: &Arc<Controller>, set: &ReplicaSet) {
    let own = controller.transport.own_address();
    let voting = votes(controller, set);
    let addresses = set.members().filter_map(|member| member.address.parse::<SocketAddr>().ok());
    // Of two replicas that hear each other the one with the lower address pings.
    let pings = |address: &SocketAddr| {
        let heard = controller.duties.is_heard(*address, STEP * 3 / 2);
        *address != own && !(voting && own > *address && heard)
    };
    for address in addresses.filter(pings) {
        let controller = controller.clone();
        tokio::spawn(async move { ping_one(&controller, address).await });
    }
}

async fn ping_one(controller: &Controller, address: SocketAddr) {
    let duties = &controller.duties;
    let ping = DutyCall::Ping {
        replica: controller.replica_id(),
        epoch: duties.epoch(),
        in_contact: controller.is_in_contact(),
        echo: duties.echo_for(address),
    };
    let sent_at = Instant::now();
    let answer = controller.transport.call(address, Channel::Duties, encoded(&ping), PING_WITHIN).await;
    if let Some(DutyAnswer::Pong { replica, epoch, in_contact, stamp }) =
        answer.ok().and_then(|answer| minicbor::decode(&answer).ok())
    {
        duties.heard(address, replica, epoch);
        duties.note_stamp(address, stamp);
        if let Some(replica) = replica {
            duties.reached(replica, sent_at, in_contact);
        }
    }
}
