//! Soak of keys, tenants and rate limits: an operator takes keys away, adds them, moves them and
//! changes limits, while processes are killed, frozen, restarted and asked to end.
//!
//! Checked: no worker sees a key; each request is of the tenant that held its key; a key that was
//! taken away is not served, and a valid one is not refused, once the change had its time to
//! spread; no tenant exceeds its limit in any window, and none below it is turned away in a part
//! without faults; jobs are their tenant's alone; the configuration is read back as it was sent.

mod calls;
mod checks;
mod configuration;
mod evidence;
mod jobs;
mod limits;
mod live_requests;
mod operator;

use crate::cluster::faults::Faults;
use crate::cluster::machine::Role;
use crate::cluster::network::Network;
use crate::cluster::{ClusterSize, SoakCluster};
use crate::tier::wait_until_ready;
use crate::workers::{KEY_MARKER, Workers};
use calls::{Call, ClientContext, Purpose};
use configuration::{History, JOB_TENANTS, SPREAD_TIME, TENANTS};
use evidence::{Evidence, FailureReport};
use operator::Operator;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Seeds of this soak have networks of their own.
const NETWORK_OFFSET: u64 = 2000;
const START_TIME: Duration = Duration::from_secs(40);
/// Buckets fill from the start of their owners, the slowest one's in this time.
const FILL_TIME: Duration = Duration::from_millis(3200);
const CALM_TIME: Duration = Duration::from_millis(3000);
/// Faults begin and configurations change in this time.
const FAULT_TIME: Duration = Duration::from_secs(7);
const RECOVERY_TIME: Duration = Duration::from_secs(40);
/// The last change has spread, and clients go on a little by it.
const LAST_TIME: Duration = SPREAD_TIME.saturating_add(Duration::from_millis(500));

/// Plays the faults of one seed.
pub async fn soak(seed: u64, size: ClusterSize) {
    let network = Network::new(NETWORK_OFFSET + seed);
    let history = Arc::new(Mutex::new(History::default()));
    let mut cluster = SoakCluster::start(network, size);
    let report = FailureReport {
        seed,
        began: Instant::now(),
        history: history.clone(),
        fault_log: cluster.fault_log.clone(),
    };
    let controllers = cluster.numbers(Role::Controller);
    let dispatchers = cluster.numbers(Role::Dispatcher);
    let mut operator = Operator::new(network, &controllers, history.clone(), seed);
    operator.send_first_configuration().await;
    let workers = Workers::start(network, controllers, seed);
    wait_until_ready(network, &dispatchers, START_TIME).await;

    let context = ClientContext {
        network,
        dispatchers: dispatchers.clone(),
        newest: cluster.newest.clone(),
        history: history.clone(),
        calls: Arc::default(),
        is_calm: Arc::new(AtomicBool::new(true)),
        is_greedy: Arc::default(),
        stop: Arc::default(),
        seed,
    };
    let mut clients = live_requests::start(&context);
    clients.extend(jobs::start(&context));
    sleep(FILL_TIME).await;
    let calm_began = Instant::now();
    context.is_greedy.store(true, Relaxed);
    sleep(CALM_TIME).await;
    let calm = (calm_began, Instant::now());

    context.is_calm.store(false, Relaxed);
    let changes = tokio::spawn(operator.change_repeatedly(FAULT_TIME));
    Faults::new(seed).play(&mut cluster, FAULT_TIME).await;
    wait_until_ready(network, &dispatchers, RECOVERY_TIME).await;
    let operator = changes.await.unwrap();
    context.is_greedy.store(false, Relaxed);
    sleep(LAST_TIME).await;
    context.stop.store(true, Relaxed);
    for client in clients {
        client.await.unwrap();
    }
    operator.check_read().await;

    let (runs, calls) = (workers.runs.lock(), context.calls.lock());
    let freezes = cluster.fault_log.lock().freezes.clone();
    let mut violations = Vec::new();
    let extent = {
        let history = history.lock();
        let evidence = Evidence {
            calls: &calls,
            arrivals: runs.arrivals(),
            history: &history,
            freezes: &freezes,
            calm,
        };
        checks::check_arrivals(&evidence, &mut violations);
        checks::check_answers(&evidence, &mut violations);
        let (sent, rejected) = limits::check_calm(&evidence, &mut violations);
        let worst = limits::check_windows(&evidence, &mut violations);
        format!(
            "{} arrivals, {} configurations, {} calls with former keys refused; in calm {rejected} \
             of {sent} got 429; worst window {worst:.2} of its limit",
            evidence.arrivals.len(),
            history.versions.len(),
            checks::refused_former_keys(&evidence),
        )
    };
    report.check(violations);
    for machine in &cluster.machines {
        let has_key = machine.log().contains(KEY_MARKER);
        assert!(!has_key, "seed {seed}: {machine} has logged a key");
    }
    print_summary(seed, &calls, &extent);
}

/// Prints what a run has done, and checks that each rule was put to the test.
fn print_summary(seed: u64, calls: &[Call], extent: &str) {
    let count = |is_job: bool, status: u16| {
        let calls = calls.iter().filter(|call| {
            (call.purpose != Purpose::Live) == is_job && call.status == Some(status)
        });
        calls.count()
    };
    println!(
        "seed {seed}: {} calls, {extent}; live: 200 {}, 401 {}, 429 {}, 503 {}; jobs: 202 {}, 200 {}, \
         401 {}, 403 {}",
        calls.len(),
        count(false, 200),
        count(false, 401),
        count(false, 429),
        count(false, 503),
        count(true, 202),
        count(true, 200),
        count(true, 401),
        count(true, 403),
    );
    for (is_job, status) in [
        (false, 200),
        (false, 401),
        (false, 429),
        (true, 202),
        (true, 403),
    ] {
        assert!(
            count(is_job, status) > 0,
            "seed {seed}: no {status}, jobs {is_job}"
        );
    }
    for (tenant, _) in &TENANTS[..JOB_TENANTS] {
        let mut submitted = calls.iter().filter(|call| {
            call.client == *tenant && call.purpose == Purpose::Submit && call.status == Some(202)
        });
        assert!(
            submitted.next().is_some(),
            "seed {seed}: no job of {tenant}"
        );
    }
}
