//! A scheduler behind a door that writes down what is asked of it, driven by short scripts.

use mintlb_scheduler::decide::{FairShares, Fleet, ListPolling, Queues, RetryPolicy, Scheduler};
use mintlb_scheduler::peer_message::PeerMessage;
use mintlb_scheduler::util::Rng;
use mintlb_scheduler::{
    Allocation, Costs, DedupScope, Host, Idempotency, ListEntry, ListState, ListUpdate, Outcome,
    ProjectType, ProjectTypeUpdate, SlowStart,
};
use mintlb_scheduler::{LoadReport, ProjectTypeSet, WorkUnit, Worker};
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Default)]
pub struct Acts {
    pub said: Vec<String>,
    now: f64,
    /// What deferrals advised.
    pub come_back: Vec<f64>,
    /// When the timer was last asked for.
    pub wake: f64,
}

impl Host for Acts {
    fn allocate(&mut self, a: &Allocation) {
        self.said.push(format!(
            "send {}>{}",
            a.work_unit.upgrade().unwrap().id,
            a.worker.entry.id
        ));
    }
    fn cancel(&mut self, a: &Allocation) {
        self.said.push(format!(
            "recall {}.{}",
            a.work_unit.upgrade().unwrap().id,
            a.number
        ));
    }
    fn defer(&mut self, wu: &WorkUnit, come_back: f64) {
        self.come_back.push(come_back);
        self.said.push(format!("defer {}", wu.id));
    }
    fn abort(&mut self, wu: &WorkUnit) {
        self.said.push(format!("abort {}", wu.id));
    }
    fn probe(&mut self, w: &Worker) {
        self.said.push(format!("probe {}", w.entry.id));
    }
    fn request_worker_list(&mut self) {
        self.said.push("ask".into());
    }
    fn broadcast(&mut self, bytes: &[u8]) {
        let word = PeerMessage::decode(self.now, bytes).unwrap();
        let held: Vec<String> = word
            .slots_held
            .iter()
            .map(|(_, slots)| slots.to_string())
            .collect();
        self.said.push(format!("tell {}", held.join(" ")));
    }
    fn set_timer(&mut self, seconds: f64) {
        self.wake = seconds;
    }
    fn log(&mut self, _: &str) {}
}

pub struct World {
    pub scheduler: Scheduler,
    pub acts: Acts,
    pub now: f64,
    pub held: BTreeMap<u64, Rc<WorkUnit>>,
    types: Vec<ProjectType>,
}

pub const SPAN: f64 = 3.0;

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

/// Types: 0 rerunnable, 1 receipted in its cell, 2 exclusive, 3 receipted everywhere, 4 and 5 the same as
/// 1 and 3 with a window that soon closes. Customer 0 has ample quota, customer 1 next to none.
pub fn world(parallel_attempts: bool, on_request: bool) -> World {
    world_at(
        parallel_attempts,
        on_request,
        Costs {
            cross_zone: 0.02,
            peer_message: None,
        },
    )
}

/// The same where it costs this to cross zones, and to tell the other three schedulers.
pub fn world_at(parallel_attempts: bool, on_request: bool, costs: Costs) -> World {
    world_by(7, parallel_attempts, on_request, costs)
}

/// And with chance from another seed.
pub fn world_by(seed: u64, parallel_attempts: bool, on_request: bool, costs: Costs) -> World {
    let receipted = |scope, window| Idempotency::Deduplicated { scope, window };
    let types = [
        (1.0, Idempotency::Idempotent),
        (2.0, receipted(DedupScope::Cell, 2.0)),
        (10.0, Idempotency::NonIdempotent),
        (1.0, receipted(DedupScope::All, 2.0)),
        (1.0, receipted(DedupScope::Cell, 0.05)),
        (1.0, receipted(DedupScope::All, 0.05)),
    ];
    let types = types.map(|(c, e)| project_type(c, e)).to_vec();
    let cold = SlowStart {
        initial_share: 0.2,
        duration: 20.0,
        overload_multiple: 3.0,
        overload_window: SPAN,
        scheduler_count: 4.0,
    };
    let fleet = Fleet::new(cold, 0, true, costs, &types);
    let repeats = RetryPolicy {
        parallel_attempts,
        may_cancel: true,
        max_allocations: 3,
    };
    let chain = (
        FairShares::new(&[1e6, 1e-6]),
        Queues::new(types.clone(), 0.1, 2.0),
        repeats,
        fleet,
    );
    let scheduler = Scheduler::new(
        Rng::new(seed),
        chain,
        ListPolling {
            on_request,
            max_interval: 3.0,
            ..ListPolling::default()
        },
    );
    World {
        scheduler,
        acts: Acts::default(),
        now: 100.0,
        held: BTreeMap::new(),
        types,
    }
}

