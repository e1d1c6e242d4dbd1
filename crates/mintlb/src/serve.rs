//! The scheduler's start, event loop and graceful shutdown.

use crate::configuration::Configuration;
use crate::membership_snapshot::SnapshotFile;
use crate::operator_config::OperatorConfig;
use crate::reload::Reload;
use crate::resource_limits::ResourceLimits;
use crate::siblings::Siblings;
use crate::subsystems::{Context, SubsystemPlans, start};
use mintlb_admin::command::{Command, Reply};
use mintlb_admin::server::AdminServer;
use mintlb_core::capacity::Capacity;
use mintlb_core::clock::{Clock, clamped_duration};
use mintlb_core::executor::ActionExecutor;
use mintlb_core::lifecycle::{Lifecycle, LifecycleEvent};
use mintlb_core::metrics::{Gauges, Metrics};
use mintlb_core::project_types::ProjectTypes;
use mintlb_core::reducer::{Event, Reducer};
use mintlb_core::subsystem::Subsystem;
use mintlb_core::work::WorkUnitIds;
use mintlb_http::frontend::Frontend;
use mintlb_http::list_service::{ListClient, ListDecoder, ListObserver, ListWatch};
use mintlb_http::worker::{RequestTemplate, WorkerClient};
use mintlb_scheduler::decide::Scheduler;
use mintlb_scheduler::settings::{FlatSettings, ReloadableSettings};
use mintlb_scheduler::{ProjectType, ProjectTypeSet};
use parking_lot::Mutex;
use slog::{Logger, info, warn};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::AbortHandle;
use tokio::time::{Instant, interval, sleep_until};

/// Everything needed to start a scheduler, read from the configuration files and validated.
pub struct StartupPlan {
    pub configuration: Configuration,
    pub operator: OperatorConfig,
    /// The settings by path.
    pub settings: FlatSettings,
    pub resource_limits: ResourceLimits,
    pub scheduler: Scheduler,
    pub terms: ReloadableSettings,
    /// The project types by name, in the order of their numbers.
    pub types: Vec<(String, ProjectType)>,
    /// The customers' names, in the order of their numbers.
    pub customers: Vec<String>,
    pub subsystems: SubsystemPlans,
}

impl StartupPlan {
    pub fn new(
        configuration: Configuration,
        operator: OperatorConfig,
    ) -> Result<StartupPlan, String> {
        let settings = configuration.scheduler_settings();
        let scheduler = settings.scheduler(configuration.seed()?)?;
        let beanstalkd_connections = operator
            .beanstalkd
            .as_ref()
            .map_or(0, |table| table.connections);
        let machine = configuration.limits.capped_by_system();
        let resource_limits = ResourceLimits::new(
            &machine,
            &settings,
            beanstalkd_connections,
            configuration.inherited_socket.is_some(),
        )?;
        let (types, terms) = (settings.named_types()?, settings.reloadable()?);
        let customers =
            (0..settings.customer_count()?).map(|i| settings.get(&format!("tenants.{i}.name")));
        let (names, project_types): (Vec<String>, Vec<ProjectType>) = types.iter().cloned().unzip();
        let customers: Vec<String> = customers.collect::<Result<_, _>>()?;
        let subsystems = SubsystemPlans::new(
            &operator,
            &configuration.name,
            &names,
            &project_types,
            &customers,
        )?;
        Ok(StartupPlan {
            configuration,
            operator,
            resource_limits,
            scheduler,
            terms,
            types,
            customers,
            subsystems,
            settings,
        })
    }
}

/// A message from outside to a running scheduler.
pub enum ControlMessage {
    /// A new configuration and operator's file, read and validated. Of them, the list service's address, the project
    /// types and their terms, and the fleet's budgets are applied.
    Reload(Box<Reload>),
    /// A new configuration that can't be read or is invalid, and the reason. The current one stays in use.
    InvalidConfiguration(String),
    /// Start the graceful shutdown: answer all open requests and those that still arrive, then end.
    Stop,
}

/// Handles one event and carries out the actions that follow from it.
fn handle_event(
    executor: &mut ActionExecutor<ListWatch>,
    reducer: &mut Reducer,
    now: f64,
    event: Event,
) {
    match &event {
        Event::Finished(result) => executor.record_result(result),
        Event::Started(attempt) => executor.log_started(*attempt),
        Event::ClientLeft(wu) => executor.log_client_left(*wu),
        _ => {}
    }
    reducer
        .reduce(now, event)
        .into_iter()
        .for_each(|action| executor.execute(action));
}

