//! Proposals and reads of the register, driven over the transport.

use super::local_replica::{BootstrapError, LocalReplica};
use super::messages::{RegisterRequest, RegisterResponse, encode};
use super::register_cache::RegisterCache;
use super::replica_calls::{ReplicaReply, send_request};
use mintlb_common::mix64::{SPLITMIX64_INCREMENT, mix64};
use mintlb_common::quorum::FaultTolerance;
use mintlb_common::record::WorkerRecord;
use mintlb_common::transport::{Channel, Transport};
use mintlb_register::ballot::Ballot;
use mintlb_register::bootstrap::SeedStatus;
use mintlb_register::change::Change;
use mintlb_register::message::{AcceptedValue, OutboundRequest, Request};
use mintlb_register::proposal::{Input, Proposal, ProposalOutcome};
use mintlb_register::quorum_read::{QuorumRead, ReadProgress};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout_at};

/// The time that a read is given to succeed in a single round, before it falls back to a proposal.
const SINGLE_ROUND_TIMEOUT: Duration = Duration::from_millis(120);
/// Capacity of the queue of replies to one proposal or read.
const REPLY_QUEUE_CAPACITY: usize = 64;

/// No quorum replied in time. A change may or may not become part of the value: it may be tried
/// again, as changes are idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("M451 no majority of the register's replicas answered in time")]
pub struct QuorumUnavailable;

/// A read in a single round has found no quorum that agrees. It may be tried again; a proposal
/// determines the value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no quorum agreed in a single round")]
pub struct InconclusiveRead;

/// A callback for each value newly known to be chosen.
pub type ChosenListener = Box<dyn Fn(&AcceptedValue) + Send + Sync>;

/// A callback for each worker that another process requests to store.
pub type StoppedWorkerListener = Box<dyn Fn(&WorkerRecord) + Send + Sync>;

/// This process's access to the register.
pub struct RegisterClient {
    transport: Arc<Transport>,
    replica: Option<Arc<LocalReplica>>,
    cache: Mutex<RegisterCache>,
    /// The number that the next proposer is mixed from.
    proposer_counter: AtomicU64,
    /// Serializes the changes of this process.
    proposal_lock: tokio::sync::Mutex<()>,
    /// The start of the newest round that a majority answered.
    majority_at: Mutex<Option<Instant>>,
    listener: Mutex<Option<ChosenListener>>,
    stopped_worker_listener: Mutex<Option<StoppedWorkerListener>>,
}

impl RegisterClient {
    /// Access through this transport. `random_seed` is a random number of this start of the
    /// process.
    pub fn new(
        transport: Arc<Transport>,
        replica: Option<Arc<LocalReplica>>,
        random_seed: u64,
    ) -> RegisterClient {
        let stored = replica.as_ref().and_then(|replica| replica.accepted());
        RegisterClient {
            transport,
            replica,
            cache: Mutex::new(RegisterCache::stored(stored)),
            proposer_counter: AtomicU64::new(random_seed),
            proposal_lock: tokio::sync::Mutex::default(),
            majority_at: Mutex::default(),
            listener: Mutex::default(),
            stopped_worker_listener: Mutex::default(),
        }
    }

    /// Sets the callback for each value newly known to be chosen.
    pub fn on_chosen(&self, listener: ChosenListener) {
        *self.listener.lock() = Some(listener);
    }

    /// Sets the callback for each worker that another process requests to store.
    pub fn on_stopped_worker(&self, listener: StoppedWorkerListener) {
        *self.stopped_worker_listener.lock() = Some(listener);
    }

    /// Stores a worker for another process that has announced its drain or end. Returns whether it is
    /// on the disk of the local replica, which has to be this one.
    pub(super) async fn store_for_peer(&self, target: ReplicaId, record: WorkerRecord) -> bool {
        let Some(replica) = self.local(target) else {
            return false;
        };
        if let Some(listener) = &*self.stopped_worker_listener.lock() {
            listener(&record);
        }
        replica.store_stopped_worker(record).await.is_ok()
    }

    /// The replica of this process.
    pub fn replica(&self) -> Option<&Arc<LocalReplica>> {
        self.replica.as_ref()
    }

    /// Whether a replica of this process may begin or join the register: there is a disk, on a
    /// machine whose loss counts against the tolerance.
    pub fn may_join(&self) -> bool {
        let replica = self.replica.as_ref();
        replica.is_some_and(|replica| replica.identity().counts())
    }

