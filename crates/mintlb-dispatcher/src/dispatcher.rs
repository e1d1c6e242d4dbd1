//! The event loop around the reducer: events go in, its actions are carried out.

use crate::admission::{RateLimiter, Unlimited};
use crate::batch_executor::{BatchExecutor, BatchHandler};
use crate::cluster_state::{ClusterUpdate, Numbering};
use crate::downstream::{Downstream, DownstreamConfig};
use crate::log_bridge;
use crate::permits::Permits;
use crate::readiness;
use crate::routing::RoutingTable;
use crate::shared::Shared;
use crate::statistics::REPORT_INTERVAL;
use crate::tuning;
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

/// Interval of housekeeping; the second applies during a graceful shutdown.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
const DRAINING_HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(40);
/// After this time with a configuration the process is ready, also if a service has no worker.
const MAX_READINESS_WAIT: Duration = Duration::from_millis(1500);
/// Seconds for which a draining process keeps idle connections, until the platform has noticed.
const IDLE_CLOSE_DELAY: f64 = 2.2;
/// Requests that arrive this many seconds after the shutdown began are rejected, as they could outlast it; limited to
/// this share of the grace period.
const LATE_ACCEPT: f64 = 2.6;
const LATE_ACCEPT_SHARE: f64 = 1.0 / 3.0;
/// The process exits no sooner than this many seconds after the shutdown began, as clients may still be routed here.
const MIN_SHUTDOWN: f64 = 3.2;
/// Requests in flight get their final response the first number of seconds before the kill; the process exits the
/// second number before it.
const FINAL_RESPONSE_MARGIN: f64 = 1.2;
const EXIT_MARGIN: f64 = 0.6;
/// An attempt ends this many seconds before its client's deadline.
const SEND_MARGIN: f64 = 0.02;
/// Limit of events handled in one turn of the loop.
const MAX_EVENTS_PER_TURN: usize = 64;
/// The share of the process's memory for bodies of requests.
const BODY_MEMORY_SHARE: f64 = 0.25;
/// File descriptors reserved for anything but clients and workers.
const OTHER_DESCRIPTORS: u64 = 400;

/// Zones, resource limits and grace period of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// The own zone.
    pub zone: String,
    /// All zones.
    pub zones: Vec<String>,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Limit of open file descriptors.
    pub max_open_files: u64,
    /// Seconds between SIGTERM and the kill.
    pub grace_period_s: f64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A dispatcher that does not serve yet.
pub struct Dispatcher {
    /// State shared by its tasks.
    pub shared: Arc<Shared>,
    /// Channel for updates of the cluster state.
    pub update_sender: UnboundedSender<ClusterUpdate>,
    /// Handler of calls on batch jobs.
    pub batch: Option<Arc<dyn BatchHandler>>,
    /// Counts the requests of tenants.
    pub rate_limiter: Arc<dyn RateLimiter>,
    config: DispatcherConfig,
    events: UnboundedReceiver<Event>,
    updates: UnboundedReceiver<ClusterUpdate>,
}

/// Worker lists come from records, not from a watch.
struct NoWatch;

impl ListWatcher for NoWatch {
    fn watch(&mut self, _after: Option<u64>) {}
}

/// State of the event loop.
struct EventLoop {
    shared: Arc<Shared>,
    reducer: Reducer,
    effects: ActionExecutor<NoWatch>,
    numbering: Numbering,
    lifecycle: Arc<Mutex<Lifecycle>>,
    downstream: Arc<Downstream>,
    batch: Option<Arc<dyn BatchHandler>>,
    version: Option<u64>,
    /// A configuration that the reducer could not apply yet.
    deferred: Option<(u64, Arc<Configuration>)>,
    configured: Option<Instant>,
    joined: bool,
    recheck_at: Option<Instant>,
    final_responses_sent: bool,
    grace: f64,
    reported_at: Instant,
}

