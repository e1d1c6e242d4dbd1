//! The dispatcher's event loop: passes events to the reducer and carries out the actions that it returns.

use crate::admission::{RateLimiter, Unlimited};
use crate::batch_executor::{BatchExecutor, BatchHandler};
use crate::cluster_state::{ClusterUpdate, SchedulerIdRegistry};
use crate::downstream::{Downstream, DownstreamConfig};
use crate::log_bridge;
use crate::permits::Permits;
use crate::readiness;
use crate::routing::RoutingTable;
use crate::scheduler_settings;
use crate::shared::SharedState;
use crate::statistics::REPORT_INTERVAL;
use mintlb_common::configuration::Configuration;
use mintlb_core::capacity::Capacity;
use mintlb_core::clock::Clock;
use mintlb_core::executor::{ActionExecutor, ListWatcher};
use mintlb_core::lifecycle::{CloseDelays, Lifecycle, LifecycleEvent};
use mintlb_core::membership::{MembershipUpdate, WorkerSource};
use mintlb_core::metrics::Metrics;
use mintlb_core::project_types::ProjectTypes;
use mintlb_core::reducer::{Event, Reducer};
use mintlb_scheduler::SlowStart;
use mintlb_scheduler::decide::{FairShares, Fleet, ListPolling, Queues, Scheduler};
use mintlb_scheduler::util::Rng;
use parking_lot::Mutex;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until};

/// Interval of housekeeping while serving, and during a graceful shutdown.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
const DRAINING_HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(40);
/// After this time with a configuration the process reports that it is ready even if a service has no worker.
const MAX_READINESS_WAIT: Duration = Duration::from_millis(1500);
/// Seconds for which a draining process keeps idle connections open, until the platform's load balancer has noticed that
/// it is no longer ready.
const IDLE_CLOSE_DELAY: f64 = 2.2;
/// Requests that arrive later than this many seconds after the shutdown began are rejected, as they could outlast the
/// grace period. The window is at most this share of the grace period.
const LATE_ACCEPT_WINDOW: f64 = 2.6;
const LATE_ACCEPT_WINDOW_SHARE: f64 = 1.0 / 3.0;
/// Minimum duration of a shutdown in seconds, as the load balancer may still send clients here.
const MIN_SHUTDOWN_DURATION: f64 = 3.2;
/// Requests in flight get their final response this many seconds before the end of the grace period, when the platform
/// kills the process; the process exits `EXIT_MARGIN` seconds before it.
const FINAL_RESPONSE_MARGIN: f64 = 1.2;
const EXIT_MARGIN: f64 = 0.6;
/// An attempt times out this many seconds before its request's deadline.
const ATTEMPT_DEADLINE_MARGIN: f64 = 0.02;
/// Maximum number of events handled in one iteration of the loop.
const MAX_EVENTS_PER_TURN: usize = 64;
/// Share of the process's memory that request bodies may use.
const BODY_MEMORY_SHARE: f64 = 0.25;
/// File descriptors reserved for uses other than connections of clients and workers.
const RESERVED_DESCRIPTORS: u64 = 400;

/// Zones, resource limits and grace period of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// The zone that this dispatcher runs in.
    pub zone: String,
    /// All zones of the cluster. Their order determines the zone ids that the scheduler uses.
    pub zones: Vec<String>,
    /// Memory of the process in MB.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub max_open_files: u64,
    /// Seconds between SIGTERM and SIGKILL.
    pub grace_period_s: f64,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// A dispatcher that is configured but not serving yet.
pub struct Dispatcher {
    /// State shared by the dispatcher's tasks.
    pub shared: Arc<SharedState>,
    /// Sends updates of the cluster state to the event loop.
    pub update_sender: UnboundedSender<ClusterUpdate>,
    /// Handles clients' calls on batch jobs; without one they get a 503.
    pub batch: Option<Arc<dyn BatchHandler>>,
    /// Decides whether a tenant's request is within its rate limit.
    pub rate_limiter: Arc<dyn RateLimiter>,
    config: DispatcherConfig,
    events: UnboundedReceiver<Event>,
    updates: UnboundedReceiver<ClusterUpdate>,
}

