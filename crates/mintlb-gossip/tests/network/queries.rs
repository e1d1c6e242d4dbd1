//! What tests check in the simulated network.

use super::process::{Process, ProcessState, address};
use super::{SimulatedNetwork, Traffic};
use mintlb_common::incarnation::Incarnation;
use mintlb_gossip::Member;
use mintlb_gossip::node::Node;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

impl SimulatedNetwork {
    /// The numbers of the running processes.
    pub fn running(&self) -> Vec<usize> {
        let numbers = 0..self.processes.len();
        numbers
            .filter(|&number| self.state(address(number)) == Some(ProcessState::Running))
            .collect()
    }

    /// The numbers of the running processes inside and outside of a zone.
    pub fn running_by_zone(&self, zone: &str) -> (Vec<usize>, Vec<usize>) {
        self.running()
            .into_iter()
            .partition(|&number| self.zone(number) == zone)
    }

    pub fn zone(&self, number: usize) -> &str {
        &self.process(number).member.zone
    }

    pub fn incarnation(&self, number: usize) -> Incarnation {
        self.process(number).member.incarnation
    }

    pub fn node(&self, number: usize) -> &Node {
        self.process(number).node.as_ref().unwrap()
    }

    /// The members that a process knows.
    pub fn members(&self, number: usize) -> Vec<Member> {
        self.node(number).membership().members(self.now)
    }

    /// The numbers of a process's neighbors.
    pub fn neighbors(&self, number: usize) -> Vec<usize> {
        let membership = self.node(number).membership();
        let numbers = 0..self.processes.len();
        numbers
            .filter(|&other| membership.is_neighbor(address(other)))
            .collect()
    }

    /// How many publications of a process were acknowledged.
    pub fn acknowledged(&self, number: usize) -> u64 {
        self.process(number).acknowledged
    }

    /// The version of a record at a process.
    pub fn version(&self, number: usize, key: &str) -> Option<u64> {
        let record = self.node(number).table().get(key);
        record.map(|record| record.version)
    }

    /// The newest version of a record at the running processes; 0 if none has it.
    pub fn newest_version(&self, key: &str) -> u64 {
        let running = self.running().into_iter();
        let versions = running.filter_map(|number| self.version(number, key));
        versions.max().unwrap_or(0)
    }

    /// How many of the processes don't have this version of a record.
    pub fn count_lacking(&self, among: &[usize], key: &str, version: u64) -> usize {
        among
            .iter()
            .filter(|&&number| self.version(number, key) != Some(version))
            .count()
    }

    /// Whether no running process has any version of a record.
    pub fn has_nowhere(&self, key: &str) -> bool {
        let running = self.running();
        running
            .iter()
            .all(|&number| self.version(number, key).is_none())
    }

    /// Runs until all of the processes have the version, at most for `limit`; returns how long it
    /// took.
    pub fn time_until_known(
        &mut self,
        among: &[usize],
        key: &str,
        version: u64,
        limit: Duration,
    ) -> Option<Duration> {
        let start = self.now;
        let is_known = |network: &SimulatedNetwork| network.count_lacking(among, key, version) == 0;
        self.run_until(start + limit, is_known)
            .then(|| self.now - start)
    }

    /// Whether the symmetric links between running processes connect all of them.
    pub fn is_connected(&self) -> bool {
        let running = self.running();
        self.component(running[0]).len() == running.len()
    }

    /// The processes that are connected with this one by symmetric links between running processes.
    fn component(&self, number: usize) -> HashSet<SocketAddr> {
        let start = address(number);
        let (mut reached, mut unexplored) = (HashSet::from([start]), vec![start]);
        while let Some(at) = unexplored.pop() {
            let node = self.processes[&at].node.as_ref().unwrap();
            for neighbor in node.membership().neighbors() {
                if self.has_running_neighbor(neighbor, at) && reached.insert(neighbor) {
                    unexplored.push(neighbor);
                }
            }
        }
        reached
    }

    /// How many links only one side has.
    pub fn one_sided_links(&self) -> usize {
        let running = self.running();
        let links = running.iter().flat_map(|&number| {
            let neighbors = self.node(number).membership().neighbors();
            neighbors.map(move |neighbor| (address(number), neighbor))
        });
        links
            .filter(|&(at, neighbor)| !self.has_running_neighbor(neighbor, at))
            .count()
    }

    /// Whether the process at this address is running and has the other one as a neighbor.
    fn has_running_neighbor(&self, at: SocketAddr, other: SocketAddr) -> bool {
        let process = &self.processes[&at];
        process.state == ProcessState::Running
            && process
                .node
                .as_ref()
                .unwrap()
                .membership()
                .is_neighbor(other)
    }

    pub fn all_joined(&self) -> bool {
        let running = self.running();
        running.iter().all(|&number| self.node(number).joined())
    }

    /// Whether this many processes are running and connected.
    pub fn is_running_and_connected(&self, count: usize) -> bool {
        self.running().len() == count && self.is_connected()
    }

    /// Whether versions of each key only ever increased, at every process.
    pub fn versions_only_increase(&self) -> bool {
        let mut processes = self.processes.values();
        processes.all(Process::versions_only_increase)
    }

    /// What all processes have sent so far.
    pub fn traffic(&self) -> Traffic {
        let mut traffic = Traffic::default();
        for process in self.processes.values() {
            traffic.bytes += process.sent_bytes;
            traffic.messages += process.sent_messages;
        }
        traffic
    }

    /// How many bytes a process has sent so far.
    pub fn bytes_sent_by(&self, number: usize) -> u64 {
        self.process(number).sent_bytes
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }
}
