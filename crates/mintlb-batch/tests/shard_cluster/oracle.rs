//! The oracle: what was acknowledged to clients, and so which responses are correct afterwards.

use super::{ITEM_TOKENS, MAX_QUEUED_TOKENS};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A response may be as stale as this (`settle_ms` allows more).
const MAX_STALENESS: Duration = Duration::from_millis(700);

/// Item and text of the results of each job, by position.
pub type Results = BTreeMap<String, Vec<(String, String)>>;

#[derive(Default)]
pub struct Oracle {
    /// Accepted jobs: when each was acknowledged, and its number of items.
    pub accepted: BTreeMap<String, (Duration, usize)>,
    /// Jobs whose end was acknowledged.
    pub ended: BTreeMap<String, Duration>,
    /// Items by job whose results were sent: they may be recorded or not.
    pub finished: BTreeMap<String, BTreeSet<u32>>,
    /// Jobs whose end was requested: they may be ended or not.
    pub end_requested: BTreeSet<String>,
    /// The longest list of results that was read of each job.
    pub results: Results,
    /// When a result of a job at a position was first read.
    pub first_read_at: BTreeMap<(String, usize), Duration>,
    pub reads: u64,
    /// Reads whose primary was confirmed.
    pub confirmed_reads: u64,
    pub leases: u64,
    pub records: u64,
}

impl Oracle {
    pub fn accepted(&mut self, job: String, items: usize, now: Duration) {
        self.accepted.entry(job).or_insert((now, items));
        let pending: u64 = self
            .accepted
            .iter()
            .filter(|(job, _)| !self.end_requested.contains(*job))
            .map(|(job, (_, items))| {
                let finished = self.finished.get(job).map_or(0, BTreeSet::len);
                ITEM_TOKENS * items.saturating_sub(finished) as u64
            })
            .sum();
        assert!(pending <= MAX_QUEUED_TOKENS, "{pending} tokens are queued");
    }

    pub fn ended(&mut self, job: String, now: Duration) {
        self.ended.entry(job).or_insert(now);
    }

    /// Notes that a worker finished an item, and that its result is being sent.
    pub fn finished(&mut self, job: &str, item: u32) {
        self.finished
            .entry(job.to_string())
            .or_default()
            .insert(item);
    }

    pub fn read(
        &mut self,
        job: &str,
        results: Option<(u64, Vec<(String, String)>)>,
        is_confirmed: bool,
        now: Duration,
    ) {
        self.reads += 1;
        let known = self
            .accepted
            .get(job)
            .is_some_and(|(at, _)| *at + MAX_STALENESS <= now);
        let Some((total, results)) = results else {
            assert!(!(is_confirmed && known), "an accepted job is unknown");
            return;
        };
        if let Some((_, items)) = self.accepted.get(job) {
            assert_eq!(total, *items as u64);
        }
        let ids: BTreeSet<&String> = results.iter().map(|(item, _)| item).collect();
        assert_eq!(ids.len(), results.len(), "an item has two positions");
        let before = self.results.entry(job.to_string()).or_default();
        let common = before.len().min(results.len());
        assert_eq!(before[..common], results[..common], "a position changed");
        if is_confirmed {
            self.confirmed_reads += 1;
            let first_read_at =
                |position: usize| self.first_read_at.get(&(job.to_string(), position));
            let missing = (results.len()..before.len()).find(|position| {
                first_read_at(*position).is_some_and(|at| *at + MAX_STALENESS <= now)
            });
            assert_eq!(missing, None, "a result that was read is missing");
        }
        for position in before.len()..results.len() {
            self.first_read_at.insert((job.to_string(), position), now);
        }
        if results.len() > before.len() {
            *before = results;
        }
    }

    pub fn leased(&mut self, job: &str, item: &str, now: Duration) {
        self.leases += 1;
        let ended = self
            .ended
            .get(job)
            .is_some_and(|at| *at + MAX_STALENESS <= now);
        assert!(!ended, "an item of an ended job is leased");
        let position = self
            .results
            .get(job)
            .and_then(|results| results.iter().position(|(id, _)| id == item));
        let read_at =
            position.and_then(|position| self.first_read_at.get(&(job.to_string(), position)));
        assert!(
            read_at.is_none_or(|at| *at + MAX_STALENESS > now),
            "an item that was read is leased"
        );
    }
}
