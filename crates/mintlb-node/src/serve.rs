//! Start-up, the one loop round the reducer, and the end.

use crate::grants::Grants;
use crate::operator::Operator;
use crate::placement::Placement;
use mintlb::Runs;
use mintlb::decide::Scheduler;
use mintlb::settings::Text;
use mintlb_beanstalkd::front::{Bounds, Front as Beanstalkd};
use mintlb_beanstalkd::hub::Hub;
use mintlb_core::clock::Clock;
use mintlb_core::hands::Hands;
use mintlb_core::reducer::{Event, Reducer};
use mintlb_core::room::Room;
use mintlb_core::work::Numbers;
use mintlb_http::front::Front;
use mintlb_http::list::{Besides, List, Reading, Watch};
use mintlb_http::worker::{Worded, Workers};
use slog::{Logger, info, warn};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{Instant, interval, sleep_until};

/// All that a start needs, read and found good.
pub struct Plan {
    pub placement: Placement,
    pub operator: Operator,
    pub text: Text,
    pub grants: Grants,
    pub scheduler: Scheduler,
    /// The project types' and customers' names, in the order of their numbers.
    pub types: Vec<String>,
    pub customers: Vec<String>,
    /// Where beanstalkd is spoken.
    pub beanstalkd: Option<mintlb_beanstalkd::table::Plan>,
}

impl Plan {
    pub fn new(placement: Placement, operator: Operator) -> Result<Plan, String> {
        let text = placement.text();
        let scheduler = text.scheduler(placement.seed()?)?;
        let sessions = operator.beanstalkd.as_ref().map_or(0, |table| table.connections);
        let grants = Grants::new(&placement.limits, &text, sessions)?;
        let project_types = text.project_types()?;
        let types = (0..project_types.len()).map(|i| text.get(&format!("project_types.{i}.name")));
        let customers = (0..text.customers()?).map(|i| text.get(&format!("tenants.{i}.name")));
        let types: Vec<String> = types.collect::<Result<_, _>>()?;
        let customers: Vec<String> = customers.collect::<Result<_, _>>()?;
        let beanstalkd = operator
            .beanstalkd
            .clone()
            .map(|table| mintlb_beanstalkd::table::Plan::new(table, &types, &project_types, &customers));
        let beanstalkd = beanstalkd.transpose()?;
        Ok(Plan { placement, operator, grants, scheduler, types, customers, beanstalkd, text })
    }
}

/// What a scheduler is told from outside while it serves.
pub enum Told {
    /// A new configuration and operator's file, read and found good; of them the list service's address holds from
    /// now on.
    Moved(Box<(Placement, Operator)>),
    /// Answer what is held and what still comes, and end.
    Stop,
}

