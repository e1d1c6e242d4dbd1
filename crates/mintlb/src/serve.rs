//! Start-up, the one loop round the reducer, and the end.

use crate::change::Change;
use crate::grants::Grants;
use crate::join::{Plans, Shared, join};
use crate::kin::Kin;
use crate::operator::Operator;
use crate::placement::Placement;
use crate::record::Record;
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

/// All that a start needs, read and found good.
pub struct Plan {
    pub placement: Placement,
    pub operator: Operator,
    pub text: FlatSettings,
    pub grants: Grants,
    pub scheduler: Scheduler,
    pub terms: ReloadableSettings,
    /// The project types by name, and the customers' names, in the order of their numbers.
    pub types: Vec<(String, ProjectType)>,
    pub customers: Vec<String>,
    /// What of the operator's file is to be joined.
    pub plans: Plans,
}

impl Plan {
    pub fn new(placement: Placement, operator: Operator) -> Result<Plan, String> {
        let text = placement.text();
        let scheduler = text.scheduler(placement.seed()?)?;
        let sessions = operator
            .beanstalkd
            .as_ref()
            .map_or(0, |table| table.connections);
        let machine = placement.limits.within_system();
        let grants = Grants::new(&machine, &text, sessions, placement.passed.is_some())?;
        let (types, terms) = (text.named_types()?, text.reloadable()?);
        let customers = (0..text.customer_count()?).map(|i| text.get(&format!("tenants.{i}.name")));
        let (names, project_types): (Vec<String>, Vec<ProjectType>) = types.iter().cloned().unzip();
        let customers: Vec<String> = customers.collect::<Result<_, _>>()?;
        let plans = Plans::new(
            &operator,
            &placement.name,
            &names,
            &project_types,
            &customers,
        )?;
        Ok(Plan {
            placement,
            operator,
            grants,
            scheduler,
            terms,
            types,
            customers,
            plans,
            text,
        })
    }
}

/// What a scheduler is told from outside while it serves.
pub enum Told {
    /// A new configuration and operator's file, read and found good. Of them the list service's address, the project
    /// types and their terms hold from now on.
    Changed(Box<Change>),
    /// A new configuration that can't be read, or is not good, and why.
    Bad(String),
    /// Answer what is held and what still comes, and end.
    Stop,
}

/// One event, and what follows from it.
fn step(hands: &mut ActionExecutor<ListWatch>, reducer: &mut Reducer, now: f64, event: Event) {
    match &event {
        Event::Finished(back) => hands.record_result(back),
        Event::Started(attempt) => hands.log_started(*attempt),
        Event::ClientLeft(wu) => hands.log_client_left(*wu),
        _ => {}
    }
    reducer
        .reduce(now, event)
        .into_iter()
        .for_each(|act| hands.execute(act));
}

/// What an operator's call is answered, and what follows from it.
fn operate(
    call: Command,
    standing: &Mutex<Lifecycle>,
    now: f64,
    page: impl FnOnce() -> String,
) -> Reply {
    let mut standing = standing.lock();
    let word = match call {
        Command::Dump => return Reply::Metrics(page()),
        Command::Health => None,
        Command::Leave => Some(LifecycleEvent::Leave),
        Command::Join => Some(LifecycleEvent::Join),
    };
    let heard = word.map_or(Ok(()), |word| standing.apply(now, word));
    let shown = standing.state_name().to_string();
    match heard {
        Err(why) => Reply::Failure(why.to_string()),
        Ok(()) if call == Command::Health && !standing.is_ready() => Reply::Failure(shown),
        Ok(()) => Reply::Success(shown),
    }
}

/// The figures of all parts.
fn page(figures: &Metrics, subsystems: &[Box<dyn Subsystem>], now: Gauges) -> String {
    subsystems
        .iter()
        .fold(figures.render(now), |page, part| page + &part.metrics())
}

