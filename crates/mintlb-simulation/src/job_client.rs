//! Clients of the batch API: they submit jobs, record results, read and end jobs at any dispatcher, and retry a call
//! whose outcome is unknown.

use crate::batch_oracle::{BatchOracle, item_id};
use crate::message::{ClientRequest, ClientResponse};
use crate::random::Random;
use crate::store::SHARDS;
use bytes::Bytes;
use mintlb_batch::entry::{ItemHeader, ItemState, JobHeader, JobTerms};
use mintlb_batch::messages::{JobName, Read, Record, StoreRequest, StoreResponse, Submit};
use mintlb_common::placement::Placement;
use std::time::Duration;

/// After this time without a response a client calls another dispatcher.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Attempts of a call other than a submission.
const MAX_ATTEMPTS: u32 = 3;

/// A client's operation.
#[derive(Clone, Debug, PartialEq)]
pub enum JobAction {
    /// Submits a job.
    Submit(String),
    /// Records an item's result.
    Record(String, u32, String),
    /// Reads a job.
    Read(String),
    /// Ends a job.
    End(String),
}

impl JobAction {
    /// The job.
    pub fn job(&self) -> &str {
        match self {
            JobAction::Submit(job)
            | JobAction::Record(job, ..)
            | JobAction::Read(job)
            | JobAction::End(job) => job,
        }
    }

    /// The call.
    pub fn request(&self, oracle: &BatchOracle) -> ClientRequest {
        let job = oracle.jobs.get(self.job());
        let host = job.map(|job| job.host.clone()).unwrap_or_default();
        let name = JobName {
            host,
            id: self.job().to_string(),
        };
        match self {
            JobAction::Submit(_) => submit(name, job.map_or(0, |job| job.items)),
            JobAction::Record(_, item, text) => {
                let record = Record {
                    job: name,
                    item: *item,
                    state: ItemState::Completed,
                };
                ClientRequest::Batch(StoreRequest::Record(record), Bytes::from(text.clone()))
            }
            JobAction::Read(_) => {
                let read = Read {
                    job: name,
                    start_after: 0,
                    wait_ms: 0,
                    max_bytes: u64::MAX,
                };
                ClientRequest::Batch(StoreRequest::Read(read), Bytes::new())
            }
            JobAction::End(_) => ClientRequest::Batch(StoreRequest::End(name), Bytes::new()),
        }
    }
}

fn submit(name: JobName, items: u32) -> ClientRequest {
    let payload = |item: u32| format!("payload of {}", item_id(&name.id, item));
    let head = |item: u32| ItemHeader {
        id: item_id(&name.id, item),
        tokens: 30,
        length: payload(item).len() as u64,
    };
    let raw: String = (0..items).map(payload).collect();
    let terms = JobTerms {
        retention_ms: 1_000_000_000,
        ..JobTerms::default()
    };
    let job = JobHeader {
        host: name.host.clone(),
        id: name.id.clone(),
        route: "r".to_string(),
        terms,
        items: (0..items).map(head).collect(),
        tenant: None,
    };
    ClientRequest::Batch(
        StoreRequest::Submit(Submit {
            epoch: 0,
            owner: 1,
            max_queued_tokens: 0,
            job,
        }),
        raw.into(),
    )
}

/// A client of the batch API.
#[derive(Debug, Default)]
pub struct JobClient {
    act: Option<JobAction>,
    attempts: u32,
    turn: u64,
}

impl JobClient {
    /// What it waits for: an older timer or answer does not count.
    pub fn turn(&self) -> u64 {
        self.turn
    }

    /// Whether nothing of it is open.
    pub fn is_idle(&self) -> bool {
        self.act.is_none()
    }

    /// Its pause is over or the call timed out: the next operation.
    pub fn wake(&mut self, random: &mut Random, oracle: &mut BatchOracle) -> JobAction {
        self.turn += 1;
        self.attempts += 1;
        if self.attempts > MAX_ATTEMPTS && !matches!(self.act, Some(JobAction::Submit(_))) {
            self.act = None;
        }
        let act = self.act.take().unwrap_or_else(|| {
            self.attempts = 1;
            draw(random, oracle)
        });
        self.act = Some(act.clone());
        act
    }

    /// Handles a response; returns the pause before the next operation.
    pub fn on_response(&mut self, random: &mut Random, response: &ClientResponse) -> Duration {
        self.turn += 1;
        if matches!(response, ClientResponse::Batch(answer, _) if *answer != StoreResponse::Conflict)
        {
            self.act = None;
        }
        if random.with_probability(60) {
            random.time(1, 60)
        } else {
            random.time(60, 900)
        }
    }
}

fn draw(random: &mut Random, oracle: &mut BatchOracle) -> JobAction {
    let accepted: Vec<&String> = oracle
        .jobs
        .iter()
        .filter(|(_, job)| job.accepted)
        .map(|(id, _)| id)
        .collect();
    let kind = random.below(100);
    if accepted.is_empty() || kind < 25 {
        let id = format!("job{:04}", oracle.jobs.len());
        let host = host_of_shard(random.below(SHARDS as usize) as u32, &id);
        oracle.submitted(&id, &host, 1 + random.below(4) as u32);
        return JobAction::Submit(id);
    }
    // The newest ones are of most interest.
    let back = random.below(accepted.len().min(6));
    let id = accepted[accepted.len() - 1 - back].clone();
    let Some(job) = oracle.jobs.get_mut(&id) else {
        return JobAction::Read(id);
    };
    match kind {
        25..=29 => JobAction::Submit(id),
        30..=64 => {
            let item = random.below(job.items as usize) as u32;
            let text = format!("text {} of {}", random.below(1000), item_id(&id, item));
            oracle.result_sent(&id, item, &text);
            JobAction::Record(id, item, text)
        }
        65..=67 => {
            job.end_requested = true;
            JobAction::End(id)
        }
        _ => JobAction::Read(id),
    }
}

/// A host whose job of this id lies in this shard.
fn host_of_shard(shard: u32, id: &str) -> String {
    let hosts = (0..).map(|number: u32| format!("host{number}"));
    hosts
        .into_iter()
        .find(|host| Placement::shard_of_job(host, id) == shard)
        .unwrap_or_default()
}
