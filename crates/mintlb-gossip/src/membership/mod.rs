//! Membership: an active view of a few neighbors and a passive view of other processes, after
//! HyParView (Leitão, Pereira and Rodrigues, "HyParView: a membership protocol for reliable
//! gossip-based broadcast", DSN 2007).
//!
//! Links are symmetric: one side sends a NEIGHBOR request, the other one accepts or rejects it. A
//! process with too few neighbors asks members of its passive view; the seeds are asked while the
//! view is empty or offers no candidate.
//!
//! Differences from the paper:
//! - A joining process sends a NEIGHBOR request to a seed; there is no JOIN and no random walk
//!   (FORWARDJOIN). Replies and shuffles bring the sample of other members that the walk would.
//! - A shuffle goes to a neighbor, not along a random walk.
//! - Neighbors that fail are remembered and probed, also those that others have lost, so that the
//!   two sides of a network partition find each other again.
//! - Seeds are always neighbors of each other, so that processes which join by different seeds are
//!   in one network.
//! - A process keeps a link into another zone, a failure domain, if there is one.
//! - A member is known by address and incarnation; information about an incarnation that has ended
//!   is ignored.
//!
//! [`Membership`] has the views and the timers. Its handlers are grouped by concern:
//! `neighbor_requests`, `shuffle`, `failure_detection`, `incarnations`, `candidates` (whom to ask)
//! and `probing`.

mod active_view;
mod candidates;
mod failure_detection;
mod failure_history;
mod incarnations;
mod neighbor_requests;
mod passive_view;
mod pending_requests;
mod probing;
mod seeds;
mod shuffle;

pub use active_view::{ACTIVE_VIEW_CAPACITY, ACTIVE_VIEW_TARGET, NEIGHBOR_TIMEOUT};
pub use passive_view::{MEMBER_TIMEOUT, PASSIVE_VIEW_CAPACITY};
pub use pending_requests::NEIGHBOR_REQUEST_TIMEOUT;
pub use probing::{PROBE_INTERVAL, SEED_PROBE_INTERVAL};
pub use shuffle::SHUFFLE_INTERVAL;

use crate::effects::Effects;
use crate::message::{Member, MemberDescriptor, Message};
use active_view::{ActiveEntry, ActiveView};
use failure_history::{EndedIncarnations, LostNeighbors, RecentFailures};
use fastrand::Rng;
use passive_view::PassiveView;
use pending_requests::PendingRequests;
use seeds::Seeds;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The timers of the processes of a fleet start within this time, so that they don't fire together.
const MAX_TIMER_PHASE_MS: u64 = 1000;

/// A change of the active view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A neighbor is new, or has restarted.
    NeighborUp(SocketAddr),
    /// A process is no neighbor any more.
    NeighborDown(SocketAddr),
    /// Messages from or to a neighbor were lost; the tables are to be compared again.
    MessagesLost(SocketAddr),
}

/// The partial views of one process.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    active: ActiveView,
    passive: PassiveView,
    seeds: Seeds,
    requests: PendingRequests,
    lost_neighbors: LostNeighbors,
    recent_failures: RecentFailures,
    ended_incarnations: EndedIncarnations,
    consecutive_rejections: u32,
    last_tick: Instant,
    shuffle_at: Instant,
    probe_at: Instant,
    seed_probe_at: Instant,
    rng: Rng,
    changes: Vec<MembershipChange>,
}

impl Membership {
    /// The views of a process that knows only the seeds.
    pub fn new(now: Instant, own: Member, seeds: &[SocketAddr], mut rng: Rng) -> Membership {
        let phase = Duration::from_millis(rng.u64(..MAX_TIMER_PHASE_MS));
        Membership {
            seeds: Seeds::new(now, own.address, seeds),
            own,
            active: ActiveView::default(),
            passive: PassiveView::default(),
            requests: PendingRequests::default(),
            lost_neighbors: LostNeighbors::default(),
            recent_failures: RecentFailures::default(),
            ended_incarnations: EndedIncarnations::default(),
            consecutive_rejections: 0,
            last_tick: now,
            shuffle_at: now + phase,
            probe_at: now + phase,
            seed_probe_at: now + SEED_PROBE_INTERVAL + phase,
            rng,
            changes: Vec::new(),
        }
    }

