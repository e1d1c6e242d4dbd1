//! What pings say and what is learned of them, on both sides; pure.

use crate::controller::contact::echo_clock::EchoClock;
use crate::controller::contact::peers::Peers;
use minicbor::{Decode, Encode};
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How often controllers ping each other.
pub const STEP: Duration = Duration::from_millis(300);
/// A replica whose own pings have come for so long is not pinged by one with a higher address.
const PEER_PING_TIMEOUT: Duration = Duration::from_millis(450);
/// Controllers of which the newest stamp is kept.
const MAX_ECHOES: usize = 64;

/// What each side says of itself.
#[derive(Clone, Copy, Debug, Encode, Decode)]
pub struct Status {
    /// The replica, if the controller has one.
    #[n(0)]
    pub replica: Option<ReplicaId>,
    /// The highest epoch of the duties that the controller knows.
    #[n(1)]
    pub epoch: u64,
    /// Whom it sees as the first live replica; none if it is out of contact with a majority.
    #[n(2)]
    pub preferred_leader: Option<ReplicaId>,
}

/// I run.
#[derive(Clone, Copy, Debug, Encode, Decode)]
pub struct Ping {
    /// The sender.
    #[n(0)]
    pub status: Status,
    /// The stamp of the newest answer that it has from the receiver.
    #[n(1)]
    pub echo: Option<u64>,
}

/// I run as well.
#[derive(Clone, Copy, Debug, Encode, Decode)]
pub struct Pong {
    /// The sender.
    #[n(0)]
    pub status: Status,
    /// When it answered, by its own clock: for the echo in the next ping.
    #[n(1)]
    pub stamp: u64,
}

/// One controller's side of the pings.
#[derive(Debug)]
pub struct PingState {
    own: Option<ReplicaId>,
    local_address: SocketAddr,
    echo_clock: EchoClock,
    /// The newest stamp of each controller that has answered.
    echoes: FxHashMap<SocketAddr, u64>,
    /// What is known of the other controllers.
    pub peers: Peers,
}

impl PingState {
    /// Nothing is known yet. `own` is the replica here, if there is one, `random_seed` a random number of this life of the
    /// process.
    pub fn new(
        now: Instant,
        own: Option<ReplicaId>,
        local_address: SocketAddr,
        random_seed: u64,
    ) -> PingState {
        let (echo_clock, peers) = (EchoClock::new(now, random_seed), Peers::new(now, own));
        PingState {
            own,
            local_address,
            echo_clock,
            echoes: FxHashMap::default(),
            peers,
        }
    }

    /// Whether the replica here has a vote in this set.
    pub fn is_member(&self, set: &ReplicaSet) -> bool {
        self.own
            .is_some_and(|own| set.members().any(|replica| replica.id == own))
    }

    /// Whom to ping now. Of two replicas that hear each other the one with the lower address pings.
    pub fn targets(&self, now: Instant, set: &ReplicaSet) -> Vec<SocketAddr> {
        let voting = self.is_member(set);
        let is_target = |address: &SocketAddr| {
            let pings_here = voting
                && self.local_address > *address
                && self
                    .peers
                    .is_received_within(now, *address, PEER_PING_TIMEOUT);
            *address != self.local_address && !pings_here
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

    /// The answer to a ping. `set` is the newest set known here, if there is one.
    pub fn answer(
        &mut self,
        now: Instant,
        from: SocketAddr,
        ping: Ping,
        set: Option<&ReplicaSet>,
    ) -> Pong {
        let answered_at = ping
            .echo
            .and_then(|echo| self.echo_clock.made_at(now, echo));
        self.note(now, from, ping.status, answered_at);
        Pong {
            status: self.status(now, set),
            stamp: self.echo_clock.stamp(now),
        }
    }

    /// A ping that was sent at that time has been answered.
    pub fn answered(&mut self, now: Instant, from: SocketAddr, sent_at: Instant, pong: Pong) {
        self.note(now, from, pong.status, Some(sent_at));
        if self.echoes.len() >= MAX_ECHOES && !self.echoes.contains_key(&from) {
            self.echoes.clear();
        }
        self.echoes.insert(from, pong.stamp);
    }

    fn status(&self, now: Instant, set: Option<&ReplicaSet>) -> Status {
        Status {
            replica: self.own,
            epoch: self.peers.epoch(),
            preferred_leader: set.and_then(|set| self.peers.preferred_leader(now, set)),
        }
    }

    /// Takes note of what a controller says. It is known to have received what was sent to it at `reached_at`.
    fn note(
        &mut self,
        now: Instant,
        from: SocketAddr,
        status: Status,
        reached_at: Option<Instant>,
    ) {
        self.peers
            .record_message(now, from, status.replica, status.epoch);
        if let Some((replica, reached_at)) = status.replica.zip(reached_at) {
            self.peers
                .record_acknowledgement(replica, reached_at, status.preferred_leader);
        }
    }
}