/// Serves until it is told to stop, and then until all that was taken is answered.
pub async fn serve(plan: Plan, log: Logger, mut told: UnboundedReceiver<Told>) -> Result<(), String> {
    let Plan { mut placement, operator, text, grants, scheduler, types, customers, beanstalkd } = plan;
    let listen = placement.listen;
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("listen: {listen}: {e}"))?;
    // Port 0 is any free one, so the log tells which.
    let listen = listener.local_addr().map_err(|e| format!("listen: {listen}: {e}"))?;
    let clock = Clock::start();
    let (tell, mut events) = unbounded_channel();
    let (numbers, room) = (Numbers::default(), Room::new(grants.open, grants.bodies));
    let worded =
        Worded { scheduler: placement.name.clone(), types: types.clone(), customers: customers.clone() };
    let fields = text.list("stats.fields");
    let workers = Workers::new(&grants.http, clock, tell.clone(), &fields, worded, log.clone());
    let own = |path| text.list(path).into_iter().map(str::to_string).collect();
    let only = beanstalkd.as_ref().map_or(Runs::NONE, |plan| plan.only);
    let runs = Runs::default().without(only);
    let reading = Reading { zones: own("zones"), kinds: own("machine_types"), runs, workers };
    let known = placement.known.take().map(|known| (known.version, reading.told(&known)));
    let project_types = text.project_types()?;
    let beanstalkd = match beanstalkd {
        Some(plan) => {
            let listen = plan.table.listen;
            let no = |e| format!("beanstalkd.listen: {listen}: {e}");
            let listener = TcpListener::bind(listen).await.map_err(no)?;
            let listen = listener.local_addr().map_err(no)?;
            let name = placement.name.clone();
            let hub = Hub::new(plan, name, clock.now(), grants.http.body, numbers.clone(), room.clone());
            let (connections, read, pause) = (grants.sessions, grants.http.read, grants.http.dial / 16);
            let bounds = Bounds { connections, read, pause };
            let front = Beanstalkd::new(hub, &project_types, bounds, clock, tell.clone(), log.clone());
            known.iter().for_each(|(_, told)| front.hear(told));
            tokio::spawn(front.clone().listen(listener));
            info!(log, "beanstalkd is spoken"; "listen" => %listen);
            Some(front)
        }
        None => None,
    };
    let besides: Besides = match beanstalkd.clone() {
        Some(front) => Arc::new(move |told| front.hear(told)),
        None => Arc::new(|_| {}),
    };
    let list = List::new(&grants.http, placement.discovery);
    let watch = Watch::new(list, reading, tell.clone(), besides, log.clone());
    let mut hands = Hands::new(watch, clock, log.clone());
    let shared = (numbers, room, clock);
    let front = Front::new(types, &project_types, customers, grants.http.clone(), shared, tell, log.clone());
    let mut reducer = Reducer::new(scheduler, grants.out, grants.margin);

    reducer.start(clock.now(), known).into_iter().for_each(|act| hands.carry_out(act));
    tokio::spawn(front.clone().listen(listener));
    info!(log, "serving"; "name" => &placement.name, "listen" => %listen);

    let mut stopped: Option<Instant> = None;
    let mut tally = interval(grants.tally);
    loop {
        // While it stops, it looks often whether it has ended.
        let look = Instant::now() + grants.late_arrivals / 32;
        let event = tokio::select! {
            event = events.recv() => event,
            () = sleep_until(hands.due.unwrap_or(look)), if hands.due.is_some() => {
                hands.due = None;
                Some(Event::Woke)
            }
            _ = tally.tick() => {
                hands.count(reducer.held());
                front.count();
                beanstalkd.iter().for_each(|front| front.count());
                None
            }
            Some(word) = told.recv() => match word {
                Told::Moved(moved) => {
                    let (new, file) = *moved;
                    let mut later = placement.differs(&new);
                    if file != operator {
                        later.push("the operator's file");
                    }
                    let later = later.join(", ");
                    if !later.is_empty() {
                        warn!(log, "part of the new configuration waits for the next start"; "fields" => later);
                    }
                    placement.discovery = new.discovery;
                    info!(log, "the list is followed at another address"; "discovery" => %placement.discovery);
                    hands.list.follow(List::new(&grants.http, placement.discovery));
                    Some(Event::ListMoved)
                }
                Told::Stop => {
                    info!(log, "told to stop: answering what is held and what still comes"; "held" => reducer.held());
                    front.stop();
                    beanstalkd.iter().for_each(|front| front.stop());
                    stopped.get_or_insert_with(Instant::now);
                    None
                }
            },
            () = sleep_until(look), if stopped.is_some() => None,
        };
        let since = stopped.map(|at| at.elapsed()).unwrap_or_default();
        let last = since >= grants.last_answer;
        for event in event.into_iter().chain(last.then_some(Event::LastCall)) {
            match &event {
                Event::Back(back) => hands.back(back),
                Event::Started(alloc) => hands.started(*alloc),
                _ => {}
            }
            reducer.reduce(clock.now(), event).into_iter().for_each(|act| hands.carry_out(act));
        }
        if since >= grants.keep_open {
            // Again and again: those that came late and say nothing are closed, too.
            front.close();
        }
        if since >= grants.late_arrivals && reducer.held() == 0 {
            // What was said must have gone out, and ends be told; but who takes nothing can't keep the program.
            let overdue = since >= grants.last_answer + grants.late_arrivals / 4;
            let quiet = || beanstalkd.iter().all(|front| front.is_quiet());
            if !(overdue || front.connected() == 0 && quiet()) {
                continue;
            }
            hands.count(reducer.held());
            front.count();
            info!(log, "stopped"; "connected" => front.connected());
            return Ok(());
        }
    }
}
