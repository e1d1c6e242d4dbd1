//! What was acknowledged, held against what is seen later. The points are those of the operators: P1 cut off, P2 one
//! number, P3 second loss, P4 hundreds of changes, P5 whose answer.

use crate::context::Time;
use crate::message::ClientRequest;
use mintlb_register::message::AcceptedValue;
use mintlb_register::state::ControlState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The register remembers at least so many configurations that were taken; a repeat of an older one is not checked.
const REPEAT_WINDOW: u64 = 4000;

/// An operator's order.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Its number among all orders.
    pub number: u64,
    /// The version that it builds on.
    pub base: u64,
    /// Its version.
    pub version: u64,
    /// Its text; no two orders have the same.
    pub body: Vec<u8>,
}

impl Order {
    /// The call.
    pub fn request(&self) -> ClientRequest {
        ClientRequest::Put {
            base: self.base,
            version: self.version,
            body: self.body.clone(),
        }
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// An invariant that does not hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Its point.
    pub point: &'static str,
    /// What was seen.
    pub what: String,
    /// When.
    pub at: Time,
}

/// What happened, to see that scenarios are worth playing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Events handled.
    pub events: u64,
    /// Faults that began.
    pub faults: u64,
    /// Configurations acknowledged, each once.
    pub acknowledged: u64,
    /// Orders acknowledged that had been acknowledged before.
    pub repeated: u64,
    /// Orders refused.
    pub refused: u64,
    /// Reads answered.
    pub reads: u64,
    /// Sets of replicas, as their epochs.
    pub sets: u64,
    /// Placements, as their epochs.
    pub placements: u64,
    /// Jobs accepted.
    pub jobs: u64,
    /// Results acknowledged.
    pub results: u64,
    /// Retirements completed.
    pub retired: u64,
    /// Drains and ends of workers acknowledged.
    pub drains: u64,
}

impl Counts {
    /// Adds what happened in another scenario.
    pub fn add(&mut self, other: &Counts) {
        let Counts {
            events,
            faults,
            acknowledged,
            repeated,
            refused,
            reads,
            ..
        } = other;
        self.events += events;
        self.faults += faults;
        self.acknowledged += acknowledged;
        self.repeated += repeated;
        self.refused += refused;
        self.reads += reads;
        self.sets += other.sets;
        self.placements += other.placements;
        self.jobs += other.jobs;
        self.results += other.results;
        self.retired += other.retired;
        self.drains += other.drains;
    }
}

/// What is known of the tier from outside.
#[derive(Default)]
pub struct Checks {
    /// By version, the order that was acknowledged.
    acknowledged: BTreeMap<u64, Order>,
    /// When which version was first acknowledged.
    acknowledged_at: Vec<(Time, u64)>,
    /// By base, the version that was acknowledged on it.
    bases: BTreeMap<u64, u64>,
    /// Numbers of the orders that were refused.
    refused: BTreeMap<Vec<u8>, u64>,
    /// Texts that were part of a chosen value.
    taken: BTreeSet<Vec<u8>>,
    /// Chosen values by revision.
    chosen: BTreeMap<u64, Arc<ControlState>>,
    /// By machine, incarnation and key, the version in force.
    in_force: BTreeMap<(usize, u64, String), u64>,
    orders: u64,
    /// What happened.
    pub counts: Counts,
    /// The first invariant that did not hold.
    pub violation: Option<Violation>,
}

impl Checks {
    /// How many orders were given.
    pub fn orders(&self) -> u64 {
        self.orders
    }

    /// One more order was given.
    pub fn ordered(&mut self) {
        self.orders += 1;
    }

    /// The newest version that was acknowledged.
    pub fn newest(&self) -> u64 {
        self.acknowledged.keys().next_back().copied().unwrap_or(0)
    }

    /// The newest version that was acknowledged by this time.
    pub fn acknowledged_before(&self, time: Time) -> Option<u64> {
        let before = self
            .acknowledged_at
            .iter()
            .take_while(|(at, _)| *at <= time);
        before.map(|(_, version)| *version).max()
    }

    /// The newest value that is known to be chosen.
    pub fn newest_chosen(&self) -> Option<&Arc<ControlState>> {
        self.chosen.values().next_back()
    }

