//! Soak of the control plane: the dispatchers' client submits jobs and records their results itself.
//! Nothing that was acknowledged is lost, no position changes, and the quota holds.

use crate::cluster::faults::Faults;
use crate::cluster::network::Network;
use crate::cluster::{ClusterSize, SoakCluster};
use crate::spawn_each;
use mintlb_batch::client::{BatchClient, Item, ItemResult, JobAccess, Submission, SubmitError};
use mintlb_batch::entry::JobTerms;
use mintlb_batch::messages::DispatcherId;
use mintlb_common::placement::Placement;
use mintlb_common::record::{PLACEMENT, Record};
use mintlb_common::transport::Transport;
use mintlb_gossip::{GossipConfig, GossipService, Member, Role};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const HOST: &str = "soak.example";
/// The clients are in the test's process, at the address of a machine of their own.
const CLIENT_MACHINE: usize = 251;
const CLIENTS: usize = 6;
const ITEMS: u32 = 3;
const ITEM_TOKENS: u64 = 100;
/// So many jobs fit into the quota.
const FITTING_JOBS: u64 = 3;
const LIMIT: u64 = FITTING_JOBS * ITEMS as u64 * ITEM_TOKENS;
/// How long faults begin, in a run.
const FAULT_TIME: Duration = Duration::from_secs(7);
/// Everything works again this long after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(25);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// What was acknowledged of one job.
#[derive(Default)]
struct AcknowledgedJob {
    /// The texts that were sent for each item; each is sent as often as it takes.
    sent: BTreeMap<u32, String>,
    recorded: BTreeMap<u32, String>,
    /// By position, as read.
    read: Vec<(String, String)>,
}

/// What was acknowledged, by job.
#[derive(Default)]
struct Oracle {
    jobs: BTreeMap<String, AcknowledgedJob>,
    /// Reads that were answered.
    reads: u64,
}

impl Oracle {
    /// At the last commit of the accepted jobs, no item without a sent result had ended.
    fn check_quota(&self) {
        let pending = |job: &AcknowledgedJob| u64::from(ITEMS) - job.sent.len() as u64;
        let queued: u64 = self.jobs.values().map(pending).sum::<u64>() * ITEM_TOKENS;
        assert!(queued <= LIMIT, "{queued} tokens of {LIMIT} are queued");
    }

    fn check_page(&mut self, id: &str, results: Vec<(String, String)>, is_last: bool) {
        self.reads += 1;
        let job = self.jobs.get_mut(id).unwrap();
        let common = results.len().min(job.read.len());
        assert_eq!(results[..common], job.read[..common], "a position of {id}");
        if is_last {
            assert!(results.len() >= job.read.len(), "{id} has lost results");
            for (item, text) in &job.recorded {
                let recorded = (item_id(id, *item), text.clone());
                assert!(results.contains(&recorded), "{id} has lost {recorded:?}");
            }
        }
        if results.len() > job.read.len() {
            job.read = results;
        }
    }
}

fn item_id(job: &str, item: u32) -> String {
    format!("{job}-{item}")
}

fn submission(id: &str) -> Submission {
    let items = (0..ITEMS).map(|item| Item {
        instance_id: item_id(id, item),
        path: "/p".to_string(),
        headers: Vec::new(),
        body: vec![b'b'; 2000].into(),
        tokens: ITEM_TOKENS,
    });
    Submission {
        host: HOST.to_string(),
        route: "soak".to_string(),
        tenant: None,
        job_id: id.to_string(),
        terms: JobTerms {
            retention_ms: 600_000,
            ..JobTerms::default()
        },
        max_queued_tokens: LIMIT,
        items: items.collect(),
    }
}

