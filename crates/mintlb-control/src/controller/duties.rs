//! What one controller does for all: it places the shards on the stores, takes silent replicas out of the register's
//! set, and ends the records of workers that no controller hears any more. Every replica listens to the stores'
//! heartbeats, so that any can take the duties over.

use super::Controller;
use super::membership;
use super::orphans::{Orphans, id_hash};
use super::peers::Peers;
use super::register::is_done;
use super::retire_api::{self, RetireCall};
use bytes::Bytes;
use minicbor::{Decode, Encode};
use mintlb_lots::framing;
use mintlb_lots::heartbeat::StoreHeartbeat;
use mintlb_lots::placement_planner::{StoreTable, StoreView, plan};
use mintlb_register::change::{Answer as ChangeAnswer, Change};
use mintlb_register::state::{ReplicaId, ReplicaSet};
use mintlb_tier::placement::Placement;
use mintlb_tier::record::PLACEMENT;
use mintlb_tier::transport::{Answer, Channel, Service};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// How often controllers ping each other, and the one with the duties looks at the placement.
const STEP: Duration = Duration::from_millis(300);
/// A controller without a replica pings at each so many steps.
const STEPS_WITHOUT_REPLICA: u32 = 4;
/// Between two looks at the placement at least.
const LEAST_PAUSE: Duration = Duration::from_millis(20);
/// How long a ping may take.
const PING_WITHIN: Duration = Duration::from_millis(600);
/// How long a change of the register for a duty may take.
const CHANGE_WITHIN: Duration = Duration::from_millis(700);
/// How long a read of the register for a duty may take.
const READ_WITHIN: Duration = Duration::from_millis(200);
/// How often workers without a controller are looked for.
const ORPHANS_EVERY: Duration = Duration::from_secs(5);

