//! Contact and leadership of this process, shared by its tasks. Each question is answered for the
//! moment at which it is asked, with the newest replica set known.

use super::messages::{LeaderEpoch, Ping, Pong};
use super::ping_state::PingState;
use crate::controller::register::RegisterClient;
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The state of the pings, guarded by a lock that is never held across a wait.
pub struct ContactMonitor {
    register: Arc<RegisterClient>,
    pings: Mutex<PingState>,
}

impl ContactMonitor {
    /// `own_address` is the internal address of this process, `random_seed` a random number of its
    /// incarnation.
    pub fn new(
        register: Arc<RegisterClient>,
        own_address: SocketAddr,
        random_seed: u64,
    ) -> ContactMonitor {
        let own = register.replica_id();
        let pings = PingState::new(Instant::now(), own, own_address, random_seed);
        ContactMonitor {
            register,
            pings: Mutex::new(pings),
        }
    }

    /// Whether this process is in contact with a majority of the register's replicas now. Without
    /// it, it must not acknowledge anything that depends on others.
    pub fn is_in_contact(&self) -> bool {
        let majority_at = self.register.majority_at();
        let Some(set) = self.register.set() else {
            return false;
        };
        let peers = &mut self.pings.lock().peers;
        if let Some(round_started_at) = majority_at {
            peers.record_majority_round(round_started_at);
        }
        peers.is_in_contact(Instant::now(), &set)
    }

    /// The time for which it has been in contact without a pause.
    pub fn in_contact_for(&self) -> Duration {
        self.register.set().map_or(Duration::ZERO, |set| {
            self.pings.lock().peers.in_contact_for(Instant::now(), &set)
        })
    }

    /// The epoch under which this process is the singleton leader now.
    pub fn leader_epoch(&self) -> Option<LeaderEpoch> {
        let set = self.register.set()?;
        self.pings.lock().peers.leader_epoch(Instant::now(), &set)
    }

    /// Whether this process is the singleton leader now, still under this epoch.
    pub fn is_leader(&self, epoch: LeaderEpoch) -> bool {
        self.leader_epoch() == Some(epoch)
    }

    /// The highest leader epoch known.
    pub fn highest_epoch(&self) -> LeaderEpoch {
        self.pings.lock().peers.epoch()
    }

    /// The replicas of the set that have been unresponsive for long.
    pub fn unresponsive_replicas(&self, set: &ReplicaSet) -> Vec<ReplicaId> {
        self.pings.lock().peers.unresponsive(Instant::now(), set)
    }

    /// Whether a replica of the set has sent nothing lately, or nothing yet.
    pub fn has_silent_member(&self, set: &ReplicaSet) -> bool {
        self.pings
            .lock()
            .peers
            .has_silent_member(Instant::now(), set)
    }

    /// The addresses of the controllers that have sent a message lately.
    pub fn live_addresses(&self) -> Vec<SocketAddr> {
        self.pings.lock().peers.live_addresses(Instant::now())
    }

    /// Whether the local replica is a member of this replica set.
    pub(super) fn is_member(&self, set: &ReplicaSet) -> bool {
        self.pings.lock().is_member(set)
    }

    /// Advances the election. Returns the epoch under which this process leads.
    pub(super) fn step(&self, set: &ReplicaSet) -> Option<LeaderEpoch> {
        let majority_at = self.register.majority_at();
        let now = Instant::now();
        let peers = &mut self.pings.lock().peers;
        if let Some(round_started_at) = majority_at {
            peers.record_majority_round(round_started_at);
        }
        peers.step(now, set);
        peers.leader_epoch(now, set)
    }

    /// The controllers to ping now.
    pub(super) fn ping_targets(&self, set: &ReplicaSet) -> Vec<SocketAddr> {
        self.pings.lock().targets(Instant::now(), set)
    }

    /// The ping to send to this controller now.
    pub(super) fn ping(&self, now: Instant, to: SocketAddr, set: &ReplicaSet) -> Ping {
        self.pings.lock().ping(now, to, set)
    }

    /// Handles the response to a ping sent at that time.
    pub(super) fn on_pong(&self, from: SocketAddr, sent_at: Instant, pong: Pong) {
        self.pings
            .lock()
            .on_pong(Instant::now(), from, sent_at, pong);
    }

    /// Handles a ping and returns its response.
    pub fn on_ping(&self, from: SocketAddr, ping: Ping) -> Pong {
        let set = self.register.set();
        self.pings
            .lock()
            .on_ping(Instant::now(), from, ping, set.as_ref())
    }
}
