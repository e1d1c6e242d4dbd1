//! Clients of batch jobs over HTTP, as they come to dispatchers.

use crate::cluster::network::Network;
use crate::http::{self, Answer, CallError};
use crate::operator::HOST;
use crate::spawn_each;
use crate::workers::{BATCH_PREFIX, Runs, expected_text};
use parking_lot::Mutex;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

const CLIENTS: usize = 8;
const ITEMS: u64 = 4;
const ITEM_TOKENS: u64 = 100;
/// So many jobs fit into the quota.
const FITTING_JOBS: u64 = 6;
/// The quota of the batch route.
pub const MAX_QUEUED_TOKENS: u64 = FITTING_JOBS * ITEMS * ITEM_TOKENS;
const CALL_TIME: Duration = Duration::from_secs(4);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const MAX_ATTEMPTS: usize = 4;

/// What is known of one job.
#[derive(Default)]
struct JobLog {
    is_accepted: bool,
    /// Every attempt was answered with a refusal.
    is_refused: bool,
    /// The results by position, as read.
    results: Vec<(String, String)>,
}

/// What is known of all jobs, by their ids.
#[derive(Default)]
pub struct BatchLog {
    jobs: BTreeMap<String, JobLog>,
    /// How often attempts to submit ended in which way.
    attempts: BTreeMap<String, usize>,
}

impl BatchLog {
    fn on_attempt(&mut self, outcome: &Result<Answer, CallError>) {
        let ending = match outcome {
            Ok(answer) => answer.status.to_string(),
            Err(CallError::Closed { .. }) => "closed".to_string(),
            Err(error) => format!("{error:?}"),
        };
        *self.attempts.entry(ending).or_default() += 1;
    }

    /// How often attempts to submit ended in which way.
    pub fn attempts(&self) -> &BTreeMap<String, usize> {
        &self.attempts
    }

