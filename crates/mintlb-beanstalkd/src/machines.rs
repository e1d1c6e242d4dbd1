//! Worker machines and their connection groups: which project types each runs, and whether it may receive jobs.
//!
//! A machine is identified by the address its connections come from. All of its connections that watch tubes of
//! the same project types form one group, which the core sees as one worker; each waiting `reserve` is capacity
//! for one job there.

use mintlb_core::membership::worker_id;
use mintlb_scheduler::{ListEntry, ListState, ProjectTypeSet};
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

/// Location and state of a machine as reported by the list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineInfo {
    pub zone: u16,
    pub cell: u64,
    pub kind: u16,
    pub listed: ListState,
    /// When the machine started, in seconds of Unix time; 0 if it started long ago.
    pub start_time: f64,
}

/// The connections of one machine that run the same project types.
#[derive(Debug)]
pub struct Group {
    /// The group's worker id in the core.
    pub worker: u64,
    pub machine: IpAddr,
    pub type_set: ProjectTypeSet,
    /// Changes when the group becomes another worker to the core or restarts; attempts sent to an earlier generation
    /// are rejected.
    pub generation: u64,
    /// Sessions with a waiting reserve, by sequence number; the lowest is served first.
    pub waiting: BTreeMap<u64, u64>,
    /// Number of attempts received for this generation.
    pub requests_received: u64,
    /// Number of connections in the group.
    pub sessions: usize,
    /// When the last connection left, in seconds of the clock.
    pub empty_since: f64,
    /// Location and state last announced to the core.
    announced: MachineInfo,
}

/// Registry of known machines and groups.
#[derive(Default)]
pub struct Machines {
    /// Only machines reported by the list service get jobs.
    listed_only: bool,
    /// A machine that is not listed counts as started (cold) when it is first seen.
    cold: bool,
    /// Last report for each machine that is or was listed.
    listed: HashMap<IpAddr, MachineInfo>,
    /// When each machine was first seen, and a zone of its own that applies while it is not listed: it is then
    /// unknown which machines share deduplication of keyed jobs with it, so none may count as sharing it.
    first_seen: HashMap<IpAddr, (f64, u16)>,
    groups: HashMap<(IpAddr, ProjectTypeSet), Group>,
    /// The last generation number assigned to a group.
    generations: u64,
}

/// Membership change of a group, to be announced to the core.
#[derive(Clone, Debug)]
pub struct GroupChange {
    /// The worker's name.
    pub name: String,
    /// The worker's entry in the membership list.
    pub list_entry: ListEntry,
    pub generation: u64,
    pub machine: IpAddr,
    pub type_set: ProjectTypeSet,
}

impl Machines {
    /// `listed_only` and `cold` are the settings `listed` and `cold` of `[beanstalkd]`.
    pub fn new(listed_only: bool, cold: bool) -> Machines {
        Machines {
            listed_only,
            cold,
            ..Machines::default()
        }
    }

    /// Whether a machine may receive new jobs: it is neither draining nor gone, and is listed if that is required.
    pub fn accepts_work(&self, machine: IpAddr) -> bool {
        match self.listed.get(&machine) {
            Some(info) => info.listed == ListState::Ready,
            None => !self.listed_only,
        }
    }

    pub fn group(&mut self, machine: IpAddr, type_set: ProjectTypeSet) -> Option<&mut Group> {
        self.groups.get_mut(&(machine, type_set))
    }

    /// Adds a connection to a group. Returns the change to announce if the group is new.
    pub fn join(
        &mut self,
        now: f64,
        machine: IpAddr,
        type_set: ProjectTypeSet,
    ) -> Option<GroupChange> {
        if let Some(group) = self.groups.get_mut(&(machine, type_set)) {
            group.sessions += 1;
            return None;
        }
        let zone = u16::MAX - (self.generations % (u16::MAX as u64 / 2)) as u16;
        self.first_seen.entry(machine).or_insert((now, zone));
        let info = self.machine_info(machine);
        self.generations += 1;
        let group = Group {
            worker: worker_id(&worker_name(machine, type_set, info)),
            machine,
            type_set,
            generation: self.generations,
            waiting: BTreeMap::new(),
            requests_received: 0,
            sessions: 1,
            empty_since: now,
            announced: info,
        };
        let change = group.change(info.listed);
        self.groups.insert((machine, type_set), group);
        Some(change)
    }

    /// Location and state to announce for a machine: as listed, or else derived from when it was first seen.
    fn machine_info(&self, machine: IpAddr) -> MachineInfo {
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
        let start_time = if self.cold { first_seen } else { 0.0 };
        let unlisted = MachineInfo {
            zone,
            cell: 0,
            kind: u16::MAX,
            listed,
            start_time,
        };
        let info = self.listed.get(&machine).copied().unwrap_or(unlisted);
        // Connections of a machine that was removed from the list may finish their jobs, so it is announced as
        // draining.
        let listed = if info.listed == ListState::Ready {
            ListState::Ready
        } else {
            ListState::Draining
        };
        MachineInfo { listed, ..info }
    }

