//! One play of a scenario: starts all parts, follows the script, ends all, and hands what was seen to the audit.

use crate::audit::{Verdict, audit};
use crate::chance::Chance;
use crate::clients::Clients;
use crate::list::{List, State};
use crate::processes::{Net, Processes};
use crate::relay::Relays;
use crate::sample::{Sample, Sampler};
use crate::scenario::{Deed, Scenario};
use crate::seen::{Book, Seen};
use crate::workers::Workers;
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What came of it.
pub struct Played {
    pub verdict: Verdict,
    pub story: String,
    pub seen: Seen,
    /// Words and bytes a second that each process sent.
    pub words: Vec<(f64, f64)>,
    /// What the processes said of themselves, where that was asked for.
    pub samples: Vec<Sample>,
}

/// The list tells of a worker that is gone, or back, this much later.
const LIST: f64 = 0.2;

/// Plays it with this program, keeping files and logs in the folder. `progress` is told where it stands.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    program: &Path,
    folder: &Path,
    samples: bool,
    mut progress: impl FnMut(&str),
) -> Result<Played, String> {
    let io = |what: &str| {
        let what = what.to_string();
        move |e: std::io::Error| format!("{what}: {e}")
    };
    std::fs::create_dir_all(folder).map_err(io(&folder.display().to_string()))?;
    let net = Net::take()?;
    let at: Vec<Vec<SocketAddr>> = scenario
        .workers()
        .enumerate()
        .map(|(worker, _)| {
            (0..scenario.processes)
                .map(|p| net.worker(worker, p))
                .collect()
        })
        .collect();
    // Moments are counted from here, and in the end from when all serve.
    let book = Book::new(Instant::now());
    let list = List::new(scenario, at.clone(), book.clone());
    for process in 0..scenario.processes {
        list.listen(process, net.list(process))
            .map_err(io("list"))?;
    }
    let (tell, told) = channel();
    let workers = Workers::new(scenario, seed, at, book.clone()).map_err(io("workers"))?;
    let workers = std::thread::spawn(move || workers.play(told));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.map_err(io("runtime"))?;
    let relays = Relays::start(scenario.processes, seed, scenario.words, &net);
    let relays = runtime.block_on(relays).map_err(io("relays"))?;
    let mut processes = Processes::new(scenario, seed, program, folder, &net, book.clone());
    let first = scenario.started.unwrap_or(scenario.processes);
    (0..first).try_for_each(|process| processes.start(process))?;
    processes.ready()?;
    let began = book.now();
    progress(&format!("{first} processes serve"));

    let sampler = samples.then(|| Sampler::start(scenario.processes, &net, book.clone()));
    let clients = (0..scenario.processes).map(|p| net.process(p)).collect();
    let clients = Clients::new(scenario, seed, clients, book.clone(), began);
    for (i, demand) in scenario.demand.iter().enumerate() {
        let chance = Chance::new(seed.wrapping_mul(31) + i as u64);
        runtime.spawn(
            clients
                .clone()
                .play(demand.clone(), scenario.seconds, chance),
        );
    }
    let mut faults = scenario.faults.clone();
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut faults = faults.into_iter().peekable();
    let mut listed: Vec<(f64, String, State)> = Vec::new();
    let mut said = 0.0;
    loop {
        let now = book.now() - began;
        while let Some(fault) = faults.next_if(|fault| fault.at <= now) {
            book.mark(fault.deed.shown());
            act(&fault.deed, now, &mut processes, &list, &mut listed)?;
            relays.take(&fault.deed);
            tell.send(fault.deed).ok();
        }
        listed.retain(|(at, zone, state)| {
            let due = *at <= now;
            if due {
                let started = (*state == State::Serving).then(|| unix_ms() - (LIST * 1e3) as u64);
                list.change(zone, *state, started);
            }
            !due
        });
        processes.look();
        if now >= scenario.seconds {
            break;
        }
        if now >= said + 5.0 {
            said = now;
            let seen = book.seen();
            progress(&format!(
                "{now:.0} of {} s, {} work units",
                scenario.seconds,
                seen.asked.len()
            ));
        }
        let next = faults
            .peek()
            .map_or(scenario.seconds, |f| f.at)
            .min(now + 0.02);
        std::thread::sleep(Duration::from_secs_f64((next - now).max(0.001)));
    }
    // What was asked last is answered, or late.
    let longest = scenario
        .types
        .iter()
        .map(|t| t.hard_limit)
        .fold(0.0, f64::max);
    std::thread::sleep(Duration::from_secs_f64(longest + 0.3));
    let samples = sampler
        .map(|sampler| sampler.end(began))
        .unwrap_or_default();
    let counts = relays.counts();
    let seconds = book.now() - began;
    let left = processes.end();
    drop(tell);
    workers
        .join()
        .map_err(|_| "the workers ended early")?
        .map_err(io("workers"))?;
    runtime.shutdown_timeout(Duration::from_secs(1));
    let mut seen = book.seen().clone();
    seen.shift(began);
    let (mut verdict, story) = audit(scenario, seed, &seen);
    (verdict.processes_left, verdict.crashed) = (left, processes.crashed);
    let words = counts
        .iter()
        .map(|(words, bytes)| (*words as f64 / seconds, *bytes as f64 / seconds));
    Ok(Played {
        verdict,
        story,
        seen,
        words: words.collect(),
        samples,
    })
}

/// What of a fault is the processes' and the list's; the workers hear of all.
fn act(
    deed: &Deed,
    now: f64,
    processes: &mut Processes,
    list: &List,
    listed: &mut Vec<(f64, String, State)>,
) -> Result<(), String> {
    let signal = match deed {
        Deed::Kill { who } => Some((who, Signal::SIGKILL)),
        Deed::Term { who } => Some((who, Signal::SIGTERM)),
        Deed::Stop { who } => Some((who, Signal::SIGSTOP)),
        Deed::Go { who } => Some((who, Signal::SIGCONT)),
        _ => None,
    };
    signal
        .into_iter()
        .for_each(|(who, signal)| who.iter().for_each(|p| processes.signal(*p, signal)));
    match deed {
        Deed::Whole {
            who,
            budget,
            rate,
            burst,
        } => {
            who.iter()
                .try_for_each(|p| processes.retune(*p, budget, *rate, *burst))?;
        }
        Deed::Start { who } => who.iter().try_for_each(|p| processes.start(*p))?,
        Deed::Down { zone } => listed.push((now + LIST, zone.clone(), State::Deleted)),
        Deed::Up { zone } => listed.push((now + LIST, zone.clone(), State::Serving)),
        Deed::Drain { zone, on } => {
            list.change(
                zone,
                if *on { State::Draining } else { State::Serving },
                None,
            );
        }
        _ => {}
    }
    Ok(())
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}
