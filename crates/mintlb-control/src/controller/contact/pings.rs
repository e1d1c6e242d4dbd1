//! The task that pings the other controllers and drives the election.

use super::messages::LeaderEpoch;
use super::monitor::ContactMonitor;
use super::ping_state::STEP;
use crate::controller::register::RegisterClient;
use crate::controller::singleton::messages::{ControllerRequest, ControllerResponse, encode};
use mintlb_common::transport::{Channel, Transport};
use mintlb_register::replica_set::ReplicaSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// A controller without a replica in the set pings every this many steps.
const STEPS_PER_PING_WITHOUT_REPLICA: u32 = 2;
/// The time that a ping is given.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// Pings the other controllers.
pub struct Pinger {
    contact: Arc<ContactMonitor>,
    register: Arc<RegisterClient>,
    transport: Arc<Transport>,
    leadership_changed: Arc<Notify>,
}

impl Pinger {
    /// `leadership_changed` is notified when this process becomes the leader or steps down.
    pub fn new(
        contact: Arc<ContactMonitor>,
        register: Arc<RegisterClient>,
        transport: Arc<Transport>,
        leadership_changed: Arc<Notify>,
    ) -> Pinger {
        Pinger {
            contact,
            register,
            transport,
            leadership_changed,
        }
    }

    /// Runs until it is aborted, together with the pings that it has started.
    pub async fn run(self) {
        let mut pings = JoinSet::new();
        let (mut led_epoch, mut was_in_contact) = (None, false);
        let mut step = 0;
        loop {
            sleep(STEP).await;
            step += 1;
            let Some(set) = self.register.set() else {
                continue;
            };
            while pings.try_join_next().is_some() {}
            if self.contact.is_member(&set) || step % STEPS_PER_PING_WITHOUT_REPLICA == 0 {
                self.ping_all(&set, &mut pings);
            }
            let leader_epoch = self.contact.step(&set);
            let is_in_contact = self.contact.is_in_contact();
            if is_in_contact != was_in_contact {
                log_contact(is_in_contact, &set);
                was_in_contact = is_in_contact;
            }
            if leader_epoch != led_epoch {
                log_leadership(led_epoch, leader_epoch);
                led_epoch = leader_epoch;
                self.leadership_changed.notify_one();
            }
        }
    }

    fn ping_all(&self, set: &ReplicaSet, pings: &mut JoinSet<()>) {
        for address in self.contact.ping_targets(set) {
            let (contact, transport) = (self.contact.clone(), self.transport.clone());
            let set = set.clone();
            pings.spawn(async move { ping(&contact, &transport, address, &set).await });
        }
    }
}

async fn ping(
    contact: &ContactMonitor,
    transport: &Arc<Transport>,
    to: SocketAddr,
    set: &ReplicaSet,
) {
    let sent_at = Instant::now();
    let request = ControllerRequest::Ping(contact.ping(sent_at, to, set));
    let response = transport
        .call(to, Channel::Control, encode(&request), PING_TIMEOUT)
        .await;
    let Ok(response) = response else { return };
    if let Ok(ControllerResponse::Pong(pong)) = minicbor::decode(&response) {
        contact.on_pong(to, sent_at, pong);
    }
}

fn log_contact(is_in_contact: bool, set: &ReplicaSet) {
    let (count, epoch) = (set.current.len(), set.epoch);
    if is_in_contact {
        log::info!("contact: in contact with a majority of {count} replicas, set epoch {epoch}");
    } else {
        log::info!("contact: lost the majority of {count} replicas, set epoch {epoch}");
    }
}

fn log_leadership(previous: Option<LeaderEpoch>, current: Option<LeaderEpoch>) {
    match (previous, current) {
        (_, Some(epoch)) => log::info!("singleton: became the leader, epoch {epoch}"),
        (Some(epoch), None) => log::info!("singleton: stepped down as the leader, epoch {epoch}"),
        (None, None) => (),
    }
}