/// A watcher that does nothing: changes of the worker list arrive as gossip records.
struct NoopWatcher;

impl ListWatcher for NoopWatcher {
    fn watch(&mut self, _after: Option<u64>) {}
}

/// State of the event loop.
struct EventLoop {
    shared: Arc<SharedState>,
    reducer: Reducer,
    executor: ActionExecutor<NoopWatcher>,
    scheduler_ids: SchedulerIdRegistry,
    lifecycle: Arc<Mutex<Lifecycle>>,
    downstream: Arc<Downstream>,
    batch: Option<Arc<dyn BatchHandler>>,
    version: Option<u64>,
    configured_at: Option<Instant>,
    joined: bool,
    recheck_at: Option<Instant>,
    final_responses_sent: bool,
    grace_period: f64,
    reported_at: Instant,
}

impl Dispatcher {
    /// Creates a dispatcher that knows neither routes nor workers and admits every request.
    pub fn new(config: DispatcherConfig) -> Dispatcher {
        let (event_sender, events) = unbounded_channel();
        let (update_sender, updates) = unbounded_channel();
        let shared = Arc::new(SharedState::new(Clock::start(), event_sender, config.seed));
        Dispatcher {
            shared,
            update_sender,
            batch: None,
            rate_limiter: Arc::new(Unlimited),
            config,
            events,
            updates,
        }
    }

    /// Creates an executor that runs batch items through this dispatcher.
    pub fn batch_executor(&self) -> BatchExecutor {
        BatchExecutor::new(self.shared.clone())
    }

    /// Serves until `stop` resolves, then shuts down gracefully: returns once all accepted requests have their response,
    /// or shortly before the grace period ends.
    pub async fn serve(
        self,
        frontend: TcpListener,
        readiness: TcpListener,
        stop: impl Future<Output = ()>,
    ) {
        let Dispatcher {
            shared,
            update_sender: _update_sender,
            batch,
            rate_limiter,
            config,
            mut events,
            mut updates,
        } = self;
        let close_delays = CloseDelays {
            after_leave: IDLE_CLOSE_DELAY,
            after_stop: IDLE_CLOSE_DELAY,
        };
        let lifecycle = Arc::new(Mutex::new(Lifecycle::new(close_delays)));
        let descriptors = config
            .max_open_files
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(64) as usize;
        let max_body_bytes = (config.memory_mb as f64 * BODY_MEMORY_SHARE * 1e6) as usize;
        let downstream = Downstream::new(DownstreamConfig {
            shared: shared.clone(),
            capacity: Capacity::new(descriptors / 2, max_body_bytes),
            connections: descriptors / 2,
            lifecycle: lifecycle.clone(),
            late_accept_seconds: LATE_ACCEPT_WINDOW
                .min(config.grace_period_s * LATE_ACCEPT_WINDOW_SHARE),
            batch: batch.clone(),
            rate_limiter,
        });
        let readiness_lifecycle = lifecycle.clone();
        tokio::spawn(readiness::listen(
            readiness,
            Arc::new(move || readiness_lifecycle.lock().is_ready()),
        ));
        tokio::spawn(downstream.clone().listen(frontend));
        let scheduler_ids = SchedulerIdRegistry::new(config.zones.iter());
        let mut reducer = Reducer::new(
            scheduler(&config, &scheduler_ids),
            ProjectTypes::new(Vec::new()),
            descriptors / 2,
            ATTEMPT_DEADLINE_MARGIN,
        );
        reducer.set_dispatch_policy(Arc::new(Permits::new(shared.clone())));
        let executor = ActionExecutor::new(
            NoopWatcher,
            shared.clock,
            log_bridge::logger(),
            Arc::new(Metrics::default()),
        );
        let mut event_loop = EventLoop {
            shared: shared.clone(),
            reducer,
            executor,
            scheduler_ids,
            lifecycle,
            downstream,
            batch,
            version: None,
            configured_at: None,
            joined: false,
            recheck_at: None,
            final_responses_sent: false,
            grace_period: config.grace_period_s,
            reported_at: Instant::now(),
        };
        let actions = event_loop.reducer.start(shared.clock.now(), None, false);
        actions
            .into_iter()
            .for_each(|action| event_loop.executor.execute(action));
        let (mut stop, mut stopping) = (pin!(stop), false);
        let (mut next_housekeeping, mut timer) = (
            Instant::now() + HOUSEKEEPING_INTERVAL,
            pin!(sleep_until(Instant::now())),
        );
        loop {
            let due = event_loop
                .next_timer()
                .map_or(next_housekeeping, |due| due.min(next_housekeeping));
            if timer.deadline() != due {
                timer.as_mut().reset(due);
            }
            tokio::select! {
                Some(event) = events.recv() => {
                    event_loop.handle_event(event);
                    for _ in 0..MAX_EVENTS_PER_TURN {
                        let Ok(event) = events.try_recv() else { break };
                        event_loop.handle_event(event);
                    }
                }
                Some(update) = updates.recv() => {
                    // Events received before the update refer to the current project types.
                    while let Ok(event) = events.try_recv() {
                        event_loop.handle_event(event);
                    }
                    event_loop.apply_update(update);
                }
                () = &mut timer => {
                    event_loop.fire_timers();
                    if Instant::now() >= next_housekeeping {
                        let interval = if stopping {
                            DRAINING_HOUSEKEEPING_INTERVAL
                        } else {
                            HOUSEKEEPING_INTERVAL
                        };
                        next_housekeeping = Instant::now() + interval;
                        if event_loop.run_housekeeping() {
                            return;
                        }
                    }
                }
                () = &mut stop, if !stopping => {
                    stopping = true;
                    next_housekeeping = Instant::now() + DRAINING_HOUSEKEEPING_INTERVAL;
                    event_loop.start_draining();
                }
            }
        }
    }
}

