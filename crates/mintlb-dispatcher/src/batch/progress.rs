//! Progress of a batch item over all attempts: output so far, retry decisions and backoff. Without I/O.

use bytes::Bytes;
use mintlb_batch::client::ItemResult;
use mintlb_batch::entry::JobTerms;
use std::time::Duration;

/// Backoff before the first retry. Doubled with each attempt without progress, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// An item whose route has been missing for this long is unrecoverable. Until then a configuration with the route may
/// still arrive.
const ROUTE_MISSING_TIMEOUT_MS: u64 = 6_000;
/// Tolerated clock skew in milliseconds between the dispatcher that accepted a job and this one. Each clock may be off by
/// two seconds when its process starts.
const CLOCK_TOLERANCE_MS: u64 = 5_000;

/// How one attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The output is complete.
    Completed,
    /// No worker has run the item.
    NotRun,
    /// The worker responded 500.
    Failed,
    /// The worker responded 422: the item can never succeed.
    Unprocessable,
    /// The stream or the connection broke, or the worker failed in another way. The item may have run.
    Broken,
    /// No route of the configuration in force matches the item.
    NoRoute,
}

/// The next action for an item.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// Record this result.
    Record(ItemResult),
    /// Retry after this backoff, and resume after the last event.
    Retry(Duration),
}

/// An item's output and failures so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ItemProgress {
    text: Vec<u8>,
    has_events: bool,
    last_event: Option<u64>,
    failures: u32,
    attempts_without_progress: u32,
    /// Since when attempts have found no route, in ms of the clock of [`ItemProgress::on_attempt_ended`].
    no_route_since: Option<u64>,
}

impl ItemProgress {
    /// The progress of an item with this many failed attempts at earlier dispatchers, and no output yet.
    pub fn after_failures(failures: u32) -> ItemProgress {
        ItemProgress {
            failures,
            ..ItemProgress::default()
        }
    }

    /// Number of failed attempts at all dispatchers.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether no further failure is allowed.
    pub fn has_exhausted_attempts(&self, terms: &JobTerms) -> bool {
        self.failures >= terms.max_attempts.max(1)
    }

    /// Id of the last event of the output, after which the next attempt resumes.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Appends an event of the current attempt to the output, unless it is already part of it.
    pub fn add_event(&mut self, id: Option<u64>, data: &[u8]) {
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

    /// Records the end of the current attempt and decides what to do next. `now_ms` is Unix time by a clock that is read at
    /// the start of the process and not adjusted afterwards, in ms.
    pub fn on_attempt_ended(
        &mut self,
        outcome: &AttemptOutcome,
        terms: &JobTerms,
        now_ms: u64,
    ) -> NextStep {
        match outcome {
            AttemptOutcome::Completed => {
                return NextStep::Record(ItemResult::Completed(self.take_text()));
            }
            AttemptOutcome::Unprocessable => {
                self.failures = terms.max_attempts.max(1);
                return NextStep::Record(ItemResult::Unrecoverable);
            }
            AttemptOutcome::Failed => self.failures += 1,
            AttemptOutcome::NotRun | AttemptOutcome::Broken | AttemptOutcome::NoRoute => (),
        }
        let no_route = *outcome == AttemptOutcome::NoRoute;
        self.no_route_since = no_route.then(|| self.no_route_since.unwrap_or(now_ms));
        let route_is_missing = self
            .no_route_since
            .is_some_and(|since| now_ms >= since + ROUTE_MISSING_TIMEOUT_MS);
        let gives_up_at = terms
            .sent_at_ms
            .saturating_add(terms.retention_ms)
            .saturating_add(CLOCK_TOLERANCE_MS);
        let has_expired = terms.retention_ms > 0 && now_ms >= gives_up_at;
        if self.has_exhausted_attempts(terms) || has_expired || route_is_missing {
            return NextStep::Record(ItemResult::Unrecoverable);
        }
        let backoff = INITIAL_BACKOFF
            .saturating_mul(1 << self.attempts_without_progress.min(3))
            .min(MAX_BACKOFF);
        self.attempts_without_progress += 1;
        NextStep::Retry(if *outcome == AttemptOutcome::Broken {
            backoff / 4
        } else {
            backoff
        })
    }

    fn take_text(&mut self) -> Bytes {
        std::mem::take(&mut self.text).into()
    }
}
