//! Membership of the local replica in the replica set: finding the register, joining, catching up,
//! leaving.

use super::client::{QuorumUnavailable, RegisterClient};
use super::discovery::Discovery;
use crate::controller::contact::monitor::ContactMonitor;
use crate::controller::settings::SharedSettings;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::join::JoinView;
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The largest replica set.
const MAX_REPLICAS: usize = 9;
/// The delay between two rounds of queries to the seeds.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// The time that a change of the replica set is given.
const RECONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// The delay after a change of the replica set that failed.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// The time that a read is given.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// The mean interval between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(1000);
/// The number of inconclusive reads in a row after which a proposal determines the value.
const MAX_INCONCLUSIVE_READS: u32 = 2;
/// Delays are lengthened by up to a quarter, so that the controllers don't poll in step.
const JITTER_DIVISOR: u64 = 4;

/// Completes a change of the replica set: leaves the joint set for the new one.
///
/// # Errors
///
/// If no quorum has replied in time.
pub async fn complete_reconfiguration(register: &RegisterClient) -> Result<(), QuorumUnavailable> {
    register
        .change(Change::LeaveJoint, RECONFIGURATION_TIMEOUT)
        .await?;
    Ok(())
}

/// Whether a replica that is not in this form in the set may join: it counts, or renews its own entry.
fn may_join(set: &ReplicaSet, replica: &Replica) -> bool {
    replica.counts() || set.current_replica(replica.id).is_some()
}

/// Since when the local replica is about to join.
#[derive(Default)]
struct JoinWait(Option<Instant>);

impl JoinWait {
    /// The time since the first call.
    fn elapsed(&mut self) -> Duration {
        self.0.get_or_insert_with(Instant::now).elapsed()
    }
}

/// Keeps the local replica in the replica set.
pub struct Membership {
    register: Arc<RegisterClient>,
    discovery: Discovery,
    contact: Arc<ContactMonitor>,
    settings: Arc<SharedSettings>,
    jitter: Mutex<fastrand::Rng>,
    /// Whether the process is shutting down: the replica doesn't join any more.
    shutting_down: AtomicBool,
    /// Whether the local replica was a member since the process started.
    was_member: AtomicBool,
}

impl Membership {
    /// `random` draws the jitter of the delays.
    pub fn new(
        register: Arc<RegisterClient>,
        discovery: Discovery,
        contact: Arc<ContactMonitor>,
        settings: Arc<SharedSettings>,
        random: fastrand::Rng,
    ) -> Membership {
        Membership {
            register,
            discovery,
            contact,
            settings,
            jitter: Mutex::new(random),
            shutting_down: AtomicBool::new(false),
            was_member: AtomicBool::new(false),
        }
    }

    /// Runs until it is aborted.
    pub async fn run(self: Arc<Self>) {
        let mut inconclusive_reads = 0;
        let mut join_wait = JoinWait::default();
        loop {
            let delay = if self.register.set().is_none() {
                self.discovery.discover_replica_set().await;
                SEED_RETRY_INTERVAL
            } else if self.read(&mut inconclusive_reads).await {
                self.maintain(&mut join_wait).await
            } else {
                self.discovery.discover_newer_replica_set().await;
                JOIN_RETRY_INTERVAL
            };
            sleep(delay + self.jitter(delay)).await;
        }
    }

    /// Removes the local replica from a replica set that is larger than the fault tolerance
    /// requires, before the process ends: a member that is gone for good would still count against
    /// the tolerated losses. The replica keeps voting until the change is complete.
    pub async fn leave(&self) {
        self.shutting_down.store(true, Relaxed);
        let Some(id) = self.register.replica_id() else {
            return;
        };
        let Ok(chosen) = self.register.read(READ_TIMEOUT).await else {
            return;
        };
        self.remove_self(&chosen.state.replicas, id).await;
    }