    /// The id of the replica of this process.
    pub fn replica_id(&self) -> Option<ReplicaId> {
        self.replica.as_ref().map(|replica| replica.identity().id)
    }

    /// The newest value known to be chosen.
    pub fn chosen(&self) -> Option<AcceptedValue> {
        self.cache.lock().chosen().cloned()
    }

    /// The replica set to query: the chosen one or, if a newer one was reported since or none is
    /// known, one that may never have been chosen.
    pub fn set(&self) -> Option<ReplicaSet> {
        self.cache.lock().set().cloned()
    }

    /// The start of the newest read or change that a majority answered.
    pub fn majority_at(&self) -> Option<Instant> {
        *self.majority_at.lock()
    }

    /// Records a replica set that another process knows.
    pub fn hint(&self, set: ReplicaSet) {
        self.cache.lock().hint(set);
    }

    /// Initializes the register with the replica of this process as its only member, and the losses that
    /// are to be tolerated.
    ///
    /// # Errors
    ///
    /// If there is no replica here, it is not new, or the value could not be made durable.
    pub async fn bootstrap(&self, tolerance: FaultTolerance) -> Result<(), BootstrapError> {
        let replica = self.replica.as_ref().ok_or(BootstrapError::NoReplica)?;
        let ballot = Ballot::default().next(self.next_proposer());
        let accepted = replica.bootstrap(ballot, tolerance).await?;
        self.record_chosen(accepted);
        Ok(())
    }

    /// Changes the value. Changes of one process run one after the other; the wait counts towards
    /// the time limit.
    ///
    /// # Errors
    ///
    /// If no quorum has replied within the time limit.
    pub async fn change(
        &self,
        change: Change,
        time_limit: Duration,
    ) -> Result<ProposalOutcome, QuorumUnavailable> {
        let started_at = Instant::now();
        let deadline = started_at + time_limit;
        let _turn = timeout_at(deadline, self.proposal_lock.lock())
            .await
            .map_err(|_| QuorumUnavailable)?;
        let set = self.set().ok_or(QuorumUnavailable)?;
        let known = self.chosen();
        let ballot_floor = self.cache.lock().ballot_floor();
        let (mut proposal, mut effects) =
            Proposal::start(self.next_proposer(), ballot_floor, set, known, change);
        let (replies, mut inputs) = mpsc::channel(REPLY_QUEUE_CAPACITY);
        let mut timer = deadline;
        loop {
            if let Some(outcome) = effects.outcome {
                self.record_majority(started_at);
                self.raise_ballot_floor(proposal.highest_ballot());
                self.record_chosen(outcome.chosen.clone());
                return Ok(outcome);
            }
            for OutboundRequest { to, request } in effects.requests {
                self.send(to, request, replies.clone());
            }
            if let Some(after) = effects.timer {
                timer = Instant::now() + after;
            }
            let input = tokio::select! {
                biased;
                reply = inputs.recv() => reply.map(ReplicaReply::into_input),
                () = sleep_until(timer.min(deadline)) => None,
            };
            if Instant::now() >= deadline {
                self.raise_ballot_floor(proposal.highest_ballot());
                return Err(QuorumUnavailable);
            }
            effects = proposal.handle(input.unwrap_or(Input::Timer));
        }
    }