fn scheduler(config: &DispatcherConfig, scheduler_ids: &SchedulerIdRegistry) -> Scheduler {
    let slow_start = SlowStart {
        scheduler_count: 1.0,
        ..SlowStart::default()
    };
    let fleet = Fleet::new(
        slow_start,
        scheduler_ids.zone_id(&config.zone),
        true,
        scheduler_settings::costs(),
        &[],
    );
    let queues = Queues::new(Vec::new(), 1.0, scheduler_settings::max_retry_after());
    let policies = (
        FairShares::new(&[]),
        queues,
        scheduler_settings::retry_policy(),
        fleet,
    );
    Scheduler::new(Rng::new(config.seed), policies, ListPolling::default())
}

impl EventLoop {
    fn handle_event(&mut self, event: Event) {
        match &event {
            Event::Finished(result) => self.executor.record_result(result),
            Event::Started(attempt) => self.executor.log_started(*attempt),
            Event::ClientLeft(id) => self.executor.log_client_left(*id),
            _ => {}
        }
        let actions = self.reducer.reduce(self.shared.clock.now(), event);
        actions
            .into_iter()
            .for_each(|action| self.executor.execute(action));
        if let Some(at) = self.reducer.take_recheck_time() {
            let at = self.shared.clock.instant(at);
            self.recheck_at = Some(self.recheck_at.map_or(at, |recheck_at| recheck_at.min(at)));
        }
    }

    /// When the next timer of the reducer or of an action fires.
    fn next_timer(&self) -> Option<Instant> {
        self.executor
            .wake_at
            .into_iter()
            .chain(self.recheck_at)
            .min()
    }

    fn fire_timers(&mut self) {
        let now = Instant::now();
        let is_due = |due: &mut Option<Instant>| due.take_if(|due| *due <= now).is_some();
        let (due, recheck_at) = (
            is_due(&mut self.executor.wake_at),
            is_due(&mut self.recheck_at),
        );
        if due || recheck_at {
            self.handle_event(Event::TimerFired);
        }
    }

    fn apply_update(&mut self, update: ClusterUpdate) {
        match update {
            ClusterUpdate::Configuration(version, configuration) => {
                self.apply_configuration(version, configuration)
            }
            ClusterUpdate::Worker(record) => {
                if let Some(event) = self.scheduler_ids.worker_event(&self.shared, &record) {
                    self.handle_event(event);
                }
            }
            ClusterUpdate::Joined => self.joined = true,
        }
        self.update_readiness();
    }