/// Serves until it is told to stop, and then until all that was taken is answered.
pub async fn serve(
    plan: Plan,
    log: Logger,
    mut told: UnboundedReceiver<Told>,
) -> Result<(), String> {
    let Plan {
        mut placement,
        operator,
        text,
        mut grants,
        scheduler,
        types,
        customers,
        plans,
        ..
    } = plan;
    let listen = placement.listen;
    // A socket that is passed on is one that others of this name may listen on, too.
    let folder = std::env::var_os("TMPDIR")
        .filter(|_| placement.passed.is_some())
        .map(PathBuf::from);
    let mut kin = folder
        .as_ref()
        .map(|folder| Kin::new(folder, &placement.name));
    let listener = match placement.passed.take() {
        Some(passed) => TcpListener::from_std(passed),
        None => TcpListener::bind(listen).await,
    };
    let listener = listener.map_err(|e| format!("listen: {listen}: {e}"))?;
    // Port 0 is any free one, so the log tells which.
    let listen = listener
        .local_addr()
        .map_err(|e| format!("listen: {listen}: {e}"))?;
    let mut listener = Some(listener);
    let clock = Clock::start();
    let (tell, mut events) = unbounded_channel();
    let (numbers, room) = (
        WorkUnitIds::default(),
        Capacity::new(grants.open, grants.bodies),
    );
    let (figures, standing) = (
        Arc::new(Metrics::default()),
        Arc::new(Mutex::new(Lifecycle::new(grants.notice))),
    );
    let (ask, mut asked) = unbounded_channel();
    if let Some(at) = placement.ops {
        let no = |e| format!("ops: {at}: {e}");
        let door = TcpListener::bind(at).await.map_err(no)?;
        let at = door.local_addr().map_err(no)?;
        tokio::spawn(AdminServer::new(grants.door, ask.clone(), log.clone()).listen(door));
        info!(log, "operators can call"; "ops" => %at);
    }
    let worded = RequestTemplate {
        scheduler_name: placement.name.clone(),
        project_types: types.iter().map(|(name, _)| name.clone()).collect(),
        customers: customers.clone(),
    };
    let fields = text.list("stats.fields");
    let workers = WorkerClient::new(
        &grants.http,
        clock,
        tell.clone(),
        &fields,
        worded,
        figures.sent_attempts(),
        log.clone(),
    );
    let own = |path| text.list(path).into_iter().map(str::to_string).collect();
    let only = plans
        .beanstalkd
        .as_ref()
        .map_or(ProjectTypeSet::EMPTY, |plan| plan.only);
    let runs = ProjectTypeSet::default().difference(only);
    let reading = ListDecoder {
        zones: own("zones"),
        kinds: own("machine_types"),
        runs,
        worker_client: workers,
    };
    let mut record = folder
        .as_ref()
        .map(|folder| Record::new(folder, &placement.name, placement.discovery));
    let known = placement.known.take();
    let known = record
        .as_ref()
        .map_or(known.clone(), |record| record.newer(known));
    let told_first = known
        .as_ref()
        .map(|known| (known.version, reading.membership_update(known)));
    let project_types = text.project_types()?;
    let shared = Shared {
        name: &placement.name,
        seed: placement.seed()?,
        clock,
        tell: &tell,
        numbers: &numbers,
        room: &room,
        sends: figures.sent_attempts(),
        project_types: &project_types,
        told: told_first.as_ref().map(|(_, told)| told),
        log: &log,
    };
    let joined = join(plans, &grants, &shared).await?;
    let (subsystems, purse) = (joined.subsystems.clone(), joined.purse.clone());
    if let Some((record, known)) = record.as_mut().zip(known.as_ref()) {
        record.hear(known).ok();
    }
    let (record, besides) = (
        record.map(|record| Arc::new(Mutex::new(record))),
        subsystems.clone(),
    );
    let kept = record.clone();
    let unwritten = log.clone();
    let besides: ListObserver = Arc::new(move |listing, told| {
        besides
            .iter()
            .for_each(|part| part.on_membership_update(told));
        if let Some(Err(e)) = record.as_ref().map(|record| record.lock().hear(listing)) {
            warn!(unwritten, "the list can't be left for the next process"; "why" => %e);
        }
    });
    let list = ListClient::new(&grants.http, placement.discovery);
    let watch = ListWatch::new(list, reading, tell.clone(), besides, log.clone());
    let mut hands = ActionExecutor::new(watch, clock, log.clone(), figures.clone());
    let shared = (numbers, room, clock, standing.clone());
    let limits = grants.http.clone();
    let front = Frontend::new(customers, limits, shared, tell, log.clone());
    let mut reducer = Reducer::new(
        scheduler,
        ProjectTypes::new(types),
        grants.out,
        grants.margin,
    );
    purse
        .into_iter()
        .for_each(|purse| reducer.set_shared_budgets(purse));
    hands.set_project_types(reducer.project_types());
    front.set_project_types(reducer.project_types(), &figures);

    // Who takes over first hears what has changed: what the old one was told, it was told, too.
    let takes_over = kin.as_ref().is_some_and(|kin| kin.others() > 0);
    reducer
        .start(clock.now(), told_first, takes_over)
        .into_iter()
        .for_each(|act| hands.execute(act));
    let turned_down = |why: String| {
        figures.configs_rejected.fetch_add(1, Relaxed);
        warn!(log, "the new configuration is not taken, the old one holds"; "why" => why);
    };
    let mut ready_by = takes_over.then(|| Instant::now() + grants.first_list);
    let mut listening: Option<AbortHandle> = None;
    let mut tally = interval(grants.tally);
    loop {
        if listener.is_some() && ready_by.is_none_or(|by| Instant::now() >= by) {
            listening = listener
                .take()
                .map(|l| tokio::spawn(front.clone().listen(l)).abort_handle());
            standing
                .lock()
                .apply(clock.now(), LifecycleEvent::Ready)
                .ok();
            if let Some(Err(e)) = kin.as_mut().map(Kin::enter) {
                warn!(log, "another process of this name will not see this one"; "why" => %e);
            }
            info!(log, "serving"; "name" => &placement.name, "listen" => %listen);
        }
        let stands = *standing.lock();
        // While it turns clients away, it looks often whether they have gone.
        let look = Instant::now() + grants.late_arrivals / 32;
        let looks = stands.draining_since().is_some() || listener.is_some();
        let event = tokio::select! {
            event = events.recv() => event,
            () = sleep_until(hands.wake_at.unwrap_or(look)), if hands.wake_at.is_some() => {
                hands.wake_at = None;
                Some(Event::TimerFired)
            }
            _ = tally.tick() => {
                hands.log_counts(reducer.held_count());
                front.log_counts();
                subsystems.iter().for_each(|part| part.log_counts());
                None
            }
            Some(word) = told.recv() => match word {
                Told::Changed(new) => {
                    // What was read before goes by the project types of then.
                    while let Ok(event) = events.try_recv() {
                        step(&mut hands, &mut reducer, clock.now(), event);
                    }
                    let fault = new.fault(&placement, &operator, reducer.project_types());
                    match fault.map_or_else(|| reducer.reconfigure(&new.types, &new.terms), Err) {
                        Err(why) => {
                            turned_down(why);
                            None
                        }
                        Ok(()) => {
                            figures.configs_applied.fetch_add(1, Relaxed);
                            joined.change(&new.plans);
                            hands.set_project_types(reducer.project_types());
                            front.set_project_types(reducer.project_types(), &figures);
                            grants.last_answer = new.last_answer;
                            let types: Vec<&str> = new.types.iter().map(|(name, _)| name.as_str()).collect();
                            info!(log, "the new configuration holds"; "project types" => types.join(", "));
                            let waits = new.waits(&placement, &operator).join(", ");
                            if !waits.is_empty() {
                                warn!(log, "part of the new configuration waits for the next start"; "fields" => waits);
                            }
                            placement.take(new.placement).then(|| {
                                let at = placement.discovery;
                                info!(log, "the list is followed at another address"; "discovery" => %at);
                                kept.iter().for_each(|record| record.lock().moved(at));
                                hands.list_watcher.replace_client(ListClient::new(&grants.http, at));
                                Event::ListMoved
                            })
                        }
                    }
                }
                Told::Bad(why) => {
                    turned_down(why);
                    None
                }
                Told::Stop => {
                    info!(log, "told to stop: answering what is held and what still comes"; "held" => reducer.held_count());
                    let succeeded = kin.as_ref().is_some_and(|kin| kin.others() > 0);
                    standing.lock().apply(clock.now(), LifecycleEvent::Stop { has_successor: succeeded }).ok();
                    if succeeded {
                        // Whoever connects from now on is the successor's; who is here already is served here.
                        info!(log, "another process of this name takes the clients");
                        listening.iter().for_each(AbortHandle::abort);
                    }
                    subsystems.iter().for_each(|part| part.begin_shutdown());
                    // The others must not count on this one from now on.
                    kin.iter_mut().for_each(Kin::leave);
                    None
                }
            },
            Some((call, answer)) = asked.recv() => {
                let reply = operate(call, &standing, clock.now(), || page(&figures, &subsystems, reducer.gauges()));
                if matches!(call, Command::Leave | Command::Join) {
                    let leaving = standing.lock().is_leaving();
                    subsystems.iter().for_each(|part| part.set_leaving(leaving));
                    info!(log, "an operator's call"; "answer" => ?reply, "call" => ?call);
                }
                answer.send(reply).ok();
                None
            }
            () = sleep_until(look), if looks => None,
        };
        if matches!(&event, Some(Event::MembershipChanged(Some(_), _))) {
            ready_by = None;
        }
        let stands = *standing.lock();
        let since = clamped_duration(stands.stopping_since().map_or(0.0, |at| clock.now() - at));
        let stopped = stands.stopping_since().is_some();
        let last = stopped && since >= grants.last_answer;
        for event in event
            .into_iter()
            .chain(last.then_some(Event::DrainDeadline))
        {
            step(&mut hands, &mut reducer, clock.now(), event);
        }
        if stands.closes_idle_connections(clock.now()) {
            // Again and again: those that came late and say nothing are closed, too.
            front.close_idle();
        }
        if stopped && since >= grants.late_arrivals && reducer.held_count() == 0 {
            // What was said must have gone out, and ends be told; but who takes nothing can't keep the program.
            let overdue = since >= grants.last_answer + grants.late_arrivals / 4;
            let quiet = || subsystems.iter().all(|part| part.is_flushed());
            if !(overdue || front.connections() == 0 && quiet()) {
                continue;
            }
            hands.log_counts(reducer.held_count());
            front.log_counts();
            subsystems.iter().for_each(|part| part.finish_shutdown());
            info!(log, "stopped"; "connected" => front.connections());
            return Ok(());
        }
    }
}
