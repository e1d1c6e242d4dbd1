//! Runs the items leased by this dispatcher, beside live requests and through the same reducer.

use super::concurrency_limit::ConcurrencyLimit;
use super::progress::{AttemptOutcome, Next, Progress};
use super::queue::{ItemNumber, ItemQueue};
use super::statistics::{BatchCounters, REPORT_INTERVAL};
use crate::batch_executor::{BatchExecutor, ItemOutcome, ItemRequest, ItemStep};
use crate::events::{event_data, event_id, split_events};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use mintlb_batch::client::{BatchClient, ItemResult, Leased, LeasedItem};
use mintlb_batch::messages::DispatcherId;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

/// How often leases are renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1000);
/// Items requested in one lease call, if none are queued.
const LEASE_AT_ONCE: usize = 16;
/// Interval of lease calls after one that returned items.
const LEASE_INTERVAL: Duration = Duration::from_millis(120);
/// Backoff before a result is recorded again, and the limit of attempts.
const RECORD_BACKOFF: Duration = Duration::from_millis(300);
const MAX_RECORD_ATTEMPTS: usize = 40;
/// Time limit of one attempt of an item.
const MAX_ATTEMPT_TIME: Duration = Duration::from_secs(60);

/// Leases items of batch jobs and runs them.
pub struct Runner {
    client: Arc<BatchClient>,
    batch_executor: BatchExecutor,
    dispatcher_id: DispatcherId,
    queue: Mutex<ItemQueue>,
    limit: Mutex<ConcurrencyLimit>,
    running: Mutex<HashMap<ItemNumber, CancellationToken>>,
    draining: AtomicBool,
    counters: BatchCounters,
}