impl Dispatcher {
    /// Creates a dispatcher without any cluster state.
    pub fn new(config: DispatcherConfig) -> Dispatcher {
        let (event_sender, events) = unbounded_channel();
        let (update_sender, updates) = unbounded_channel();
        let shared = Arc::new(Shared::new(Clock::start(), event_sender, config.seed));
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

    /// An executor of batch items on this dispatcher.
    pub fn batch_executor(&self) -> BatchExecutor {
        BatchExecutor::new(self.shared.clone())
    }

    /// Serves until `stop` resolves, and then until all accepted requests got their response.
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
        let notice = CloseDelays {
            after_leave: IDLE_CLOSE_DELAY,
            after_stop: IDLE_CLOSE_DELAY,
        };
        let lifecycle = Arc::new(Mutex::new(Lifecycle::new(notice)));
        let descriptors = config
            .max_open_files
            .saturating_sub(OTHER_DESCRIPTORS)
            .max(64) as usize;
        let bodies = (config.memory_mb as f64 * BODY_MEMORY_SHARE * 1e6) as usize;
        let downstream = Downstream::new(DownstreamConfig {
            shared: shared.clone(),
            capacity: Capacity::new(descriptors / 2, bodies),
            connections: descriptors / 2,
            lifecycle: lifecycle.clone(),
            late_accept_seconds: LATE_ACCEPT.min(config.grace_period_s * LATE_ACCEPT_SHARE),
            batch: batch.clone(),
            rate_limiter,
        });
        let readiness_lifecycle = lifecycle.clone();
        tokio::spawn(readiness::listen(
            readiness,
            Arc::new(move || readiness_lifecycle.lock().is_ready()),
        ));
        tokio::spawn(downstream.clone().listen(frontend));
        let numbering = Numbering::new(config.zones.iter());
        let mut reducer = Reducer::new(
            scheduler(&config, &numbering),
            ProjectTypes::new(Vec::new()),
            descriptors / 2,
            SEND_MARGIN,
        );
        reducer.set_dispatch_policy(Arc::new(Permits::new(shared.clone())));
        let effects = ActionExecutor::new(
            NoWatch,
            shared.clock,
            log_bridge::logger(),
            Arc::new(Metrics::default()),
        );
        let mut event_loop = EventLoop {
            shared: shared.clone(),
            reducer,
            effects,
            numbering,
            lifecycle,
            downstream,
            batch,
            version: None,
            deferred: None,
            configured: None,
            joined: false,
            recheck_at: None,
            final_responses_sent: false,
            grace: config.grace_period_s,
            reported_at: Instant::now(),
        };
        let actions = event_loop.reducer.start(shared.clock.now(), None, false);
        actions
            .into_iter()
            .for_each(|action| event_loop.effects.execute(action));
        let (mut stop, mut stopping) = (pin!(stop), false);
        let (mut tick, mut timer) = (
            Instant::now() + HOUSEKEEPING_INTERVAL,
            pin!(sleep_until(Instant::now())),
        );
        loop {
            let due = event_loop.due().map_or(tick, |due| due.min(tick));
            if timer.deadline() != due {
                timer.as_mut().reset(due);
            }
            tokio::select! {
                Some(event) = events.recv() => {
                    event_loop.step(event);
                    for _ in 0..MAX_EVENTS_PER_TURN {
                        let Ok(event) = events.try_recv() else { break };
                        event_loop.step(event);
                    }
                }
                Some(update) = updates.recv() => {
                    // Events from before the update go by the project types in force until now.
                    while let Ok(event) = events.try_recv() {
                        event_loop.step(event);
                    }
                    event_loop.apply_update(update);
                }
                () = &mut timer => {
                    event_loop.wake();
                    if Instant::now() >= tick {
                        let interval = if stopping {
                            DRAINING_HOUSEKEEPING_INTERVAL
                        } else {
                            HOUSEKEEPING_INTERVAL
                        };
                        tick = Instant::now() + interval;
                        if event_loop.tick(&mut events) {
                            return;
                        }
                    }
                }
                () = &mut stop, if !stopping => {
                    stopping = true;
                    tick = Instant::now() + DRAINING_HOUSEKEEPING_INTERVAL;
                    event_loop.start_draining();
                }
            }
        }
    }
}

fn scheduler(config: &DispatcherConfig, numbering: &Numbering) -> Scheduler {
    let slow_start = SlowStart {
        scheduler_count: 1.0,
        ..SlowStart::default()
    };
    let fleet = Fleet::new(
        slow_start,
        numbering.zone(&config.zone),
        true,
        tuning::costs(),
        &[],
    );
    let buffers = Queues::new(Vec::new(), 1.0, tuning::come_back());
    let chain = (FairShares::new(&[]), buffers, tuning::repeats(), fleet);
    Scheduler::new(Rng::new(config.seed), chain, ListPolling::default())
}

impl EventLoop {
    fn step(&mut self, event: Event) {
        match &event {
            Event::Finished(back) => self.effects.record_result(back),
            Event::Started(attempt) => self.effects.log_started(*attempt),
            Event::ClientLeft(wu) => self.effects.log_client_left(*wu),
            _ => {}
        }
        let actions = self.reducer.reduce(self.shared.clock.now(), event);
        actions
            .into_iter()
            .for_each(|action| self.effects.execute(action));
        if let Some(at) = self.reducer.take_recheck_time() {
            let at = self.shared.clock.instant(at);
            self.recheck_at = Some(self.recheck_at.map_or(at, |recheck_at| recheck_at.min(at)));
        }
    }

