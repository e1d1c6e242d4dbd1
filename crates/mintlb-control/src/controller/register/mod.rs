//! This process's way to the register: it drives proposals and reads over the transport, and answers for its replica.

pub mod acceptor_file;
pub mod acceptor_storage;
pub mod local_replica;
pub mod membership;
pub mod publisher;
pub mod register_cache;

use crate::controller::register::local_replica::LocalReplica;
use crate::controller::register::register_cache::RegisterCache;
use bytes::Bytes;
use minicbor::{Decode, Encode};
use mintlb_common::transport::{self, Channel, Transport};
use mintlb_register::ballot::Ballot;
use mintlb_register::bootstrap::{BootstrapVote, SeedStatus};
use mintlb_register::change::Change;
use mintlb_register::message::{AcceptedValue, OutboundRequest, Reply, Request};
use mintlb_register::proposal::{Input, PHASE_TIMEOUT, Proposal, ProposalOutcome};
use mintlb_register::quorum_read::{QuorumRead, ReadProgress};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout_at};

/// How long a read may try to do with one round.
const SINGLE_ROUND_TIMEOUT: Duration = Duration::from_millis(120);
/// Replies of one proposal or read that may wait to be handled.
const REPLY_QUEUE_CAPACITY: usize = 64;

/// No quorum answered in time. The change may or may not become part of the value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("M451 no majority of the register's replicas answered in time")]
pub struct Unavailable;