impl Runner {
    /// Starts with nothing to run.
    pub fn start(
        client: Arc<BatchClient>,
        batch_executor: BatchExecutor,
        dispatcher_id: DispatcherId,
    ) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            client,
            batch_executor,
            dispatcher_id,
            queue: Mutex::default(),
            limit: Mutex::default(),
            running: Mutex::default(),
            draining: AtomicBool::new(false),
            counters: BatchCounters::default(),
        });
        tokio::spawn(runner.clone().renew());
        tokio::spawn(runner.clone().lease());
        tokio::spawn(runner.clone().report());
        runner
    }

    /// Unix time in ms, which never steps while the process runs.
    pub fn now_ms(&self) -> u64 {
        self.batch_executor.now_ms()
    }

    /// The counts of this dispatcher's batch work.
    pub fn counters(&self) -> &BatchCounters {
        &self.counters
    }

    /// Logs the counts while there is batch work.
    async fn report(self: Arc<Self>) {
        let mut ticks = interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.draining.load(Relaxed) {
            ticks.tick().await;
            let counts = self.counters.take();
            let (waiting, running) = {
                let queue = self.queue.lock();
                (queue.waiting(), queue.running())
            };
            if waiting > 0 || running > 0 || !counts.is_empty() {
                let limit = self.limit.lock().limit();
                log::info!("batch: {waiting} items wait, {running} of {limit} run; {counts}");
            }
        }
    }

    /// Queues items leased by this dispatcher.
    pub fn take(self: &Arc<Self>, items: Vec<LeasedItem>) {
        if self.draining.load(Relaxed) {
            return;
        }
        items
            .into_iter()
            .for_each(|item| self.queue.lock().add(item));
        self.run_next();
        self.release_excess();
    }

    /// Releases the items that wait beyond what may run at once: other dispatchers may run them sooner.
    fn release_excess(self: &Arc<Self>) {
        let limit = self.limit.lock().limit();
        let excess = self.queue.lock().take_excess(limit);
        if excess.is_empty() {
            return;
        }
        let runner = self.clone();
        tokio::spawn(async move {
            runner
                .client
                .release_items(runner.dispatcher_id, excess)
                .await;
        });
    }

    /// Stops all items of an ended job, also those whose lease is still in flight.
    pub fn job_ended(&self, host: &str, job_id: &str) {
        let stopped = self
            .queue
            .lock()
            .end_job((host.to_string(), job_id.to_string()));
        self.cancel(&stopped);
    }

    /// Stops all items and releases their leases, as the process shuts down. Results that are being recorded go on: their
    /// items have run.
    pub fn start_draining(self: &Arc<Self>) {
        self.draining.store(true, Relaxed);
        let (released, stopped) = self.queue.lock().drain();
        self.cancel(&stopped);
        let (client, dispatcher_id) = (self.client.clone(), self.dispatcher_id);
        tokio::spawn(async move { client.release_items(dispatcher_id, released).await });
    }

    /// Whether results are being recorded.
    pub fn is_recording(&self) -> bool {
        self.queue.lock().is_recording()
    }

    fn cancel(&self, numbers: &[ItemNumber]) {
        let running = self.running.lock();
        numbers
            .iter()
            .filter_map(|number| running.get(number))
            .for_each(CancellationToken::cancel);
    }

    fn run_next(self: &Arc<Self>) {
        loop {
            let limit = self.limit.lock().limit();
            let Some((number, item)) = self.queue.lock().start(limit) else {
                return;
            };
            let stop = CancellationToken::new();
            self.running.lock().insert(number, stop.clone());
            let runner = self.clone();
            tokio::spawn(async move {
                let result = tokio::select! {
                    result = runner.run(number, &item) => result,
                    () = stop.cancelled() => None,
                };
                if let Some(result) = result {
                    runner.record(&item, result).await;
                }
                runner.running.lock().remove(&number);
                runner.queue.lock().finish(number);
                runner.run_next();
            });
        }
    }

    /// Runs an item until it has a result, which is to be recorded.
    async fn run(self: &Arc<Self>, number: ItemNumber, item: &LeasedItem) -> Option<ItemResult> {
        let result = self.run_to_result(number, item).await;
        if result.is_some() {
            // Before the next wait: from now on no shutdown stops it.
            self.queue.lock().begin_recording(number);
        }
        result
    }

    /// The result of an item; none if its lease is lost before.
    async fn run_to_result(
        self: &Arc<Self>,
        number: ItemNumber,
        item: &LeasedItem,
    ) -> Option<ItemResult> {
        let Some((id, headers)) = request_headers(item) else {
            return Some(ItemResult::Unrecoverable);
        };
        let mut progress = Progress::after_failures(item.failures);
        if progress.has_exhausted_attempts(&item.terms) {
            return Some(ItemResult::Unrecoverable);
        }
        while self.queue.lock().is_leased(number) {
            let outcome = self
                .attempt(item, id.clone(), headers.clone(), &mut progress)
                .await;
            let next = progress.ended(&outcome, &item.terms, self.now_ms());
            let failed = self.queue.lock().failed(number, progress.failures());
            match next {
                Next::Record(result) => return Some(result),
                Next::RunAgain(backoff) => {
                    // Reported at once, so that another lease holder does not restart the count.
                    if let Some(failed) = failed.filter(|_| outcome == AttemptOutcome::Failed) {
                        self.client.renew(self.dispatcher_id, vec![failed]).await;
                    }
                    sleep(backoff).await;
                }
            }
        }
        None
    }

    /// Adapts the limit of concurrent items to the occupancy that an item's service has now.
    fn adapt_limit(self: &Arc<Self>, occupancy: Option<f64>) {
        let running = self.queue.lock().running();
        let now = self.now_ms() as f64 / 1e3;
        self.limit.lock().update(now, occupancy, running);
        self.run_next();
    }

    async fn attempt(
        self: &Arc<Self>,
        item: &LeasedItem,
        id: HeaderValue,
        headers: HeaderMap,
        progress: &mut Progress,
    ) -> AttemptOutcome {
        let mut run = self.batch_executor.run(ItemRequest {
            host: item.host.clone(),
            path: item.item.path.clone(),
            id,
            headers,
            tenant: item.tenant.clone(),
            body: item.item.body.clone(),
            time: MAX_ATTEMPT_TIME,
            last_event_id: progress.last_event(),
        });
        self.adapt_limit(run.occupancy());
        loop {
            match run.next().await {
                ItemStep::Events(events) => {
                    self.adapt_limit(run.occupancy());
                    for event in split_events(events) {
                        progress.event(event_id(&event), &event_data(&event));
                    }
                }
                ItemStep::Ended(outcome) => return attempt_outcome(outcome),
            }
        }
    }

    async fn record(&self, item: &LeasedItem, result: ItemResult) {
        for _ in 0..MAX_RECORD_ATTEMPTS {
            let recorded = self
                .client
                .record(&item.host, &item.job_id, item.index, result.clone())
                .await;
            self.counters.on_record_attempt(recorded.is_ok());
            if recorded.is_ok() {
                return;
            }
            sleep(RECORD_BACKOFF).await;
        }
        log::warn!("batch: could not record a result of job {}", item.job_id);
    }

    /// Renews leases regularly.
    async fn renew(self: Arc<Self>) {
        let mut tick = interval(RENEWAL_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.draining.load(Relaxed) {
            tick.tick().await;
            self.release_excess();
            self.renew_leases().await;
        }
    }

    /// Renews all leases, and stops the items whose leases are lost.
    async fn renew_leases(&self) {
        let leased = self.queue.lock().leased();
        if !leased.is_empty() {
            let renewed = self.client.renew(self.dispatcher_id, leased).await;
            let lost = renewed.lost.iter().map(|job| job.items.len()).sum();
            self.counters.on_renewal(lost, renewed.unanswered);
            for lost in renewed.lost {
                let key = (lost.host, lost.job_id);
                let stopped = self.queue.lock().drop_items(&key, Some(&lost.items));
                self.cancel(&stopped);
            }
        }
    }

    /// Leases unclaimed items, while this dispatcher has few.
    async fn lease(self: Arc<Self>) {
        while !self.draining.load(Relaxed) {
            let limit = self.limit.lock().limit();
            let has_few = {
                let queue = self.queue.lock();
                queue.waiting() == 0 && queue.running() <= limit
            };
            let asked_at = Instant::now();
            let leased = match has_few {
                true => {
                    self.client
                        .lease(self.dispatcher_id, LEASE_AT_ONCE.min(limit))
                        .await
                }
                false => Leased::default(),
            };
            let Leased {
                items: leased,
                unanswered,
            } = leased;
            self.counters.on_lease_call(leased.len(), unanswered);
            let delay = if leased.is_empty() && has_few {
                RENEWAL_INTERVAL
            } else {
                LEASE_INTERVAL
            };
            let is_late = asked_at.elapsed() >= RENEWAL_INTERVAL;
            self.take(leased);
            if is_late {
                // Little is left of the leases of a late response.
                self.renew_leases().await;
            }
            sleep(delay).await;
        }
    }
}

fn attempt_outcome(outcome: ItemOutcome) -> AttemptOutcome {
    match outcome {
        ItemOutcome::Completed => AttemptOutcome::Completed,
        ItemOutcome::Refused => AttemptOutcome::NotRun,
        ItemOutcome::Failed(StatusCode::INTERNAL_SERVER_ERROR) => AttemptOutcome::Failed,
        ItemOutcome::Failed(_) | ItemOutcome::Broken { .. } => AttemptOutcome::Broken,
        ItemOutcome::CannotBeDone => AttemptOutcome::CannotBeDone,
        ItemOutcome::NoRoute => AttemptOutcome::NoRoute,
    }
}

/// The id and headers of an item's request; none if they can't be sent.
fn request_headers(item: &LeasedItem) -> Option<(HeaderValue, HeaderMap)> {
    let id = HeaderValue::from_str(&item.item.instance_id).ok()?;
    let mut headers = HeaderMap::new();
    for (name, value) in &item.item.headers {
        headers.append(
            HeaderName::from_bytes(name.as_bytes()).ok()?,
            HeaderValue::from_str(value).ok()?,
        );
    }
    Some((id, headers))
}
