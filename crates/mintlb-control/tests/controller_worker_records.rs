//! The records of one worker at several controllers whose tables differ for a while: its calls
//! arrive late, duplicated and in any order, and records pass between the controllers now and then.
//! No older record undoes an acknowledged one, and at the end all have the worker's last state.

mod builders;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_control::controller::workers::registry::{HeartbeatOutcome, Registry};
use std::time::Duration;
use tokio::time::Instant;

const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(4100);
const TICK: Duration = Duration::from_millis(200);
const CONTROLLERS: usize = 3;
const WORKER: &str = "i-1";

/// A call of the worker.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    Heartbeat(u64, WorkerState),
    Deregister,
}

struct Controller {
    registry: Registry,
    /// The current record here.
    table: Option<WorkerRecord>,
    /// The drain or end that was acknowledged to the worker here.
    acknowledged: Option<WorkerState>,
}

struct Cluster {
    now: Instant,
    controllers: Vec<Controller>,
}

fn record(call_sequence: u64, state: WorkerState) -> WorkerRecord {
    builders::worker(WORKER, call_sequence, state)
}

impl Cluster {
    fn new() -> Cluster {
        let now = Instant::now();
        let controller = |_| Controller {
            registry: Registry::new(now, HEARTBEAT_TIMEOUT),
            table: None,
            acknowledged: None,
        };
        Cluster {
            now,
            controllers: (0..CONTROLLERS).map(controller).collect(),
        }
    }

    /// Puts a record into a controller's table as gossip does.
    fn apply(&mut self, at: usize, record: WorkerRecord) {
        let controller = &mut self.controllers[at];
        if controller
            .table
            .as_ref()
            .is_none_or(|known| known.version() < record.version())
        {
            controller.table = Some(record);
        }
        let state = controller.table.as_ref().map(|record| record.state);
        match controller.acknowledged {
            Some(WorkerState::Deregistered) => {
                assert_eq!(
                    state,
                    Some(WorkerState::Deregistered),
                    "it is registered again"
                )
            }
            Some(_) => assert_ne!(
                state,
                Some(WorkerState::InService),
                "it gets requests again"
            ),
            None => (),
        }
    }

    fn deliver(&mut self, at: usize, call: Call) {
        let controller = &mut self.controllers[at];
        let current = controller.table.clone();
        let published = match call {
            Call::Deregister => {
                controller.acknowledged = Some(WorkerState::Deregistered);
                Some(controller.registry.leave(WORKER, current))
            }
            Call::Heartbeat(sequence, state) => {
                let reported = record(sequence, state);
                let outcome = controller
                    .registry
                    .heartbeat(self.now, reported, current.as_ref());
                let drains = state == WorkerState::Draining && controller.acknowledged.is_none();
                controller.acknowledged = if drains {
                    Some(state)
                } else {
                    controller.acknowledged
                };
                if let HeartbeatOutcome::Publish(record) = outcome {
                    Some(record)
                } else {
                    None
                }
            }
        };
        published
            .into_iter()
            .for_each(|record| self.apply(at, record));
    }

    /// Two controllers compare what they have.
    fn compare(&mut self, one: usize, other: usize) {
        for (from, to) in [(one, other), (other, one)] {
            let record = self.controllers[from].table.clone();
            record.into_iter().for_each(|record| self.apply(to, record));
        }
    }

    fn compare_all(&mut self) {
        for _ in 0..CONTROLLERS {
            (1..CONTROLLERS).for_each(|other| self.compare(0, other));
        }
    }

    /// One restarts with nothing; what it had acknowledged has reached a neighbor before.
    fn restart(&mut self, at: usize) {
        self.compare(at, (at + 1) % CONTROLLERS);
        self.controllers[at] = Controller {
            registry: Registry::new(self.now, HEARTBEAT_TIMEOUT),
            table: None,
            acknowledged: None,
        };
    }

    fn pass(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK;
            for at in 0..CONTROLLERS {
                let controller = &mut self.controllers[at];
                let version = controller.table.as_ref().map(WorkerRecord::version);
                let unresponsive = controller.registry.tick(self.now, true, |_| version);
                unresponsive
                    .into_iter()
                    .for_each(|record| self.apply(at, record));
            }
        }
    }
}

/// One scenario: the worker's calls in their order, each delivered at once or later, to any
/// controller.
fn run_scenario(u: &mut Unstructured<'_>) -> Result<()> {
    let mut cluster = Cluster::new();
    let count = u.int_in_range(1..=12)?;
    let draining_from = if u.arbitrary()? {
        u.int_in_range(1..=14)?
    } else {
        u64::MAX
    };
    let ends: bool = u.arbitrary()?;
    let mut late: Vec<(usize, Call)> = Vec::new();
    let state = |sequence| {
        if sequence >= draining_from {
            WorkerState::Draining
        } else {
            WorkerState::InService
        }
    };
    let heartbeats = (1..=count).map(|sequence| Call::Heartbeat(sequence, state(sequence)));
    for call in heartbeats.chain(ends.then_some(Call::Deregister)) {
        let at = u.int_in_range(0..=CONTROLLERS - 1)?;
        match u.int_in_range(0..=3)? {
            0 if call != Call::Deregister => late.push((at, call)),
            1 if call != Call::Deregister => {
                cluster.deliver(at, call);
                late.push((u.int_in_range(0..=CONTROLLERS - 1)?, call));
            }
            _ => cluster.deliver(at, call),
        }
        for _ in 0..u.int_in_range(0..=2)? {
            match u.int_in_range(0..=4)? {
                0 => cluster.compare(
                    u.int_in_range(0..=CONTROLLERS - 1)?,
                    u.int_in_range(0..=CONTROLLERS - 1)?,
                ),
                1 if !late.is_empty() => {
                    let (at, call) = late.remove(u.choose_index(late.len())?);
                    cluster.deliver(at, call);
                }
                2 => cluster.pass(u.int_in_range(1..=30)?),
                3 if u.ratio(1, 4)? => cluster.restart(u.int_in_range(0..=CONTROLLERS - 1)?),
                _ => cluster.compare_all(),
            }
        }
    }
    late.into_iter()
        .for_each(|(at, call)| cluster.deliver(at, call));
    cluster.compare_all();
    if !ends {
        // It goes on calling one controller.
        let at = u.int_in_range(0..=CONTROLLERS - 1)?;
        for sequence in count + 1..count + 40 {
            cluster.deliver(at, Call::Heartbeat(sequence, state(sequence)));
            cluster.pass(5);
            cluster.compare_all();
        }
        cluster.controllers.iter().for_each(|controller| {
            let known = controller.table.as_ref().map(|record| record.state);
            assert_eq!(
                known,
                Some(state(count + 39)),
                "a calling worker has the state that it reported"
            );
        });
    }
    cluster.pass(60);
    cluster.compare_all();
    for controller in &cluster.controllers {
        let known = controller.table.as_ref().map(|record| record.state);
        let expected = if ends {
            WorkerState::Deregistered
        } else {
            WorkerState::Unresponsive
        };
        assert_eq!(known, Some(expected), "after the worker's end");
    }
    Ok(())
}

#[test]
fn no_older_record_of_a_worker_undoes_a_newer_one() {
    let mut scenarios = 0;
    arbtest(|u| {
        scenarios += 1;
        run_scenario(u)
    })
    .budget_ms(3000);
    println!("{scenarios} scenarios");
}
