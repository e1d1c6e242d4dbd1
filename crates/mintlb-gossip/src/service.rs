//! [`GossipService`]: a [`Node`] on the transport between processes, with publications and
//! subscribers.

use crate::delivery::{DeliveryQueue, Subscriber};
use crate::effects::Effect;
use crate::message::{Member, RecordVersion};
use crate::node::{Input, Node};
use crate::record_id::RecordId;
use crate::table::Table;
use bytes::Bytes;
use mintlb_common::incarnation::Incarnation;
use mintlb_common::record::Record;
use mintlb_common::transport::{Channel, Rejection, Service, Transport};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout};

/// The configuration of a [`GossipService`].
pub struct GossipConfig {
    /// Carries the messages; the service registers itself for [`Channel::Gossip`].
    pub transport: Arc<Transport>,
    /// Internal addresses of some controllers, by which the process joins.
    pub seeds: Vec<SocketAddr>,
    /// This process.
    pub member: Member,
}

/// No neighbor has acknowledged a publication in time. The record is applied here and on its way
/// all the same; to publish it again is safe.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no neighbor has acknowledged version {version} of record {key} within {waited:?}")]
pub struct NotAcknowledged {
    /// The record's key.
    pub key: String,
    /// The record's version.
    pub version: u64,
    /// How long an acknowledgement was waited for.
    pub waited: Duration,
}

/// A publication that waits for an acknowledgement.
struct AckWaiter {
    published: RecordVersion,
    acknowledged: oneshot::Sender<()>,
}

struct State {
    node: Node,
    ack_waiters: Vec<AckWaiter>,
    wake_at: Instant,
}

/// The gossip of one process.
pub struct GossipService {
    transport: Arc<Transport>,
    state: Mutex<State>,
    deliveries: DeliveryQueue,
    joined: watch::Sender<bool>,
    /// The node's deadline is now earlier than what the timer task waits for.
    rescheduled: Notify,
}

impl GossipService {
    /// Starts to join. The timer task runs on the current runtime until the runtime ends.
    ///
    /// # Panics
    /// Outside a Tokio runtime.
    pub fn start(config: GossipConfig) -> Arc<GossipService> {
        let now = Instant::now();
        let address_hash = RecordId::of_key(&config.member.address.to_string()).number();
        let rng_seed = address_hash ^ config.member.incarnation.number();
        let service = Arc::new(GossipService {
            transport: config.transport.clone(),
            state: Mutex::new(State {
                node: Node::new(now, config.member, &config.seeds, rng_seed),
                ack_waiters: Vec::new(),
                wake_at: now,
            }),
            deliveries: DeliveryQueue::default(),
            joined: watch::Sender::new(false),
            rescheduled: Notify::new(),
        });
        config
            .transport
            .register_service(Channel::Gossip, service.clone());
        tokio::spawn(service.clone().run_timer());
        service
    }

    /// Publishes a record, and waits until one neighbor has acknowledged that it has this version
    /// or a newer one. A version that is not newer than the known one changes nothing; it is
    /// acknowledged like any other.
    ///
    /// # Errors
    /// [`NotAcknowledged`] if no neighbor has acknowledged the record within `wait`.
    pub async fn publish(&self, record: Record, wait: Duration) -> Result<(), NotAcknowledged> {
        let (acknowledged, acknowledgement) = oneshot::channel();
        let (key, version) = (record.key.clone(), record.version);
        let published = RecordVersion {
            id: RecordId::of_key(&key),
            version,
        };
        self.state.lock().ack_waiters.push(AckWaiter {
            published,
            acknowledged,
        });
        self.handle(Input::Publish {
            record,
            ack_deadline: Some(Instant::now() + wait),
        });
        let outcome = timeout(wait, acknowledgement).await;
        self.state
            .lock()
            .ack_waiters
            .retain(|waiter| !waiter.acknowledged.is_closed());
        match outcome {
            Ok(Ok(())) => Ok(()),
            _ => Err(NotAcknowledged {
                key,
                version,
                waited: wait,
            }),
        }
    }

    /// Publishes a record without waiting for an acknowledgement.
    pub fn publish_now(&self, record: Record) {
        self.handle(Input::Publish {
            record,
            ack_deadline: None,
        });
    }

    /// The current record with this key.
    pub fn get(&self, key: &str) -> Option<Record> {
        self.state.lock().node.table().get(key).cloned()
    }

    /// All current records. Cheap: nothing is copied.
    pub fn snapshot(&self) -> Arc<Table> {
        self.state.lock().node.table().clone()
    }

    /// Calls the subscriber for each known record at once, and for each record that is applied
    /// later. A subscriber is called by one caller at a time, in the order in which the records
    /// were applied; it may publish.
    pub fn subscribe(&self, subscriber: Subscriber) {
        {
            let state = self.state.lock();
            let known = state.node.table().iter_shared();
            self.deliveries.subscribe(subscriber, known);
        }
        self.deliveries.deliver();
    }

    /// The neighbors and the other recently active members.
    pub fn members(&self) -> Vec<Member> {
        self.state.lock().node.membership().members(Instant::now())
    }

    /// The number of neighbors.
    pub fn neighbors(&self) -> usize {
        self.state.lock().node.membership().neighbors().count()
    }

    /// Becomes true, and stays so, once the table has been compared with at least one neighbor's
    /// and what was lacking has been received. A process that is alone never joins.
    pub fn joined(&self) -> watch::Receiver<bool> {
        self.joined.subscribe()
    }

    /// Waits until [`GossipService::joined`] is true.
    pub async fn wait_until_joined(&self) {
        // An error would mean that the sender is gone, but this service owns it.
        self.joined
            .subscribe()
            .wait_for(|&joined| joined)
            .await
            .ok();
    }

    async fn run_timer(self: Arc<Self>) {
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

    /// Hands an input to the node and carries out its effects. Messages are sent and records
    /// delivered without the lock on the state: a subscriber may publish.
    fn handle(&self, input: Input) {
        for (to, body) in self.handle_locked(input) {
            self.transport.notify(to, Channel::Gossip, body);
        }
        self.deliveries.deliver();
    }

    /// Hands an input to the node; returns the messages to send. Records are queued for delivery
    /// under the lock, so that their order is that of application.
    fn handle_locked(&self, input: Input) -> Vec<(SocketAddr, Bytes)> {
        let mut sends = Vec::new();
        let mut state = self.state.lock();
        for effect in state.node.handle(Instant::now(), input) {
            match effect {
                Effect::Send { to, body } => sends.push((to, body)),
                Effect::Malformed(from) => {
                    self.transport.record_rejection(Rejection::Malformed, from);
                }
                Effect::Applied(record) => self.deliveries.push(&record),
                Effect::Acknowledged(version) => state.complete_publications(version),
            }
        }
        if state.node.deadline() < state.wake_at {
            self.rescheduled.notify_one();
        }
        if state.node.joined() && !*self.joined.borrow() {
            self.joined.send_replace(true);
        }
        sends
    }
}

impl State {
    /// Completes the publications of this version and of older ones.
    fn complete_publications(&mut self, acknowledged: RecordVersion) {
        let is_complete = |waiter: &mut AckWaiter| {
            let published = waiter.published;
            published.id == acknowledged.id && published.version <= acknowledged.version
        };
        for waiter in self.ack_waiters.extract_if(.., is_complete) {
            waiter.acknowledged.send(()).ok();
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