    /// The process itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// The addresses of the neighbors.
    pub fn neighbors(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.active.addresses()
    }

    /// Whether the process at this address is a neighbor.
    pub fn is_neighbor(&self, address: SocketAddr) -> bool {
        self.active.contains(address)
    }

    /// The neighbors, and the other members from which some process has received something within
    /// [`MEMBER_TIMEOUT`].
    pub fn members(&self, now: Instant) -> Vec<Member> {
        let known = self.active.members().chain(self.passive.recent(now));
        known.cloned().collect()
    }

    /// The number of members in the passive view.
    pub fn passive_len(&self) -> usize {
        self.passive.len()
    }

    /// The changes of the active view since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Runs the timers. `interval` is the time between two ticks, by which a stall of this process
    /// is recognized.
    pub fn tick(
        &mut self,
        now: Instant,
        interval: Duration,
        table_hash: u64,
        effects: &mut Effects,
    ) {
        self.detect_stall(now, interval);
        self.drop_timed_out_neighbors(now, effects);
        self.expire_requests(now);
        self.fill_active_view(now, effects);
        self.send_due_shuffle(now, effects);
        self.send_due_probes(now, table_hash, effects);
    }

    /// Adds a neighbor. What was remembered of its failures is void.
    fn add_neighbor(&mut self, now: Instant, member: Member) {
        let address = member.address;
        self.supersede_incarnation(now, address, member.incarnation);
        self.passive.remove(address);
        self.lost_neighbors.remove(address);
        self.recent_failures.clear(address);
        self.requests.remove(address);
        self.consecutive_rejections = 0;
        self.active.insert(ActiveEntry::new(now, member));
        self.changes.push(MembershipChange::NeighborUp(address));
    }

    fn remove_neighbor(&mut self, address: SocketAddr) -> Option<Member> {
        let member = self.active.remove(address)?;
        self.changes.push(MembershipChange::NeighborDown(address));
        Some(member)
    }

    /// Evicts a random neighbor into the passive view. Protected links are spared as long as there
    /// is another one.
    fn evict_neighbor(&mut self, now: Instant, effects: &mut Effects) {
        let mut evictable: Vec<_> = self
            .neighbors()
            .filter(|&address| !self.is_protected(address))
            .collect();
        if evictable.is_empty() {
            evictable = self.neighbors().collect();
        }
        let Some(address) = self.rng.choice(evictable) else {
            return;
        };
        effects.send(address, &Message::Disconnect);
        if let Some(member) = self.remove_neighbor(address) {
            self.add_passive(now, member, now);
        }
    }

    /// Whether the link is one between seeds or the only one into another zone.
    fn is_protected(&self, address: SocketAddr) -> bool {
        let only_in_other_zone = self.active.only_in_other_zone(&self.own.zone);
        self.seeds.is_link_between_seeds(address) || only_in_other_zone == Some(address)
    }

    /// Adds a member, from which some process has last received something at this time, to the
    /// passive view.
    fn add_passive(&mut self, now: Instant, member: Member, last_received: Instant) {
        if member.address != self.own.address && !self.is_neighbor(member.address) {
            self.passive.add(now, member, last_received);
        }
    }
}

/// A descriptor of a member with the age of the information, rounded up to seconds.
fn descriptor(now: Instant, member: &Member, last_received: Instant) -> MemberDescriptor {
    let age = now.saturating_duration_since(last_received);
    MemberDescriptor {
        member: member.clone(),
        age_s: (age.as_millis() as u32).div_ceil(1000),
    }
}
