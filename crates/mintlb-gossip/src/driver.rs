//! [`GossipService`]: a [`Node`] over the tier's transport, with publications that wait and listeners.

use crate::codec::record_id;
use crate::effects::Effect;
use crate::message::Member;
use crate::node::{Input, Node};
use crate::table::Table;
use bytes::Bytes;
use mintlb_common::incarnation::Incarnation;
use mintlb_common::record::Record;
use mintlb_common::transport::{Channel, Rejection, Service, Transport};
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout};

/// What an overlay starts from.
pub struct GossipConfig {
    /// Carries the messages; the overlay serves its channel.
    pub transport: Arc<Transport>,
    /// Internal addresses of some controllers, the way in.
    pub seeds: Vec<SocketAddr>,
    /// This process.
    pub member: Member,
}

/// What is told of each record newly in force.
pub type Listener = Arc<dyn Fn(&Record) + Send + Sync>;

/// A publication that waits for its confirmation.
struct Waiter {
    id: u64,
    version: u64,
    acknowledged: oneshot::Sender<()>,
}

/// Records that the listeners have yet to be told of, each of them in order.
#[derive(Default)]
struct Deliveries {
    listeners: Vec<Listener>,
    queue: VecDeque<(Listener, Arc<Record>)>,
    delivering: bool,
}

struct State {
    node: Node,
    waiters: Vec<Waiter>,
    wake_at: Instant,
}

/// The overlay of one process.
pub struct GossipService {
    transport: Arc<Transport>,
    state: Mutex<State>,
    deliveries: Mutex<Deliveries>,
    joined: watch::Sender<bool>,
    rescheduled: Notify,
}

impl GossipService {
    /// Joins the overlay; its task runs on the current runtime from now on.
    pub fn start(config: GossipConfig) -> Arc<GossipService> {
        let now = Instant::now();
        let seed =
            record_id(&config.member.address.to_string()) ^ config.member.incarnation.number();
        let node = Node::new(now, config.member, &config.seeds, seed);
        let gossip = Arc::new(GossipService {
            transport: config.transport.clone(),
            state: Mutex::new(State {
                node,
                waiters: Vec::new(),
                wake_at: now,
            }),
            deliveries: Mutex::default(),
            joined: watch::Sender::new(false),
            rescheduled: Notify::new(),
        });
        config
            .transport
            .register_service(Channel::Gossip, gossip.clone());
        tokio::spawn(gossip.clone().run());
        gossip
    }

    /// Publishes a record. True once one neighbour has confirmed that it has this version or a newer one, false if none
    /// has within `wait`; the record is in force here and on its way all the same. A version that is not higher than
    /// the known one changes nothing; it is confirmed like any other.
    pub async fn publish(&self, record: Record, wait: Duration) -> bool {
        let (acknowledged, confirmation) = oneshot::channel();
        let (id, version) = (record_id(&record.key), record.version);
        self.state.lock().waiters.push(Waiter {
            id,
            version,
            acknowledged,
        });
        self.handle(Input::Publish {
            record,
            ack_deadline: Some(Instant::now() + wait),
        });
        let outcome = timeout(wait, confirmation).await;
        self.state
            .lock()
            .waiters
            .retain(|waiter| !waiter.acknowledged.is_closed());
        matches!(outcome, Ok(Ok(())))
    }

    /// Publishes a record without waiting for anybody.
    pub fn publish_now(&self, record: Record) {
        self.handle(Input::Publish {
            record,
            ack_deadline: None,
        });
    }

    /// The record in force of this key.
    pub fn get(&self, key: &str) -> Option<Record> {
        self.state.lock().node.table().get(key).cloned()
    }

    /// All records in force, as they are now. Cheap: nothing is copied.
    pub fn snapshot(&self) -> Arc<Table> {
        self.state.lock().node.table().clone()
    }

    /// Tells the listener of each record newly in force, and at once of each already known. A listener is called by
    /// one caller at a time, in the order in which the records came into force; it may publish.
    pub fn subscribe(&self, listener: Listener) {
        {
            let state = self.state.lock();
            let mut deliveries = self.deliveries.lock();
            let known = state
                .node
                .table()
                .iter_shared()
                .map(|record| (listener.clone(), record.clone()));
            deliveries.queue.extend(known);
            deliveries.listeners.push(listener);
        }
        self.deliver();
    }

    /// The neighbours and the other processes that were heard of recently.
    pub fn members(&self) -> Vec<Member> {
        self.state.lock().node.membership().members(Instant::now())
    }

    /// How many neighbours there are.
    pub fn neighbors(&self) -> usize {
        self.state.lock().node.membership().neighbors().count()
    }

    /// True once the table has been compared with at least one neighbour's and what was lacking has come. It stays
    /// true. A process that is alone never gets there.
    pub fn joined(&self) -> watch::Receiver<bool> {
        self.joined.subscribe()
    }

    /// Waits until [`GossipService::joined`] is true.
    pub async fn wait_until_joined(&self) {
        self.joined
            .subscribe()
            .wait_for(|&joined| joined)
            .await
            .ok();
    }

    async fn run(self: Arc<Self>) {
        loop {
            let wake_at = {
                let mut state = self.state.lock();
                state.wake_at = state.node.deadline();
                state.wake_at
            };
            tokio::select! {
                () = sleep_until(wake_at) => self.handle(Input::Tick),
                () = self.rescheduled.notified() => (),
            }
        }
    }

    fn handle(&self, input: Input) {
        let mut sends = Vec::new();
        {
            let mut state = self.state.lock();
            let effects = state.node.handle(Instant::now(), input);
            for effect in effects {
                match effect {
                    Effect::Send { to, body } => sends.push((to, body)),
                    Effect::Malformed(from) => {
                        self.transport.record_rejection(Rejection::Malformed, from)
                    }
                    Effect::Applied(record) => self.deliveries.lock().add(record),
                    Effect::Acknowledged { id, version } => state.acknowledge(id, version),
                }
            }
            if state.node.deadline() < state.wake_at {
                self.rescheduled.notify_one();
            }
            if state.node.joined() && !*self.joined.borrow() {
                self.joined.send_replace(true);
            }
        }
        for (to, body) in sends {
            self.transport.notify(to, Channel::Gossip, body);
        }
        self.deliver();
    }

    /// Tells the listeners what is queued, unless somebody is at it already.
    fn deliver(&self) {
        loop {
            let (listener, record) = {
                let mut deliveries = self.deliveries.lock();
                if deliveries.delivering {
                    return;
                }
                let Some(next) = deliveries.queue.pop_front() else {
                    return;
                };
                deliveries.delivering = true;
                next
            };
            listener(&record);
            self.deliveries.lock().delivering = false;
        }
    }
}

impl Deliveries {
    fn add(&mut self, record: Arc<Record>) {
        for listener in &self.listeners {
            self.queue.push_back((listener.clone(), record.clone()));
        }
    }
}

impl State {
    fn acknowledge(&mut self, id: u64, version: u64) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            if waiter.id == id && waiter.version <= version {
                waiter.acknowledged.send(()).ok();
            } else {
                self.waiters.push(waiter);
            }
        }
    }
}

impl Service for GossipService {
    fn on_notification(&self, from: SocketAddr, body: Bytes) {
        self.handle(Input::Received { from, body });
    }

    fn on_peer_unreachable(&self, peer: SocketAddr) {
        self.handle(Input::Unreachable(peer));
    }

    fn on_peer_restarted(&self, peer: SocketAddr, incarnation: Incarnation) {
        self.handle(Input::Restarted { peer, incarnation });
    }
}