    /// Removes a connection from a group. Returns whether it was the last.
    pub fn leave(&mut self, now: f64, machine: IpAddr, type_set: ProjectTypeSet) -> bool {
        let Some(group) = self.groups.get_mut(&(machine, type_set)) else {
            return false;
        };
        group.sessions -= 1;
        group.empty_since = now;
        group.sessions == 0
    }

    /// Removes groups that have had no connection for `after` seconds. Returns the changes to announce.
    pub fn remove_idle(&mut self, now: f64, after: f64) -> Vec<GroupChange> {
        let is_old = |group: &Group| group.sessions == 0 && now >= group.empty_since + after;
        let gone: Vec<Group> = self
            .groups
            .extract_if(|_, group| is_old(group))
            .map(|(_, group)| group)
            .collect();
        let groups = &self.groups;
        let has_group = |machine: &IpAddr| groups.keys().any(|(other, _)| other == machine);
        self.listed
            .retain(|machine, info| info.listed != ListState::Gone || has_group(machine));
        let has_left = |machine: &IpAddr| {
            gone.iter().any(|group| group.machine == *machine) && !has_group(machine)
        };
        self.first_seen.retain(|machine, _| !has_left(machine));
        gone.iter()
            .map(|group| group.change(ListState::Gone))
            .collect()
    }

    /// Applies a report of the list service. If `full`, machines missing from it have left the list. A machine with
    /// several processes is ready if any of them is. Returns the changes to announce.
    pub fn apply_list(
        &mut self,
        full: bool,
        reported: impl Iterator<Item = (IpAddr, MachineInfo)>,
    ) -> Vec<GroupChange> {
        let mut changes = Vec::new();
        for (machine, info) in self.by_machine(full, reported) {
            if self.listed.insert(machine, info) != Some(info) {
                self.update_groups(machine, &mut changes);
            }
        }
        changes
    }

    /// Merges the reported entries by machine; if `full`, adds as gone those machines that are no longer listed.
    fn by_machine(
        &self,
        full: bool,
        reported: impl Iterator<Item = (IpAddr, MachineInfo)>,
    ) -> HashMap<IpAddr, MachineInfo> {
        let mut infos: HashMap<IpAddr, MachineInfo> = HashMap::new();
        for (machine, info) in reported {
            let best = infos.entry(machine).or_insert(info);
            if best.listed != ListState::Ready && info.listed == ListState::Ready {
                *best = info;
            }
        }
        if full {
            for (machine, info) in &self.listed {
                // The machine gets no new jobs until it is listed again.
                infos.entry(*machine).or_insert(MachineInfo {
                    listed: ListState::Gone,
                    ..*info
                });
            }
        }
        infos
    }

    /// Updates a machine's groups after a report and appends the changes to announce.
    fn update_groups(&mut self, machine: IpAddr, changes: &mut Vec<GroupChange>) {
        let info = self.machine_info(machine);
        for group in self
            .groups
            .values_mut()
            .filter(|group| group.machine == machine)
        {
            let MachineInfo {
                listed, start_time, ..
            } = group.announced;
            let is_relocated = MachineInfo {
                listed,
                start_time,
                ..info
            } != group.announced;
            if is_relocated {
                // The core never changes the location of a known worker, so the group becomes a new worker.
                changes.push(group.change(ListState::Gone));
                group.worker = worker_id(&worker_name(machine, group.type_set, info));
            }
            if is_relocated || start_time != info.start_time {
                self.generations += 1;
                (group.generation, group.requests_received) = (self.generations, 0);
            }
            group.announced = info;
            changes.push(group.change(info.listed));
        }
    }

    pub fn len(&self) -> usize {
        self.groups.len()
    }

    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}

impl Group {
    /// Builds the change that announces the group at its last announced location, with the given state.
    fn change(&self, listed: ListState) -> GroupChange {
        let MachineInfo {
            zone,
            cell,
            kind,
            start_time,
            ..
        } = self.announced;
        let (id, type_set) = (self.worker, self.type_set);
        GroupChange {
            name: worker_name(self.machine, type_set, self.announced),
            list_entry: ListEntry {
                id,
                zone,
                cell,
                machine_kind: kind,
                state: listed,
                started_at: start_time,
                project_types: type_set,
                pulls_work: true,
            },
            generation: self.generation,
            machine: self.machine,
            type_set,
        }
    }
}

/// Name of the worker that represents a group in the core.
fn worker_name(machine: IpAddr, type_set: ProjectTypeSet, info: MachineInfo) -> String {
    let MachineInfo {
        zone, cell, kind, ..
    } = info;
    // An unlisted machine's zone may differ after a restart of this program; its worker name must not.
    let location = if kind == u16::MAX {
        String::new()
    } else {
        format!("/{zone}.{cell}.{kind}")
    };
    format!("beanstalkd/{machine}/{type_set}{location}")
}
