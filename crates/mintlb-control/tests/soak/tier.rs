//! Soak of the whole tier: clients, workers and an operator over HTTP.
//!
//! Checked: no request that was refused has run, none that may run once ran twice, every answer is
//! its own worker's, and no connection is closed on a request that was read, unless its process was
//! killed or frozen. Accepted jobs are completed and keep their positions, the quota holds, and an
//! acknowledged configuration is never lost, overruled by a rival or read in an older version.

use crate::batch_clients::{BatchClients, MAX_QUEUED_TOKENS};
use crate::cluster::faults::Faults;
use crate::cluster::machine::Role;
use crate::cluster::network::Network;
use crate::cluster::{ClusterSize, SoakCluster};
use crate::http;
use crate::live_clients::LiveClients;
use crate::operator::{ConfigurationTerms, Operator};
use crate::workers::Workers;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Seeds of this soak have networks of their own.
const NETWORK_OFFSET: u64 = 1000;
const FAULT_TIME: Duration = Duration::from_secs(9);
const START_TIME: Duration = Duration::from_secs(40);
/// Everything works again this long after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(40);
const PROBE_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_WAIT_FOR_RETIREMENT_MS: u64 = 6000;

/// Plays the faults of one seed.
pub async fn soak(seed: u64, size: ClusterSize) {
    let network = Network::new(NETWORK_OFFSET + seed);
    let mut cluster = SoakCluster::start(network, size);
    let controllers = cluster.numbers(Role::Controller);
    let dispatchers = cluster.numbers(Role::Dispatcher);
    let terms = ConfigurationTerms {
        max_queued_tokens: MAX_QUEUED_TOKENS,
    };
    let operator = Operator::new(network, &controllers, terms, seed);
    operator.send_first_configuration().await;
    let workers = Workers::start(network, controllers, seed);
    wait_until_ready(network, &dispatchers, START_TIME).await;

    let stop = Arc::new(AtomicBool::new(false));
    let live = LiveClients {
        network,
        dispatchers: dispatchers.clone(),
        newest: cluster.newest.clone(),
        log: Arc::default(),
        stop: stop.clone(),
        seed,
    };
    let batch = BatchClients {
        network,
        dispatchers: dispatchers.clone(),
        log: Arc::default(),
        runs: workers.runs.clone(),
        stop: stop.clone(),
        seed,
    };
    let mut clients = live.start();
    clients.extend(batch.start());
    let changes = tokio::spawn(operator.clone().change_repeatedly());
    let retirement = tokio::spawn(retire_a_store(&cluster, operator.clone(), seed));
    Faults::new(seed).play(&mut cluster, FAULT_TIME).await;
    wait_until_ready(network, &dispatchers, RECOVERY_TIME).await;
    stop.store(true, Relaxed);
    for client in clients {
        client.await.unwrap();
    }
    changes.abort();
    assert!(changes.await.is_err_and(|error| error.is_cancelled()));
    retirement.await.unwrap();

    batch.wait_until_complete(RECOVERY_TIME).await;
    let read = operator.read(RECOVERY_TIME).await;
    assert!(read.is_some(), "the configuration can't be read");
    batch.log.lock().check_refused(&workers.runs);
    let live_log = live.log.lock();
    live_log.check(&workers.runs, &cluster.disturbed);
    let (served, sent) = (live_log.served(), live_log.sent());
    assert!(served > 0, "nothing was served");
    let batch_log = batch.log.lock();
    println!(
        "seed {seed}: {served} of {sent} requests served, {} jobs complete (attempts {:?}), {} \
         configurations",
        batch_log.accepted().len(),
        batch_log.attempts(),
        operator.acknowledged()
    );
}

/// Orders the retirement of a store at some time; it is taken away as soon as that is allowed.
fn retire_a_store(
    cluster: &SoakCluster,
    operator: Operator,
    seed: u64,
) -> impl Future<Output = ()> + use<> {
    let mut random = fastrand::Rng::with_seed(seed);
    let stores = cluster.numbers(Role::Store);
    let number = stores[random.usize(0..stores.len())];
    let wait = Duration::from_millis(random.u64(0..LONGEST_WAIT_FOR_RETIREMENT_MS));
    let retired = cluster.retired.clone();
    async move {
        sleep(wait).await;
        if operator.retire(&format!("store-{number}")).await {
            retired.lock().insert(number);
        }
    }
}

/// Waits until these dispatchers are ready for clients.
pub async fn wait_until_ready(network: Network, dispatchers: &[usize], time: Duration) {
    let deadline = Instant::now() + time;
    for dispatcher in dispatchers {
        while !is_ready(network, *dispatcher).await {
            assert!(
                Instant::now() < deadline,
                "dispatcher {dispatcher} is not ready"
            );
            sleep(PROBE_PAUSE).await;
        }
    }
}

async fn is_ready(network: Network, dispatcher: usize) -> bool {
    let request = http::request("GET", "/v1/readiness", &[("host", "platform")], "");
    let address = network.readiness(dispatcher);
    let answer = http::call(address, request, Duration::from_secs(1)).await;
    answer.is_ok_and(|answer| answer.status == 200)
}