/// A call between controllers.
#[derive(Debug, Encode, Decode)]
pub enum DutyCall {
    /// I run.
    #[n(0)]
    Ping {
        /// The replica, if the controller has one.
        #[n(0)]
        replica: Option<ReplicaId>,
        /// The highest epoch of the duties that the controller knows.
        #[n(1)]
        epoch: u64,
    },
    /// Which workers call you? Refused under an epoch that is too low.
    #[n(1)]
    Workers {
        /// The epoch of the duties under which it is asked.
        #[n(0)]
        epoch: u64,
    },
    /// The operator's call on the retirement of a store, passed on by a controller that does not hear the stores.
    #[n(2)]
    Retire(#[n(0)] RetireCall),
}

/// The answer to a [`DutyCall`].
#[derive(Debug, Encode, Decode)]
pub enum DutyAnswer {
    /// I run as well.
    #[n(0)]
    Pong {
        /// The replica, if the controller has one.
        #[n(0)]
        replica: Option<ReplicaId>,
        /// The highest epoch of the duties that the controller knows.
        #[n(1)]
        epoch: u64,
    },
    /// Hashes of the ids of the workers that call here.
    #[n(1)]
    Workers(#[n(0)] Vec<u32>),
    /// A higher epoch is known.
    #[n(2)]
    Stale {
        /// That epoch.
        #[n(0)]
        epoch: u64,
    },
    /// What to answer to the operator.
    #[n(3)]
    Retire(#[n(0)] retire_api::RetireAnswer),
}

/// The state behind the duties.
pub struct Duties {
    peers: Mutex<Peers>,
    stores: Mutex<StoreTable>,
    begun: Instant,
    news: Notify,
}

impl Duties {
    /// Nothing is known yet.
    pub fn new(own: Option<ReplicaId>) -> Duties {
        Duties {
            peers: Mutex::new(Peers::new(Instant::now(), own)),
            stores: Mutex::new(StoreTable::new(Duration::ZERO)),
            begun: Instant::now(),
            news: Notify::new(),
        }
    }

    /// What is known of the stores under a placement.
    pub fn store_view(&self, placement: &Placement) -> StoreView {
        self.stores.lock().view(placement, self.begun.elapsed())
    }

    /// Replicas that have long been silent.
    pub fn silent_replicas(&self, set: &ReplicaSet) -> Vec<ReplicaId> {
        self.peers.lock().silent(Instant::now(), set)
    }

    /// Whether a majority of the replicas was heard of lately.
    pub fn is_in_touch(&self) -> bool {
        self.peers.lock().is_in_touch()
    }

    fn note_store(&self, heartbeat: StoreHeartbeat) {
        if self.stores.lock().note(heartbeat, self.begun.elapsed()) {
            self.news.notify_one();
        }
    }

    fn heard(&self, address: SocketAddr, replica: Option<ReplicaId>, epoch: u64) {
        self.peers.lock().heard(Instant::now(), address, replica, epoch);
    }
}

/// Pings the other replicas and looks at who has the duties, for the life of the process.
pub async fn run_pings(controller: Arc<Controller>) {
    controller.transport.serve(Channel::Duties, Arc::new(DutyService(controller.clone())));
    let mut held = None;
    let mut step = 0;
    loop {
        sleep(STEP).await;
        step += 1;
        let Some(set) = controller.register.set() else { continue };
        if controller.replica_id().is_some() || step % STEPS_WITHOUT_REPLICA == 0 {
            ping(&controller, &set);
        }
        let holds = {
            let mut peers = controller.duties.peers.lock();
            peers.step(Instant::now(), &set);
            peers.held()
        };
        if holds != held {
            log::info!(
                "duties: {}",
                holds.map_or("given up".into(), |epoch| format!("taken, epoch {epoch}"))
            );
            held = holds;
            controller.duties.news.notify_one();
        }
    }
}

/// Does the duties while they fall to this process, for its life.
pub async fn run(controller: Arc<Controller>) {
    let mut orphans = (None, Orphans::default());
    let mut orphans_at = Instant::now();
    loop {
        timeout(STEP, controller.duties.news.notified()).await.ok();
        let holds = controller.duties.peers.lock().held();
        if orphans.0 != holds {
            orphans = (holds, Orphans::default());
            orphans_at = Instant::now() + ORPHANS_EVERY;
        }
        if let Some(epoch) = holds {
            keep_up(&controller).await;
            place_shards(&controller).await;
            remove_silent_replica(&controller).await;
            if Instant::now() >= orphans_at {
                orphans_at = Instant::now() + ORPHANS_EVERY;
                end_orphans(&controller, &mut orphans.1, epoch).await;
            }
        }
        sleep(LEAST_PAUSE).await;
    }
}

/// Pings every other replica; the answers are noted as they come.
fn ping(controller: &Arc<Controller>, set: &ReplicaSet) {
    let own = controller.transport.own_address();
    let replica = controller.replica_id();
    let epoch = controller.duties.peers.lock().epoch();
    let body = encoded(&DutyCall::Ping { replica, epoch });
    let addresses = set.members().filter_map(|member| member.address.parse::<SocketAddr>().ok());
    let now = Instant::now();
    // Of two replicas that hear each other the one with the lower address pings.
    let pings = |address: &SocketAddr| {
        let heard = controller.duties.peers.lock().is_heard(now, *address, STEP * 3 / 2);
        *address != own && !(replica.is_some() && own > *address && heard)
    };
    let addresses: Vec<SocketAddr> = addresses.filter(pings).collect();
    for address in addresses {
        let (controller, body) = (controller.clone(), body.clone());
        tokio::spawn(async move {
            let answer = controller.transport.call(address, Channel::Duties, body, PING_WITHIN).await;
            if let Some(DutyAnswer::Pong { replica, epoch }) =
                answer.ok().and_then(|answer| minicbor::decode(&answer).ok())
            {
                controller.duties.heard(address, replica, epoch);
            }
        });
    }
}

/// Reads the register if another controller has written a newer placement than the one known here.
async fn keep_up(controller: &Controller) {
    let published = controller.overlay.get(PLACEMENT).map_or(0, |record| record.version);
    let known = controller.register.chosen().map_or(0, |chosen| chosen.state.placement.epoch);
    if published > known {
        controller.register.read_once(Instant::now() + READ_WITHIN).await;
    }
}

/// Writes the next placement, if the planner has one.
async fn place_shards(controller: &Controller) {
    let Some(chosen) = controller.register.chosen() else { return };
    let placement = &chosen.state.placement;
    let view = controller.duties.store_view(placement);
    let tolerance = controller.settings().fault_tolerance.machines;
    let Some(next) = plan(placement, &view, tolerance) else { return };
    let epoch = next.epoch;
    match controller.register.change(Change::Placement(next), CHANGE_WITHIN).await {
        Ok(outcome) if is_done(outcome.answer) => log::info!("duties: placement epoch {epoch}"),
        Ok(outcome) => log::info!("duties: placement epoch {epoch}: {:?}", outcome.answer),
        Err(error) => log::info!("duties: placement epoch {epoch}: {error}"),
    }
}

/// Takes one long silent replica out of a set that is larger than it has to be.
async fn remove_silent_replica(controller: &Controller) {
    let Some(chosen) = controller.register.chosen() else { return };
    let set = &chosen.state.replicas;
    let fewest = 2 * controller.settings().fault_tolerance.machines + 1;
    if set.is_joint() || set.current.len() <= fewest {
        return;
    }
    let Some(id) = controller.duties.silent_replicas(set).first().copied() else { return };
    let change = Change::Leave { id, fewest };
    if let Ok(outcome) = controller.register.change(change, CHANGE_WITHIN).await
        && outcome.answer == ChangeAnswer::Done
    {
        log::info!("duties: a silent replica was taken out of the set");
        membership::settle(controller).await;
    }
}

/// Ends the records of workers that no controller has heard for long.
async fn end_orphans(controller: &Arc<Controller>, orphans: &mut Orphans, epoch: u64) {
    let own: Vec<u32> = controller.registry.lock().ids().map(id_hash).collect();
    let mut claimed: rustc_hash::FxHashSet<u32> = own.into_iter().collect();
    let body = encoded(&DutyCall::Workers { epoch });
    let mut calls = JoinSet::new();
    for address in controller.duties.peers.lock().live_addresses(Instant::now()) {
        let (transport, body) = (controller.transport.clone(), body.clone());
        calls.spawn(async move { transport.call(address, Channel::Duties, body, PING_WITHIN).await });
    }
    while let Some(answer) = calls.join_next().await {
        let answer = answer.ok().and_then(Result::ok);
        match answer.and_then(|answer| minicbor::decode(&answer).ok()) {
            Some(DutyAnswer::Workers(workers)) => claimed.extend(workers),
            // Without the word of all of them nobody is an orphan.
            _ => return,
        }
    }
    for record in orphans.look(Instant::now(), &controller.overlay.snapshot(), &claimed) {
        log::info!("duties: no controller hears the worker {}", record.instance_id);
        controller.overlay.publish_now(record.to_record());
    }
}

/// Answers other controllers, and listens to the stores.
struct DutyService(Arc<Controller>);

impl Service for DutyService {
    fn notice(&self, _from: SocketAddr, body: Bytes) {
        if let Some((heartbeat, _)) = framing::decode::<StoreHeartbeat>(&body) {
            self.0.duties.note_store(heartbeat);
        }
    }

    fn request(&self, from: SocketAddr, body: Bytes) -> Answer {
        let controller = self.0.clone();
        Box::pin(async move {
            let Ok(call) = minicbor::decode(&body) else { return Bytes::new() };
            encoded(&answer(&controller, from, call).await)
        })
    }
}

async fn answer(controller: &Arc<Controller>, from: SocketAddr, call: DutyCall) -> DutyAnswer {
    match call {
        DutyCall::Ping { replica, epoch } => {
            controller.duties.heard(from, replica, epoch);
            let epoch = controller.duties.peers.lock().epoch();
            DutyAnswer::Pong { replica: controller.replica_id(), epoch }
        }
        DutyCall::Workers { epoch } => {
            let known = controller.duties.peers.lock().epoch();
            match epoch < known {
                true => DutyAnswer::Stale { epoch: known },
                false => DutyAnswer::Workers(controller.registry.lock().ids().map(id_hash).collect()),
            }
        }
        DutyCall::Retire(call) => DutyAnswer::Retire(retire_api::carry_out(controller, call).await),
    }
}

/// Encodes a message between controllers.
pub fn encoded<T: Encode<()>>(message: &T) -> Bytes {
    minicbor::to_vec(message).unwrap_or_default().into()
}
