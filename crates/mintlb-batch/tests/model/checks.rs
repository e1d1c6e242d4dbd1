//! What was told to clients, and what may be told to them after that.

use super::{LIMIT, Results};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An answer may be as old as this (`settle_ms` leaves more).
const OLD: Duration = Duration::from_millis(700);

#[derive(Default)]
pub struct Told {
    /// Lots that were accepted: when, and how many items each has.
    pub accepted: BTreeMap<String, (Duration, usize)>,
    /// Lots whose end was acknowledged.
    pub ended: BTreeMap<String, Duration>,
    /// Lots whose end was asked for, or items whose results were sent: they may count or not.
    pub finished: BTreeMap<String, BTreeSet<u32>>,
    pub end_asked: BTreeSet<String>,
    /// What readers were told, and when so much was first told.
    pub results: Results,
    pub read_at: BTreeMap<(String, usize), Duration>,
    pub reads: u64,
    pub sure_reads: u64,
    pub leases: u64,
    pub records: u64,
}

impl Told {
    pub fn accepted(&mut self, job: String, items: usize, now: Duration) {
        self.accepted.entry(job).or_insert((now, items));
        let waiting: u64 = self
            .accepted
            .iter()
            .filter(|(job, _)| !self.end_asked.contains(*job))
            .map(|(job, (_, items))| {
                let finished = self.finished.get(job).map_or(0, BTreeSet::len);
                30 * items.saturating_sub(finished) as u64
            })
            .sum();
        assert!(waiting <= LIMIT, "{waiting} tokens wait");
    }

    pub fn ended(&mut self, job: String, now: Duration) {
        self.ended.entry(job).or_insert(now);
    }

    /// A worker finished an item: its result is sent from now on.
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
        sure: bool,
        now: Duration,
    ) {
        self.reads += 1;
        let known = self
            .accepted
            .get(job)
            .is_some_and(|(at, _)| *at + OLD <= now);
        let Some((total, results)) = results else {
            assert!(!(sure && known), "an accepted lot is unknown");
            return;
        };
        if let Some((_, items)) = self.accepted.get(job) {
            assert_eq!(total, *items as u64);
        }
        let ids: BTreeSet<&String> = results.iter().map(|(item, _)| item).collect();
        assert_eq!(ids.len(), results.len(), "an item stands at two positions");
        let before = self.results.entry(job.to_string()).or_default();
        let common = before.len().min(results.len());
        assert_eq!(before[..common], results[..common], "a position changed");
        if sure {
            self.sure_reads += 1;
            let read_at = |position: usize| self.read_at.get(&(job.to_string(), position));
            let missing = (results.len()..before.len())
                .find(|position| read_at(*position).is_some_and(|at| *at + OLD <= now));
            assert_eq!(missing, None, "a position that was read is not there");
        }
        for position in before.len()..results.len() {
            self.read_at.insert((job.to_string(), position), now);
        }
        if results.len() > before.len() {
            *before = results;
        }
    }

    pub fn leased(&mut self, job: &str, item: &str, now: Duration) {
        self.leases += 1;
        let ended = self.ended.get(job).is_some_and(|at| *at + OLD <= now);
        assert!(!ended, "an item of an ended lot is leased");
        let results = self
            .results
            .get(job)
            .and_then(|results| results.iter().position(|(id, _)| id == item));
        let old = results.and_then(|position| self.read_at.get(&(job.to_string(), position)));
        assert!(
            old.is_none_or(|at| *at + OLD > now),
            "an item that was read is leased"
        );
    }
}
