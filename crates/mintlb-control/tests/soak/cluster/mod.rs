//! Fixture: real processes of controllers, stores and dispatchers on loopback addresses of their
//! own, with the signals of a platform.

pub mod faults;
pub mod machine;
pub mod network;

use machine::{Machine, Role};
use network::Network;
use parking_lot::Mutex;
use std::collections::HashSet;
use std::sync::Arc;
use tempfile::TempDir;
use tokio::time::Instant;

/// How many machines of each role a cluster has.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    pub controllers: usize,
    pub stores: usize,
    pub dispatchers: usize,
}

/// One process of a machine, by the machine's number and the process's incarnation.
pub type Incarnation = (usize, u64);

/// Processes that were killed or frozen: what they cut off is no fault of theirs.
pub type Disturbed = Arc<Mutex<HashSet<Incarnation>>>;

/// The time in which a process was frozen.
#[derive(Clone, Copy, Debug)]
pub struct Freeze {
    pub process: Incarnation,
    pub began: Instant,
    /// `None` while it is frozen.
    pub ended: Option<Instant>,
}

/// What happened to the processes.
#[derive(Default)]
pub struct FaultLog {
    pub freezes: Vec<Freeze>,
    /// Everything, as text.
    pub events: Vec<(Instant, String)>,
}

pub struct SoakCluster {
    /// Controllers first, then stores, then dispatchers.
    pub machines: Vec<Machine>,
    /// The newest process of each machine, noted before it is started.
    pub newest: Arc<Mutex<Vec<Incarnation>>>,
    pub disturbed: Disturbed,
    /// Numbers of the machines that the operator was told to take away.
    pub retired: Arc<Mutex<HashSet<usize>>>,
    pub fault_log: Arc<Mutex<FaultLog>>,
    _root: TempDir,
}

impl SoakCluster {
    /// Starts all processes on empty disks.
    pub fn start(network: Network, size: ClusterSize) -> SoakCluster {
        let root = tempfile::tempdir().unwrap();
        let roles = [
            (Role::Controller, size.controllers),
            (Role::Store, size.stores),
            (Role::Dispatcher, size.dispatchers),
        ];
        let roles = roles
            .into_iter()
            .flat_map(|(role, count)| std::iter::repeat_n(role, count));
        let machines: Vec<Machine> = (1..)
            .zip(roles)
            .map(|(number, role)| Machine::new(role, number, network, root.path()))
            .collect();
        let newest = machines.iter().map(|machine| (machine.number, 0));
        let mut cluster = SoakCluster {
            newest: Arc::new(Mutex::new(newest.collect())),
            machines,
            disturbed: Disturbed::default(),
            retired: Arc::default(),
            fault_log: Arc::default(),
            _root: root,
        };
        (0..cluster.machines.len()).for_each(|position| cluster.start_machine(position));
        cluster
    }

    /// Starts the process of the machine at this position.
    fn start_machine(&mut self, position: usize) {
        self.newest.lock()[position].1 += 1;
        self.note_event(position, "started");
        self.machines[position].start();
    }

    /// The numbers of the machines of a role.
    pub fn numbers(&self, role: Role) -> Vec<usize> {
        let machines = self.machines.iter();
        machines
            .filter(|machine| machine.role == role)
            .map(|machine| machine.number)
            .collect()
    }

    /// Whether the machine at this position is to be taken away.
    fn is_retired(&self, position: usize) -> bool {
        self.retired
            .lock()
            .contains(&self.machines[position].number)
    }

    /// Takes the machines away that are retired, disk and all.
    fn take_away_retired(&mut self) {
        for position in 0..self.machines.len() {
            if self.is_retired(position) {
                self.machines[position].kill();
            }
        }
    }

    /// Notes that a fault cuts off what the process at this position has under way.
    fn note_disturbance(&self, position: usize) {
        let incarnation = self.newest.lock()[position];
        self.disturbed.lock().insert(incarnation);
    }

    /// Notes what happens to the process at this position.
    fn note_event(&self, position: usize, event: &str) {
        let (_, incarnation) = self.newest.lock()[position];
        let text = format!("{}.{incarnation}: {event}", self.machines[position]);
        self.fault_log.lock().events.push((Instant::now(), text));
    }

    /// Freezes the process at this position.
    fn freeze(&mut self, position: usize) {
        self.fault_log.lock().freezes.push(Freeze {
            process: self.newest.lock()[position],
            began: Instant::now(),
            ended: None,
        });
        self.machines[position].freeze();
    }

    /// Thaws the process at this position.
    fn thaw(&mut self, position: usize) {
        self.machines[position].thaw();
        let process = self.newest.lock()[position];
        for freeze in &mut self.fault_log.lock().freezes {
            if freeze.process == process && freeze.ended.is_none() {
                freeze.ended = Some(Instant::now());
            }
        }
    }

    /// No process ends by itself.
    fn check_processes(&mut self) {
        for machine in &mut self.machines {
            if let Some(status) = machine.end_by_itself() {
                let log = machine.end_of_log();
                panic!("{machine} has ended by itself: {status}\n{log}");
            }
        }
    }
}

/// After a failure the logs tell what the processes saw.
impl Drop for SoakCluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for machine in &self.machines {
                eprintln!("{machine}:\n{}", machine.end_of_log());
            }
        }
    }
}
