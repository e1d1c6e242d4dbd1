//! The one loop round the reducer: what was read goes in, what is to be done is carried out.

use crate::batch_executor::{BatchExecutor, BatchHandler};
use crate::cluster_state::{ClusterUpdate, Numbering};
use crate::downstream::{Downstream, DownstreamConfig};
use crate::log_bridge;
use crate::permits::Permits;
use crate::readiness;
use crate::routing::RoutingTable;
use crate::shared::Shared;
use crate::tuning;
use mintlb_common::configuration::Configuration;
use mintlb_core::clock::Clock;
use mintlb_core::figures::Figures;
use mintlb_core::hands::{Hands, Watcher};
use mintlb_core::members::{Source, Told};
use mintlb_core::reducer::{Event, Reducer};
use mintlb_core::room::Room;
use mintlb_core::standing::{Notice, Standing, Word};
use mintlb_core::types::Types;
use mintlb_scheduler::ColdRule;
use mintlb_scheduler::decide::{Buffers, Fleet, Follow, Scheduler, Shares};
use mintlb_scheduler::tools::Chance;
use parking_lot::Mutex;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until};

/// Between two looks at connections and at the end; the second while the process is to end.
const TICK: Duration = Duration::from_millis(500);
const DRAINING_TICK: Duration = Duration::from_millis(40);
/// After so long with a configuration it is ready, also if a service has no worker.
const WORKERS_WAIT: Duration = Duration::from_millis(1500);
/// A process that is to end keeps idle connections for so many seconds, until the platform has noticed.
const NOTICE: f64 = 2.2;
/// Requests that come later than so many seconds after it was told to end are refused: they could outlast it. Also no
/// later than this part of the grace.
const TAKES_LATE: f64 = 2.6;
const TAKES_LATE_SHARE: f64 = 1.0 / 3.0;
/// It ends no sooner, as clients may still be sent here.
const LATE_ARRIVALS: f64 = 3.2;
/// What is still held gets its answer so many seconds before the process is killed, and it ends so many before.
const LAST_CALL: f64 = 1.2;
const LAST_EXIT: f64 = 0.6;
/// A send ends so many seconds before its client's time is over.
const SEND_MARGIN: f64 = 0.02;
/// The number of requests that are taken in at once, at the most.
const BATCH_OF_EVENTS: usize = 64;
/// Bodies of requests may take this part of the process's memory.
const BODY_MEMORY_SHARE: f64 = 0.25;
/// Descriptors that are kept for all that is no client's or worker's.
const OTHER_DESCRIPTORS: u64 = 400;

/// What a dispatcher may use, and how long it has to end.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// The own zone.
    pub zone: String,
    /// All zones.
    pub zones: Vec<String>,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub max_open_files: u64,
    /// Seconds between the word to end and the kill.
    pub grace_period_s: f64,
    /// For chance.
    pub seed: u64,
}

/// A dispatcher that does not serve yet.
pub struct Dispatcher {
    /// What its parts share.
    pub shared: Arc<Shared>,
    /// Tells it what the records say.
    pub update_sender: UnboundedSender<ClusterUpdate>,
    /// Who answers calls that concern lots.
    pub batch: Option<Arc<dyn BatchHandler>>,
    config: DispatcherConfig,
    events: UnboundedReceiver<Event>,
    known: UnboundedReceiver<ClusterUpdate>,
}

/// The lists of workers come by records, not by a watch.
struct NoWatch;

impl Watcher for NoWatch {
    fn watch(&mut self, _after: Option<u64>) {}
}

/// The loop's own state.
struct Loop {
    shared: Arc<Shared>,
    reducer: Reducer,
    effects: Hands<NoWatch>,
    numbering: Numbering,
    lifecycle: Arc<Mutex<Standing>>,
    downstream: Arc<Downstream>,
    batch: Option<Arc<dyn BatchHandler>>,
    version: Option<u64>,
    /// A configuration that the reducer could not take yet.
    deferred: Option<(u64, Arc<Configuration>)>,
    configured: Option<Instant>,
    joined: bool,
    look: Option<Instant>,
    last_call: bool,
    grace: f64,
}

