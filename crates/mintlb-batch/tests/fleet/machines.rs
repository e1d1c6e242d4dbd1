//! Machines of the fleet: what happens to them, and which of them count as lost.

use super::{Fleet, HAND_OVER, LEAST_HAND_OVER, RESTART};
use mintlb_batch::placement_planner::StoreTable;
use mintlb_common::placement::StoreId;
use std::cell::Cell;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum State {
    Up,
    /// Neither runs nor is reached until then.
    Down(Duration),
    /// For good, with its disk.
    Removed,
}

#[derive(Clone, Debug)]
pub struct Machine {
    /// The store's identity: another one after its disk was lost.
    pub id: StoreId,
    /// The machine's number, and so its address.
    number: u64,
    pub state: State,
    /// Up for the last time since.
    up_since: Duration,
    /// Since when its disk has lasted.
    pub disk_since: Duration,
    /// Told to stop: when, and whether the machine goes with it.
    pub draining: Option<(Duration, bool)>,
    /// To be told to stop then, for good.
    leaves_at: Option<Duration>,
    /// The place of the machine that replaces it, once it is there; when it is to come.
    successor: Option<usize>,
    successor_at: Option<Duration>,
    retired: bool,
    pub told_in_charge: Cell<usize>,
}

impl Machine {
    pub fn new(id: StoreId, now: Duration) -> Machine {
        Machine {
            id,
            number: id,
            state: State::Up,
            up_since: now,
            disk_since: now,
            draining: None,
            leaves_at: None,
            successor: None,
            successor_at: None,
            retired: false,
            told_in_charge: Cell::new(0),
        }
    }

    pub fn node(&self) -> String {
        format!("node-{}", self.number)
    }

    pub fn zone(&self) -> String {
        format!("zone-{}", self.number % 3)
    }

    pub fn is_up(&self) -> bool {
        self.state == State::Up
    }

    /// Emptied on the operator's order and taken away: no loss.
    pub fn remove(&mut self) {
        (self.state, self.retired) = (State::Removed, true);
    }

    /// Whether something is still to happen to it.
    pub fn will_change(&self) -> bool {
        matches!(self.state, State::Down(_))
            || self.draining.is_some() && self.state != State::Removed
            || self.leaves_at.is_some()
            || self.successor_at.is_some()
    }
}

impl Fleet {
    /// What is due happens to the machines.
    pub(super) fn move_machines(&mut self) {
        let now = self.now;
        for place in 0..self.machines.len() {
            if let State::Down(until) = self.machines[place].state
                && until <= now
            {
                let machine = &mut self.machines[place];
                (machine.state, machine.up_since, machine.draining) = (State::Up, now, None);
            }
            if self.machines[place]
                .successor_at
                .is_some_and(|at| at <= now)
            {
                self.machines[place].successor_at = None;
                self.machines[place].successor = Some(self.add_machine());
            }
            if self.machines[place].leaves_at.is_some_and(|at| at <= now) {
                self.machines[place].leaves_at = None;
                self.machines[place].draining = Some((now, true));
            }
            self.end_if_handed_over(place);
        }
    }

    fn end_if_handed_over(&mut self, place: usize) {
        let machine = &self.machines[place];
        let (State::Up, Some((since, for_good))) = (machine.state.clone(), machine.draining) else {
            return;
        };
        let (id, now) = (machine.id, self.now);
        let primary = self
            .placement
            .shards
            .iter()
            .any(|shard| shard.replicas.first() == Some(&id));
        let read = self
            .placement
            .shards
            .iter()
            .any(|shard| shard.previous.contains(&id));
        if !(primary || read) && now >= since + LEAST_HAND_OVER || now >= since + HAND_OVER {
            let machine = &mut self.machines[place];
            machine.state = if for_good {
                State::Removed
            } else {
                State::Down(now + RESTART)
            };
        }
    }

    /// Whether the machine at this place counts as lost.
    fn counts(&self, place: usize) -> bool {
        let machine = &self.machines[place];
        let recent = self.now < machine.up_since + self.catch_up
            && machine.up_since > Duration::from_secs(100);
        match machine.state {
            State::Up => recent || machine.draining.is_some() || machine.leaves_at.is_some(),
            State::Down(_) => true,
            State::Removed if machine.retired => false,
            State::Removed => match machine.successor {
                Some(successor) => self.now < self.machines[successor].up_since + self.catch_up,
                None => true,
            },
        }
    }

    /// How many count, of those that are not replaced by another one that does.
    pub fn lost(&self) -> usize {
        let replaced = |place: &usize| {
            let successor = self.machines[*place].successor;
            successor.is_some_and(|successor| self.counts(successor))
        };
        let stores = (0..self.machines.len())
            .filter(|place| self.counts(*place) && !replaced(place))
            .count();
        // The controller that had the duty counts as well.
        let pauses =
            self.paused_until > Duration::ZERO && self.now < self.paused_until + self.catch_up;
        stores + usize::from(pauses)
    }

    /// The controller with the duty is lost, and another one takes it after a while: one that has heard the stores all
    /// along, or one that has just started.
    pub fn lose_controller(&mut self, pause: Duration, is_fresh: bool) {
        self.note(format!(
            "the controller is lost, another one comes in {pause:?}, fresh: {is_fresh}"
        ));
        self.paused_until = self.now + pause;
        if is_fresh {
            self.table = StoreTable::new(self.now);
        }
    }

    /// Whether the promise lets this machine be lost now.
    pub fn may_lose(&self, place: usize) -> bool {
        self.machines[place].state == State::Up
            && self.machines[place].draining.is_none()
            && self.machines[place].successor.is_none()
            && (self.counts(place) || self.lost() < self.tolerance)
    }

    pub fn down(&mut self, place: usize, time: Duration) {
        self.note(format!(
            "{} is down for {time:?}",
            self.machines[place].node()
        ));
        self.machines[place].state = State::Down(self.now + time);
    }

    /// Its disk is lost: another store comes up at its address.
    pub fn wipe(&mut self, place: usize, time: Duration) {
        self.note(format!(
            "{} loses its disk, back in {time:?}",
            self.machines[place].node()
        ));
        let id = self.next_id;
        self.next_id += 1;
        let machine = &mut self.machines[place];
        (machine.id, machine.disk_since) = (id, self.now + time);
        machine.state = State::Down(self.now + time);
    }

    /// Gone for good; an empty one comes later at another address.
    pub fn replace(&mut self, place: usize, after: Duration) {
        self.note(format!(
            "{} is gone, its successor comes in {after:?}",
            self.machines[place].node()
        ));
        self.machines[place].state = State::Removed;
        self.machines[place].successor_at = Some(self.now + after);
    }

    /// The new one first, then the old one is told to stop.
    pub fn replace_planned(&mut self, place: usize, after: Duration) {
        self.note(format!(
            "{} is replaced, told to stop in {after:?}",
            self.machines[place].node()
        ));
        let successor = self.add_machine();
        self.machines[place].successor = Some(successor);
        self.machines[place].leaves_at = Some(self.now + after);
    }

    /// Told to stop and started again with its disk.
    pub fn restart(&mut self, place: usize) {
        self.note(format!("{} is restarted", self.machines[place].node()));
        self.machines[place].draining = Some((self.now, false));
    }
}
