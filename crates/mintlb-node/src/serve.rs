//! Start-up, the one loop round the reducer, and the end.

use crate::grants::Grants;
use crate::placement::Placement;
use mintlb::Runs;
use mintlb::decide::Scheduler;
use mintlb::settings::Text;
use mintlb_core::clock::Clock;
use mintlb_core::hands::Hands;
use mintlb_core::reducer::{Event, Reducer};
use mintlb_core::room::Room;
use mintlb_core::work::Numbers;
use mintlb_http::front::Front;
use mintlb_http::list::{List, Reading, Watch};
use mintlb_http::worker::{Worded, Workers};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{Instant, interval, sleep_until};

/// All that a start needs, read and found good.
pub struct Plan {
    pub placement: Placement,
    pub text: Text,
    pub grants: Grants,
    pub scheduler: Scheduler,
    /// The project types' and customers' names, in the order of their numbers.
    pub types: Vec<String>,
    pub customers: Vec<String>,
}

impl Plan {
    pub fn new(placement: Placement) -> Result<Plan, String> {
        let text = placement.text();
        let scheduler = text.scheduler(placement.seed()?)?;
        let grants = Grants::new(&placement.limits, &text, 0)?;
        let count = text.project_types()?.len();
        let types = (0..count).map(|i| text.get(&format!("project_types.{i}.name")));
        let customers = (0..text.customers()?).map(|i| text.get(&format!("tenants.{i}.name")));
        let (types, customers) = (types.collect::<Result<_, _>>()?, customers.collect::<Result<_, _>>()?);
        Ok(Plan { placement, grants, scheduler, types, customers, text })
    }
}

/// What a scheduler is told from outside while it serves.
pub enum Told {
    /// A new configuration, read and found good; of it the list service's address holds from now on.
    Moved(Box<Placement>),
    /// Answer what is held and what still comes, and end.
    Stop,
}

/// Serves until it is told to stop, and then until all that was taken is answered.
pub async fn serve(plan: Plan, log: Logger, mut told: UnboundedReceiver<Told>) -> Result<(), String> {
    let Plan { mut placement, text, grants, scheduler, types, customers } = plan;
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
    let reading =
        Reading { zones: own("zones"), kinds: own("machine_types"), runs: Runs::default(), workers };
    let known = placement.known.take().map(|known| (known.version, reading.told(&known)));
    let list = List::new(&grants.http, placement.discovery);
    let mut hands = Hands::new(Watch::new(list, reading, tell.clone(), log.clone()), clock, log.clone());
    let project_types = text.project_types()?;
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
                None
            }
            Some(word) = told.recv() => match word {
                Told::Moved(new) => {
                    let later = placement.differs(&new).join(", ");
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
                    stopped.get_or_insert_with(Instant::now);
                    None
                }
            },
            () = sleep_until(look), if stopped.is_some() => None,
        };
        let since = stopped.map(|at| at.elapsed()).unwrap_or_default();
        let last = since >= grants.last_answer;
        for event in event.into_iter().chain(last.then_some(Event::LastCall)) {
            if let Event::Back(back) = &event {
                hands.back(back.alloc);
            }
            reducer.reduce(clock.now(), event).into_iter().for_each(|act| hands.carry_out(act));
        }
        if since >= grants.keep_open {
            // Again and again: those that came late and say nothing are closed, too.
            front.close();
        }
        let deserted = front.connected() == 0 || since >= grants.last_answer + grants.late_arrivals / 4;
        if since >= grants.late_arrivals && reducer.held() == 0 && deserted {
            hands.count(reducer.held());
            front.count();
            info!(log, "stopped"; "connected" => front.connected());
            return Ok(());
        }
    }
}
