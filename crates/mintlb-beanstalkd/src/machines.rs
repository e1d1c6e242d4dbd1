//! Machines and their groups of workers: which project types a machine runs, and whether it may get jobs.
//!
//! A machine is the address that connections come from. All its connections that watch tubes of the same
//! project types are one group, which is one worker to the core; a waiting `reserve` is room for one job
//! there.

use mintlb_core::membership::worker_id;
use mintlb_scheduler::{ListEntry, ListState, ProjectTypeSet};
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

/// What the list service says of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    pub zone: u16,
    pub cell: u64,
    pub kind: u16,
    pub listed: ListState,
    /// When it started, in seconds of Unix time; 0 for long ago.
    pub came_up: f64,
}

/// The connections of one machine that run the same project types.
#[derive(Debug)]
pub struct Group {
    /// The worker's id for the core.
    pub worker: u64,
    pub machine: IpAddr,
    pub runs: ProjectTypeSet,
    /// It changes when the core is told of another worker or of a restart: orders to an earlier generation
    /// are not this group's.
    pub generation: u64,
    /// Sessions whose reserve waits, by sequence number: the first is served first.
    pub waiting: BTreeMap<u64, u64>,
    /// The number of orders that have come for this generation.
    pub orders: u64,
    /// The number of its connections.
    pub sessions: usize,
    /// When its last connection left, in seconds of the clock.
    pub empty_since: f64,
    /// The place that the core was last told.
    announced: Place,
}

/// All machines and groups that are known.
#[derive(Default)]
pub struct Machines {
    /// Only machines that the list service names get jobs.
    listed_only: bool,
    /// A machine that the list does not name counts as started when it is first seen.
    cold: bool,
    /// What the list says of the machines that it names, or has named.
    listed: HashMap<IpAddr, Place>,
    /// When a machine was first seen, and a zone of its own while the list does not name it: it is not known
    /// then which machines share the deduplication of its keyed jobs, so none may count as sharing it.
    first_seen: HashMap<IpAddr, (f64, u16)>,
    groups: HashMap<(IpAddr, ProjectTypeSet), Group>,
    /// The last generation given to a group.
    generations: u64,
}

/// What the core is to be told of a group.
#[derive(Clone, Debug)]
pub struct Change {
    /// The worker's name.
    pub name: String,
    /// The worker as a line of the list of workers.
    pub line: ListEntry,
    pub generation: u64,
    pub machine: IpAddr,
    pub runs: ProjectTypeSet,
}

impl Machines {
    /// Without any machine; the arguments are `listed` and `cold` of the operator's table.
    pub fn new(listed_only: bool, cold: bool) -> Machines {
        Machines {
            listed_only,
            cold,
            ..Machines::default()
        }
    }

    /// New jobs may go to a machine: it neither drains nor has gone, and is listed where it must be.
    pub fn accepts_work(&self, machine: IpAddr) -> bool {
        match self.listed.get(&machine) {
            Some(place) => place.listed == ListState::Ready,
            None => !self.listed_only,
        }
    }

    /// The group of a machine's connections that run these project types.
    pub fn group(&mut self, machine: IpAddr, runs: ProjectTypeSet) -> Option<&mut Group> {
        self.groups.get_mut(&(machine, runs))
    }

    /// Counts a connection into a group. Returns what to tell the core if the group is new.
    pub fn join(&mut self, now: f64, machine: IpAddr, runs: ProjectTypeSet) -> Option<Change> {
        if let Some(group) = self.groups.get_mut(&(machine, runs)) {
            group.sessions += 1;
            return None;
        }
        let zone = u16::MAX - (self.generations % (u16::MAX as u64 / 2)) as u16;
        self.first_seen.entry(machine).or_insert((now, zone));
        let place = self.place(machine);
        self.generations += 1;
        let group = Group {
            worker: worker_id(&name(machine, runs, place)),
            machine,
            runs,
            generation: self.generations,
            waiting: BTreeMap::new(),
            orders: 0,
            sessions: 1,
            empty_since: now,
            announced: place,
        };
        let change = group.change(place.listed);
        self.groups.insert((machine, runs), group);
        Some(change)
    }

    /// A machine's place for the core: the list's, or else one that follows from when it was first seen.
    fn place(&self, machine: IpAddr) -> Place {
        let (first_seen, zone) = self
            .first_seen
            .get(&machine)
            .copied()
            .unwrap_or((0.0, u16::MAX));
        let listed = if self.listed_only {
            ListState::Draining
        } else {
            ListState::Ready
        };
        let came_up = if self.cold { first_seen } else { 0.0 };
        let unlisted = Place {
            zone,
            cell: 0,
            kind: u16::MAX,
            listed,
            came_up,
        };
        let place = self.listed.get(&machine).copied().unwrap_or(unlisted);
        // The connections of a machine that has gone from the list may finish their jobs, so it counts as
        // draining.
        let listed = if place.listed == ListState::Ready {
            ListState::Ready
        } else {
            ListState::Draining
        };
        Place { listed, ..place }
    }

