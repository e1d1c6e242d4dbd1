//! The records of one worker at several controllers whose tables differ for a while: its calls come late, doubled and in any
//! order, records pass between the controllers when they may. What was taken is never undone by something older, and at
//! the end all have what the worker said last.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_control::controller::workers::registry::{HeartbeatOutcome, Registry};
use std::time::Duration;
use tokio::time::Instant;

const SILENCE: Duration = Duration::from_millis(4100);
const TICK: Duration = Duration::from_millis(200);
const CONTROLLERS: usize = 3;
const WORKER: &str = "i-1";

/// What the worker sends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    Beat(u64, WorkerState),
    End,
}

struct Controller {
    registry: Registry,
    /// The record in force here.
    table: Option<WorkerRecord>,
    /// The worker was told here that it drains, or that it has ended.
    told: Option<WorkerState>,
}

struct Fleet {
    now: Instant,
    controllers: Vec<Controller>,
}

fn record(call_sequence: u64, state: WorkerState) -> WorkerRecord {
    WorkerRecord {
        instance_id: WORKER.to_string(),
        service: "s".to_string(),
        address: "10.128.0.9:8080".to_string(),
        zone: "z".to_string(),
        capacity_slots: 8,
        state,
        call_sequence,
        slow_start_until_ms: 0,
    }
}

impl Fleet {
    fn new() -> Fleet {
        let now = Instant::now();
        let controller = |_| Controller {
            registry: Registry::new(now, SILENCE),
            table: None,
            told: None,
        };
        Fleet {
            now,
            controllers: (0..CONTROLLERS).map(controller).collect(),
        }
    }

    /// Puts a record into a controller's table as the overlay does.
    fn put(&mut self, at: usize, record: WorkerRecord) {
        let controller = &mut self.controllers[at];
        if controller
            .table
            .as_ref()
            .is_none_or(|known| known.version() < record.version())
        {
            controller.table = Some(record);
        }
        let state = controller.table.as_ref().map(|record| record.state);
        match controller.told {
            Some(WorkerState::Deregistered) => {
                assert_eq!(state, Some(WorkerState::Deregistered), "it is back")
            }
            Some(_) => assert_ne!(
                state,
                Some(WorkerState::InService),
                "it takes requests again"
            ),
            None => (),
        }
    }

    fn take(&mut self, at: usize, call: Call) {
        let controller = &mut self.controllers[at];
        let in_force = controller.table.clone();
        let published = match call {
            Call::End => {
                controller.told = Some(WorkerState::Deregistered);
                Some(controller.registry.leave(WORKER, in_force))
            }
            Call::Beat(sequence, state) => {
                let told = record(sequence, state);
                let heard = controller
                    .registry
                    .heartbeat(self.now, told, in_force.as_ref());
                let drains = state == WorkerState::Draining && controller.told.is_none();
                controller.told = if drains { Some(state) } else { controller.told };
                if let HeartbeatOutcome::Publish(record) = heard {
                    Some(record)
                } else {
                    None
                }
            }
        };
        published
            .into_iter()
            .for_each(|record| self.put(at, record));
    }

    /// Two controllers compare what they have.
    fn compare(&mut self, one: usize, other: usize) {
        for (from, to) in [(one, other), (other, one)] {
            let record = self.controllers[from].table.clone();
            record.into_iter().for_each(|record| self.put(to, record));
        }
    }

    fn compare_all(&mut self) {
        for _ in 0..CONTROLLERS {
            (1..CONTROLLERS).for_each(|other| self.compare(0, other));
        }
    }

    /// One starts anew and knows nothing; what it had told has reached a neighbour before.
    fn restart(&mut self, at: usize) {
        self.compare(at, (at + 1) % CONTROLLERS);
        self.controllers[at] = Controller {
            registry: Registry::new(self.now, SILENCE),
            table: None,
            told: None,
        };
    }

    fn pass(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK;
            for at in 0..CONTROLLERS {
                let controller = &mut self.controllers[at];
                let version = controller.table.as_ref().map(WorkerRecord::version);
                let silent = controller.registry.tick(self.now, true, |_| version);
                silent.into_iter().for_each(|record| self.put(at, record));
            }
        }
    }
}

/// One history: the worker's calls in their order, each delivered at once or later, to any controller.
fn history(u: &mut Unstructured<'_>) -> Result<()> {
    let mut fleet = Fleet::new();
    let count = u.int_in_range(1..=12)?;
    let drains_at = if u.arbitrary()? {
        u.int_in_range(1..=14)?
    } else {
        u64::MAX
    };
    let ends: bool = u.arbitrary()?;
    let mut late: Vec<(usize, Call)> = Vec::new();
    let state = |sequence| {
        if sequence >= drains_at {
            WorkerState::Draining
        } else {
            WorkerState::InService
        }
    };
    let beats = (1..=count).map(|sequence| Call::Beat(sequence, state(sequence)));
    for call in beats.chain(ends.then_some(Call::End)) {
        let at = u.int_in_range(0..=CONTROLLERS - 1)?;
        match u.int_in_range(0..=3)? {
            0 if call != Call::End => late.push((at, call)),
            1 if call != Call::End => {
                fleet.take(at, call);
                late.push((u.int_in_range(0..=CONTROLLERS - 1)?, call));
            }
            _ => fleet.take(at, call),
        }
        for _ in 0..u.int_in_range(0..=2)? {
            match u.int_in_range(0..=4)? {
                0 => fleet.compare(
                    u.int_in_range(0..=CONTROLLERS - 1)?,
                    u.int_in_range(0..=CONTROLLERS - 1)?,
                ),
                1 if !late.is_empty() => {
                    let (at, call) = late.remove(u.choose_index(late.len())?);
                    fleet.take(at, call);
                }
                2 => fleet.pass(u.int_in_range(1..=30)?),
                3 if u.ratio(1, 4)? => fleet.restart(u.int_in_range(0..=CONTROLLERS - 1)?),
                _ => fleet.compare_all(),
            }
        }
    }
    late.into_iter().for_each(|(at, call)| fleet.take(at, call));
    fleet.compare_all();
    if !ends {
        // It goes on calling one controller.
        let at = u.int_in_range(0..=CONTROLLERS - 1)?;
        for sequence in count + 1..count + 40 {
            fleet.take(at, Call::Beat(sequence, state(sequence)));
            fleet.pass(5);
            fleet.compare_all();
        }
        fleet.controllers.iter().for_each(|controller| {
            let known = controller.table.as_ref().map(|record| record.state);
            assert_eq!(
                known,
                Some(state(count + 39)),
                "a worker that calls is known as it says"
            );
        });
    }
    fleet.pass(60);
    fleet.compare_all();
    for controller in &fleet.controllers {
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
fn no_older_word_of_a_worker_undoes_a_newer_one() {
    let mut histories = 0;
    arbtest(|u| {
        histories += 1;
        history(u)
    })
    .budget_ms(3000);
    println!("{histories} histories");
}