/// Executes an operator's command, and returns the reply.
fn execute_command(
    command: Command,
    lifecycle: &Mutex<Lifecycle>,
    now: f64,
    metrics_page: impl FnOnce() -> String,
) -> Reply {
    let mut lifecycle = lifecycle.lock();
    let event = match command {
        Command::Dump => return Reply::Metrics(metrics_page()),
        Command::Health => None,
        Command::Leave => Some(LifecycleEvent::Leave),
        Command::Join => Some(LifecycleEvent::Join),
    };
    let result = event.map_or(Ok(()), |event| lifecycle.apply(now, event));
    let state = lifecycle.state_name().to_string();
    match result {
        Err(why) => Reply::Failure(why.to_string()),
        Ok(()) if command == Command::Health && !lifecycle.is_ready() => Reply::Failure(state),
        Ok(()) => Reply::Success(state),
    }
}

/// The metrics of the core and of all subsystems, one line each.
fn metrics_page(metrics: &Metrics, subsystems: &[Box<dyn Subsystem>], now: Gauges) -> String {
    subsystems
        .iter()
        .fold(metrics.render(now), |page, source| page + &source.metrics())
}

/// Runs a scheduler until [`ControlMessage::Stop`] and the graceful shutdown after it. Fails if a socket can't be
/// opened or a setting is invalid.
pub async fn serve(
    plan: StartupPlan,
    log: Logger,
    mut control: UnboundedReceiver<ControlMessage>,
) -> Result<(), String> {
    let StartupPlan {
        mut configuration,
        operator,
        settings,
        mut resource_limits,
        scheduler,
        types,
        customers,
        subsystems,
        ..
    } = plan;
    let listen = configuration.listen;
    // Only an inherited socket can be shared with sibling processes.
    let dir = std::env::var_os("TMPDIR")
        .filter(|_| configuration.inherited_socket.is_some())
        .map(PathBuf::from);
    let mut siblings = dir
        .as_ref()
        .map(|dir| Siblings::new(dir, &configuration.name));
    let listener = match configuration.inherited_socket.take() {
        Some(inherited) => TcpListener::from_std(inherited),
        None => TcpListener::bind(listen).await,
    };
    let listener = listener.map_err(|e| format!("listen: {listen}: {e}"))?;
    // The configured port may be 0, which binds any free one. The log tells the actual address.
    let listen = listener
        .local_addr()
        .map_err(|e| format!("listen: {listen}: {e}"))?;
    let mut listener = Some(listener);
    let clock = Clock::start();
    let (event_sender, mut events) = unbounded_channel();
    let (work_unit_ids, capacity) = (
        WorkUnitIds::default(),
        Capacity::new(resource_limits.open_requests, resource_limits.body_bytes),
    );
    let (metrics, lifecycle) = (
        Arc::new(Metrics::default()),
        Arc::new(Mutex::new(Lifecycle::new(resource_limits.close_delays))),
    );
    let (command_sender, mut commands) = unbounded_channel();
    if let Some(ops) = configuration.ops {
        let error = |e| format!("ops: {ops}: {e}");
        let admin = TcpListener::bind(ops).await.map_err(error)?;
        let ops = admin.local_addr().map_err(error)?;
        tokio::spawn(
            AdminServer::new(resource_limits.admin, command_sender.clone(), log.clone())
                .listen(admin),
        );
        info!(log, "admin socket is listening"; "ops" => %ops);
    }
    let request_template = RequestTemplate {
        scheduler_name: configuration.name.clone(),
        project_types: types.iter().map(|(name, _)| name.clone()).collect(),
        customers: customers.clone(),
    };
    let fields = settings.list("stats.fields");
    let worker_client = WorkerClient::new(
        &resource_limits.http,
        clock,
        event_sender.clone(),
        &fields,
        request_template,
        metrics.sent_attempts(),
        log.clone(),
    );
    let names = |key| settings.list(key).into_iter().map(str::to_string).collect();
    let beanstalkd_only = subsystems
        .beanstalkd
        .as_ref()
        .map_or(ProjectTypeSet::EMPTY, |plan| plan.only);
    let runs = ProjectTypeSet::default().difference(beanstalkd_only);
    let list_decoder = ListDecoder {
        zones: names("zones"),
        kinds: names("machine_types"),
        runs,
        worker_client,
    };
    let mut snapshot = dir
        .as_ref()
        .map(|dir| SnapshotFile::new(dir, &configuration.name, configuration.discovery));
    let known = configuration.known_workers.take();
    let known = snapshot
        .as_ref()
        .map_or(known.clone(), |snapshot| snapshot.newer(known));
    let initial_members = known
        .as_ref()
        .map(|listing| (listing.version, list_decoder.membership_update(listing)));
    let project_types = settings.project_types()?;
    let context = Context {
        name: &configuration.name,
        seed: configuration.seed()?,
        clock,
        events: &event_sender,
        work_unit_ids: &work_unit_ids,
        capacity: &capacity,
        sends: metrics.sent_attempts(),
        project_types: &project_types,
        initial_members: initial_members.as_ref().map(|(_, update)| update),
        log: &log,
    };
    let started = start(subsystems, &resource_limits, &context).await?;
    let (subsystems, shared_budgets) = (started.all.clone(), started.shared_budgets.clone());
    if let Some((snapshot, known)) = snapshot.as_mut().zip(known.as_ref()) {
        snapshot.update(known).ok();
    }
    let (snapshot, listeners) = (
        snapshot.map(|snapshot| Arc::new(Mutex::new(snapshot))),
        subsystems.clone(),
    );
    let current_snapshot = snapshot.clone();
    let snapshot_log = log.clone();
    let list_observer: ListObserver = Arc::new(move |listing, update| {
        listeners
            .iter()
            .for_each(|subsystem| subsystem.on_membership_update(update));
        if let Some(Err(e)) = snapshot
            .as_ref()
            .map(|snapshot| snapshot.lock().update(listing))
        {
            warn!(snapshot_log, "the membership snapshot could not be written"; "why" => %e);
        }
    });
    let list_client = ListClient::new(&resource_limits.http, configuration.discovery);
    let list_watch = ListWatch::new(
        list_client,
        list_decoder,
        event_sender.clone(),
        list_observer,
        log.clone(),
    );
    let mut executor = ActionExecutor::new(list_watch, clock, log.clone(), metrics.clone());
    let shared = (work_unit_ids, capacity, clock, lifecycle.clone());
    let limits = resource_limits.http.clone();
    let frontend = Frontend::new(customers, limits, shared, event_sender, log.clone());
    let mut reducer = Reducer::new(
        scheduler,
        ProjectTypes::new(types),
        resource_limits.attempts_in_flight,
        resource_limits.answer_margin_s,
    );
    shared_budgets
        .into_iter()
        .for_each(|shared_budgets| reducer.set_shared_budgets(shared_budgets));
    executor.set_project_types(reducer.project_types());
    frontend.set_project_types(reducer.project_types(), &metrics);

    // A process that takes over waits for the list before it accepts clients: workers whose drain was announced to its
    // sibling must get nothing new from this process either.
    let takes_over = siblings
        .as_ref()
        .is_some_and(|siblings| siblings.count() > 0);
    reducer
        .start(clock.now(), initial_members, takes_over)
        .into_iter()
        .for_each(|action| executor.execute(action));
    let reject_reload = |why: String| {
        metrics.configs_rejected.fetch_add(1, Relaxed);
        warn!(log, "new configuration rejected, keeping the current one"; "why" => why);
    };
    let mut list_deadline =
        takes_over.then(|| Instant::now() + resource_limits.initial_list_timeout);
    let mut accept_task: Option<AbortHandle> = None;
    let mut counts_timer = interval(resource_limits.counts_interval);
    loop {
        if listener.is_some() && list_deadline.is_none_or(|deadline| Instant::now() >= deadline) {
            accept_task = listener
                .take()
                .map(|l| tokio::spawn(frontend.clone().listen(l)).abort_handle());
            lifecycle
                .lock()
                .apply(clock.now(), LifecycleEvent::Ready)
                .ok();
            if let Some(Err(e)) = siblings.as_mut().map(Siblings::register) {
                warn!(log, "sibling processes can't detect this one"; "why" => %e);
            }
            info!(log, "serving"; "name" => &configuration.name, "listen" => %listen);
        }
        let state = *lifecycle.lock();
        // While it sends clients away, it checks frequently whether they have gone.
        let next_check = Instant::now() + resource_limits.late_arrivals / 32;
        let checks = state.draining_since().is_some() || listener.is_some();
        let event = tokio::select! {
            event = events.recv() => event,
            () = sleep_until(executor.wake_at.unwrap_or(next_check)), if executor.wake_at.is_some() => {
                executor.wake_at = None;
                Some(Event::TimerFired)
            }
            _ = counts_timer.tick() => {
                executor.log_counts(reducer.held_count());
                frontend.log_counts();
                subsystems.iter().for_each(|subsystem| subsystem.log_counts());
                None
            }
            Some(message) = control.recv() => match message {
                ControlMessage::Reload(new) => {
                    // Events read before the reload refer to the former project types.
                    while let Ok(event) = events.try_recv() {
                        handle_event(&mut executor, &mut reducer, clock.now(), event);
                    }
                    let rejection = new.rejection(&configuration, &operator, reducer.project_types());
                    match rejection {
                        Some(why) => {
                            reject_reload(why);
                            None
                        }
                        None => {
                            reducer.reconfigure(&new.types, &new.terms);
                            metrics.configs_applied.fetch_add(1, Relaxed);
                            started.reload(&new.subsystems);
                            executor.set_project_types(reducer.project_types());
                            frontend.set_project_types(reducer.project_types(), &metrics);
                            resource_limits.shutdown_deadline = new.shutdown_deadline;
                            let types: Vec<&str> = new.types.iter().map(|(name, _)| name.as_str()).collect();
                            info!(log, "new configuration applied"; "project types" => types.join(", "));
                            let pending = new.pending_restart(&configuration, &operator).join(", ");
                            if !pending.is_empty() {
                                warn!(log, "some changes of the new configuration take effect at the next restart";
                                    "fields" => pending);
                            }
                            configuration.apply(new.configuration).then(|| {
                                let discovery = configuration.discovery;
                                info!(log, "the list service's address has changed"; "discovery" => %discovery);
                                current_snapshot.iter().for_each(|snapshot| snapshot.lock().set_discovery(discovery));
                                executor.list_watcher.replace_client(ListClient::new(&resource_limits.http, discovery));
                                Event::ListMoved
                            })
                        }
                    }
                }
                ControlMessage::InvalidConfiguration(why) => {
                    reject_reload(why);
                    None
                }
                ControlMessage::Stop => {
                    info!(log, "graceful shutdown: answering open requests and those that still arrive";
                        "held" => reducer.held_count());
                    let has_successor = siblings.as_ref().is_some_and(|siblings| siblings.count() > 0);
                    lifecycle.lock().apply(clock.now(), LifecycleEvent::Stop { has_successor }).ok();
                    if has_successor {
                        // New connections go to the successor; existing ones are still served here.
                        info!(log, "a sibling process accepts new connections from now on");
                        accept_task.iter().for_each(AbortHandle::abort);
                    }
                    subsystems.iter().for_each(|subsystem| subsystem.begin_shutdown());
                    // Siblings that stop later must not count on this process as their successor.
                    siblings.iter_mut().for_each(Siblings::unregister);
                    None
                }
            },
            Some((command, reply_sender)) = commands.recv() => {
                let reply = execute_command(command, &lifecycle, clock.now(), || metrics_page(&metrics, &subsystems, reducer.gauges()));
                if matches!(command, Command::Leave | Command::Join) {
                    let leaving = lifecycle.lock().is_leaving();
                    subsystems.iter().for_each(|subsystem| subsystem.set_leaving(leaving));
                    info!(log, "operator command executed"; "answer" => ?reply, "call" => ?command);
                }
                reply_sender.send(reply).ok();
                None
            }
            () = sleep_until(next_check), if checks => None,
        };
        if matches!(&event, Some(Event::MembershipChanged(Some(_), _))) {
            list_deadline = None;
        }
        let state = *lifecycle.lock();
        let stopping_for =
            clamped_duration(state.stopping_since().map_or(0.0, |at| clock.now() - at));
        let stopping = state.stopping_since().is_some();
        let deadline_passed = stopping && stopping_for >= resource_limits.shutdown_deadline;
        for event in event
            .into_iter()
            .chain(deadline_passed.then_some(Event::DrainDeadline))
        {
            handle_event(&mut executor, &mut reducer, clock.now(), event);
        }
        if state.closes_idle_connections(clock.now()) {
            // Repeated, to close connections that were opened since and are idle.
            frontend.close_idle();
        }
        if stopping && stopping_for >= resource_limits.late_arrivals && reducer.held_count() == 0 {
            // Buffered replies must be written and ends of jobs reported, but peers that read nothing must not keep the
            // program from ending.
            let overdue = stopping_for
                >= resource_limits.shutdown_deadline + resource_limits.late_arrivals / 4;
            let quiet = || subsystems.iter().all(|subsystem| subsystem.is_flushed());
            if !(overdue || frontend.connections() == 0 && quiet()) {
                continue;
            }
            executor.log_counts(reducer.held_count());
            frontend.log_counts();
            subsystems
                .iter()
                .for_each(|subsystem| subsystem.finish_shutdown());
            info!(log, "stopped"; "connected" => frontend.connections());
            return Ok(());
        }
    }
}
