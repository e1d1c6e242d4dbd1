//! Which workers send their heartbeats to this controller, and what has to be published of them; pure.
//!
//! A worker's record is published when something in it changes, and when the worker has come from another controller:
//! then with the new call sequence, so that the earlier controller's word of its silence is older.

use mintlb_common::record::{WorkerRecord, WorkerState};
use rustc_hash::FxHashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Workers that one controller keeps; calls of more are not acknowledged.
pub const MOST_WORKERS: usize = 20_000;
/// By so much the end of a worker's cold time may move without being news, in ms.
const WARM_SLACK_MS: u64 = 500;
/// A gap of so long between two ticks says that this process was not running: nobody is silent for that reason.
pub const FROZEN: Duration = Duration::from_millis(1000);

/// What is to be done about a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// Nothing new.
    Nothing,
    /// A later call was heard before, or the worker has ended.
    Late,
    /// This has to be published.
    Publish(WorkerRecord),
    /// There are too many workers.
    TooMany,
}

#[derive(Debug)]
struct Kept {
    /// As published last by this controller.
    published: WorkerRecord,
    /// Whether a neighbour has confirmed it.
    confirmed: bool,
    /// The highest call sequence heard.
    call_sequence: u64,
    heard_at: Instant,
}

/// The workers of one controller.
#[derive(Debug)]
pub struct Registry {
    workers: FxHashMap<String, Kept>,
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
    pub fn set_silence(&mut self, silence: Duration) {
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

    /// A worker's call. `in_force` is its record as everybody knows it.
    pub fn heartbeat(
        &mut self,
        now: Instant,
        told: WorkerRecord,
        in_force: Option<&WorkerRecord>,
    ) -> Heard {
        let sequence = told.call_sequence;
        let gone = in_force.is_some_and(|known| known.state == WorkerState::Deregistered);
        let later = in_force.is_some_and(|known| known.call_sequence > sequence);
        let repeated = self
            .workers
            .get(&told.instance_id)
            .is_some_and(|kept| kept.call_sequence >= sequence);
        if gone || later || repeated {
            return self
                .unconfirmed_drain(&told)
                .map_or(Heard::Late, Heard::Publish);
        }
        if !self.workers.contains_key(&told.instance_id) && self.workers.len() >= MOST_WORKERS {
            return Heard::TooMany;
        }
        let old = self.workers.get(&told.instance_id);
        let own = old.filter(|kept| {
            in_force.is_some_and(|known| known.version() == kept.published.version())
        });
        if let Some(kept) = own
            && is_same(&kept.published, &told)
            && (kept.confirmed || told.state != WorkerState::Draining)
        {
            let kept = self.workers.get_mut(&told.instance_id);
            if let Some(kept) = kept {
                kept.call_sequence = sequence;
                kept.heard_at = now;
            }
            return Heard::Nothing;
        }
        let kept = Kept {
            published: told.clone(),
            confirmed: false,
            call_sequence: sequence,
            heard_at: now,
        };
        self.workers.insert(told.instance_id.clone(), kept);
        Heard::Publish(told)
    }

    /// The drain of a worker that says again that it drains, if no neighbour has confirmed it yet.
    fn unconfirmed_drain(&self, told: &WorkerRecord) -> Option<WorkerRecord> {
        let kept = self
            .workers
            .get(&told.instance_id)
            .filter(|kept| !kept.confirmed)?;
        let drains = |record: &WorkerRecord| record.state == WorkerState::Draining;
        (drains(told) && drains(&kept.published)).then(|| kept.published.clone())
    }

    /// A neighbour has confirmed this record.
    pub fn confirmed(&mut self, record: &WorkerRecord) {
        if let Some(kept) = self.workers.get_mut(&record.instance_id)
            && kept.published == *record
        {
            kept.confirmed = true;
        }
    }

    /// A worker says that it ends. Returns the record to publish.
    pub fn leave(&mut self, id: &str, in_force: Option<WorkerRecord>) -> WorkerRecord {
        let kept = self.workers.remove(id).map(|kept| kept.published);
        let known = in_force.or(kept).unwrap_or_else(|| unknown(id));
        WorkerRecord {
            state: WorkerState::Deregistered,
            ..known
        }
    }

    /// Those that have become silent, as records to publish. `in_force` tells a worker's version as everybody knows it:
    /// a worker whose record another controller has published since is no longer this one's. Nobody is silent to a
    /// process that stood still, or that is out of contact with a majority of the controllers: its workers may call
    /// others, and it begins to count anew once that is over.
    pub fn tick(
        &mut self,
        now: Instant,
        in_contact: bool,
        in_force: impl Fn(&str) -> Option<u64>,
    ) -> Vec<WorkerRecord> {
        let paused = now.saturating_duration_since(self.ticked_at) > FROZEN;
        self.ticked_at = now;
        if paused || !in_contact {
            self.workers
                .values_mut()
                .for_each(|kept| kept.heard_at = now);
            return Vec::new();
        }
        let silence = self.silence;
        let mut silent = Vec::new();
        self.workers.retain(|id, kept| {
            if now.saturating_duration_since(kept.heard_at) < silence {
                return true;
            }
            if in_force(id).is_none_or(|version| version <= kept.published.version()) {
                silent.push(WorkerRecord {
                    state: WorkerState::Unresponsive,
                    call_sequence: kept.call_sequence,
                    ..kept.published.clone()
                });
            }
            false
        });
        silent
    }
}

/// What a worker's call says beyond its record in force, for a controller that does not take the worker in.
pub fn news(told: WorkerRecord, in_force: Option<&WorkerRecord>) -> Option<WorkerRecord> {
    let is_news =
        in_force.is_none_or(|known| known.version() < told.version() && !is_same(known, &told));
    is_news.then_some(told)
}

/// Whether everything but the call sequence is the same.
fn is_same(a: &WorkerRecord, b: &WorkerRecord) -> bool {
    a.state == b.state
        && a.address == b.address
        && a.service == b.service
        && a.zone == b.zone
        && a.capacity_slots == b.capacity_slots
        && a.slow_start_until_ms.abs_diff(b.slow_start_until_ms) <= WARM_SLACK_MS
}

fn unknown(id: &str) -> WorkerRecord {
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
