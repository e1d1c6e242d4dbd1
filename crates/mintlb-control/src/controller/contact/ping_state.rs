//! The ping protocol, on both sides; pure.

use super::echo_clock::EchoClock;
use super::messages::{PeerStatus, Ping, Pong};
use super::peers::Peers;
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The interval between pings.
pub const STEP: Duration = Duration::from_millis(300);
/// A replica whose own pings arrived less than this ago isn't pinged by one with a higher address.
const PEER_PING_TIMEOUT: Duration = Duration::from_millis(450);
/// The number of controllers whose newest timestamp is kept.
const MAX_ECHOES: usize = 64;

/// One controller's side of the pings.
#[derive(Debug)]
pub struct PingState {
    own: Option<ReplicaId>,
    own_address: SocketAddr,
    echo_clock: EchoClock,
    /// The newest timestamp of each controller that has responded.
    echoes: FxHashMap<SocketAddr, u64>,
    /// What is known of the other controllers.
    pub peers: Peers,
}

impl PingState {
    /// No peer is known yet. `own` is the id of the local replica, if there is one, `random_seed` a
    /// random number of this incarnation of the process.
    pub fn new(
        now: Instant,
        own: Option<ReplicaId>,
        own_address: SocketAddr,
        random_seed: u64,
    ) -> PingState {
        PingState {
            own,
            own_address,
            echo_clock: EchoClock::new(now, random_seed),
            echoes: FxHashMap::default(),
            peers: Peers::new(now, own),
        }
    }

    /// Whether the local replica is a member of this replica set, the old one of a joint set
    /// included.
    pub fn is_member(&self, set: &ReplicaSet) -> bool {
        self.own
            .is_some_and(|own| set.members().any(|replica| replica.id == own))
    }

    /// The controllers to ping now. Of two replicas that receive each other's messages, the one
    /// with the lower address pings.
    pub fn targets(&self, now: Instant, set: &ReplicaSet) -> Vec<SocketAddr> {
        let is_member = self.is_member(set);
        let is_target = |address: &SocketAddr| {
            let pings_here = is_member
                && self.own_address > *address
                && self
                    .peers
                    .is_received_within(now, *address, PEER_PING_TIMEOUT);
            *address != self.own_address && !pings_here
        };
        let addresses = set
            .members()
            .filter_map(|replica| replica.address.parse().ok());
        addresses.filter(is_target).collect()
    }

    /// The ping to this controller.
    pub fn ping(&self, now: Instant, to: SocketAddr, set: &ReplicaSet) -> Ping {
        Ping {
            status: self.status(now, Some(set)),
            echo: self.echoes.get(&to).copied(),
        }
    }

    /// Handles a ping and returns its response. `set` is the newest known replica set, if there is
    /// one.
    pub fn on_ping(
        &mut self,
        now: Instant,
        from: SocketAddr,
        ping: Ping,
        set: Option<&ReplicaSet>,
    ) -> Pong {
        let acknowledged_at = ping
            .echo
            .and_then(|echo| self.echo_clock.issued_at(now, echo));
        self.record(now, from, ping.status, acknowledged_at);
        Pong {
            status: self.status(now, set),
            timestamp: self.echo_clock.timestamp(now),
        }
    }

    /// Handles the response to a ping sent at that time.
    pub fn on_pong(&mut self, now: Instant, from: SocketAddr, sent_at: Instant, pong: Pong) {
        self.record(now, from, pong.status, Some(sent_at));
        if self.echoes.len() >= MAX_ECHOES && !self.echoes.contains_key(&from) {
            self.echoes.clear();
        }
        self.echoes.insert(from, pong.timestamp);
    }

    fn status(&self, now: Instant, set: Option<&ReplicaSet>) -> PeerStatus {
        PeerStatus {
            replica: self.own,
            epoch: self.peers.epoch(),
            preferred_leader: set.and_then(|set| self.peers.preferred_leader(now, set)),
        }
    }

    /// Records the status of a controller that is known to have received what was sent to it at
    /// `acknowledged_at`.
    fn record(
        &mut self,
        now: Instant,
        from: SocketAddr,
        status: PeerStatus,
        acknowledged_at: Option<Instant>,
    ) {
        self.peers
            .record_message(now, from, status.replica, status.epoch);
        if let Some((replica, sent_at)) = status.replica.zip(acknowledged_at) {
            self.peers
                .record_acknowledgement(replica, sent_at, status.preferred_leader);
        }
    }
}
