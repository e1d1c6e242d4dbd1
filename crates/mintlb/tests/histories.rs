//! Thousands of jobs over workers that do all that a worker may do wrong, in virtual time, and what was seen of
//! them outside: audited without a look into the program.

mod world;

use mintlb_scheduler::ListState::{Draining, Ready};
use mintlb_scheduler::util::Rng;
use std::collections::{BTreeMap, BTreeSet};
use world::World;

const MACHINES: u8 = 6;
const TUBES: [&str; 3] = ["lookup", "create", "charge"];
/// The settings' hard limit, and a longest step of this test between two looks.
const HARD: f64 = 3.0;
const STEP: f64 = 0.05;

/// What was seen of one job from outside.
#[derive(Default)]
struct Seen {
    tube: usize,
    taken: f64,
    delay: f64,
    /// When and at which machine it was given to a worker.
    given: Vec<(f64, u8)>,
    withdrawn: bool,
    kicks: usize,
    ended: Option<f64>,
}

#[derive(Default)]
struct Audit {
    jobs: BTreeMap<u64, Seen>,
    drained: BTreeMap<u8, f64>,
    after_drain: u64,
}

impl Audit {
    fn given(&mut self, id: u64, now: f64, machine: u8) {
        // Told of the drain before this step began, it has heard of it by now.
        self.after_drain += u64::from(self.drained.get(&machine).is_some_and(|at| *at < now));
        self.jobs.entry(id).or_default().given.push((now, machine));
    }

    /// Lost, ended twice, late, doubled, after a drain.
    fn verdict(&self, world: &World) -> [u64; 5] {
        let mut verdict = [0, 0, 0, 0, self.after_drain];
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.taken > 0.0) {
            let answers = world.answers.get(id).map_or(0, Vec::len);
            verdict[0] += u64::from(answers < 1 + job.kicks && !job.withdrawn);
            verdict[1] += u64::from(answers > 1 + job.kicks);
            verdict[2] += u64::from(
                job.ended
                    .is_some_and(|at| at > job.taken + job.delay + HARD + STEP),
            );
            let machines: BTreeSet<u8> = job.given.iter().map(|(_, machine)| *machine).collect();
            verdict[3] += match job.tube {
                0 => 0,
                // The receipts of one machine are taken to be its own.
                1 => machines.len().saturating_sub(1) as u64,
                _ => job.given.len().saturating_sub(1) as u64,
            };
        }
        verdict
    }
}

/// A worker's connection and the jobs that it holds, each with when it is next touched or done.
#[derive(Default)]
struct Hand {
    machine: u8,
    waits: bool,
    holds: Vec<(u64, f64)>,
    silent: bool,
}

/// What a peer was told, word by word; jobs are one word here.
fn words(world: &mut World, name: &str) -> Vec<String> {
    world.heard(name).split(' ').map(str::to_string).collect()
}