/// Submits jobs one after another, records their results and reads them, until it is told to stop.
async fn run_client(
    client: Arc<BatchClient>,
    oracle: Arc<Mutex<Oracle>>,
    number: usize,
    stop: Arc<AtomicBool>,
) {
    for job in 0.. {
        let id = format!("job-{number}-{job}");
        if submit(&client, &id, number as u64 + 1, &stop).await {
            {
                let mut oracle = oracle.lock();
                oracle.jobs.insert(id.clone(), AcknowledgedJob::default());
                oracle.check_quota();
            }
            for item in 0..ITEMS {
                record(&client, &oracle, &id, item).await;
            }
            read(&client, &oracle, &id, false).await;
        }
        if stop.load(Relaxed) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Submits a job; whether it is accepted. An unclear submission is repeated, as clients do: if it was
/// accepted, nobody else knows of it, and it would take its part of the quota for ever.
async fn submit(client: &BatchClient, id: &str, owner: DispatcherId, stop: &AtomicBool) -> bool {
    loop {
        let submitted = client.submit(submission(id), owner, CALL_TIMEOUT).await;
        match submitted {
            Err(SubmitError::Indeterminate) if !stop.load(Relaxed) => (),
            submitted => return submitted.is_ok(),
        }
    }
}

async fn record(client: &BatchClient, oracle: &Mutex<Oracle>, id: &str, item: u32) {
    let text = format!("text of {}", item_id(id, item));
    if let Some(job) = oracle.lock().jobs.get_mut(id) {
        job.sent.insert(item, text.clone());
    }
    let result = ItemResult::Completed(text.clone().into());
    if client.record(HOST, id, item, result).await.is_ok()
        && let Some(job) = oracle.lock().jobs.get_mut(id)
    {
        job.recorded.insert(item, text);
    }
}

/// Reads a job; whether it was answered.
async fn read(client: &BatchClient, oracle: &Mutex<Oracle>, id: &str, is_last: bool) -> bool {
    let page = client
        .read(
            &JobAccess::Unrestricted,
            HOST,
            id,
            0,
            Duration::ZERO,
            1 << 20,
        )
        .await;
    let page = match page {
        Ok(page) => page,
        Err(mintlb_batch::client::JobError::Unavailable) => return false,
        Err(error) => panic!("{id} was accepted: {error}"),
    };
    assert_eq!(page.total, u64::from(ITEMS));
    let results = page.results.into_iter().map(|result| {
        let text = String::from_utf8(result.text.to_vec()).unwrap();
        (result.instance_id, text)
    });
    oracle.lock().check_page(id, results.collect(), is_last);
    true
}

/// The client of a dispatcher, which takes part in gossip.
async fn start_client(network: Network) -> Arc<BatchClient> {
    let address = network.dispatcher(CLIENT_MACHINE);
    let transport = Transport::start(address).await.unwrap();
    let gossip = GossipService::start(GossipConfig {
        transport: transport.clone(),
        seeds: network.seeds(),
        member: Member {
            address,
            incarnation: transport.incarnation(),
            role: Role::Dispatcher,
            node_name: "client".to_string(),
            zone: "z1".to_string(),
        },
    });
    let placement = Arc::new(Mutex::new(Arc::new(Placement::default())));
    let known = placement.clone();
    gossip.subscribe(Arc::new(move |record: &Record| {
        if record.key == PLACEMENT {
            *placement.lock() = Arc::new(minicbor::decode(&record.body).unwrap());
        }
    }));
    Arc::new(BatchClient::new(
        transport,
        Arc::new(move || known.lock().clone()),
    ))
}

/// Plays the faults of one seed.
pub async fn soak(seed: u64, size: ClusterSize) {
    let network = Network::new(seed);
    let mut cluster = SoakCluster::start(network, size);
    let client = start_client(network).await;
    let oracle = Arc::new(Mutex::new(Oracle::default()));
    let stop = Arc::new(AtomicBool::new(false));
    let clients = spawn_each(CLIENTS, |number| {
        run_client(client.clone(), oracle.clone(), number, stop.clone())
    });
    // The first jobs are accepted before the first fault.
    let started = Instant::now();
    while oracle.lock().jobs.is_empty() {
        assert!(started.elapsed() < RECOVERY_TIME, "nothing is accepted");
        sleep(Duration::from_millis(50)).await;
    }
    Faults::new(seed).play(&mut cluster, FAULT_TIME).await;
    stop.store(true, Relaxed);
    for client in clients {
        client.await.unwrap();
    }
    check_all(&client, &oracle).await;
    let oracle = oracle.lock();
    println!(
        "seed {seed}: {} jobs, {} reads",
        oracle.jobs.len(),
        oracle.reads
    );
}

/// Every job that was accepted can be read, with everything that was acknowledged.
async fn check_all(client: &BatchClient, oracle: &Mutex<Oracle>) {
    let ids: Vec<String> = oracle.lock().jobs.keys().cloned().collect();
    let deadline = Instant::now() + RECOVERY_TIME;
    for id in ids {
        while !read(client, oracle, &id, true).await {
            assert!(Instant::now() < deadline, "{id} can't be read");
        }
    }
}