    /// Counts a connection out of a group. Returns true if it was the last.
    pub fn leave(&mut self, now: f64, machine: IpAddr, runs: ProjectTypeSet) -> bool {
        let Some(group) = self.groups.get_mut(&(machine, runs)) else {
            return false;
        };
        group.sessions -= 1;
        group.empty_since = now;
        group.sessions == 0
    }

    /// Forgets groups that have had no connection for `after` seconds. Returns what to tell the core.
    pub fn forget_empty(&mut self, now: f64, after: f64) -> Vec<Change> {
        let is_old = |group: &Group| group.sessions == 0 && now >= group.empty_since + after;
        let gone: Vec<Group> = self
            .groups
            .extract_if(|_, group| is_old(group))
            .map(|(_, group)| group)
            .collect();
        let groups = &self.groups;
        let has_group = |machine: &IpAddr| groups.keys().any(|(other, _)| other == machine);
        self.listed
            .retain(|machine, place| place.listed != ListState::Gone || has_group(machine));
        let has_left = |machine: &IpAddr| {
            gone.iter().any(|group| group.machine == *machine) && !has_group(machine)
        };
        self.first_seen.retain(|machine, _| !has_left(machine));
        gone.iter()
            .map(|group| group.change(ListState::Gone))
            .collect()
    }

    /// Applies what the list service says of machines. With `full`, machines that it does not name have left
    /// it. A machine with several processes is ready if any of them is. Returns what to tell the core.
    pub fn apply_list(
        &mut self,
        full: bool,
        told: impl Iterator<Item = (IpAddr, Place)>,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for (machine, place) in self.by_machine(full, told) {
            if self.listed.insert(machine, place) != Some(place) {
                self.move_groups(machine, &mut changes);
            }
        }
        changes
    }

    /// The list's places by machine, with those machines that have left it.
    fn by_machine(
        &self,
        full: bool,
        told: impl Iterator<Item = (IpAddr, Place)>,
    ) -> HashMap<IpAddr, Place> {
        let mut places: HashMap<IpAddr, Place> = HashMap::new();
        for (machine, place) in told {
            let best = places.entry(machine).or_insert(place);
            if best.listed != ListState::Ready && place.listed == ListState::Ready {
                *best = place;
            }
        }
        if full {
            for (machine, place) in &self.listed {
                // It gets nothing new until the list names it again.
                places.entry(*machine).or_insert(Place {
                    listed: ListState::Gone,
                    ..*place
                });
            }
        }
        places
    }

    /// Gives a machine's groups its new place; adds what to tell the core.
    fn move_groups(&mut self, machine: IpAddr, changes: &mut Vec<Change>) {
        let place = self.place(machine);
        for group in self
            .groups
            .values_mut()
            .filter(|group| group.machine == machine)
        {
            let Place {
                listed, came_up, ..
            } = group.announced;
            let is_moved = Place {
                listed,
                came_up,
                ..place
            } != group.announced;
            if is_moved {
                // The core never changes the place of a worker that it knows, so this becomes another worker.
                changes.push(group.change(ListState::Gone));
                group.worker = worker_id(&name(machine, group.runs, place));
            }
            if is_moved || came_up != place.came_up {
                self.generations += 1;
                (group.generation, group.orders) = (self.generations, 0);
            }
            group.announced = place;
            changes.push(group.change(place.listed));
        }
    }

    /// The number of groups.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// There is no group.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}

impl Group {
    /// The group as it was last announced, with the given state.
    fn change(&self, listed: ListState) -> Change {
        let Place {
            zone,
            cell,
            kind,
            came_up,
            ..
        } = self.announced;
        let (id, runs) = (self.worker, self.runs);
        Change {
            name: name(self.machine, runs, self.announced),
            line: ListEntry {
                id,
                zone,
                cell,
                machine_kind: kind,
                state: listed,
                started_at: came_up,
                project_types: runs,
                pulls_work: true,
            },
            generation: self.generation,
            machine: self.machine,
            runs,
        }
    }
}

/// The name of the worker that a group is to the core.
fn name(machine: IpAddr, runs: ProjectTypeSet, place: Place) -> String {
    let Place {
        zone, cell, kind, ..
    } = place;
    // An unlisted machine's zone may be another after a restart of this program; its worker's name must not
    // be.
    let place = if kind == u16::MAX {
        String::new()
    } else {
        format!("/{zone}.{cell}.{kind}")
    };
    format!("beanstalkd/{machine}/{runs}{place}")
}