    /// An order was answered with 200.
    pub fn acknowledged(&mut self, now: Time, order: &Order) {
        match self.acknowledged.insert(order.version, order.clone()) {
            None => {
                self.counts.acknowledged += 1;
                self.acknowledged_at.push((now, order.version));
            }
            Some(other) if other.body == order.body => self.counts.repeated += 1,
            Some(other) => {
                let what = format!(
                    "two under version {}: {:?}, {:?}",
                    order.version,
                    other.text(),
                    order.text()
                );
                self.violates("P2", now, what);
            }
        }
        let other = self
            .bases
            .insert(order.base, order.version)
            .filter(|other| *other != order.version);
        if let Some(other) = other {
            let what = format!("versions {other} and {} on {}", order.version, order.base);
            self.violates("P2", now, what);
        }
        if !self.taken.contains(&order.body) {
            self.violates(
                "P3",
                now,
                format!("{:?} was acknowledged and never chosen", order.text()),
            );
        }
    }

    /// An order was answered with 400 or 412.
    pub fn refused(&mut self, now: Time, order: &Order) {
        self.counts.refused += 1;
        if self.taken.contains(&order.body) && self.orders - order.number < REPEAT_WINDOW {
            self.violates(
                "P2",
                now,
                format!("{:?} was taken and is refused", order.text()),
            );
        }
        self.refused.insert(order.body.clone(), order.number);
    }

    /// A read that began when `floor` was the newest acknowledged version was answered.
    pub fn read(&mut self, now: Time, floor: u64, version: u64, body: &[u8]) {
        self.counts.reads += 1;
        if version < floor {
            self.violates(
                "P1",
                now,
                format!("version {version} was read after {floor} was acknowledged"),
            );
        }
        if let Some(order) = self.acknowledged.get(&version)
            && order.body != body
        {
            let what = format!(
                "version {version} was acknowledged as {:?} and read otherwise",
                order.text()
            );
            self.violates("P2", now, what);
        }
    }

    /// A controller has learnt that a value is chosen.
    pub fn chosen(&mut self, now: Time, accepted: &AcceptedValue) {
        let state = &accepted.state;
        if let Some(known) = self.chosen.get(&state.revision) {
            if known != state {
                self.violates(
                    "P3",
                    now,
                    format!("two values of revision {}", state.revision),
                );
            }
            return;
        }
        let before = self
            .chosen
            .range(..state.revision)
            .next_back()
            .map(|(_, before)| before.clone());
        let after = self
            .chosen
            .range(state.revision..)
            .next()
            .map(|(_, after)| after.clone());
        let older = before.is_some_and(|before| !follows(&before, state));
        if older || after.is_some_and(|after| !follows(state, &after)) {
            let what = format!(
                "revision {} does not follow from those around it",
                state.revision
            );
            self.violates("P3", now, what);
        }
        if let Some(number) = self.refused.get(&state.configuration) {
            let what = format!(
                "order {number} was refused, and is part of revision {}",
                state.revision
            );
            self.violates("P2", now, what);
        }
        self.counts.sets = self.counts.sets.max(state.replicas.epoch);
        self.counts.placements = self.counts.placements.max(state.placement.epoch);
        self.taken.insert(state.configuration.clone());
        self.chosen.insert(state.revision, state.clone());
    }

    /// A record has come into force at a machine.
    pub fn in_force(
        &mut self,
        now: Time,
        machine: usize,
        incarnation: u64,
        key: &str,
        version: u64,
    ) {
        let before = self
            .in_force
            .insert((machine, incarnation, key.to_string()), version);
        if before.is_some_and(|before| before >= version) {
            self.violates(
                "P4",
                now,
                format!("machine {machine}: {key} goes from {before:?} to {version}"),
            );
        }
    }

    /// An invariant does not hold; the first one counts.
    pub fn violates(&mut self, point: &'static str, at: Time, what: String) {
        self.violation.get_or_insert(Violation { point, what, at });
    }
}

/// Whether nothing of a value is older than in one before it.
fn follows(before: &ControlState, after: &ControlState) -> bool {
    before.configuration_version <= after.configuration_version
        && before.replicas.epoch <= after.replicas.epoch
        && before.placement.epoch <= after.placement.epoch
}
