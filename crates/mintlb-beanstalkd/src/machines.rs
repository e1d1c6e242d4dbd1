//! Whose workers wait for work: the machine behind each connection, what it runs, and whether it may have any.
//!
//! A machine is the address that connections come from. All its connections that watch the same project types are
//! one worker to the decisions, and a waiting `reserve` is room for one job there.

use mintlb::{Line, Listed, Runs};
use mintlb_core::members::worker_id;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

/// What the list says of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    pub zone: u16,
    pub cell: u64,
    pub kind: u16,
    pub listed: Listed,
    /// Unix time in seconds, 0 for long ago.
    pub came_up: f64,
}

/// Connections of one machine that run the same.
#[derive(Debug)]
pub struct Group {
    pub worker: u64,
    pub machine: IpAddr,
    pub runs: Runs,
    /// It is told of anew with each start of the machine: orders to an earlier one are not its.
    pub generation: u64,
    /// Sessions whose reserve waits, first come first served.
    pub waiting: BTreeMap<u64, u64>,
    /// Orders that have come for this generation.
    pub orders: u64,
    /// Connections in it, and since when there is none.
    pub sessions: usize,
    pub empty_since: f64,
    /// As it was told to the decisions.
    told: Place,
}

#[derive(Default)]
pub struct Machines {
    listed_only: bool,
    cold: bool,
    /// The list's word, where there is one.
    places: HashMap<IpAddr, Place>,
    /// When a machine was first seen, and a zone of its own while the list does not name it: who shares the
    /// receipts of its work is not known then, so it must count as nobody.
    seen: HashMap<IpAddr, (f64, u16)>,
    groups: HashMap<(IpAddr, Runs), Group>,
    generations: u64,
}

/// What the decisions must be told of a group.
#[derive(Clone, Debug)]
pub struct Change {
    pub name: String,
    pub line: Line,
    pub generation: u64,
    pub machine: IpAddr,
    pub runs: Runs,
}

impl Machines {
    pub fn new(listed_only: bool, cold: bool) -> Machines {
        Machines { listed_only, cold, ..Machines::default() }
    }

    /// May anything new go there now? Neither drained nor gone, and listed where it must be.
    pub fn is_open(&self, machine: IpAddr) -> bool {
        match self.places.get(&machine) {
            Some(place) => place.listed == Listed::Ready,
            None => !self.listed_only,
        }
    }

    pub fn group(&mut self, machine: IpAddr, runs: Runs) -> Option<&mut Group> {
        self.groups.get_mut(&(machine, runs))
    }

    /// A connection is one of this group from now on; what there is to tell, if it is new.
    pub fn join(&mut self, now: f64, machine: IpAddr, runs: Runs) -> Option<Change> {
        if let Some(group) = self.groups.get_mut(&(machine, runs)) {
            group.sessions += 1;
            return None;
        }
        let zone = u16::MAX - (self.generations % (u16::MAX as u64 / 2)) as u16;
        self.seen.entry(machine).or_insert((now, zone));
        let told = self.place(machine);
        self.generations += 1;
        let group = Group {
            worker: worker_id(&name(machine, runs, told)),
            machine,
            runs,
            generation: self.generations,
            waiting: BTreeMap::new(),
            orders: 0,
            sessions: 1,
            empty_since: now,
            told,
        };
        let change = group.change(told.listed);
        self.groups.insert((machine, runs), group);
        Some(change)
    }

    /// Where a machine is taken to be, and whether it may have anything: by the list, or else by when it was seen.
    fn place(&self, machine: IpAddr) -> Place {
        let (first, zone) = self.seen.get(&machine).copied().unwrap_or((0.0, u16::MAX));
        let listed = if self.listed_only { Listed::Draining } else { Listed::Ready };
        let came_up = if self.cold { first } else { 0.0 };
        let unlisted = Place { zone, cell: 0, kind: u16::MAX, listed, came_up };
        let place = self.places.get(&machine).copied().unwrap_or(unlisted);
        // Its connections live on and may finish what they hold, so it is drained rather than struck out.
        let listed = if place.listed == Listed::Ready { Listed::Ready } else { Listed::Draining };
        Place { listed, ..place }
    }