impl Dispatcher {
    /// One that knows nothing yet.
    pub fn new(config: DispatcherConfig) -> Dispatcher {
        let (event_sender, events) = unbounded_channel();
        let (update_sender, known) = unbounded_channel();
        let shared = Arc::new(Shared::new(Clock::start(), event_sender, config.seed));
        Dispatcher {
            shared,
            update_sender,
            batch: None,
            config,
            events,
            known,
        }
    }

    /// Takes items of lots in.
    pub fn batch_executor(&self) -> BatchExecutor {
        BatchExecutor::new(self.shared.clone())
    }

    /// Serves until `stop` resolves, and then until all that was taken is answered.
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
            config,
            mut events,
            mut known,
        } = self;
        let notice = Notice {
            leave: NOTICE,
            stop: NOTICE,
        };
        let lifecycle = Arc::new(Mutex::new(Standing::new(notice)));
        let descriptors = config
            .max_open_files
            .saturating_sub(OTHER_DESCRIPTORS)
            .max(64) as usize;
        let bodies = (config.memory_mb as f64 * BODY_MEMORY_SHARE * 1e6) as usize;
        let downstream = Downstream::new(DownstreamConfig {
            shared: shared.clone(),
            capacity: Room::new(descriptors / 2, bodies),
            connections: descriptors / 2,
            lifecycle: lifecycle.clone(),
            accepts_late: TAKES_LATE.min(config.grace_period_s * TAKES_LATE_SHARE),
            batch: batch.clone(),
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
            Types::new(Vec::new()),
            descriptors / 2,
            SEND_MARGIN,
        );
        reducer.take_permit(Arc::new(Permits::new(shared.clone())));
        let effects = Hands::new(
            NoWatch,
            shared.clock,
            log_bridge::logger(),
            Arc::new(Figures::default()),
        );
        let mut main = Loop {
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
            look: None,
            last_call: false,
            grace: config.grace_period_s,
        };
        let acts = main.reducer.start(shared.clock.now(), None, false);
        acts.into_iter().for_each(|act| main.effects.carry_out(act));
        let (mut stop, mut stopping) = (pin!(stop), false);
        let (mut tick, mut timer) = (Instant::now() + TICK, pin!(sleep_until(Instant::now())));
        loop {
            let due = main.due().map_or(tick, |due| due.min(tick));
            if timer.deadline() != due {
                timer.as_mut().reset(due);
            }
            tokio::select! {
                Some(event) = events.recv() => {
                    main.step(event);
                    for _ in 0..BATCH_OF_EVENTS {
                        let Ok(event) = events.try_recv() else { break };
                        main.step(event);
                    }
                }
                Some(known) = known.recv() => {
                    // What was read before goes by the project types of then.
                    while let Ok(event) = events.try_recv() {
                        main.step(event);
                    }
                    main.apply_update(known);
                }
                () = &mut timer => {
                    main.wake();
                    if Instant::now() >= tick {
                        tick = Instant::now() + if stopping { DRAINING_TICK } else { TICK };
                        if main.tick(&mut events) {
                            return;
                        }
                    }
                }
                () = &mut stop, if !stopping => {
                    stopping = true;
                    tick = Instant::now() + DRAINING_TICK;
                    main.start_draining();
                }
            }
        }
    }
}

fn scheduler(config: &DispatcherConfig, numbering: &Numbering) -> Scheduler {
    let slow_start = ColdRule {
        among: 1.0,
        ..ColdRule::default()
    };
    let fleet = Fleet::new(
        slow_start,
        numbering.zone(&config.zone),
        true,
        tuning::costs(),
        &[],
    );
    let buffers = Buffers::new(Vec::new(), 1.0, tuning::come_back());
    let chain = (Shares::new(&[]), buffers, tuning::repeats(), fleet);
    Scheduler::new(Chance::new(config.seed), chain, Follow::default())
}

