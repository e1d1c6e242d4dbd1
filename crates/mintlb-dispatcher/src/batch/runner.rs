//! Runs the items leased by this dispatcher, through the same reducer as live requests.

use super::concurrency_limit::ConcurrencyLimit;
use super::progress::{AttemptOutcome, ItemProgress, NextStep};
use super::queue::{ItemNumber, ItemQueue};
use super::statistics::{BatchCounters, REPORT_INTERVAL};
use crate::batch_executor::{BatchExecutor, ItemOutcome, ItemRequest, ItemStep};
use crate::event_stream::{event_data, event_id, split_events};
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
/// Maximum number of items requested in one lease call.
const MAX_ITEMS_PER_LEASE_CALL: usize = 16;
/// Delay before the next lease call after one that returned items, or while no items are needed.
const LEASE_CALL_INTERVAL: Duration = Duration::from_millis(120);
/// Backoff between attempts to record a result, and the maximum number of attempts.
const RECORD_BACKOFF: Duration = Duration::from_millis(300);
const MAX_RECORD_ATTEMPTS: usize = 40;
/// Maximum duration of one attempt of an item.
const MAX_ATTEMPT_TIME: Duration = Duration::from_secs(60);

/// Leases items of batch jobs and runs them.
pub struct ItemRunner {
    client: Arc<BatchClient>,
    batch_executor: BatchExecutor,
    dispatcher_id: DispatcherId,
    queue: Mutex<ItemQueue>,
    limit: Mutex<ConcurrencyLimit>,
    running: Mutex<HashMap<ItemNumber, CancellationToken>>,
    draining: AtomicBool,
    counters: BatchCounters,
}

impl ItemRunner {
    /// Starts the tasks that lease items, renew leases and log the counts.
    pub fn start(
        client: Arc<BatchClient>,
        batch_executor: BatchExecutor,
        dispatcher_id: DispatcherId,
    ) -> Arc<ItemRunner> {
        let runner = Arc::new(ItemRunner {
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

    /// Unix time in ms by a clock that is not adjusted while the process runs.
    pub fn now_ms(&self) -> u64 {
        self.batch_executor.now_ms()
    }

    /// Counters of this dispatcher's work on batch jobs.
    pub fn counters(&self) -> &BatchCounters {
        &self.counters
    }

    /// Regularly logs the counts, while there is anything to report.
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
                log::info!("batch: {waiting} items queued, {running} of {limit} running; {counts}");
            }
        }
    }

    /// Queues leased items and starts as many as the concurrency limit allows. Ignored during a shutdown.
    pub fn enqueue(self: &Arc<Self>, items: Vec<LeasedItem>) {
        if self.draining.load(Relaxed) {
            return;
        }
        items
            .into_iter()
            .for_each(|item| self.queue.lock().add(item));
        self.run_next();
        self.release_excess();
    }

    /// Releases queued items beyond the concurrency limit, as other dispatchers may run them sooner.
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

    /// Stops all items of an ended job, and ignores those whose lease response is still in flight.
    pub fn job_ended(&self, host: &str, job_id: &str) {
        let stopped = self
            .queue
            .lock()
            .end_job((host.to_string(), job_id.to_string()));
        self.cancel(&stopped);
    }

    /// Stops all items and releases their leases, because the process shuts down. The recording of results continues, as
    /// their items have run.
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

    /// Runs an item until it has a result to record; `None` if its lease is lost before.
    async fn run(self: &Arc<Self>, number: ItemNumber, item: &LeasedItem) -> Option<ItemResult> {
        let result = self.run_to_result(number, item).await;
        if result.is_some() {
            // Called before the next await point, so that no shutdown stops the item once it has a result.
            self.queue.lock().begin_recording(number);
        }
        result
    }