    /// Reads the newest value (linearizable): at least as new as any that was acknowledged before
    /// the call.
    ///
    /// # Errors
    ///
    /// If no quorum has replied within the time limit.
    pub async fn read(&self, time_limit: Duration) -> Result<AcceptedValue, QuorumUnavailable> {
        let deadline = Instant::now() + time_limit;
        let single_round_deadline = deadline.min(Instant::now() + SINGLE_ROUND_TIMEOUT);
        if let Ok(chosen) = self.read_once(single_round_deadline).await {
            return Ok(chosen);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        let outcome = self.change(Change::Identity, remaining).await?;
        Ok(outcome.chosen)
    }

    /// Reads in a single round.
    ///
    /// # Errors
    ///
    /// Unless a quorum agrees before the deadline.
    pub async fn read_once(&self, deadline: Instant) -> Result<AcceptedValue, InconclusiveRead> {
        let started_at = Instant::now();
        let set = self.set().ok_or(InconclusiveRead)?;
        let (mut read, mut progress) = QuorumRead::start(set, self.chosen());
        let (replies, mut inputs) = mpsc::channel(REPLY_QUEUE_CAPACITY);
        loop {
            match progress {
                ReadProgress::Chosen(accepted) => {
                    self.record_majority(started_at);
                    self.record_chosen(accepted.clone());
                    return Ok(accepted);
                }
                ReadProgress::Inconclusive => return Err(InconclusiveRead),
                ReadProgress::Send(requests) => {
                    for OutboundRequest { to, request } in requests {
                        self.send(to, request, replies.clone());
                    }
                }
            }
            let received = timeout_at(deadline, inputs.recv()).await;
            let reply: ReplicaReply = received.ok().flatten().ok_or(InconclusiveRead)?;
            progress = read.handle_reply(reply.from, reply.reply);
            self.raise_ballot_floor(read.highest_ballot());
        }
    }

    /// Queries another process for what it knows of the register; `None` if it doesn't respond in
    /// time.
    pub async fn status_of(&self, address: SocketAddr, time_limit: Duration) -> Option<SeedStatus> {
        match self
            .call(address, &RegisterRequest::Status, time_limit)
            .await?
        {
            RegisterResponse::Status { has_disk, set } => Some(SeedStatus {
                has_disk,
                replica_set: set,
            }),
            _ => None,
        }
    }

    /// Requests the vote of a seed without a disk for the local replica as the one that bootstraps
    /// the register. Returns whether the seed has granted it.
    pub async fn request_bootstrap_vote(&self, seed: SocketAddr, time_limit: Duration) -> bool {
        let Some(id) = self.replica_id() else {
            return false;
        };
        let response = self
            .call(seed, &RegisterRequest::BootstrapVote(id), time_limit)
            .await;
        matches!(response, Some(RegisterResponse::BootstrapVote(true)))
    }

    /// Stores a worker that has announced its drain or end at a replica. Returns whether it is on the
    /// disk there.
    pub(super) async fn store_stopped_worker(
        &self,
        replica: &Replica,
        record: WorkerRecord,
        time_limit: Duration,
    ) -> bool {
        if let Some(local) = self.local(replica.id) {
            return local.store_stopped_worker(record).await.is_ok();
        }
        let Ok(address) = replica.address.parse() else {
            return false;
        };
        let request = RegisterRequest::StoreStoppedWorker {
            target: replica.id,
            record,
        };
        let response = self.call(address, &request, time_limit).await;
        matches!(response, Some(RegisterResponse::StoppedWorkerStored))
    }

    /// The replica of this process if it is this one.
    fn local(&self, id: ReplicaId) -> Option<Arc<LocalReplica>> {
        let local = self.replica.as_ref()?;
        (local.identity().id == id).then(|| local.clone())
    }

    async fn call(
        &self,
        address: SocketAddr,
        request: &RegisterRequest,
        time_limit: Duration,
    ) -> Option<RegisterResponse> {
        let response = self
            .transport
            .call(address, Channel::Register, encode(request), time_limit)
            .await
            .ok()?;
        minicbor::decode(&response).ok()
    }

    fn send(&self, replica: Replica, request: Request, replies: mpsc::Sender<ReplicaReply>) {
        let local = self.local(replica.id);
        send_request(&self.transport, local, replica, request, replies);
    }

    fn record_majority(&self, round_started_at: Instant) {
        let mut newest = self.majority_at.lock();
        *newest = Some(newest.map_or(round_started_at, |known| known.max(round_started_at)));
    }

    fn raise_ballot_floor(&self, ballot: Ballot) {
        self.cache.lock().raise_ballot_floor(ballot);
    }

    fn record_chosen(&self, accepted: AcceptedValue) {
        let Some(previous_epoch) = self.cache.lock().record_chosen(&accepted) else {
            return;
        };
        let set = &accepted.state.replicas;
        if set.epoch != previous_epoch {
            let joint = if set.is_joint() { "joint " } else { "" };
            log::info!(
                "register: adopted the {joint}replica set of {} replicas, epoch {}",
                set.current.len(),
                set.epoch
            );
        }
        if let Some(listener) = &*self.listener.lock() {
            listener(&accepted);
        }
    }

    /// A number that no other proposal has, as ballots of concurrent proposals must differ: distinct
    /// within the process, as the counter takes each number once and mixing is a bijection, and
    /// among processes by the random start. Scattered, so that of two competing processes neither
    /// always has the higher ballot.
    fn next_proposer(&self) -> u64 {
        let counter = self
            .proposer_counter
            .fetch_add(SPLITMIX64_INCREMENT, Relaxed);
        mix64(counter)
    }
}
