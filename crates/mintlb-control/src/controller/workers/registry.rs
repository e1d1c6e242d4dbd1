//! The workers that send their heartbeats to this controller, and the records to publish of them;
//! pure.
//!
//! A worker's record is published when it changes, and when the worker has come from another
//! controller: then with the new call sequence, so that it supersedes a report of the earlier
//! controller that the worker is unresponsive.

use mintlb_common::record::{WorkerRecord, WorkerState};
use rustc_hash::FxHashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The number of workers that one controller accepts.
pub const MAX_WORKERS: usize = 20_000;
/// The end of the slow start may move by this much without being published, in ms.
const SLOW_START_TOLERANCE_MS: u64 = 500;
/// A gap of this length between two ticks means that the process was paused, so that no heartbeat
/// could have been received.
pub const PROCESS_PAUSE: Duration = Duration::from_millis(1000);

/// What a heartbeat requires.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// Nothing has changed.
    Unchanged,
    /// A later call is known, or the worker has ended.
    Stale,
    /// This record has to be published.
    Publish(WorkerRecord),
    /// The registry is full.
    RegistryFull,
}

#[derive(Debug)]
struct RegisteredWorker {
    /// The record that this controller published last.
    published: WorkerRecord,
    /// Whether a quorum of disks and another process have it.
    confirmed: bool,
    /// The highest call sequence received.
    call_sequence: u64,
    last_heartbeat: Instant,
}

/// The workers of one controller.
#[derive(Debug)]
pub struct Registry {
    workers: FxHashMap<String, RegisteredWorker>,
    heartbeat_timeout: Duration,
    last_tick: Instant,
}

impl Registry {
    /// An empty registry. A worker is unresponsive after this time without a heartbeat.
    pub fn new(now: Instant, heartbeat_timeout: Duration) -> Registry {
        Registry {
            workers: FxHashMap::default(),
            heartbeat_timeout,
            last_tick: now,
        }
    }

    /// Changes the time after which a worker without a heartbeat is unresponsive.
    pub fn set_heartbeat_timeout(&mut self, heartbeat_timeout: Duration) {
        self.heartbeat_timeout = heartbeat_timeout;
    }

    /// The number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether there is no worker.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// The ids of the workers.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.workers.keys().map(String::as_str)
    }

    /// Handles a heartbeat. `current` is the worker's record as published by whichever controller.
    pub fn heartbeat(
        &mut self,
        now: Instant,
        reported: WorkerRecord,
        current: Option<&WorkerRecord>,
    ) -> HeartbeatOutcome {
        if self.is_stale(&reported, current) {
            return self
                .unconfirmed_drain(&reported)
                .map_or(HeartbeatOutcome::Stale, HeartbeatOutcome::Publish);
        }
        let is_registered = self.workers.contains_key(&reported.instance_id);
        if !is_registered && self.workers.len() >= MAX_WORKERS {
            return HeartbeatOutcome::RegistryFull;
        }
        if let Some(worker) = self.workers.get_mut(&reported.instance_id)
            && current.is_some_and(|record| record.version() == worker.published.version())
            && is_unchanged(&worker.published, &reported)
            && (worker.confirmed || reported.state != WorkerState::Draining)
        {
            worker.call_sequence = reported.call_sequence;
            worker.last_heartbeat = now;
            return HeartbeatOutcome::Unchanged;
        }
        let worker = RegisteredWorker {
            published: reported.clone(),
            confirmed: false,
            call_sequence: reported.call_sequence,
            last_heartbeat: now,
        };
        self.workers.insert(reported.instance_id.clone(), worker);
        HeartbeatOutcome::Publish(reported)
    }

    /// Whether a later call is known, here or at another controller, or the worker has ended.
    fn is_stale(&self, reported: &WorkerRecord, current: Option<&WorkerRecord>) -> bool {
        let sequence = reported.call_sequence;
        let superseded = current.is_some_and(|record| {
            record.state == WorkerState::Deregistered || record.call_sequence > sequence
        });
        let repeated = self
            .workers
            .get(&reported.instance_id)
            .is_some_and(|worker| worker.call_sequence >= sequence);
        superseded || repeated
    }

    /// The published drain of a worker that reports it again, unless that was confirmed.
    fn unconfirmed_drain(&self, reported: &WorkerRecord) -> Option<WorkerRecord> {
        let worker = self
            .workers
            .get(&reported.instance_id)
            .filter(|worker| !worker.confirmed)?;
        let is_draining = |record: &WorkerRecord| record.state == WorkerState::Draining;
        (is_draining(reported) && is_draining(&worker.published)).then(|| worker.published.clone())
    }

    /// Records that a quorum of disks and another process have this record.
    pub fn confirmed(&mut self, record: &WorkerRecord) {
        if let Some(worker) = self.workers.get_mut(&record.instance_id)
            && worker.published == *record
        {
            worker.confirmed = true;
        }
    }

    /// Handles the end of a worker. Returns the record to publish.
    pub fn leave(&mut self, id: &str, current: Option<WorkerRecord>) -> WorkerRecord {
        let published = self.workers.remove(id).map(|worker| worker.published);
        let known = current.or(published).unwrap_or_else(|| unknown_worker(id));
        WorkerRecord {
            state: WorkerState::Deregistered,
            ..known
        }
    }

    /// Removes the workers whose heartbeats have stopped, and returns the records to publish of
    /// them. `current_version` tells the version of a worker's published record: a worker whose
    /// record another controller has published since is no longer this one's.
    ///
    /// No worker is unresponsive to a process that was paused or is out of contact with a majority
    /// of the replica set: its workers may call others. The time starts anew once that is over.
    pub fn tick(
        &mut self,
        now: Instant,
        in_contact: bool,
        current_version: impl Fn(&str) -> Option<u64>,
    ) -> Vec<WorkerRecord> {
        let paused = now.saturating_duration_since(self.last_tick) > PROCESS_PAUSE;
        self.last_tick = now;
        if paused || !in_contact {
            for worker in self.workers.values_mut() {
                worker.last_heartbeat = now;
            }
            return Vec::new();
        }
        let heartbeat_timeout = self.heartbeat_timeout;
        let mut unresponsive = Vec::new();
        self.workers.retain(|id, worker| {
            if now.saturating_duration_since(worker.last_heartbeat) < heartbeat_timeout {
                return true;
            }
            if current_version(id).is_none_or(|version| version <= worker.published.version()) {
                unresponsive.push(WorkerRecord {
                    state: WorkerState::Unresponsive,
                    call_sequence: worker.call_sequence,
                    ..worker.published.clone()
                });
            }
            false
        });
        unresponsive
    }
}

/// The record that a worker's call adds to the published one, for a controller that doesn't
/// register the worker.
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
        && a.slow_start_until_ms.abs_diff(b.slow_start_until_ms) <= SLOW_START_TOLERANCE_MS
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