    pub fn accepted(&self) -> Vec<String> {
        let jobs = self.jobs.iter();
        jobs.filter(|(_, job)| job.is_accepted)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// The tokens of accepted items that no worker has finished are within the quota.
    fn check_quota(&self, runs: &Runs) {
        let runs = runs.lock();
        let jobs = self.jobs.iter().filter(|(_, job)| job.is_accepted);
        let items = jobs.flat_map(|(id, _)| item_ids(id));
        let queued = items.filter(|item| !runs.is_finished(item)).count() as u64 * ITEM_TOKENS;
        assert!(queued <= MAX_QUEUED_TOKENS, "{queued} tokens are queued");
    }

    /// Takes a page that begins at the first position.
    fn on_page(&mut self, id: &str, page: &serde_json::Value) {
        assert_eq!(page["total"], ITEMS, "{id}");
        let results: Vec<(String, String)> = page["results"]
            .as_array()
            .unwrap()
            .iter()
            .map(|result| {
                assert_eq!(result["state"], "completed", "{id}: {result}");
                let field = |name: &str| result[name].as_str().unwrap().to_string();
                (field("instance_id"), field("text"))
            })
            .collect();
        let job = self.jobs.get_mut(id).unwrap();
        let common = results.len().min(job.results.len());
        assert_eq!(
            results[..common],
            job.results[..common],
            "a position of {id}"
        );
        if results.len() > job.results.len() {
            job.results = results;
        }
    }

    /// Whether all items of a job have their results, each once.
    fn is_complete(&self, id: &str) -> bool {
        let results = &self.jobs[id].results;
        let items: HashSet<&String> = results.iter().map(|(item, _)| item).collect();
        assert_eq!(items.len(), results.len(), "{id} lists an item twice");
        for (item, text) in results {
            assert!(item_ids(id).any(|known| known == *item), "{item} of {id}");
            assert_eq!(*text, expected_text(item));
        }
        results.len() as u64 == ITEMS
    }

    /// No item of a job that was refused at every attempt has run.
    pub fn check_refused(&self, runs: &Runs) {
        let runs = runs.lock();
        for (id, _) in self.jobs.iter().filter(|(_, job)| job.is_refused) {
            let ran = item_ids(id).find(|item| runs.count(item) > 0);
            assert_eq!(ran, None, "{id} was refused at every attempt");
        }
    }
}

fn item_ids(job: &str) -> impl Iterator<Item = String> {
    (0..ITEMS).map(move |item| format!("{job}-{item}"))
}

fn submission(id: &str) -> String {
    let items: Vec<String> = item_ids(id)
        .map(|item| {
            format!(
                r#"{{"instance_id":"{item}","path":"{BATCH_PREFIX}{item}","headers":{{}},"body":"q83v","tokens":{ITEM_TOKENS}}}"#
            )
        })
        .collect();
    format!(r#"{{"requests":[{}]}}"#, items.join(","))
}

/// What the clients share.
#[derive(Clone)]
pub struct BatchClients {
    pub network: Network,
    /// The numbers of the dispatchers.
    pub dispatchers: Vec<usize>,
    pub log: Arc<Mutex<BatchLog>>,
    pub runs: Runs,
    pub stop: Arc<AtomicBool>,
    pub seed: u64,
}

impl BatchClients {
    /// Starts all clients; they end when they are told to stop.
    pub fn start(&self) -> Vec<JoinHandle<()>> {
        spawn_each(CLIENTS, |number| self.clone().run(number))
    }

    async fn run(self, number: usize) {
        let mut random = fastrand::Rng::with_seed(self.seed * CLIENTS as u64 + number as u64);
        for job in 0.. {
            if self.stop.load(Relaxed) {
                return;
            }
            let id = format!("job-{}-{number}-{job}", self.seed);
            self.submit(&id, &mut random).await;
            self.read(&id, &mut random).await;
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Submits a job, to another dispatcher after each attempt that was not accepted.
    async fn submit(&self, id: &str, random: &mut fastrand::Rng) {
        self.log
            .lock()
            .jobs
            .insert(id.to_string(), JobLog::default());
        let body = submission(id);
        let mut only_refusals = true;
        for _ in 0..MAX_ATTEMPTS {
            let headers = [
                ("mintlb-request-id", id),
                ("content-type", "application/json"),
            ];
            let outcome = self
                .call("POST", BATCH_PREFIX, &headers, &body, random)
                .await;
            self.log.lock().on_attempt(&outcome);
            match outcome {
                Ok(answer) if answer.status == 202 => {
                    let mut log = self.log.lock();
                    log.jobs.get_mut(id).unwrap().is_accepted = true;
                    return log.check_quota(&self.runs);
                }
                Ok(answer) if answer.is_refusal() => (),
                Ok(answer) if answer.status >= 500 => only_refusals = false,
                Ok(answer) => panic!("{id}: {} {:?}", answer.status, answer.body),
                Err(CallError::NotSent) => (),
                Err(_) => only_refusals = false,
            }
            sleep(RETRY_PAUSE).await;
        }
        self.log.lock().jobs.get_mut(id).unwrap().is_refused = only_refusals;
    }

    /// Reads a job from its first position; whether it was answered.
    async fn read(&self, id: &str, random: &mut fastrand::Rng) -> bool {
        if !self.log.lock().jobs[id].is_accepted {
            return false;
        }
        let path = format!("/v1/lots/{id}?start_after=0");
        let headers = [("mintlb-wait-ms", "500")];
        match self.call("GET", &path, &headers, "", random).await {
            Ok(answer) if answer.status == 200 => {
                let page = serde_json::from_slice(&answer.body).unwrap();
                self.log.lock().on_page(id, &page);
                true
            }
            Ok(answer) if answer.status >= 500 => false,
            Ok(answer) => panic!("{id} was accepted, and is answered {}", answer.status),
            Err(_) => false,
        }
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        random: &mut fastrand::Rng,
    ) -> Result<Answer, CallError> {
        let dispatcher = self.dispatchers[random.usize(0..self.dispatchers.len())];
        let host = [("host", HOST)];
        let headers: Vec<(&str, &str)> = host.iter().chain(headers).copied().collect();
        let request = http::request(method, path, &headers, body.to_string());
        http::call(self.network.frontend(dispatcher), request, CALL_TIME).await
    }

    /// Waits until all accepted jobs are complete.
    pub async fn wait_until_complete(&self, time: Duration) {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let deadline = Instant::now() + time;
        let accepted = self.log.lock().accepted();
        for id in accepted {
            while !self.log.lock().is_complete(&id) {
                let results = self.log.lock().jobs[&id].results.len();
                assert!(
                    Instant::now() < deadline,
                    "{id} has {results} results of {ITEMS}"
                );
                if !self.read(&id, &mut random).await {
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}
