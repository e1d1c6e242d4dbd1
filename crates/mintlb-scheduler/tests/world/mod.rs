//! A scheduler behind a door that writes down what is asked of it, driven by short scripts.

use mintlb_scheduler::decide::{Buffers, Fleet, Follow, Repeats, Scheduler, Shares};
use mintlb_scheduler::tools::Chance;
use mintlb_scheduler::word::Word;
use mintlb_scheduler::{
    Allocation, ColdRule, Costs, Door, Effect, Group, Line, Listed, News, Numbered, Outcome,
    ProjectType,
};
use mintlb_scheduler::{Report, Runs, WorkUnit, Worker};
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

impl Door for Acts {
    fn allocate(&mut self, a: &Allocation) {
        self.said.push(format!(
            "send {}>{}",
            a.wu.upgrade().unwrap().id,
            a.worker.line.id
        ));
    }
    fn recall(&mut self, a: &Allocation) {
        self.said.push(format!(
            "recall {}.{}",
            a.wu.upgrade().unwrap().id,
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
        self.said.push(format!("probe {}", w.line.id));
    }
    fn follow_list(&mut self) {
        self.said.push("ask".into());
    }
    fn tell(&mut self, bytes: &[u8]) {
        let word = Word::read(self.now, bytes).unwrap();
        let held: Vec<String> = word
            .holds
            .iter()
            .map(|(_, slots)| slots.to_string())
            .collect();
        self.said.push(format!("tell {}", held.join(" ")));
    }
    fn wake_in(&mut self, seconds: f64) {
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

fn project_type(credit: f64, effect: Effect) -> ProjectType {
    let (promised_turnaround, hard_limit) = (0.2, 3.2);
    ProjectType {
        credit,
        late_credit: 0.0,
        promised_turnaround,
        stretch: 0.0,
        hard_limit,
        effect,
        kind: None,
    }
}

/// Types: 0 rerunnable, 1 receipted in its cell, 2 exclusive, 3 receipted everywhere, 4 and 5 the same as
/// 1 and 3 with a window that soon closes. Customer 0 has ample quota, customer 1 next to none.
pub fn world(parallel: bool, on_request: bool) -> World {
    world_at(
        parallel,
        on_request,
        Costs {
            crossing: 0.02,
            message: None,
        },
    )
}

/// The same where it costs this to cross zones, and to tell the other three schedulers.
pub fn world_at(parallel: bool, on_request: bool, costs: Costs) -> World {
    world_by(7, parallel, on_request, costs)
}

/// And with chance from another seed.
pub fn world_by(seed: u64, parallel: bool, on_request: bool, costs: Costs) -> World {
    let receipted = |group, window| Effect::Receipted { group, window };
    let types = [
        (1.0, Effect::Rerunnable),
        (2.0, receipted(Group::Cell, 2.0)),
        (10.0, Effect::Exclusive),
        (1.0, receipted(Group::All, 2.0)),
        (1.0, receipted(Group::Cell, 0.05)),
        (1.0, receipted(Group::All, 0.05)),
    ];
    let types = types.map(|(c, e)| project_type(c, e)).to_vec();
    let cold = ColdRule {
        from: 0.2,
        warm_after: 20.0,
        multiple: 3.0,
        span: SPAN,
        among: 4.0,
    };
    let fleet = Fleet::new(cold, 0, true, costs, &types);
    let repeats = Repeats {
        parallel,
        may_recall: true,
        most_allocations: 3,
    };
    let chain = (
        Shares::new(&[1e6, 1e-6]),
        Buffers::new(types.clone(), 0.1, 2.0),
        repeats,
        fleet,
    );
    let scheduler = Scheduler::new(
        Chance::new(seed),
        chain,
        Follow {
            on_request,
            ask_within: 3.0,
            ..Follow::default()
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

pub fn line(id: u64, listed: Listed, came_up: f64) -> Line {
    Line {
        id,
        zone: (id / 100) as u16,
        cell: id / 10,
        kind: 0,
        listed,
        came_up,
        runs: Runs::default(),
        fetches: false,
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
            "on" => s.power_on(acts, now),
            "at" => self.now = 100.0 + number(0, 0.0),
            "list" | "change" => {
                let lines: Vec<Line> = args
                    .iter()
                    .map(|a| {
                        let id = a.trim_end_matches(char::is_alphabetic).parse().unwrap();
                        match a.chars().last().unwrap() {
                            'd' => line(id, Listed::Draining, 0.0),
                            'g' => line(id, Listed::Gone, 0.0),
                            'n' => line(id, Listed::Ready, now),
                            _ => line(id, Listed::Ready, 0.0),
                        }
                    })
                    .collect();
                s.news(
                    acts,
                    now,
                    if verb == "list" {
                        News::Full(&lines)
                    } else {
                        News::Changes(&lines)
                    },
                );
            }
            "lost" => s.news(acts, now, News::Failed),
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
                s.arrived(acts, now, &wu);
            }
            "start" => {
                let alloc = self.alloc(args[0]);
                self.scheduler.started(&mut self.acts, now, &alloc);
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
                    .came_back(&mut self.acts, now, &alloc, outcome, ended);
            }
            "left" => s.left(acts, now, &self.held[&(number(0, 0.0) as u64)]),
            "told" => {
                let report = Report {
                    free_slots: Some(number(1, 0.0)),
                };
                s.worker(number(0, 0.0) as u64).unwrap().told(now, report);
            }
            "hear" => {
                let key = |id: &str| line(id.parse().unwrap(), Listed::Ready, 0.0).key();
                let holds = args[2..]
                    .chunks(2)
                    .map(|c| (key(c[0]), c[1].parse().unwrap()))
                    .collect();
                let word = Word {
                    sent: now - number(1, 0.0),
                    holds,
                };
                s.told(now, number(0, 0.0) as usize, &word.write());
            }
            "hush" => {
                let types = self.types.iter().cloned().enumerate();
                let types: Vec<Numbered> = types
                    .map(|(number, project_type)| Numbered {
                        number,
                        continues: Some(number),
                        project_type,
                    })
                    .collect();
                let repeats = Repeats {
                    parallel: false,
                    may_recall: true,
                    most_allocations: 3,
                };
                s.retune(
                    &types,
                    repeats,
                    (0.1, 2.0),
                    Costs {
                        crossing: 0.02,
                        message: None,
                    },
                );
            }
            "wake" => s.woke(acts, now),
            other => panic!("no step {other}"),
        }
    }
}
