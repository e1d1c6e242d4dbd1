//! Runs a scenario: starts all components, injects the scheduled faults, shuts everything down and audits the
//! observations.

use crate::audit::{Verdict, audit};
use crate::clients::Clients;
use crate::list_service::{ListService, WorkerState};
use crate::observations::{Observations, Recorder};
use crate::processes::{LoopbackNetwork, Processes};
use crate::relay::DatagramRelays;
use crate::rng::Rng;
use crate::sample::{Sample, Sampler};
use crate::scenario::{FaultAction, Scenario};
use crate::workers::Workers;
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The outcome of a run.
pub struct RunResult {
    pub verdict: Verdict,
    /// Description of each violation; empty if there is none.
    pub violations: String,
    /// Times are relative to when all initially started processes were ready.
    pub observations: Observations,
    /// Datagrams and bytes per second that each process sent.
    pub datagram_rates: Vec<(f64, f64)>,
    /// Sampled metrics of the processes; empty unless sampling was requested.
    pub samples: Vec<Sample>,
}

/// Delay after which the list service reports that a worker has stopped or restarted.
const LIST_DELAY_S: f64 = 0.2;

/// Runs a scenario with this program. Configuration files and logs are written to `directory`; `sample_metrics` enables
/// sampling for the report; `progress` receives lines about the state of the run.
pub fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    program: &Path,
    directory: &Path,
    sample_metrics: bool,
    mut progress: impl FnMut(&str),
) -> Result<RunResult, String> {
    let io_error = |context: &str| {
        let context = context.to_string();
        move |e: std::io::Error| format!("{context}: {e}")
    };
    std::fs::create_dir_all(directory).map_err(io_error(&directory.display().to_string()))?;
    let network = LoopbackNetwork::acquire()?;
    let worker_addresses: Vec<Vec<SocketAddr>> = scenario
        .workers()
        .enumerate()
        .map(|(worker, _)| {
            (0..scenario.processes)
                .map(|p| network.worker_address(worker, p))
                .collect()
        })
        .collect();
    // Times are relative to this moment until they are rebased to when all processes were ready.
    let recorder = Recorder::new(Instant::now());
    let list_service = ListService::new(scenario, worker_addresses.clone(), recorder.clone());
    for process in 0..scenario.processes {
        list_service
            .listen(process, network.list_service_address(process))
            .map_err(io_error("list service"))?;
    }
    let (action_sender, action_receiver) = channel();
    let workers = Workers::new(scenario, seed, worker_addresses, recorder.clone())
        .map_err(io_error("workers"))?;
    let workers = std::thread::spawn(move || workers.run(action_receiver));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.map_err(io_error("runtime"))?;
    let relays = DatagramRelays::start(scenario.processes, seed, scenario.link, &network);
    let relays = runtime.block_on(relays).map_err(io_error("relays"))?;
    let mut processes = Processes::new(
        scenario,
        seed,
        program,
        directory,
        &network,
        recorder.clone(),
    );
    let initial = scenario.initially_started.unwrap_or(scenario.processes);
    (0..initial).try_for_each(|process| processes.start(process))?;
    processes.wait_until_ready()?;
    let started_at = recorder.now();
    progress(&format!("{initial} processes are ready"));

    let sampler =
        sample_metrics.then(|| Sampler::start(scenario.processes, &network, recorder.clone()));
    let addresses = (0..scenario.processes)
        .map(|p| network.client_address(p))
        .collect();
    let clients = Clients::new(scenario, seed, addresses, recorder.clone(), started_at);
    for (i, demand) in scenario.demand.iter().enumerate() {
        let rng = Rng::new(seed.wrapping_mul(31) + i as u64);
        runtime.spawn(
            clients
                .clone()
                .generate(demand.clone(), scenario.duration_s, rng),
        );
    }
    let mut faults = scenario.faults.clone();
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut faults = faults.into_iter().peekable();
    let mut list_changes: Vec<(f64, String, WorkerState)> = Vec::new();
    let mut reported_at = 0.0;
    loop {
        let now = recorder.now() - started_at;
        while let Some(fault) = faults.next_if(|fault| fault.at <= now) {
            recorder.record_event(fault.action.describe());
            apply(
                &fault.action,
                now,
                &mut processes,
                &list_service,
                &mut list_changes,
            )?;
            relays.apply(&fault.action);
            action_sender.send(fault.action).ok();
        }
        list_changes.retain(|(at, zone, state)| {
            let due = *at <= now;
            if due {
                let started_ms = (*state == WorkerState::Serving)
                    .then(|| unix_ms() - (LIST_DELAY_S * 1e3) as u64);
                list_service.set_zone_state(zone, *state, started_ms);
            }
            !due
        });
        processes.reap_exited();
        if now >= scenario.duration_s {
            break;
        }
        if now >= reported_at + 5.0 {
            reported_at = now;
            let observations = recorder.observations();
            progress(&format!(
                "{now:.0} of {} s, {} work units submitted",
                scenario.duration_s,
                observations.requests.len()
            ));
        }
        let next = faults
            .peek()
            .map_or(scenario.duration_s, |f| f.at)
            .min(now + 0.02);
        std::thread::sleep(Duration::from_secs_f64((next - now).max(0.001)));
    }
    // Waits until the last requests are answered or late.
    let max_hard_limit = scenario
        .project_types
        .iter()
        .map(|t| t.hard_limit)
        .fold(0.0, f64::max);
    std::thread::sleep(Duration::from_secs_f64(max_hard_limit + 0.3));
    let samples = sampler
        .map(|sampler| sampler.stop(started_at))
        .unwrap_or_default();
    let counts = relays.counts();
    let duration_s = recorder.now() - started_at;
    let left = processes.shut_down();
    drop(action_sender);
    workers
        .join()
        .map_err(|_| "the worker thread panicked")?
        .map_err(io_error("workers"))?;
    runtime.shutdown_timeout(Duration::from_secs(1));
    let mut observations = recorder.observations().clone();
    observations.rebase(started_at);
    let (mut verdict, violations) = audit(scenario, seed, &observations);
    (verdict.processes_left, verdict.crashed) = (left, processes.crashed);
    let datagram_rates = counts
        .iter()
        .map(|(datagrams, bytes)| (*datagrams as f64 / duration_s, *bytes as f64 / duration_s));
    Ok(RunResult {
        verdict,
        violations,
        observations,
        datagram_rates: datagram_rates.collect(),
        samples,
    })
}