pub fn line(id: u64, state: ListState, started_at: f64) -> ListEntry {
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

impl World {
    /// Steps: `at T` (from 100 s), `list L..`, `change L..` (1 ready, 1d draining, 1g gone, 1n started
    /// anew), `call ID TYPE [CUSTOMER [SLOTS]]`, `start ID.N`, `back ID.N OUTCOME [ended]`, `left ID`,
    /// `wake`, `lost` (the list), `told WORKER SLOTS` (that are free), `hear SCHEDULER AGE WORKER SLOTS ..`,
    /// `hush` (new terms, without words). Workers 1 to 9 share a cell; those from
    /// 100 are in another zone than ours. Ties are broken by chance, from a fixed seed.
    pub fn run(&mut self, script: &str) -> String {
        for step in script.split(';') {
            let words: Vec<&str> = step.split_whitespace().collect();
            self.step(words[0], &words[1..]);
        }
        std::mem::take(&mut self.acts.said).join(", ")
    }

    fn alloc(&self, name: &str) -> Rc<Allocation> {
        let (id, n) = name.split_once('.').unwrap();
        self.held[&id.parse().unwrap()]
            .allocation(n.parse().unwrap())
            .unwrap()
    }

    fn step(&mut self, verb: &str, args: &[&str]) {
        let (s, acts, now) = (&mut self.scheduler, &mut self.acts, self.now);
        acts.now = now;
        let number = |i: usize, absent: f64| args.get(i).map_or(absent, |a| a.parse().unwrap());
        match verb {
            "on" => s.start(acts, now),
            "at" => self.now = 100.0 + number(0, 0.0),
            "list" | "change" => {
                let lines: Vec<ListEntry> = args
                    .iter()
                    .map(|a| {
                        let id = a.trim_end_matches(char::is_alphabetic).parse().unwrap();
                        match a.chars().last().unwrap() {
                            'd' => line(id, ListState::Draining, 0.0),
                            'g' => line(id, ListState::Gone, 0.0),
                            'n' => line(id, ListState::Ready, now),
                            _ => line(id, ListState::Ready, 0.0),
                        }
                    })
                    .collect();
                s.on_list_update(
                    acts,
                    now,
                    if verb == "list" {
                        ListUpdate::Full(&lines)
                    } else {
                        ListUpdate::Changes(&lines)
                    },
                );
            }
            "lost" => s.on_list_update(acts, now, ListUpdate::Failed),
            "call" => {
                let (id, customer) = (number(0, 0.0) as u64, number(2, 0.0) as usize);
                let wu = WorkUnit::new(
                    id,
                    number(1, 0.0) as usize,
                    Some(customer),
                    number(3, 1.0),
                    now,
                    3.2,
                );
                self.held.insert(id, wu.clone());
                s.on_arrival(acts, now, &wu);
            }
            "start" => {
                let alloc = self.alloc(args[0]);
                self.scheduler.on_start(&mut self.acts, now, &alloc);
            }
            "back" => {
                let alloc = self.alloc(args[0]);
                let outcome = match args[1] {
                    "ok" => Outcome::Completed,
                    "error" => Outcome::Error,
                    "full" => Outcome::Full,
                    "late" => Outcome::TimedOut,
                    "down" => Outcome::NoConnection,
                    "reset" => Outcome::Dropped,
                    "recalled" => Outcome::Recalled,
                    "moot" => Outcome::Moot,
                    other => panic!("no outcome {other}"),
                };
                let ended = args.get(2).is_some() || outcome == Outcome::Completed;
                self.scheduler
                    .on_outcome(&mut self.acts, now, &alloc, outcome, ended);
            }
            "left" => s.on_client_gone(acts, now, &self.held[&(number(0, 0.0) as u64)]),
            "told" => {
                let report = LoadReport {
                    free_slots: Some(number(1, 0.0)),
                };
                s.worker(number(0, 0.0) as u64)
                    .unwrap()
                    .record_report(now, report);
            }
            "hear" => {
                let key = |id: &str| line(id.parse().unwrap(), ListState::Ready, 0.0).peer_key();
                let slots_held = args[2..]
                    .chunks(2)
                    .map(|c| (key(c[0]), c[1].parse().unwrap()))
                    .collect();
                let word = PeerMessage {
                    sent_at: now - number(1, 0.0),
                    slots_held,
                };
                s.on_peer_message(now, number(0, 0.0) as usize, &word.encode());
            }
            "hush" => {
                let types = self.types.iter().cloned().enumerate();
                let types: Vec<ProjectTypeUpdate> = types
                    .map(|(number, project_type)| ProjectTypeUpdate {
                        number,
                        predecessor: Some(number),
                        project_type,
                    })
                    .collect();
                let repeats = RetryPolicy {
                    parallel_attempts: false,
                    may_cancel: true,
                    max_allocations: 3,
                };
                s.reconfigure(
                    &types,
                    repeats,
                    (0.1, 2.0),
                    Costs {
                        cross_zone: 0.02,
                        peer_message: None,
                    },
                );
            }
            "wake" => s.on_timer(acts, now),
            other => panic!("no step {other}"),
        }
    }
}
