//! A scheduler driven by short scripts, and a host that records what the scheduler asks for.

use mintlb_scheduler::decide::{FairShares, Fleet, ListPolling, Queues, RetryPolicy, Scheduler};
use mintlb_scheduler::peer_message::PeerMessage;
use mintlb_scheduler::util::Rng;
use mintlb_scheduler::{
    Attempt, Costs, DedupScope, Host, Idempotency, ListEntry, ListState, ListUpdate, Outcome,
    ProjectType, ProjectTypeUpdate, SlowStart,
};
use mintlb_scheduler::{LoadReport, ProjectTypeSet, WorkUnit, Worker};
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Default)]
pub struct RecordingHost {
    pub actions: Vec<String>,
    now: f64,
    /// The advice of each deferral, in seconds.
    pub retry_after: Vec<f64>,
    /// Delay of the timer that was last set, in seconds.
    pub timer: f64,
}

impl Host for RecordingHost {
    fn send_attempt(&mut self, a: &Attempt) {
        self.actions.push(format!(
            "send {}>{}",
            a.work_unit.upgrade().unwrap().id,
            a.worker.entry.id
        ));
    }
    fn cancel(&mut self, a: &Attempt) {
        self.actions.push(format!(
            "cancel {}.{}",
            a.work_unit.upgrade().unwrap().id,
            a.number
        ));
    }
    fn defer(&mut self, wu: &WorkUnit, retry_after: f64) {
        self.retry_after.push(retry_after);
        self.actions.push(format!("defer {}", wu.id));
    }
    fn abort(&mut self, wu: &WorkUnit) {
        self.actions.push(format!("abort {}", wu.id));
    }
    fn probe(&mut self, w: &Worker) {
        self.actions.push(format!("probe {}", w.entry.id));
    }
    fn request_worker_list(&mut self) {
        self.actions.push("request-list".into());
    }
    fn broadcast(&mut self, bytes: &[u8]) {
        let message = PeerMessage::decode(self.now, bytes).unwrap();
        let slots: Vec<String> = message
            .slots_held
            .iter()
            .map(|(_, slots)| slots.to_string())
            .collect();
        self.actions.push(format!("broadcast {}", slots.join(" ")));
    }
    fn set_timer(&mut self, seconds: f64) {
        self.timer = seconds;
    }
    fn log(&mut self, _: &str) {}
}

pub struct ScriptedScheduler {
    pub scheduler: Scheduler,
    pub host: RecordingHost,
    pub now: f64,
    pub work_units: BTreeMap<u64, Rc<WorkUnit>>,
    types: Vec<ProjectType>,
}

pub const OVERLOAD_WINDOW_S: f64 = 3.0;

fn project_type(credit: f64, idempotency: Idempotency) -> ProjectType {
    let (promised_turnaround, hard_limit) = (0.2, 3.2);
    ProjectType {
        credit,
        late_credit: 0.0,
        promised_turnaround,
        turnaround_stretch: 0.0,
        hard_limit,
        idempotency,
        machine_kind: None,
    }
}

/// A scheduler with these project types: 0 idempotent, 1 deduplicated in its cell, 2 non-idempotent, 3 deduplicated
/// everywhere, 4 and 5 like 1 and 3 with a window of 50 ms. Customer 0 has nearly all of the quota, customer 1 hardly
/// any.
pub fn scripted(parallel_attempts: bool, on_request: bool) -> ScriptedScheduler {
    scripted_with_costs(
        parallel_attempts,
        on_request,
        Costs {
            cross_zone: 0.02,
            peer_message: None,
        },
    )
}

/// The same with these costs of crossing zones and of messages to the other three schedulers.
pub fn scripted_with_costs(
    parallel_attempts: bool,
    on_request: bool,
    costs: Costs,
) -> ScriptedScheduler {
    scripted_with_seed(7, parallel_attempts, on_request, costs)
}

/// The same with another random seed.
pub fn scripted_with_seed(
    seed: u64,
    parallel_attempts: bool,
    on_request: bool,
    costs: Costs,
) -> ScriptedScheduler {
    let deduplicated = |scope, window| Idempotency::Deduplicated { scope, window };
    let types = [
        (1.0, Idempotency::Idempotent),
        (2.0, deduplicated(DedupScope::Cell, 2.0)),
        (10.0, Idempotency::NonIdempotent),
        (1.0, deduplicated(DedupScope::All, 2.0)),
        (1.0, deduplicated(DedupScope::Cell, 0.05)),
        (1.0, deduplicated(DedupScope::All, 0.05)),
    ];
    let types = types.map(|(c, e)| project_type(c, e)).to_vec();
    let slow_start = SlowStart {
        initial_share: 0.2,
        duration: 20.0,
        overload_multiple: 3.0,
        overload_window: OVERLOAD_WINDOW_S,
        scheduler_count: 4.0,
    };
    let fleet = Fleet::new(slow_start, 0, true, costs, &types);
    let retry_policy = RetryPolicy {
        parallel_attempts,
        may_cancel: true,
        max_attempts: 3,
    };
    let stages = (
        FairShares::new(&[1e6, 1e-6]),
        Queues::new(types.clone(), 0.1, 2.0),
        retry_policy,
        fleet,
    );
    let scheduler = Scheduler::new(
        Rng::new(seed),
        stages,
        ListPolling {
            on_request,
            max_interval: 3.0,
            ..ListPolling::default()
        },
    );
    ScriptedScheduler {
        scheduler,
        host: RecordingHost::default(),
        now: 100.0,
        work_units: BTreeMap::new(),
        types,
    }
}

