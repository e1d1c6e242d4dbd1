//! Thousands of random jobs in virtual time, with workers that fail in every way. The audit uses only what
//! producers and workers observe, not the program's state.

mod virtual_time;

use mintlb_scheduler::ListState::{Draining, Ready};
use mintlb_scheduler::util::Rng;
use std::collections::{BTreeMap, BTreeSet};
use virtual_time::Simulation;

const MACHINES: u8 = 6;
const TUBES: [&str; 3] = ["lookup", "create", "charge"];
/// The project types' hard limit.
const HARD_LIMIT_S: f64 = 3.0;
/// The longest step of the simulation between two observations.
const MAX_STEP_S: f64 = 0.05;

/// What producers and workers observed of one job.
#[derive(Default)]
struct JobRecord {
    tube: usize,
    /// When the put was accepted, in seconds of the clock.
    accepted: f64,
    /// The delay that the put asked for, in seconds.
    delay: f64,
    /// When and at which machine it was reserved.
    reservations: Vec<(f64, u8)>,
    withdrawn: bool,
    kicks: usize,
    /// When its end was observed, in seconds of the clock.
    ended: Option<f64>,
}

#[derive(Default)]
struct Audit {
    jobs: BTreeMap<u64, JobRecord>,
    drained_at: BTreeMap<u8, f64>,
    reserved_after_drain: u64,
}

impl Audit {
    fn reserved(&mut self, id: u64, now: f64, machine: u8) {
        // A drain that was announced before this step must be known by now.
        self.reserved_after_drain +=
            u64::from(self.drained_at.get(&machine).is_some_and(|at| *at < now));
        self.jobs
            .entry(id)
            .or_default()
            .reservations
            .push((now, machine));
    }

    /// The numbers of jobs that were lost, ended twice, ended late or executed twice, and of reservations after a
    /// drain.
    fn verdict(&self, sim: &Simulation) -> [u64; 5] {
        let mut verdict = [0, 0, 0, 0, self.reserved_after_drain];
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.accepted > 0.0) {
            let answers = sim.answers.get(id).map_or(0, Vec::len);
            verdict[0] += u64::from(answers < 1 + job.kicks && !job.withdrawn);
            verdict[1] += u64::from(answers > 1 + job.kicks);
            verdict[2] += u64::from(
                job.ended
                    .is_some_and(|at| at > job.accepted + job.delay + HARD_LIMIT_S + MAX_STEP_S),
            );
            let machines: BTreeSet<u8> = job
                .reservations
                .iter()
                .map(|(_, machine)| *machine)
                .collect();
            verdict[3] += match job.tube {
                0 => 0,
                // Executions at one machine are deduplicated by the idempotency key.
                1 => machines.len().saturating_sub(1) as u64,
                _ => job.reservations.len().saturating_sub(1) as u64,
            };
        }
        verdict
    }
}

/// A worker's connection, and the jobs that it has reserved, each with the time of its next action.
#[derive(Default)]
struct Worker {
    machine: u8,
    waiting: bool,
    reserved: Vec<(u64, f64)>,
    silent: bool,
}

/// The words that a peer has received. All job bodies of this test are one word.
fn received_words(sim: &mut Simulation, name: &str) -> Vec<String> {
    sim.take_received(name)
        .split(' ')
        .map(str::to_string)
        .collect()
}

