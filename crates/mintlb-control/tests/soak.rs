//! Soak: real processes of controllers and stores are killed, stopped, frozen and restarted, in
//! series that overlap, while clients go on over the connections that they have. Nothing that was
//! acknowledged is lost, no position changes, and the quota holds.
//!
//! A few seeds run here. By hand: `SOAK_SEEDS=100..150` plays these, and `SOAK_STORES` and
//! `SOAK_CONTROLLERS` start more processes.

mod soak_cluster;

use mintlb_batch::client::{BatchClient, Item, ItemResult, Submission, Submitted};
use mintlb_batch::entry::JobTerms;
use parking_lot::Mutex;
use soak_cluster::{Machine, Network, SoakCluster};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const HOST: &str = "soak.example";
const SEEDS: Range<u64> = 0..4;
const CONTROLLERS: usize = 3;
const STORES: usize = 5;
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
        let submitted = client.submit(submission(&id), number as u64 + 1, CALL_TIMEOUT);
        if let Ok(Submitted { .. }) = submitted.await {
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
    let page = client.read(HOST, id, 0, Duration::ZERO, 1 << 20).await;
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

/// A machine of the cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Target {
    Controller(usize),
    Store(usize),
}

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
enum End {
    Restart,
    RestartOnceEnded,
    Thaw,
}

struct Faults {
    random: fastrand::Rng,
    under_way: Vec<(Instant, Target, End)>,
}

impl Faults {
    fn machine(cluster: &mut SoakCluster, target: Target) -> &mut Machine {
        match target {
            Target::Controller(position) => &mut cluster.controllers[position],
            Target::Store(position) => &mut cluster.stores[position],
        }
    }

    /// Begins a fault of a machine that has none.
    fn begin(&mut self, cluster: &mut SoakCluster) {
        let target = match self.random.u32(0..10) {
            0..=2 => Target::Controller(self.random.usize(0..cluster.controllers.len())),
            _ => Target::Store(self.random.usize(0..cluster.stores.len())),
        };
        let machine = Faults::machine(cluster, target);
        if self.under_way.iter().any(|(_, other, _)| *other == target) || !machine.is_up() {
            return;
        }
        let end = match self.random.u32(0..3) {
            0 => {
                machine.kill();
                End::Restart
            }
            1 => {
                machine.terminate();
                End::RestartOnceEnded
            }
            _ => {
                machine.freeze();
                End::Thaw
            }
        };
        let lasts = Duration::from_millis(self.random.u64(100..2500));
        self.under_way.push((Instant::now() + lasts, target, end));
    }

    /// Ends the faults whose time has come.
    fn end_due(&mut self, cluster: &mut SoakCluster) {
        let now = Instant::now();
        self.under_way.retain(|(until, target, end)| {
            if *until > now {
                return true;
            }
            let machine = Faults::machine(cluster, *target);
            match end {
                End::Thaw => {
                    machine.thaw();
                    return false;
                }
                End::RestartOnceEnded if !machine.has_ended() => return true,
                End::Restart | End::RestartOnceEnded => (),
            }
            match *target {
                Target::Controller(position) => cluster.start_controller(position),
                Target::Store(position) => cluster.start_store(position),
            }
            false
        });
    }
}

async fn soak(seed: u64, controllers: usize, stores: usize) {
    let mut cluster = SoakCluster::start(Network::new(seed), controllers, stores).await;
    let oracle = Arc::new(Mutex::new(Oracle::default()));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (client, oracle) = (cluster.client.clone(), oracle.clone());
            tokio::spawn(run_client(client, oracle, number, stop.clone()))
        })
        .collect();
    // The first jobs are accepted before the first fault.
    let started = Instant::now();
    while oracle.lock().jobs.is_empty() {
        assert!(started.elapsed() < RECOVERY_TIME, "nothing is accepted");
        sleep(Duration::from_millis(50)).await;
    }
    let mut faults = Faults {
        random: fastrand::Rng::with_seed(seed),
        under_way: Vec::new(),
    };
    let began = Instant::now();
    while began.elapsed() < FAULT_TIME || !faults.under_way.is_empty() {
        if began.elapsed() < FAULT_TIME && faults.random.u32(0..12) == 0 {
            faults.begin(&mut cluster);
        }
        faults.end_due(&mut cluster);
        sleep(Duration::from_millis(50)).await;
    }
    stop.store(true, Relaxed);
    for client in clients {
        client.await.unwrap();
    }
    check_all(&cluster, &oracle).await;
    let oracle = oracle.lock();
    println!(
        "seed {seed}: {} jobs, {} reads",
        oracle.jobs.len(),
        oracle.reads
    );
}

/// Every job that was accepted can be read, with everything that was acknowledged.
async fn check_all(cluster: &SoakCluster, oracle: &Mutex<Oracle>) {
    let ids: Vec<String> = oracle.lock().jobs.keys().cloned().collect();
    let deadline = Instant::now() + RECOVERY_TIME;
    for id in ids {
        while !read(&cluster.client, oracle, &id, true).await {
            assert!(Instant::now() < deadline, "{id} can't be read");
        }
    }
}

fn number_of(variable: &str, default: usize) -> usize {
    std::env::var(variable).map_or(default, |value| value.parse().unwrap())
}

fn seeds() -> Range<u64> {
    std::env::var("SOAK_SEEDS").map_or(SEEDS, |value| {
        let (first, end) = value.split_once("..").unwrap();
        first.parse().unwrap()..end.parse().unwrap()
    })
}

#[tokio::test]
async fn what_was_acknowledged_survives_overlapping_restarts_and_signals() {
    let controllers = number_of("SOAK_CONTROLLERS", CONTROLLERS);
    let stores = number_of("SOAK_STORES", STORES);
    for seed in seeds() {
        soak(seed, controllers, stores).await;
    }
}
