//! How far an item of a lot has come, over all its attempts. Pure: events and outcomes go in, what is next comes out.

use bytes::Bytes;
use mintlb_batch::client::ItemResult;
use mintlb_batch::entry::JobTerms;
use std::time::Duration;

/// The pause before an item is tried again, doubled with each attempt that brought nothing.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest of these pauses.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// An item whose route is gone for so long can't be done: a configuration that has the route may be under way.
const ROUTE_MISSING_TIMEOUT_MS: u64 = 6_000;
/// By so much the time of day of the dispatcher that took a lot may have been behind the one here, in ms: either clock
/// may be two seconds off when its process starts.
const CLOCK_TOLERANCE_MS: u64 = 5_000;

/// How one attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The worker's whole output has come.
    Completed,
    /// It did not run: no worker took it.
    NotRun,
    /// The worker answered 500.
    Failed,
    /// The worker answered 422: it can never be done.
    CannotBeDone,
    /// The stream or the connection broke; it may have run.
    Broken,
    /// No route in force takes it any more.
    NoRoute,
}

/// What is to be done with an item.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Its result is to be recorded.
    Record(ItemResult),
    /// It is to run again after this pause, from the last event on.
    RunAgain(Duration),
}

/// What an item has put out so far.
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
    /// Of an item that has failed so often before, at whatever dispatcher.
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
    pub fn is_spent(&self, terms: &JobTerms) -> bool {
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
        if self.is_spent(terms) || too_old || route_is_missing {
            return Next::Record(ItemResult::Unrecoverable);
        }
        let pause = INITIAL_BACKOFF
            .saturating_mul(1 << self.attempts_without_progress.min(3))
            .min(MAX_BACKOFF);
        self.attempts_without_progress += 1;
        Next::RunAgain(if *outcome == AttemptOutcome::Broken {
            pause / 4
        } else {
            pause
        })
    }

    fn take_text(&mut self) -> Bytes {
        std::mem::take(&mut self.text).into()
    }
}