/// Applies an action to the processes and the list service. Workers and relays receive every action themselves.
fn apply(
    action: &FaultAction,
    now: f64,
    processes: &mut Processes,
    list_service: &ListService,
    list_changes: &mut Vec<(f64, String, WorkerState)>,
) -> Result<(), String> {
    let signal = match action {
        FaultAction::Kill { targets } => Some((targets, Signal::SIGKILL)),
        FaultAction::Term { targets } => Some((targets, Signal::SIGTERM)),
        FaultAction::Stop { targets } => Some((targets, Signal::SIGSTOP)),
        FaultAction::Continue { targets } => Some((targets, Signal::SIGCONT)),
        _ => None,
    };
    signal
        .into_iter()
        .for_each(|(targets, signal)| targets.iter().for_each(|p| processes.signal(*p, signal)));
    match action {
        FaultAction::SetBudget {
            targets,
            budget,
            rate,
            burst,
        } => {
            targets
                .iter()
                .try_for_each(|p| processes.set_budget(*p, budget, *rate, *burst))?;
        }
        FaultAction::Start { targets } => targets.iter().try_for_each(|p| processes.start(*p))?,
        FaultAction::Down { zone } => {
            list_changes.push((now + LIST_DELAY_S, zone.clone(), WorkerState::Deleted))
        }
        FaultAction::Up { zone } => {
            list_changes.push((now + LIST_DELAY_S, zone.clone(), WorkerState::Serving))
        }
        FaultAction::Drain { zone, enabled } => {
            list_service.set_zone_state(
                zone,
                if *enabled {
                    WorkerState::Draining
                } else {
                    WorkerState::Serving
                },
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
