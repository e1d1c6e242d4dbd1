//! Which workers send their heartbeats to this controller, and what has to be published of them; pure.
//!
//! A worker's record is published when something in it changes, and when the worker has come from another controller:
//! then with the new call sequence, so that the earlier controller's word of its silence is older.

use mintlb_common::record::{WorkerRecord, WorkerState};
use rustc_hash::FxHashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Workers that one controller keeps; calls of more are not acknowledged.
pub const MAX_WORKERS: usize = 20_000;
/// By so much the end of a worker's cold time may move without being news, in ms.
const WARM_UP_TOLERANCE_MS: u64 = 500;
/// A gap of so long between two ticks says that this process was not running: nobody is silent for that reason.
pub const PROCESS_PAUSE: Duration = Duration::from_millis(1000);

/// What is to be done about a call.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// Nothing new.
    Unchanged,
    /// A later call was heard before, or the worker has ended.
    Stale,
    /// This has to be published.
    Publish(WorkerRecord),
    /// There are too many workers.
    RegistryFull,
}

#[derive(Debug)]
struct RegisteredWorker {
    /// As published last by this controller.
    published: WorkerRecord,
    /// Whether a neighbour has confirmed it.
    confirmed: bool,
    /// The highest call sequence heard.
    call_sequence: u64,
    last_received: Instant,
}

/// The workers of one controller.
#[derive(Debug)]
pub struct Registry {
    workers: FxHashMap<String, RegisteredWorker>,
    silence: Duration,
    ticked_at: Instant,
}

impl Registry {
    /// Without workers. One is silent after this time without a call.
    pub fn new(now: Instant, silence: Duration) -> Registry {
        Registry {
            workers: FxHashMap::default(),
            silence,
            ticked_at: now,
        }
    }

    /// Sets after which time without a call a worker is silent.
    pub fn set_heartbeat_timeout(&mut self, silence: Duration) {
        self.silence = silence;
    }

    /// How many workers send their heartbeats here.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// The ids of the workers that send their heartbeats here.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.workers.keys().map(String::as_str)
    }

    /// A worker's call. `current` is its record as everybody knows it.
    pub fn heartbeat(
        &mut self,
        now: Instant,
        reported: WorkerRecord,
        current: Option<&WorkerRecord>,
    ) -> HeartbeatOutcome {
        let sequence = reported.call_sequence;
        let gone = current.is_some_and(|known| known.state == WorkerState::Deregistered);
        let later = current.is_some_and(|known| known.call_sequence > sequence);
        let repeated = self
            .workers
            .get(&reported.instance_id)
            .is_some_and(|worker| worker.call_sequence >= sequence);
        if gone || later || repeated {
            return self
                .unconfirmed_draining(&reported)
                .map_or(HeartbeatOutcome::Stale, HeartbeatOutcome::Publish);
        }
        if !self.workers.contains_key(&reported.instance_id) && self.workers.len() >= MAX_WORKERS {
            return HeartbeatOutcome::RegistryFull;
        }
        let old = self.workers.get(&reported.instance_id);
        let own = old.filter(|worker| {
            current.is_some_and(|known| known.version() == worker.published.version())
        });
        if let Some(worker) = own
            && is_unchanged(&worker.published, &reported)
            && (worker.confirmed || reported.state != WorkerState::Draining)
        {
            let worker = self.workers.get_mut(&reported.instance_id);
            if let Some(worker) = worker {
                worker.call_sequence = sequence;
                worker.last_received = now;
            }
            return HeartbeatOutcome::Unchanged;
        }
        let worker = RegisteredWorker {
            published: reported.clone(),
            confirmed: false,
            call_sequence: sequence,
            last_received: now,
        };
        self.workers.insert(reported.instance_id.clone(), worker);
        HeartbeatOutcome::Publish(reported)
    }

    /// The drain of a worker that says again that it drains, if no neighbour has confirmed it yet.
    fn unconfirmed_draining(&self, reported: &WorkerRecord) -> Option<WorkerRecord> {
        let worker = self
            .workers
            .get(&reported.instance_id)
            .filter(|worker| !worker.confirmed)?;
        let drains = |record: &WorkerRecord| record.state == WorkerState::Draining;
        (drains(reported) && drains(&worker.published)).then(|| worker.published.clone())
    }

    /// A neighbour has confirmed this record.
    pub fn confirmed(&mut self, record: &WorkerRecord) {
        if let Some(worker) = self.workers.get_mut(&record.instance_id)
            && worker.published == *record
        {
            worker.confirmed = true;
        }
    }

    /// A worker says that it ends. Returns the record to publish.
    pub fn leave(&mut self, id: &str, current: Option<WorkerRecord>) -> WorkerRecord {
        let worker = self.workers.remove(id).map(|worker| worker.published);
        let known = current.or(worker).unwrap_or_else(|| unknown_worker(id));
        WorkerRecord {
            state: WorkerState::Deregistered,
            ..known
        }
    }

    /// Those that have become silent, as records to publish. `current` tells a worker's version as everybody knows it:
    /// a worker whose record another controller has published since is no longer this one's. Nobody is silent to a
    /// process that stood still, or that is out of contact with a majority of the controllers: its workers may call
    /// others, and it begins to count anew once that is over.
    pub fn tick(
        &mut self,
        now: Instant,
        in_contact: bool,
        current: impl Fn(&str) -> Option<u64>,
    ) -> Vec<WorkerRecord> {
        let paused = now.saturating_duration_since(self.ticked_at) > PROCESS_PAUSE;
        self.ticked_at = now;
        if paused || !in_contact {
            self.workers
                .values_mut()
                .for_each(|worker| worker.last_received = now);
            return Vec::new();
        }
        let silence = self.silence;
        let mut silent = Vec::new();
        self.workers.retain(|id, worker| {
            if now.saturating_duration_since(worker.last_received) < silence {
                return true;
            }
            if current(id).is_none_or(|version| version <= worker.published.version()) {
                silent.push(WorkerRecord {
                    state: WorkerState::Unresponsive,
                    call_sequence: worker.call_sequence,
                    ..worker.published.clone()
                });
            }
            false
        });
        silent
    }
}

/// What a worker's call says beyond its record in force, for a controller that does not take the worker in.
pub fn newer_record(
    reported: WorkerRecord,
    current: Option<&WorkerRecord>,
) -> Option<WorkerRecord> {
    let is_newer = current.is_none_or(|known| {
        known.version() < reported.version() && !is_unchanged(known, &reported)
    });
    is_newer.then_some(reported)
}

/// Whether everything but the call sequence is the same.
fn is_unchanged(a: &WorkerRecord, b: &WorkerRecord) -> bool {
    a.state == b.state
        && a.address == b.address
        && a.service == b.service
        && a.zone == b.zone
        && a.capacity_slots == b.capacity_slots
        && a.slow_start_until_ms.abs_diff(b.slow_start_until_ms) <= WARM_UP_TOLERANCE_MS
}

fn unknown_worker(id: &str) -> WorkerRecord {
    WorkerRecord {
        instance_id: id.to_string(),
        service: String::new(),
        address: String::new(),
        zone: String::new(),
        capacity_slots: 0,
        state: WorkerState::Deregistered,
        call_sequence: 0,
        slow_start_until_ms: 0,
    }
}