    /// When the reducer's next timer is due.
    fn due(&self) -> Option<Instant> {
        self.effects
            .wake_at
            .into_iter()
            .chain(self.recheck_at)
            .min()
    }

    fn wake(&mut self) {
        let now = Instant::now();
        let is_due = |due: &mut Option<Instant>| due.take_if(|due| *due <= now).is_some();
        let (due, recheck_at) = (
            is_due(&mut self.effects.wake_at),
            is_due(&mut self.recheck_at),
        );
        if due || recheck_at {
            self.step(Event::TimerFired);
        }
    }

    fn apply_update(&mut self, update: ClusterUpdate) {
        match update {
            ClusterUpdate::Configuration(version, configuration) => {
                self.configure(version, configuration)
            }
            ClusterUpdate::Worker(record) => {
                if let Some(event) = self.numbering.worker_event(&self.shared, &record) {
                    self.step(event);
                }
            }
            ClusterUpdate::Joined => self.joined = true,
        }
        self.update_readiness();
    }

    /// Puts a complete configuration in force, unless a newer one is.
    fn configure(&mut self, version: u64, configuration: Arc<Configuration>) {
        if self.version.is_some_and(|current| current >= version) {
            return;
        }
        let types = tuning::project_types(&configuration, &mut self.numbering.services);
        if let Err(why) = self.reducer.reconfigure(&types, &tuning::terms()) {
            log::warn!("dispatch: configuration {version} deferred: {why}");
            self.deferred = Some((version, configuration));
            return;
        }
        self.deferred = None;
        self.version = Some(version);
        self.configured = self.configured.or(Some(Instant::now()));
        self.effects.set_project_types(self.reducer.project_types());
        self.shared.set_routing(RoutingTable::new(
            configuration,
            self.reducer.project_types(),
        ));
        log::info!(
            "dispatch: configuration {version} is in force, {} project types",
            types.len()
        );
        self.step(Event::TimerFired);
    }

    /// Reports readiness once a configuration and the workers are known.
    fn update_readiness(&mut self) {
        if self.lifecycle.lock().is_ready() {
            return;
        }
        let Some((configured, table)) = self.configured.zip(self.shared.routing()) else {
            return;
        };
        let served = || {
            table
                .configuration
                .service_list
                .iter()
                .all(|service| self.shared.workers.serves(&service.name))
        };
        if self.joined && (configured.elapsed() >= MAX_READINESS_WAIT || served()) {
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

    /// Logs the counts of requests regularly.
    fn report(&mut self) {
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

    /// Housekeeping; returns whether the process may exit.
    fn tick(&mut self, events: &mut UnboundedReceiver<Event>) -> bool {
        if let Some((version, configuration)) = self.deferred.take() {
            while let Ok(event) = events.try_recv() {
                self.step(event);
            }
            self.configure(version, configuration);
        }
        self.update_readiness();
        self.report();
        self.shared.workers.sweep();
        let members = self.shared.workers.remove_unresponsive();
        if !members.is_empty() {
            self.step(Event::MembershipChanged(
                None,
                MembershipUpdate {
                    source: WorkerSource::ListService,
                    full: false,
                    members,
                },
            ));
        }
        let (now, lifecycle) = (self.shared.clock.now(), *self.lifecycle.lock());
        let Some(stopped) = lifecycle.stopping_since() else {
            return false;
        };
        let since = now - stopped;
        if lifecycle.closes_idle_connections(now) {
            self.downstream.close_idle();
        }
        if since >= self.grace - FINAL_RESPONSE_MARGIN
            && !std::mem::replace(&mut self.final_responses_sent, true)
        {
            log::warn!(
                "dispatch: shutdown deadline reached, {} requests in flight",
                self.reducer.held_count()
            );
            self.shared.end();
            self.step(Event::DrainDeadline);
        }
        let is_recording = self.batch.iter().any(|batch| batch.is_recording());
        let quiet =
            self.reducer.held_count() == 0 && self.downstream.connected() == 0 && !is_recording;
        let over = since >= self.grace - EXIT_MARGIN
            || quiet && since >= MIN_SHUTDOWN.min(self.grace - FINAL_RESPONSE_MARGIN);
        if over {
            log::info!(
                "dispatch: stopped, {} connections open",
                self.downstream.connected()
            );
        }
        over
    }
}