impl Loop {
    fn step(&mut self, event: Event) {
        match &event {
            Event::Back(back) => self.effects.back(back),
            Event::Started(alloc) => self.effects.started(*alloc),
            Event::Left(wu) => self.effects.left(*wu),
            _ => {}
        }
        let acts = self.reducer.reduce(self.shared.clock.now(), event);
        acts.into_iter().for_each(|act| self.effects.carry_out(act));
        if let Some(at) = self.reducer.take_look() {
            let at = self.shared.clock.instant(at);
            self.look = Some(self.look.map_or(at, |look| look.min(at)));
        }
    }

    /// When the reducer is to be woken.
    fn due(&self) -> Option<Instant> {
        self.effects.due.into_iter().chain(self.look).min()
    }

    fn wake(&mut self) {
        let now = Instant::now();
        let rings = |due: &mut Option<Instant>| due.take_if(|due| *due <= now).is_some();
        let (due, look) = (rings(&mut self.effects.due), rings(&mut self.look));
        if due || look {
            self.step(Event::Woke);
        }
    }

    fn apply_update(&mut self, known: ClusterUpdate) {
        match known {
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
        self.look_ready();
    }

    /// This configuration is in force from now on, whole, unless a newer one is.
    fn configure(&mut self, version: u64, configuration: Arc<Configuration>) {
        if self.version.is_some_and(|known| known >= version) {
            return;
        }
        let types = tuning::project_types(&configuration, &mut self.numbering.services);
        if let Err(why) = self.reducer.retune(&types, &tuning::terms()) {
            log::warn!("dispatch: configuration {version} has to wait: {why}");
            self.deferred = Some((version, configuration));
            return;
        }
        self.deferred = None;
        self.version = Some(version);
        self.configured = self.configured.or(Some(Instant::now()));
        self.effects.take_types(self.reducer.types());
        self.shared
            .take_routing(RoutingTable::new(configuration, self.reducer.types()));
        log::info!(
            "dispatch: configuration {version} is in force, {} project types",
            types.len()
        );
        self.step(Event::Woke);
    }

    /// Clients may come once a configuration and the workers are known.
    fn look_ready(&mut self) {
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
        if self.joined && (configured.elapsed() >= WORKERS_WAIT || served()) {
            self.lifecycle
                .lock()
                .hear(self.shared.clock.now(), Word::Ready)
                .ok();
        }
    }

    fn start_draining(&mut self) {
        log::info!(
            "dispatch: told to end, {} requests are held",
            self.reducer.held()
        );
        self.lifecycle
            .lock()
            .hear(self.shared.clock.now(), Word::Stop { succeeded: true })
            .ok();
        self.batch.iter().for_each(|batch| batch.start_draining());
    }

    /// What is due now and then; whether the process may end.
    fn tick(&mut self, events: &mut UnboundedReceiver<Event>) -> bool {
        if let Some((version, configuration)) = self.deferred.take() {
            while let Ok(event) = events.try_recv() {
                self.step(event);
            }
            self.configure(version, configuration);
        }
        self.look_ready();
        self.shared.workers.sweep();
        let members = self.shared.workers.remove_unresponsive();
        if !members.is_empty() {
            self.step(Event::Members(
                None,
                Told {
                    source: Source::List,
                    full: false,
                    members,
                },
            ));
        }
        let (now, lifecycle) = (self.shared.clock.now(), *self.lifecycle.lock());
        let Some(stopped) = lifecycle.stopped() else {
            return false;
        };
        let since = now - stopped;
        if lifecycle.closes_idle(now) {
            self.downstream.close_idle();
        }
        if since >= self.grace - LAST_CALL && !std::mem::replace(&mut self.last_call, true) {
            log::warn!(
                "dispatch: the time to end is over, {} requests are held",
                self.reducer.held()
            );
            self.shared.end();
            self.step(Event::LastCall);
        }
        let quiet = self.reducer.held() == 0 && self.downstream.connected() == 0;
        let over = since >= self.grace - LAST_EXIT
            || quiet && since >= LATE_ARRIVALS.min(self.grace - LAST_CALL);
        if over {
            log::info!(
                "dispatch: ends, {} connections are open",
                self.downstream.connected()
            );
        }
        over
    }
}