    /// Removes the local replica from the replica set if that can spare it.
    async fn remove_self(&self, set: &ReplicaSet, id: ReplicaId) {
        let tolerance = self.settings.fault_tolerance();
        if set.current_replica(id).is_none() || !set.can_spare(id, &tolerance) {
            return;
        }
        let removal = Change::RemoveReplica { id, tolerance };
        let removed = self
            .register
            .change(removal, RECONFIGURATION_TIMEOUT)
            .await
            .is_ok_and(|outcome| outcome.change.is_applied());
        if removed && complete_reconfiguration(&self.register).await.is_ok() {
            log::info!("register: replica {:x} has left the replica set", id.0);
        }
    }

    fn jitter(&self, delay: Duration) -> Duration {
        let limit = delay.as_millis() as u64 / JITTER_DIVISOR;
        Duration::from_millis(self.jitter.lock().u64(0..=limit))
    }

    /// Reads the register; after several inconclusive reads a proposal determines the value.
    /// Returns whether the value is known.
    async fn read(&self, inconclusive_reads: &mut u32) -> bool {
        let deadline = Instant::now() + READ_TIMEOUT;
        if self.register.read_once(deadline).await.is_ok() {
            *inconclusive_reads = 0;
            return true;
        }
        *inconclusive_reads += 1;
        let is_known = self.register.chosen().is_some();
        if *inconclusive_reads < MAX_INCONCLUSIVE_READS && is_known {
            return false;
        }
        self.register
            .change(Change::Identity, READ_TIMEOUT)
            .await
            .is_ok()
    }

    /// Catches up, joins the replica set and completes changes of it, as needed. Returns the delay
    /// until the next look.
    async fn maintain(&self, join_wait: &mut JoinWait) -> Duration {
        let Some(chosen) = self.register.chosen() else {
            return JOIN_RETRY_INTERVAL;
        };
        let set = &chosen.state.replicas;
        if let Some(replica) = self.register.replica() {
            replica.catch_up(&chosen).await;
            if !set.current.contains(replica.identity()) {
                if self.shutting_down.load(Relaxed) || !may_join(set, replica.identity()) {
                    return READ_INTERVAL;
                }
                return match self.join_change(set, replica.identity(), join_wait.elapsed()) {
                    Some(change) => self.join(change).await,
                    None => JOIN_RETRY_INTERVAL,
                };
            }
            self.was_member.store(true, Relaxed);
            *join_wait = JoinWait::default();
            if !set.is_joint() && !replica.identity().counts() {
                self.remove_self(set, replica.identity().id).await;
                return READ_INTERVAL;
            }
        }
        if set.is_joint() {
            // Without success the next look tries again.
            complete_reconfiguration(&self.register).await.ok();
        }
        READ_INTERVAL
    }

    /// The change by which the local replica joins now; `None` if it waits for the place of a silent
    /// member.
    fn join_change(&self, set: &ReplicaSet, replica: &Replica, waited: Duration) -> Option<Change> {
        let view = JoinView {
            set,
            replica,
            unresponsive: self.contact.unresponsive_replicas(set),
            has_silent_member: self.contact.has_silent_member(set),
            waited,
            was_member: self.was_member.load(Relaxed),
            tolerance: self.settings.fault_tolerance(),
            max_replicas: MAX_REPLICAS,
        };
        view.next_change()
    }

    /// Joins the replica set by this change. Returns the delay until the next look.
    async fn join(&self, change: Change) -> Duration {
        match self.register.change(change, RECONFIGURATION_TIMEOUT).await {
            Ok(outcome)
                if outcome.change.is_applied()
                    && complete_reconfiguration(&self.register).await.is_ok() =>
            {
                Duration::ZERO
            }
            Ok(outcome) if outcome.change == ChangeOutcome::SetFull => READ_INTERVAL,
            Ok(_) | Err(_) => JOIN_RETRY_INTERVAL,
        }
    }
}