pub fn entry(id: u64, state: ListState, started_at: f64) -> ListEntry {
    ListEntry {
        id,
        zone: (id / 100) as u16,
        cell: id / 10,
        machine_kind: 0,
        state,
        started_at,
        project_types: ProjectTypeSet::default(),
        pulls_work: false,
    }
}

impl ScriptedScheduler {
    /// Runs the steps of a script, separated by `;`, and returns the actions that the scheduler asked for.
    ///
    /// Steps: `on` (the scheduler starts), `at T` (seconds after the begin), `list W..` and `change W..` (full and
    /// partial list: `1` ready, `1d` draining, `1g` gone, `1n` restarted), `list-failed`, `call ID TYPE [CUSTOMER
    /// [SLOTS]]` (a work unit arrives), `start ID.N` and `end ID.N OUTCOME [ended]` (of its attempt N),
    /// `client-gone ID`, `wake` (the timer fires), `report WORKER FREE_SLOTS`, `peer SCHEDULER AGE WORKER SLOTS ..` (a
    /// message), `no-peers` (settings without messages). Workers 1 to 9 share a cell; those from 100 on are in another
    /// zone than the scheduler. Ties are broken at random, from a fixed seed.
    pub fn run(&mut self, script: &str) -> String {
        for step in script.split(';') {
            let words: Vec<&str> = step.split_whitespace().collect();
            self.step(words[0], &words[1..]);
        }
        std::mem::take(&mut self.host.actions).join(", ")
    }

    fn attempt(&self, name: &str) -> Rc<Attempt> {
        let (id, n) = name.split_once('.').unwrap();
        self.work_units[&id.parse().unwrap()]
            .attempt(n.parse().unwrap())
            .unwrap()
    }

    fn step(&mut self, step_name: &str, args: &[&str]) {
        let (s, host, now) = (&mut self.scheduler, &mut self.host, self.now);
        host.now = now;
        let arg = |i: usize, default: f64| args.get(i).map_or(default, |a| a.parse().unwrap());
        match step_name {
            "on" => s.start(host, now),
            "at" => self.now = 100.0 + arg(0, 0.0),
            "list" | "change" => {
                let entries: Vec<ListEntry> = args
                    .iter()
                    .map(|a| {
                        let id = a.trim_end_matches(char::is_alphabetic).parse().unwrap();
                        match a.chars().last().unwrap() {
                            'd' => entry(id, ListState::Draining, 0.0),
                            'g' => entry(id, ListState::Gone, 0.0),
                            'n' => entry(id, ListState::Ready, now),
                            _ => entry(id, ListState::Ready, 0.0),
                        }
                    })
                    .collect();
                s.on_list_update(
                    host,
                    now,
                    if step_name == "list" {
                        ListUpdate::Full(&entries)
                    } else {
                        ListUpdate::Changes(&entries)
                    },
                );
            }
            "list-failed" => s.on_list_update(host, now, ListUpdate::Failed),
            "call" => {
                let (id, customer) = (arg(0, 0.0) as u64, arg(2, 0.0) as usize);
                let wu = WorkUnit::new(
                    id,
                    arg(1, 0.0) as usize,
                    Some(customer),
                    arg(3, 1.0),
                    now,
                    3.2,
                );
                self.work_units.insert(id, wu.clone());
                s.on_arrival(host, now, &wu);
            }
            "start" => {
                let attempt = self.attempt(args[0]);
                self.scheduler.on_start(&mut self.host, now, &attempt);
            }
            "end" => {
                let attempt = self.attempt(args[0]);
                let outcome = match args[1] {
                    "ok" => Outcome::Completed,
                    "error" => Outcome::Error,
                    "full" => Outcome::Full,
                    "timeout" => Outcome::TimedOut,
                    "down" => Outcome::NoConnection,
                    "reset" => Outcome::Dropped,
                    "recalled" => Outcome::Recalled,
                    "moot" => Outcome::Moot,
                    other => panic!("no outcome {other}"),
                };
                let ended = args.get(2).is_some() || outcome == Outcome::Completed;
                self.scheduler
                    .on_outcome(&mut self.host, now, &attempt, outcome, ended);
            }
            "client-gone" => s.on_client_gone(host, now, &self.work_units[&(arg(0, 0.0) as u64)]),
            "report" => {
                let report = LoadReport {
                    free_slots: Some(arg(1, 0.0)),
                };
                s.worker(arg(0, 0.0) as u64)
                    .unwrap()
                    .record_report(now, report);
            }
            "peer" => {
                let key = |id: &str| entry(id.parse().unwrap(), ListState::Ready, 0.0).peer_key();
                let slots_held = args[2..]
                    .chunks(2)
                    .map(|c| (key(c[0]), c[1].parse().unwrap()))
                    .collect();
                let message = PeerMessage {
                    sent_at: now - arg(1, 0.0),
                    slots_held,
                };
                s.on_peer_message(now, arg(0, 0.0) as usize, &message.encode());
            }
            "no-peers" => {
                let types = self.types.iter().cloned().enumerate();
                let types: Vec<ProjectTypeUpdate> = types
                    .map(|(number, project_type)| ProjectTypeUpdate {
                        number,
                        predecessor: Some(number),
                        project_type,
                    })
                    .collect();
                let retry_policy = RetryPolicy {
                    parallel_attempts: false,
                    may_cancel: true,
                    max_attempts: 3,
                };
                s.reconfigure(
                    &types,
                    retry_policy,
                    (0.1, 2.0),
                    Costs {
                        cross_zone: 0.02,
                        peer_message: None,
                    },
                );
            }
            "wake" => s.on_timer(host, now),
            other => panic!("no step {other}"),
        }
    }
}