    /// Makes attempts until an item has a result; `None` if its lease is lost before.
    async fn run_to_result(
        self: &Arc<Self>,
        number: ItemNumber,
        item: &LeasedItem,
    ) -> Option<ItemResult> {
        let Some((id, headers)) = request_headers(item) else {
            return Some(ItemResult::Unrecoverable);
        };
        let mut progress = ItemProgress::after_failures(item.failures);
        if progress.has_exhausted_attempts(&item.terms) {
            return Some(ItemResult::Unrecoverable);
        }
        while self.queue.lock().is_leased(number) {
            let outcome = self
                .attempt(item, id.clone(), headers.clone(), &mut progress)
                .await;
            let next = progress.on_attempt_ended(&outcome, &item.terms, self.now_ms());
            let failed = self
                .queue
                .lock()
                .record_failures(number, progress.failures());
            match next {
                NextStep::Record(result) => return Some(result),
                NextStep::Retry(backoff) => {
                    // Reported at once, so that another dispatcher that takes over the lease continues the count.
                    if let Some(failed) = failed.filter(|_| outcome == AttemptOutcome::Failed) {
                        self.client.renew(self.dispatcher_id, vec![failed]).await;
                    }
                    sleep(backoff).await;
                }
            }
        }
        None
    }

    /// Adapts the concurrency limit to the current occupancy of an item's service, and starts further items.
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
        progress: &mut ItemProgress,
    ) -> AttemptOutcome {
        let mut run = self.batch_executor.execute(ItemRequest {
            host: item.host.clone(),
            path: item.item.path.clone(),
            id,
            headers,
            tenant: item.tenant.clone(),
            body: item.item.body.clone(),
            time_limit: MAX_ATTEMPT_TIME,
            last_event_id: progress.last_event(),
        });
        self.adapt_limit(run.occupancy());
        loop {
            match run.next().await {
                ItemStep::Events(events) => {
                    self.adapt_limit(run.occupancy());
                    for event in split_events(events) {
                        progress.add_event(event_id(&event), &event_data(&event));
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

    /// Renews leases each [`RENEWAL_INTERVAL`].
    async fn renew(self: Arc<Self>) {
        let mut tick = interval(RENEWAL_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.draining.load(Relaxed) {
            tick.tick().await;
            self.release_excess();
            self.renew_leases().await;
        }
    }

    /// Renews all leases and stops the items whose leases are lost.
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

    /// Leases items that no dispatcher runs, whenever this one has none queued.
    async fn lease(self: Arc<Self>) {
        while !self.draining.load(Relaxed) {
            let limit = self.limit.lock().limit();
            let needs_items = {
                let queue = self.queue.lock();
                queue.waiting() == 0 && queue.running() <= limit
            };
            let called_at = Instant::now();
            let leased = match needs_items {
                true => {
                    self.client
                        .lease(self.dispatcher_id, MAX_ITEMS_PER_LEASE_CALL.min(limit))
                        .await
                }
                false => Leased::default(),
            };
            let Leased {
                items: leased,
                unanswered,
            } = leased;
            self.counters.on_lease_call(leased.len(), unanswered);
            let delay = if leased.is_empty() && needs_items {
                RENEWAL_INTERVAL
            } else {
                LEASE_CALL_INTERVAL
            };
            let is_late = called_at.elapsed() >= RENEWAL_INTERVAL;
            self.enqueue(leased);
            if is_late {
                // The leases of a late response are about to expire.
                self.renew_leases().await;
            }
            sleep(delay).await;
        }
    }
}

fn attempt_outcome(outcome: ItemOutcome) -> AttemptOutcome {
    match outcome {
        ItemOutcome::Completed => AttemptOutcome::Completed,
        ItemOutcome::NotExecuted => AttemptOutcome::NotRun,
        ItemOutcome::Failed(StatusCode::INTERNAL_SERVER_ERROR) => AttemptOutcome::Failed,
        ItemOutcome::Failed(_) | ItemOutcome::Broken { .. } => AttemptOutcome::Broken,
        ItemOutcome::Unprocessable => AttemptOutcome::Unprocessable,
        ItemOutcome::NoRoute => AttemptOutcome::NoRoute,
    }
}

/// The id and headers of an item's request; `None` if they are not valid in an HTTP request.
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