/// Runs this many jobs, with all random choices from the seed.
fn simulate(seed: u64, jobs: usize) -> (Audit, Simulation) {
    let mut chance = Rng::new(seed);
    let mut pick = move |n: usize| (chance.uniform() * n as f64) as usize;
    let (mut sim, mut audit) = (
        Simulation::new("cold = false", &[], 100_000),
        Audit::default(),
    );
    let started_at = sim.now;
    let mut workers: BTreeMap<String, Worker> = BTreeMap::new();
    let (mut worker_count, mut put, mut buried, mut open) = (0, 0, Vec::new(), BTreeSet::new());
    while put < jobs || sim.open_requests() > 0 || sim.now < started_at + 5.0 {
        // Puts by a producer that stays, and by producers that disconnect after one put.
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
            // A producer that disconnects within a put has put no job.
            if pick(15) == 0 {
                let at = pick(bytes.len() - 1);
                sim.send(&format!("c{put}-1"), &bytes.as_bytes()[..at]);
                assert!(!sim.take_received(&format!("c{put}-1")).contains("INSERTED"));
                sim.disconnect(&format!("c{put}-1"));
            }
            sim.send(&name, bytes.as_bytes());
            let id = received_words(&mut sim, &name)
                .last()
                .unwrap()
                .parse()
                .unwrap();
            let job = audit.jobs.entry(id).or_default();
            (job.tube, job.accepted, job.delay) = (tube, sim.now, f64::from(delay));
            open.insert(id);
            if name != "p" {
                sim.disconnect(&name);
            }
            if pick(40) == 0 {
                sim.send("p", format!("delete {id}\r\n").as_bytes());
                audit.jobs.get_mut(&id).unwrap().withdrawn = sim.take_received("p") == "DELETED";
            }
        }
        // A kicked job is a new request with the same id.
        if pick(4) == 0
            && let Some(id) = buried.pop()
        {
            sim.send("p", format!("kick-job {id}\r\n").as_bytes());
            audit.jobs.get_mut(&id).unwrap().kicks +=
                usize::from(sim.take_received("p") == "KICKED");
        }
        // Machines drain and serve again.
        if pick(12) == 0 {
            let machine = 2 + pick(MACHINES as usize) as u8;
            let serves_again = audit.drained_at.remove(&machine).is_some();
            if serves_again {
                sim.update_machines(false, &[(machine, Ready, 0.0)]);
            } else if pick(3) == 0 {
                audit.drained_at.insert(machine, sim.now);
                sim.update_machines(false, &[(machine, Draining, 0.0)]);
            }
        }
        // New workers connect. In each step every worker does one thing, right or wrong.
        if workers.len() < 40 {
            worker_count += 1;
            let machine = 2 + pick(MACHINES as usize) as u8;
            let name = format!("w{worker_count}-{machine}");
            sim.send(&name, b"watch lookup\r\nwatch create\r\nwatch charge\r\n");
            sim.take_received(&name);
            workers.insert(
                name,
                Worker {
                    machine,
                    ..Worker::default()
                },
            );
        }
        let names: Vec<String> = workers.keys().cloned().collect();
        for name in names {
            let worker = workers.get_mut(&name).unwrap();
            let received = received_words(&mut sim, &name);
            for (n, word) in received.iter().enumerate() {
                if word == "RESERVED" {
                    let id: u64 = received[n + 1].parse().unwrap();
                    audit.reserved(id, sim.now, worker.machine);
                    worker
                        .reserved
                        .push((id, sim.now + 0.3 * pick(100) as f64 / 100.0));
                }
                if ["RESERVED", "TIMED_OUT", "DEADLINE_SOON"].contains(&&**word) {
                    worker.waiting = false;
                }
            }
            if worker.silent {
                continue;
            }
            let due = worker
                .reserved
                .iter()
                .position(|(_, at)| *at <= sim.now && !worker.waiting);
            if let Some((id, _)) = due.map(|at| worker.reserved.swap_remove(at)) {
                let command = match pick(36) {
                    0 => format!("release {id} 0 0\r\n"),
                    1 => format!("release {id} 0 1\r\n"),
                    2 => {
                        buried.push(id);
                        format!("bury {id} 0\r\n")
                    }
                    3 | 4 => {
                        worker.reserved.push((id, sim.now + 0.8));
                        format!("touch {id}\r\n")
                    }
                    // Deleted late, perhaps after its end.
                    5 => {
                        worker.reserved.push((id, sim.now + 2.0 + pick(3) as f64));
                        continue;
                    }
                    6 => {
                        worker.silent = true;
                        continue;
                    }
                    7 => {
                        sim.disconnect(&name);
                        workers.remove(&name);
                        continue;
                    }
                    _ => format!("delete {id}\r\n"),
                };
                sim.send(&name, command.as_bytes());
            } else if !worker.waiting
                && (worker.reserved.is_empty() || worker.reserved.len() < 3 && pick(8) == 0)
            {
                worker.waiting = true;
                let reserve = if pick(3) == 0 {
                    "reserve-with-timeout 1\r\n"
                } else {
                    "reserve\r\n"
                };
                sim.send(&name, reserve.as_bytes());
            }
        }
        // A silent worker disconnects in the end.
        if pick(10) == 0
            && let Some(name) = workers
                .iter()
                .find(|(_, worker)| worker.silent)
                .map(|(name, _)| name.clone())
        {
            sim.disconnect(&name);
            workers.remove(&name);
        }
        sim.advance(MAX_STEP_S * (1 + pick(10)) as f64 / 10.0);
        let now = sim.now;
        open.retain(|id| {
            let ended = sim.answers.contains_key(id);
            if ended {
                audit.jobs.get_mut(id).unwrap().ended = Some(now);
            }
            !ended
        });
    }
    (audit, sim)
}

#[test]
fn each_job_ends_once_and_runs_as_often_as_allowed() {
    let (mut accepted, mut ends) = (0, [0; 3]);
    for seed in 1..=4 {
        let (audit, sim) = simulate(seed, 1500);
        let totals = sim.totals();
        let verdict = audit.verdict(&sim);
        assert_eq!(
            verdict,
            [0, 0, 0, 0, 0],
            "seed {seed}: lost, ended twice, late, executed twice, reserved after a drain"
        );
        assert_eq!(
            totals.accepted,
            totals.completed + totals.deferred + totals.aborted + totals.withdrawn,
            "seed {seed}"
        );
        accepted += totals.accepted;
        ends = [
            ends[0] + totals.completed,
            ends[1] + totals.deferred,
            ends[2] + totals.aborted,
        ];
    }
    // The failures did happen, and most jobs were completed all the same.
    assert!(
        accepted >= 6000 && ends.iter().all(|n| *n > 200) && ends[0] > accepted / 2,
        "{accepted}: {ends:?}"
    );
}
