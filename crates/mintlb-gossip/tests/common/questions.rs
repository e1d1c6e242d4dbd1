//! What tests ask of the simulated network.

use super::{Condition, Process, Simulation, address};
use mintlb_common::incarnation::Incarnation;
use mintlb_gossip::node::Node;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

impl Simulation {
    pub fn running(&self) -> Vec<usize> {
        let numbers = 0..self.processes.len();
        numbers
            .filter(|&number| self.condition(address(number)) == Some(Condition::Running))
            .collect()
    }

    pub fn zone(&self, number: usize) -> &str {
        &self.processes[&address(number)].member.zone
    }

    pub fn incarnation(&self, number: usize) -> Incarnation {
        self.processes[&address(number)].member.incarnation
    }

    pub fn node(&self, number: usize) -> &Node {
        self.processes[&address(number)].node.as_ref().unwrap()
    }

    pub fn acknowledged(&self, number: usize) -> u64 {
        self.processes[&address(number)].acknowledged
    }

    pub fn version(&self, number: usize, key: &str) -> Option<u64> {
        self.node(number)
            .table()
            .get(key)
            .map(|record| record.version)
    }

    pub fn lacking(&self, among: &[usize], key: &str, version: u64) -> usize {
        among
            .iter()
            .filter(|&&number| self.version(number, key) != Some(version))
            .count()
    }

    /// Runs until all of them have the version; how long it took.
    pub fn time_until_known(
        &mut self,
        among: &[usize],
        key: &str,
        version: u64,
        most: Duration,
    ) -> Option<Duration> {
        let (start, until) = (self.now, self.now + most);
        let done = self.run_until(until, |simulation| {
            simulation.lacking(among, key, version) == 0
        });
        done.then(|| self.now - start)
    }

    /// The processes that are linked with the given one, over symmetrical links of running processes.
    pub fn component(&self, number: usize) -> HashSet<SocketAddr> {
        let (mut seen, mut open) = (HashSet::from([address(number)]), vec![address(number)]);
        while let Some(at) = open.pop() {
            let node = self.processes[&at].node.as_ref().unwrap();
            for next in node.membership().neighbors() {
                let both = self.condition(next) == Some(Condition::Running)
                    && self.processes[&next]
                        .node
                        .as_ref()
                        .unwrap()
                        .membership()
                        .is_neighbor(at);
                if both && seen.insert(next) {
                    open.push(next);
                }
            }
        }
        seen
    }

    pub fn is_connected(&self) -> bool {
        let running = self.running();
        self.component(running[0]).len() == running.len()
    }

    /// Links that only one side knows.
    pub fn one_sided(&self) -> usize {
        let running = self.running();
        let links = running.iter().flat_map(|&number| {
            self.node(number)
                .membership()
                .neighbors()
                .map(move |neighbor| (address(number), neighbor))
        });
        let known = |(at, neighbor): &(SocketAddr, SocketAddr)| {
            let process = &self.processes[neighbor];
            process.condition == Condition::Running
                && process.node.as_ref().unwrap().membership().is_neighbor(*at)
        };
        links.filter(|link| !known(link)).count()
    }

    pub fn all_joined(&self) -> bool {
        self.running()
            .iter()
            .all(|&number| self.node(number).joined())
    }

    /// Whether versions of each key only ever rose, at every process.
    pub fn only_rises(&self) -> bool {
        self.processes.values().all(|process| {
            let mut newest: HashMap<&str, u64> = HashMap::new();
            process.history.iter().all(|(_, key, version)| {
                newest
                    .insert(key, *version)
                    .is_none_or(|before| before < *version)
            })
        })
    }

    /// Bytes and messages sent so far by all processes.
    pub fn sent(&self) -> (u64, u64) {
        let sum = |of: fn(&Process) -> u64| self.processes.values().map(of).sum();
        (sum(|process| process.sent), sum(|process| process.messages))
    }

    /// The most bytes that one process has sent so far.
    pub fn sent_by(&self, number: usize) -> u64 {
        self.processes[&address(number)].sent
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }
}