    /// Applies a configuration, unless the same or a newer version is in force.
    fn apply_configuration(&mut self, version: u64, configuration: Arc<Configuration>) {
        if self.version.is_some_and(|current| current >= version) {
            return;
        }
        let types =
            scheduler_settings::project_types(&configuration, &mut self.scheduler_ids.services);
        self.reducer
            .reconfigure(&types, &scheduler_settings::reloadable_settings());
        self.version = Some(version);
        self.configured_at = self.configured_at.or(Some(Instant::now()));
        self.executor
            .set_project_types(self.reducer.project_types());
        self.shared.set_routing(RoutingTable::new(
            configuration,
            self.reducer.project_types(),
        ));
        log::info!(
            "dispatch: configuration {version} is in force, {} project types",
            types.len()
        );
        self.handle_event(Event::TimerFired);
    }

    /// Marks the process as ready once the cluster state was received and each service has a worker, or
    /// [`MAX_READINESS_WAIT`] is over.
    fn update_readiness(&mut self) {
        if self.lifecycle.lock().is_ready() {
            return;
        }
        let Some((configured_at, table)) = self.configured_at.zip(self.shared.routing()) else {
            return;
        };
        let all_services_served = || {
            table
                .configuration
                .service_list
                .iter()
                .all(|service| self.shared.workers.serves(&service.name))
        };
        if self.joined && (configured_at.elapsed() >= MAX_READINESS_WAIT || all_services_served()) {
            self.lifecycle
                .lock()
                .apply(self.shared.clock.now(), LifecycleEvent::Ready)
                .ok();
        }
    }

    fn start_draining(&mut self) {
        log::info!(
            "dispatch: shutting down, {} requests in flight",
            self.reducer.held_count()
        );
        self.lifecycle
            .lock()
            .apply(
                self.shared.clock.now(),
                LifecycleEvent::Stop {
                    has_successor: true,
                },
            )
            .ok();
        self.batch.iter().for_each(|batch| batch.start_draining());
    }

    /// Logs the counts of requests and admissions each [`REPORT_INTERVAL`].
    fn log_statistics(&mut self) {
        if self.reported_at.elapsed() < REPORT_INTERVAL {
            return;
        }
        self.reported_at = Instant::now();
        for line in self.shared.counters.take_lines() {
            log::info!("dispatch: {line}");
        }
        let admissions = self.shared.admissions.take();
        if !admissions.is_empty() {
            log::info!("admission: {admissions}");
        }
    }

    /// Runs periodic tasks; returns whether the process may exit.
    fn run_housekeeping(&mut self) -> bool {
        self.update_readiness();
        self.log_statistics();
        self.shared.workers.sweep();
        let members = self.shared.workers.remove_unresponsive();
        if !members.is_empty() {
            self.handle_event(Event::MembershipChanged(
                None,
                MembershipUpdate {
                    source: WorkerSource::ListService,
                    full: false,
                    members,
                },
            ));
        }
        let (now, lifecycle) = (self.shared.clock.now(), *self.lifecycle.lock());
        let Some(draining_since) = lifecycle.stopping_since() else {
            return false;
        };
        let elapsed = now - draining_since;
        if lifecycle.closes_idle_connections(now) {
            self.downstream.close_idle();
        }
        if elapsed >= self.grace_period - FINAL_RESPONSE_MARGIN
            && !std::mem::replace(&mut self.final_responses_sent, true)
        {
            log::warn!(
                "dispatch: shutdown deadline reached, {} requests in flight",
                self.reducer.held_count()
            );
            self.shared.set_exiting();
            self.handle_event(Event::DrainDeadline);
        }
        let is_recording = self.batch.iter().any(|batch| batch.is_recording());
        let is_idle =
            self.reducer.held_count() == 0 && self.downstream.connected() == 0 && !is_recording;
        let may_exit = elapsed >= self.grace_period - EXIT_MARGIN
            || is_idle
                && elapsed >= MIN_SHUTDOWN_DURATION.min(self.grace_period - FINAL_RESPONSE_MARGIN);
        if may_exit {
            log::info!(
                "dispatch: stopped, {} connections open",
                self.downstream.connected()
            );
        }
        may_exit
    }
}