    /// A connection has gone, or watches others; whether it was the group's last.
    pub fn leave(&mut self, now: f64, machine: IpAddr, runs: Runs) -> bool {
        let Some(group) = self.groups.get_mut(&(machine, runs)) else { return false };
        group.sessions -= 1;
        group.empty_since = now;
        group.sessions == 0
    }

    /// Groups that have had no connection for so long: the decisions may forget them.
    pub fn forget(&mut self, now: f64, after: f64) -> Vec<Change> {
        let old = |g: &Group| g.sessions == 0 && now >= g.empty_since + after;
        let gone: Vec<_> = self.groups.iter().filter(|(_, g)| old(g)).map(|(key, _)| *key).collect();
        let gone = gone.into_iter().filter_map(|key| self.groups.remove(&key));
        let gone: Vec<Group> = gone.collect();
        let mut left = Vec::new();
        for group in &gone {
            let machine = group.machine;
            if !self.groups.keys().any(|(other, _)| *other == machine) {
                left.push(machine);
            }
        }
        let changes: Vec<Change> = gone.iter().map(|group| group.change(Listed::Gone)).collect();
        let groups = &self.groups;
        self.places.retain(|m, p| p.listed != Listed::Gone || groups.keys().any(|(machine, _)| machine == m));
        self.seen.retain(|machine, _| !left.contains(machine));
        changes
    }

    /// What the list tells of machines; with `full`, those it does not name have left it. Of several processes
    /// on one machine any that is ready makes it ready.
    pub fn hear(&mut self, full: bool, told: impl Iterator<Item = (IpAddr, Place)>) -> Vec<Change> {
        let mut heard: HashMap<IpAddr, Place> = HashMap::new();
        for (machine, place) in told {
            let best = heard.entry(machine).or_insert(place);
            if best.listed != Listed::Ready && place.listed == Listed::Ready {
                *best = place;
            }
        }
        if full {
            for (machine, place) in &self.places {
                // It was there and is gone: nothing new, until the list names it again.
                heard.entry(*machine).or_insert(Place { listed: Listed::Gone, ..*place });
            }
        }
        let mut changes = Vec::new();
        for (machine, place) in heard {
            if self.places.insert(machine, place) == Some(place) {
                continue;
            }
            let place = self.place(machine);
            for group in self.groups.values_mut().filter(|g| g.machine == machine) {
                let moved =
                    Place { listed: group.told.listed, came_up: group.told.came_up, ..place } != group.told;
                if moved {
                    // The decisions believe where a worker is for as long as they know it.
                    changes.push(group.change(Listed::Gone));
                    group.worker = worker_id(&name(machine, group.runs, place));
                }
                if moved || group.told.came_up != place.came_up {
                    self.generations += 1;
                    (group.generation, group.orders) = (self.generations, 0);
                }
                group.told = place;
                changes.push(group.change(place.listed));
            }
        }
        changes
    }

    pub fn len(&self) -> usize {
        self.groups.len()
    }

    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}

impl Group {
    fn change(&self, listed: Listed) -> Change {
        let Place { zone, cell, kind, came_up, .. } = self.told;
        let (id, runs) = (self.worker, self.runs);
        Change {
            name: name(self.machine, runs, self.told),
            line: Line { id, zone, cell, kind, listed, came_up, runs, fetches: true },
            generation: self.generation,
            machine: self.machine,
            runs,
        }
    }
}

fn name(machine: IpAddr, runs: Runs, place: Place) -> String {
    let Place { zone, cell, kind, .. } = place;
    // An unlisted machine's zone is made up, and may be another after a restart; its name must not be.
    let place = if kind == u16::MAX { String::new() } else { format!("/{zone}.{cell}.{kind}") };
    format!("beanstalkd/{machine}/{runs}{place}")
}
