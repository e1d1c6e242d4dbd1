//! Which controllers run, as their pings show it, and who therefore has the duties; pure.
//!
//! The duties belong to the first live replica in the order of addresses. Whoever takes them draws an epoch above every
//! one heard of and says it with its pings; one that hears of a higher epoch gives its own up and has to qualify anew.
//! Two may hold them for a moment all the same: what they change lies in the register, which takes one of two changes.

use mintlb_register::state::{Replica, ReplicaId, ReplicaSet};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A controller that was heard of since then counts as live.
pub const LIVE: Duration = Duration::from_millis(1000);
/// A replica that was silent for so long may lose its place to another one.
pub const SILENT: Duration = Duration::from_millis(3000);
/// The duties are taken after having been the first live one for so long: two periods of the stores' heartbeats.
pub const TAKE_AFTER: Duration = Duration::from_millis(900);
/// A gap of so long between two steps says that this process was not running.
const FROZEN: Duration = Duration::from_millis(900);

/// What one controller knows of the others.
#[derive(Debug)]
pub struct Peers {
    own: Option<ReplicaId>,
    heard: FxHashMap<ReplicaId, Instant>,
    addresses: FxHashMap<SocketAddr, Instant>,
    /// Since when this process has run without a pause, in touch with a majority of the set.
    in_touch_since: Option<Instant>,
    stepped_at: Instant,
    first_since: Option<Instant>,
    epoch: u64,
    held: Option<u64>,
}

impl Peers {
    /// Nothing is known yet. `own` is the replica here, if there is one.
    pub fn new(now: Instant, own: Option<ReplicaId>) -> Peers {
        Peers {
            own,
            heard: FxHashMap::default(),
            addresses: FxHashMap::default(),
            in_touch_since: None,
            stepped_at: now,
            first_since: None,
            epoch: 0,
            held: None,
        }
    }

    /// A controller pinged or answered: with its replica, if it has one, and the highest epoch of the duties it knows.
    pub fn heard(&mut self, now: Instant, address: SocketAddr, replica: Option<ReplicaId>, epoch: u64) {
        self.addresses.retain(|_, heard_at| now.saturating_duration_since(*heard_at) < SILENT);
        self.addresses.insert(address, now);
        if let Some(replica) = replica {
            self.heard.retain(|_, heard_at| now.saturating_duration_since(*heard_at) < SILENT * 20);
            self.heard.insert(replica, now);
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            if self.held.take().is_some() {
                self.first_since = None;
            }
        }
    }

    /// The highest epoch of the duties heard of.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The epoch under which this process has the duties.
    pub fn held(&self) -> Option<u64> {
        self.held
    }

    /// Whether a majority of the set was heard of lately, as of the last step.
    pub fn is_in_touch(&self) -> bool {
        self.in_touch_since.is_some()
    }

    /// Controllers heard of lately.
    pub fn live_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let live = |heard_at: &Instant| now.saturating_duration_since(*heard_at) < SILENT;
        self.addresses.iter().filter(|(_, at)| live(at)).map(|(address, _)| *address).collect()
    }

    /// Whether a ping to this controller can be left out, as its own have come for that long.
    pub fn is_heard(&self, now: Instant, address: SocketAddr, within: Duration) -> bool {
        self.addresses.get(&address).is_some_and(|at| now.saturating_duration_since(*at) < within)
    }

    /// Looks at who has the duties; to be called regularly.
    pub fn step(&mut self, now: Instant, set: &ReplicaSet) {
        let paused = now.saturating_duration_since(self.stepped_at) > FROZEN;
        self.stepped_at = now;
        if paused || !self.hears_majority(now, set) {
            self.in_touch_since = None;
        } else {
            self.in_touch_since.get_or_insert(now);
        }
        if paused {
            (self.first_since, self.held) = (None, None);
        }
        let in_touch = self.in_touch_since.is_some();
        if self.own.is_none() || !in_touch || self.first_live(now, set) != self.own {
            (self.first_since, self.held) = (None, None);
            return;
        }
        let since = *self.first_since.get_or_insert(now);
        if self.held.is_none() && now.saturating_duration_since(since) >= TAKE_AFTER {
            self.epoch += 1;
            self.held = Some(self.epoch);
        }
    }

    /// Replicas of the set that have been silent for long, while this process was in touch with a majority: one that was
    /// cut off or frozen can't tell.
    pub fn silent(&self, now: Instant, set: &ReplicaSet) -> Vec<ReplicaId> {
        let Some(in_touch_since) = self.in_touch_since else { return Vec::new() };
        let silence = |id: &ReplicaId| {
            let since = self.heard.get(id).map_or(in_touch_since, |at| *at.max(&in_touch_since));
            now.saturating_duration_since(since)
        };
        let others = set.current.iter().map(|replica| replica.id).filter(|id| Some(*id) != self.own);
        others.filter(|id| silence(id) >= SILENT).collect()
    }

    fn hears_majority(&self, now: Instant, set: &ReplicaSet) -> bool {
        set.is_quorum(|id| Some(id) == self.own || self.is_live(now, id))
    }

    fn is_live(&self, now: Instant, id: ReplicaId) -> bool {
        self.heard.get(&id).is_some_and(|at| now.saturating_duration_since(*at) < LIVE)
    }

    fn first_live(&self, now: Instant, set: &ReplicaSet) -> Option<ReplicaId> {
        let is_live = |replica: &&Replica| Some(replica.id) == self.own || self.is_live(now, replica.id);
        let place = |replica: &&Replica| replica.address.parse::<SocketAddr>().ok();
        set.current.iter().filter(is_live).min_by_key(place).map(|replica| replica.id)
    }
}