fn history(seed: u64, jobs: usize) -> (Audit, World) {
    let mut chance = Rng::new(seed);
    let mut pick = move |n: usize| (chance.uniform() * n as f64) as usize;
    let (mut world, mut audit) = (World::new("cold = false", &[], 100_000), Audit::default());
    let began = world.now;
    let mut hands: BTreeMap<String, Hand> = BTreeMap::new();
    let (mut named, mut put, mut buried, mut open) = (0, 0, Vec::new(), BTreeSet::new());
    while put < jobs || world.held() > 0 || world.now < began + 5.0 {
        // Producers: one that stays, and one that leaves after each put.
        for _ in 0..pick(4).min(jobs - put) {
            let (tube, delay, ttr) = (pick(3), if pick(20) == 0 { 1 } else { 0 }, 1 + pick(4));
            put += 1;
            let name = if pick(2) == 0 {
                "p".to_string()
            } else {
                format!("p{put}-1")
            };
            let bytes = format!(
                "use {}\r\nput {} {delay} {ttr} 1\r\nx\r\n",
                TUBES[tube],
                pick(2000)
            );
            // Cut off in the middle of a put, it is not taken.
            if pick(15) == 0 {
                let at = pick(bytes.len() - 1);
                world.send(&format!("c{put}-1"), &bytes.as_bytes()[..at]);
                assert!(!world.heard(&format!("c{put}-1")).contains("INSERTED"));
                world.cut(&format!("c{put}-1"));
            }
            world.send(&name, bytes.as_bytes());
            let id = words(&mut world, &name).last().unwrap().parse().unwrap();
            let job = audit.jobs.entry(id).or_default();
            (job.tube, job.taken, job.delay) = (tube, world.now, f64::from(delay));
            open.insert(id);
            if name != "p" {
                world.cut(&name);
            }
            if pick(40) == 0 {
                world.send("p", format!("delete {id}\r\n").as_bytes());
                audit.jobs.get_mut(&id).unwrap().withdrawn = world.heard("p") == "DELETED";
            }
        }
        // Kicked, a job is another work unit under the same number.
        if pick(4) == 0
            && let Some(id) = buried.pop()
        {
            world.send("p", format!("kick-job {id}\r\n").as_bytes());
            audit.jobs.get_mut(&id).unwrap().kicks += usize::from(world.heard("p") == "KICKED");
        }
        // Machines drain and come back.
        if pick(12) == 0 {
            let machine = 2 + pick(MACHINES as usize) as u8;
            let back = audit.drained.remove(&machine).is_some();
            if back {
                world.list(false, &[(machine, Ready, 0.0)]);
            } else if pick(3) == 0 {
                audit.drained.insert(machine, world.now);
                world.list(false, &[(machine, Draining, 0.0)]);
            }
        }
        // Workers come; each does one thing a step, good or bad.
        if hands.len() < 40 {
            named += 1;
            let machine = 2 + pick(MACHINES as usize) as u8;
            let name = format!("w{named}-{machine}");
            world.send(&name, b"watch lookup\r\nwatch create\r\nwatch charge\r\n");
            world.heard(&name);
            hands.insert(
                name,
                Hand {
                    machine,
                    ..Hand::default()
                },
            );
        }
        let names: Vec<String> = hands.keys().cloned().collect();
        for name in names {
            let hand = hands.get_mut(&name).unwrap();
            let said = words(&mut world, &name);
            for (n, word) in said.iter().enumerate() {
                if word == "RESERVED" {
                    let id: u64 = said[n + 1].parse().unwrap();
                    audit.given(id, world.now, hand.machine);
                    hand.holds
                        .push((id, world.now + 0.3 * pick(100) as f64 / 100.0));
                }
                if ["RESERVED", "TIMED_OUT", "DEADLINE_SOON"].contains(&&**word) {
                    hand.waits = false;
                }
            }
            if hand.silent {
                continue;
            }
            let due = hand
                .holds
                .iter()
                .position(|(_, at)| *at <= world.now && !hand.waits);
            if let Some((id, _)) = due.map(|at| hand.holds.swap_remove(at)) {
                let does = match pick(36) {
                    0 => format!("release {id} 0 0\r\n"),
                    1 => format!("release {id} 0 1\r\n"),
                    2 => {
                        buried.push(id);
                        format!("bury {id} 0\r\n")
                    }
                    3 | 4 => {
                        hand.holds.push((id, world.now + 0.8));
                        format!("touch {id}\r\n")
                    }
                    // Done long after, perhaps when it has ended.
                    5 => {
                        hand.holds.push((id, world.now + 2.0 + pick(3) as f64));
                        continue;
                    }
                    6 => {
                        hand.silent = true;
                        continue;
                    }
                    7 => {
                        world.cut(&name);
                        hands.remove(&name);
                        continue;
                    }
                    _ => format!("delete {id}\r\n"),
                };
                world.send(&name, does.as_bytes());
            } else if !hand.waits && (hand.holds.is_empty() || hand.holds.len() < 3 && pick(8) == 0)
            {
                hand.waits = true;
                let reserve = if pick(3) == 0 {
                    "reserve-with-timeout 1\r\n"
                } else {
                    "reserve\r\n"
                };
                world.send(&name, reserve.as_bytes());
            }
        }
        // The silent leave at last, their connections still open until then.
        if pick(10) == 0
            && let Some(name) = hands
                .iter()
                .find(|(_, hand)| hand.silent)
                .map(|(name, _)| name.clone())
        {
            world.cut(&name);
            hands.remove(&name);
        }
        world.pass(STEP * (1 + pick(10)) as f64 / 10.0);
        let now = world.now;
        open.retain(|id| {
            let ended = world.answers.contains_key(id);
            if ended {
                audit.jobs.get_mut(id).unwrap().ended = Some(now);
            }
            !ended
        });
    }
    (audit, world)
}

#[test]
fn whatever_workers_do_each_job_ends_once_and_runs_as_often_as_it_may() {
    let (mut taken, mut ends) = (0, [0; 3]);
    for seed in 1..=4 {
        let (audit, world) = history(seed, 1500);
        let totals = world.totals();
        let verdict = audit.verdict(&world);
        assert_eq!(
            verdict,
            [0, 0, 0, 0, 0],
            "seed {seed}: lost, twice, late, doubled, after a drain"
        );
        assert_eq!(
            totals.taken,
            totals.completed + totals.deferred + totals.aborted + totals.withdrawn,
            "seed {seed}"
        );
        taken += totals.taken;
        ends = [
            ends[0] + totals.completed,
            ends[1] + totals.deferred,
            ends[2] + totals.aborted,
        ];
    }
    // The faults did happen, and most work was done all the same.
    assert!(
        taken >= 6000 && ends.iter().all(|n| *n > 200) && ends[0] > taken / 2,
        "{taken}: {ends:?}"
    );
}
