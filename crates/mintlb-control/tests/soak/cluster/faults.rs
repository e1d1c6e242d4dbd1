//! Faults of machines, in series that overlap.

use super::SoakCluster;
use super::machine::Role;
use std::time::Duration;
use tokio::time::Instant;

/// A fault begins in one of so many steps.
const STEPS_PER_FAULT: u32 = 12;
const STEP: Duration = Duration::from_millis(50);
const SHORTEST_FAULT_MS: u64 = 100;
const LONGEST_FAULT_MS: u64 = 2500;

/// What happens to a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Kill,
    LoseDisk,
    Terminate,
    Freeze,
    HangUp,
}

/// A fault that is not over yet, at a machine by its position.
struct FaultUnderWay {
    machine: usize,
    fault: Fault,
    until: Instant,
}

/// Draws faults, and ends them.
pub struct Faults {
    random: fastrand::Rng,
    under_way: Vec<FaultUnderWay>,
    /// So many disks may still be lost: no more than the tier tolerates.
    disk_losses_left: usize,
}

impl Faults {
    /// The faults of this seed, with the loss of one disk at most.
    pub fn new(seed: u64) -> Faults {
        Faults {
            random: fastrand::Rng::with_seed(seed),
            under_way: Vec::new(),
            disk_losses_left: 1,
        }
    }

    /// Begins faults for some time, and returns when all are over.
    pub async fn play(&mut self, cluster: &mut SoakCluster, time: Duration) {
        let began = Instant::now();
        while self.step(cluster, began.elapsed() < time).await {}
    }

    /// Ends what is due, and may begin another fault; false once all are over.
    pub async fn step(&mut self, cluster: &mut SoakCluster, may_begin: bool) -> bool {
        if may_begin && self.random.u32(0..STEPS_PER_FAULT) == 0 {
            self.begin(cluster);
        }
        self.end_due(cluster);
        cluster.take_away_retired();
        cluster.check_processes();
        tokio::time::sleep(STEP).await;
        may_begin || !self.under_way.is_empty()
    }

    /// Begins a fault at a machine that has none.
    fn begin(&mut self, cluster: &mut SoakCluster) {
        let machine = self.random.usize(0..cluster.machines.len());
        let has_fault = |fault: &FaultUnderWay| fault.machine == machine;
        if self.under_way.iter().any(has_fault) || !cluster.machines[machine].is_up() {
            return;
        }
        let fault = self.draw_fault(cluster.machines[machine].role);
        if !matches!(fault, Fault::Terminate | Fault::HangUp) {
            cluster.note_disturbance(machine);
        }
        cluster.note_event(machine, &format!("{fault:?}"));
        let target = &mut cluster.machines[machine];
        match fault {
            Fault::Kill => target.kill(),
            Fault::LoseDisk => target.lose_disk(),
            Fault::Terminate => target.terminate(),
            Fault::Freeze => cluster.freeze(machine),
            Fault::HangUp => return target.hang_up(),
        }
        let lasts = self.random.u64(SHORTEST_FAULT_MS..LONGEST_FAULT_MS);
        self.under_way.push(FaultUnderWay {
            machine,
            fault,
            until: Instant::now() + Duration::from_millis(lasts),
        });
    }

    fn draw_fault(&mut self, role: Role) -> Fault {
        match self.random.u32(0..10) {
            0..=2 => Fault::Kill,
            3 if role != Role::Dispatcher && self.disk_losses_left > 0 => {
                self.disk_losses_left -= 1;
                Fault::LoseDisk
            }
            3..=5 => Fault::Terminate,
            6..=8 => Fault::Freeze,
            _ => Fault::HangUp,
        }
    }

    /// Ends the faults whose time has come.
    fn end_due(&mut self, cluster: &mut SoakCluster) {
        let now = Instant::now();
        self.under_way
            .retain(|fault| fault.until > now || !fault.end(cluster));
    }
}

impl FaultUnderWay {
    /// Ends it; false if the process has still to end.
    fn end(&self, cluster: &mut SoakCluster) -> bool {
        if cluster.is_retired(self.machine) {
            return true;
        }
        match self.fault {
            Fault::Freeze => {
                cluster.note_event(self.machine, "thawed");
                cluster.thaw(self.machine);
            }
            Fault::Terminate if !cluster.machines[self.machine].has_ended() => return false,
            _ => cluster.start_machine(self.machine),
        }
        true
    }
}
