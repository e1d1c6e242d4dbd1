//! Progress of a batch item over all its attempts: output so far, retry decision and backoff. Pure.

use bytes::Bytes;
use mintlb_batch::client::ItemResult;
use mintlb_batch::entry::JobTerms;
use std::time::Duration;

/// The first backoff before a retry, doubled with each attempt without progress.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// An item whose route is missing for so long is unrecoverable; until then a configuration with the route may arrive.
const ROUTE_MISSING_TIMEOUT_MS: u64 = 6_000;
/// Clock skew between the dispatcher that accepted a job and this one, in milliseconds: either clock may be two seconds
/// off when its process starts.
const CLOCK_TOLERANCE_MS: u64 = 5_000;

/// How one attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The worker's output is complete.
    Completed,
    /// It did not run: no worker accepted it.
    NotRun,
    /// The worker responded 500.
    Failed,
    /// The worker responded 422: it can never succeed.
    CannotBeDone,
    /// The stream or the connection broke; it may have run.
    Broken,
    /// No route in force matches it any more.
    NoRoute,
}

/// The next action for an item.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Its result is to be recorded.
    Record(ItemResult),
    /// It is retried after this backoff, resuming after the last event.
    RunAgain(Duration),
}

/// An item's output and failures so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    text: Vec<u8>,
    has_events: bool,
    last_event: Option<u64>,
    failures: u32,
    attempts_without_progress: u32,
    /// When no route was first found for it, in ms of the steady clock below.
    no_route_since: Option<u64>,
}

impl Progress {
    /// The progress of an item with this many failed attempts, at any dispatcher.
    pub fn after_failures(failures: u32) -> Progress {
        Progress {
            failures,
            ..Progress::default()
        }
    }

    /// How often it has failed, at whatever dispatcher.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether it has failed as often as it may.
    pub fn has_exhausted_attempts(&self, terms: &JobTerms) -> bool {
        self.failures >= terms.max_attempts.max(1)
    }

    /// The id of the last event that is kept; the next attempt goes on after it.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// An event of the attempt under way. One that is kept already is passed over.
    pub fn event(&mut self, id: Option<u64>, data: &[u8]) {
        if id.zip(self.last_event).is_some_and(|(id, last)| id <= last) {
            return;
        }
        if self.has_events {
            self.text.push(b'\n');
        }
        self.text.extend_from_slice(data);
        self.has_events = true;
        self.last_event = id.or(self.last_event);
        self.attempts_without_progress = 0;
    }

    /// The attempt under way has ended. `now_ms` is the time of day at the start of this process and the time that it
    /// has run since, in ms; so a step of the clock while it runs changes nothing.
    pub fn ended(&mut self, outcome: &AttemptOutcome, terms: &JobTerms, now_ms: u64) -> Next {
        match outcome {
            AttemptOutcome::Completed => {
                return Next::Record(ItemResult::Completed(self.take_text()));
            }
            AttemptOutcome::CannotBeDone => {
                self.failures = terms.max_attempts.max(1);
                return Next::Record(ItemResult::Unrecoverable);
            }
            AttemptOutcome::Failed => self.failures += 1,
            AttemptOutcome::NotRun | AttemptOutcome::Broken | AttemptOutcome::NoRoute => (),
        }
        let no_route = *outcome == AttemptOutcome::NoRoute;
        self.no_route_since = no_route.then(|| self.no_route_since.unwrap_or(now_ms));
        let route_is_missing = self
            .no_route_since
            .is_some_and(|since| now_ms >= since + ROUTE_MISSING_TIMEOUT_MS);
        let given_up_at = terms
            .sent_at_ms
            .saturating_add(terms.retention_ms)
            .saturating_add(CLOCK_TOLERANCE_MS);
        let too_old = terms.retention_ms > 0 && now_ms >= given_up_at;
        if self.has_exhausted_attempts(terms) || too_old || route_is_missing {
            return Next::Record(ItemResult::Unrecoverable);
        }
        let backoff = INITIAL_BACKOFF
            .saturating_mul(1 << self.attempts_without_progress.min(3))
            .min(MAX_BACKOFF);
        self.attempts_without_progress += 1;
        Next::RunAgain(if *outcome == AttemptOutcome::Broken {
            backoff / 4
        } else {
            backoff
        })
    }

    fn take_text(&mut self) -> Bytes {
        std::mem::take(&mut self.text).into()
    }
}