/// A message on the register's channel.
#[derive(Debug, Encode, Decode)]
enum RegisterRequest {
    /// For the replica here.
    #[n(0)]
    Vote(#[n(0)] Request),
    /// Which set is known here, and is there a disk?
    #[n(1)]
    Status,
    /// May this replica found the register?
    #[n(2)]
    Grant(#[n(0)] ReplicaId),
}

/// The answer to a [`RegisterRequest`].
#[derive(Debug, Encode, Decode)]
enum RegisterResponse {
    #[n(0)]
    Vote(#[n(0)] Reply),
    #[n(1)]
    Status {
        #[n(0)]
        has_disk: bool,
        #[n(1)]
        set: Option<ReplicaSet>,
    },
    #[n(2)]
    Grant(#[n(0)] bool),
}

/// What is told of each value that is newly known to be chosen.
pub type Listener = Box<dyn Fn(&AcceptedValue) + Send + std::marker::Sync>;

/// The process's way to the register.
pub struct Register {
    transport: Arc<Transport>,
    replica: Option<Arc<LocalReplica>>,
    register_cache: Mutex<RegisterCache>,
    /// Proposals so far, to tell their ballots apart.
    proposals: AtomicU64,
    random_seed: u64,
    first_start: bool,
    grant: Mutex<BootstrapVote>,
    proposal_lock: tokio::sync::Mutex<()>,
    /// When the newest round began that a majority answered.
    majority_at: Mutex<Option<Instant>>,
    listener: Mutex<Option<Listener>>,
}

impl Register {
    /// A way to the register, which answers on the transport from now on. `random_seed` is a random number of this start,
    /// `first_start` as in the settings.
    pub fn start(
        transport: Arc<Transport>,
        replica: Option<Arc<LocalReplica>>,
        random_seed: u64,
        first_start: bool,
    ) -> Arc<Register> {
        let stored = replica.as_ref().and_then(|replica| replica.accepted());
        let register = Arc::new(Register {
            transport: transport.clone(),
            replica,
            register_cache: Mutex::new(RegisterCache::stored(stored)),
            proposals: AtomicU64::default(),
            random_seed,
            first_start,
            grant: Mutex::default(),
            proposal_lock: tokio::sync::Mutex::default(),
            majority_at: Mutex::default(),
            listener: Mutex::default(),
        });
        transport.register_service(
            Channel::Register,
            Arc::new(RegisterService(register.clone())),
        );
        register
    }

    /// Sets who is told of each value that is newly known to be chosen.
    pub fn listen(&self, listener: Listener) {
        *self.listener.lock() = Some(listener);
    }

    /// The replica of this process.
    pub fn replica(&self) -> Option<&Arc<LocalReplica>> {
        self.replica.as_ref()
    }

    /// The newest value known to be chosen.
    pub fn chosen(&self) -> Option<AcceptedValue> {
        self.register_cache.lock().chosen().cloned()
    }

    /// The set by which to ask: the chosen one, or, if one heard of since is newer or none is known, one that may never
    /// have been chosen.
    pub fn set(&self) -> Option<ReplicaSet> {
        self.register_cache.lock().set().cloned()
    }

    /// When the newest read or change began that a majority answered.
    pub fn majority_at(&self) -> Option<Instant> {
        *self.majority_at.lock()
    }

    fn majority_answered(&self, round_started_at: Instant) {
        let mut newest = self.majority_at.lock();
        *newest = Some(newest.map_or(round_started_at, |known| known.max(round_started_at)));
    }

    /// Takes note of a set that another process knows.
    pub fn hint(&self, set: ReplicaSet) {
        self.register_cache.lock().hint(set);
    }

    /// Founds the register with the replica of this process; whether that is on disk.
    pub async fn found(&self) -> bool {
        let Some(replica) = &self.replica else {
            return false;
        };
        let ballot = Ballot::default().next(self.proposer());
        match replica.found(ballot).await {
            Some(accepted) => {
                self.record_chosen(accepted);
                true
            }
            None => false,
        }
    }

    /// Changes the value. Changes of one process wait for each other, within the same time.
    pub async fn change(
        &self,
        change: Change,
        within: Duration,
    ) -> Result<ProposalOutcome, Unavailable> {
        let round_started_at = Instant::now();
        let deadline = round_started_at + within;
        let _turn = timeout_at(deadline, self.proposal_lock.lock())
            .await
            .map_err(|_| Unavailable)?;
        let set = self.set().ok_or(Unavailable)?;
        let known = self.chosen();
        let ballot_floor = self.register_cache.lock().ballot_floor();
        let (mut proposal, mut effects) =
            Proposal::start(self.proposer(), ballot_floor, set, known, change);
        let (replies, mut inputs) = mpsc::channel(REPLY_QUEUE_CAPACITY);
        let mut timer = deadline;
        loop {
            if let Some(outcome) = effects.outcome {
                self.majority_answered(round_started_at);
                self.raise_ballot_floor(proposal.highest_ballot());
                self.record_chosen(outcome.chosen.clone());
                return Ok(outcome);
            }
            for OutboundRequest { to, request } in effects.requests {
                self.send_request(to, request, replies.clone());
            }
            if let Some(after) = effects.timer {
                timer = Instant::now() + after;
            }
            let input = tokio::select! {
                biased;
                input = inputs.recv() => input.map(ReplicaReply::into_input),
                () = sleep_until(timer.min(deadline)) => None,
            };
            if Instant::now() >= deadline {
                self.raise_ballot_floor(proposal.highest_ballot());
                return Err(Unavailable);
            }
            effects = proposal.handle(input.unwrap_or(Input::Timer));
        }
    }

    /// Reads the newest value: no older one than any that was acknowledged before the call.
    pub async fn read(&self, within: Duration) -> Result<AcceptedValue, Unavailable> {
        let deadline = Instant::now() + within;
        match self
            .read_once(deadline.min(Instant::now() + SINGLE_ROUND_TIMEOUT))
            .await
        {
            Some(chosen) => Ok(chosen),
            None => {
                let left = deadline.saturating_duration_since(Instant::now());
                self.change(Change::Identity, left)
                    .await
                    .map(|outcome| outcome.chosen)
            }
        }
    }

    /// Reads in one round, if a quorum agrees.
    pub async fn read_once(&self, deadline: Instant) -> Option<AcceptedValue> {
        let round_started_at = Instant::now();
        let (mut reading, mut progress) = QuorumRead::start(self.set()?, self.chosen());
        let (replies, mut inputs) = mpsc::channel(REPLY_QUEUE_CAPACITY);
        loop {
            match progress {
                ReadProgress::Chosen(accepted) => {
                    self.majority_answered(round_started_at);
                    self.record_chosen(accepted.clone());
                    return Some(accepted);
                }
                ReadProgress::Inconclusive => return None,
                ReadProgress::Send(requests) => {
                    for OutboundRequest { to, request } in requests {
                        self.send_request(to, request, replies.clone());
                    }
                }
            }
            let received: ReplicaReply = timeout_at(deadline, inputs.recv()).await.ok()??;
            progress = reading.handle_reply(received.from, received.reply);
            self.raise_ballot_floor(reading.highest_ballot());
        }
    }

    /// Asks another process what it knows of the register.
    pub async fn status_of(&self, address: SocketAddr, within: Duration) -> Option<SeedStatus> {
        let body = encoded(&RegisterRequest::Status);
        let answer = self
            .transport
            .call(address, Channel::Register, body, within)
            .await
            .ok()?;
        match minicbor::decode(&answer).ok()? {
            RegisterResponse::Status { has_disk, set } => Some(SeedStatus {
                has_disk,
                replica_set: set,
            }),
            _ => None,
        }
    }

    /// Asks a seed without a disk whether the replica here may found the register.
    pub async fn request_bootstrap_grant(&self, seed: SocketAddr, within: Duration) -> bool {
        let Some(replica) = &self.replica else {
            return false;
        };
        let body = encoded(&RegisterRequest::Grant(replica.identity().id));
        let answer = self
            .transport
            .call(seed, Channel::Register, body, within)
            .await;
        let answer = answer
            .ok()
            .and_then(|answer| minicbor::decode(&answer).ok());
        matches!(answer, Some(RegisterResponse::Grant(true)))
    }

    /// Proposals begin above this ballot from now on.
    fn raise_ballot_floor(&self, seen: Ballot) {
        self.register_cache.lock().raise_ballot_floor(seen);
    }

    /// Takes note of a value that is chosen.
    fn record_chosen(&self, accepted: AcceptedValue) {
        let Some(epoch) = self.register_cache.lock().record_chosen(&accepted) else {
            return;
        };
        let set = &accepted.state.replicas;
        if set.epoch != epoch {
            let joint = if set.is_joint() { ", joint" } else { "" };
            log::info!(
                "register: set epoch {}, {} replicas{joint}",
                set.epoch,
                set.current.len()
            );
        }
        if let Some(listener) = &*self.listener.lock() {
            listener(&accepted);
        }
    }

    /// A number that no other proposal has.
    fn proposer(&self) -> u64 {
        let number = self.proposals.fetch_add(1, Relaxed) + 1;
        mix64(
            self.random_seed
                .wrapping_add(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        )
    }

    /// Sends a message to a replica, and its reply or its loss to `replies`.
    fn send_request(
        &self,
        replica: Replica,
        request: Request,
        replies: mpsc::Sender<ReplicaReply>,
    ) {
        let ballot = request.body.ballot();
        let local = self
            .replica
            .as_ref()
            .filter(|local| local.identity().id == replica.id)
            .cloned();
        let transport = self.transport.clone();
        tokio::spawn(async move {
            let from = replica.id;
            let reply = match local {
                Some(local) => local.answer(request).await,
                None => remote(&transport, &replica, request).await,
            };
            replies
                .send(ReplicaReply {
                    from,
                    ballot,
                    reply,
                })
                .await
                .ok();
        });
    }
}

async fn remote(transport: &Arc<Transport>, replica: &Replica, request: Request) -> Option<Reply> {
    let address = replica.address.parse().ok()?;
    let body = encoded(&RegisterRequest::Vote(request));
    let answer = transport
        .call(address, Channel::Register, body, PHASE_TIMEOUT)
        .await
        .ok()?;
    match minicbor::decode(&answer).ok()? {
        RegisterResponse::Vote(reply) => Some(reply),
        _ => None,
    }
}

/// A replica's reply, or `None` if it is lost.
struct ReplicaReply {
    from: ReplicaId,
    ballot: Ballot,
    reply: Option<Reply>,
}

impl ReplicaReply {
    fn into_input(self) -> Input {
        match self.reply {
            Some(reply) => Input::Reply {
                from: self.from,
                reply,
            },
            None => Input::Lost {
                from: self.from,
                ballot: self.ballot,
            },
        }
    }
}

/// Answers for the replica of this process.
struct RegisterService(Arc<Register>);

impl transport::Service for RegisterService {
    fn on_request(&self, _from: SocketAddr, body: Bytes) -> transport::ResponseFuture {
        let register = self.0.clone();
        Box::pin(async move {
            match minicbor::decode(&body) {
                Ok(RegisterRequest::Vote(request)) => {
                    let Some(replica) = &register.replica else {
                        return Bytes::new();
                    };
                    match replica.answer(request).await {
                        Some(reply) => encoded(&RegisterResponse::Vote(reply)),
                        None => Bytes::new(),
                    }
                }
                Ok(RegisterRequest::Status) => {
                    let set = register.set();
                    encoded(&RegisterResponse::Status {
                        has_disk: register.replica.is_some(),
                        set,
                    })
                }
                Ok(RegisterRequest::Grant(candidate)) => {
                    let knows_set = register.set().is_some();
                    let granted = register.replica.is_none()
                        && register
                            .grant
                            .lock()
                            .grant(candidate, register.first_start, knows_set);
                    encoded(&RegisterResponse::Grant(granted))
                }
                Err(_) => Bytes::new(),
            }
        })
    }
}

fn encoded<T: Encode<()>>(value: &T) -> Bytes {
    minicbor::to_vec(value).unwrap_or_default().into()
}

/// Spreads the bits of a number (splitmix64).
pub fn mix64(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
