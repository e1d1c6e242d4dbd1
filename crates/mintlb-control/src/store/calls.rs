//! Dispatchers' calls, answered by the primaries among this store's replicas.

use super::capacity;
use super::commit_queue::OpenedStorage;
use super::disk::LoadedShards;
use super::shard_host::ShardHost;
use bytes::Bytes;
use mintlb_batch::entry::Entry;
use mintlb_batch::framing;
use mintlb_batch::heartbeat::ShardReport;
use mintlb_batch::job_table::{BatchJob, Timestamp};
use mintlb_batch::messages::{self, ItemName, JobName, Lease, Record, Renew, StoreRequest, Submit};
use mintlb_batch::peer::Envelope;
use mintlb_batch::replica::{AfterSync, LeasePlan, PagePlan, Proposal, Replica, ReplicaSettings};
use mintlb_common::placement::{Placement, SHARD_COUNT, StoreId};
use mintlb_common::transport::{self, Service, Transport};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout, timeout_at};

/// How long an answer waits for its commit.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long an answer waits until the followers have confirmed that nobody has taken over.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(700);
/// The longest that a reader waits for a result.
const MAX_READ_WAIT: Duration = Duration::from_millis(5000);
/// The most bytes of payloads in one lease.
const MAX_LEASE_PAYLOAD_BYTES: u64 = 1 << 20;
/// The store. Messages and calls come in as [`Service`].
pub struct Store {
    shard_host: Mutex<ShardHost>,
    own: StoreId,
    started: Instant,
    /// The steady clock of a process begins at a time of its own, so that no other process's answers fit.
    clock_offset: Duration,
    disk_bytes: u64,
    report_changed: Arc<Notify>,
    draining: AtomicBool,
}

impl Store {
    /// A store with what its disk held.
    pub fn new(
        transport: Arc<Transport>,
        opened: OpenedStorage,
        settings: ReplicaSettings,
        disk_bytes: u64,
        random_seed: u64,
    ) -> Arc<Store> {
        let clock_offset = Duration::from_millis(random_seed >> 24);
        let shard_host = ShardHost::new(transport, opened, settings, clock_offset);
        let report_changed = shard_host.report_changed.clone();
        let own = settings.store_id;
        let (shard_host, started, draining) =
            (Mutex::new(shard_host), Instant::now(), Default::default());
        Arc::new(Store {
            shard_host,
            own,
            started,
            clock_offset,
            disk_bytes,
            report_changed,
            draining,
        })
    }

    fn now(&self) -> Timestamp {
        self.clock_offset + self.started.elapsed()
    }

    /// The store's identity.
    pub fn id(&self) -> StoreId {
        self.own
    }

    /// What the controllers are told, and the placement it goes by.
    pub fn report(&self) -> (Vec<ShardReport>, u64) {
        let shard_host = self.shard_host.lock();
        (shard_host.reports(), shard_host.placement().epoch)
    }

    /// Told when the report has changed.
    pub fn report_changed(&self) -> &Notify {
        &self.report_changed
    }

    /// Goes by this placement from now on.
    pub fn apply_placement(&self, placement: Placement) {
        self.shard_host
            .lock()
            .apply_placement(placement, self.now());
    }

    /// What follows a commit.
    pub fn synced(&self, after: Vec<(u32, AfterSync)>) {
        self.shard_host.lock().synced(after, self.now());
    }

    /// Time passes.
    pub fn tick(&self) {
        self.shard_host.lock().tick(self.now());
    }

    /// A commit failed: lets go of the file, and says and promises nothing until [`Store::resume`].
    pub fn suspend(&self) {
        let disk = {
            let mut shard_host = self.shard_host.lock();
            shard_host.suspend(self.now());
            shard_host.disk.clone()
        };
        disk.close();
        self.report_changed.notify_one();
    }

    /// Goes on with what the file held when it was opened again.
    pub fn resume(&self, shards: LoadedShards) {
        self.shard_host.lock().resume(shards, self.now());
        self.report_changed.notify_one();
    }

    /// Whether the disk has failed or answers nothing: others are to take this store for silent.
    pub fn is_without_disk(&self) -> bool {
        self.shard_host
            .lock()
            .is_without_disk(std::time::Instant::now())
    }

    /// Whether the disk has failed and could not be opened again yet.
    pub fn is_suspended(&self) -> bool {
        self.shard_host.lock().is_suspended()
    }

    /// Lets the controllers know that this store was told to stop, so that its shards get other primaries.
    pub fn start_draining(&self) {
        self.draining.store(true, Relaxed);
        self.report_changed.notify_one();
    }

    /// Whether this store was told to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Relaxed)
    }

    /// Whether other stores still need this one: it is the primary of a shard, or a shard is moved away from it and
    /// its copy may have to be read.
    pub fn has_shards_to_hand_over(&self) -> bool {
        let shard_host = self.shard_host.lock();
        let is_read = shard_host
            .placement()
            .shards
            .iter()
            .any(|shard| shard.previous.contains(&self.own));
        is_read || shard_host.replicas().iter().any(Replica::is_primary)
    }

    /// Lots that readers wait for.
    pub fn jobs_with_waiting_readers(&self) -> usize {
        self.shard_host.lock().jobs_with_waiting_readers()
    }

    async fn call(self: Arc<Self>, call: StoreRequest, raw: Bytes) -> Bytes {
        let answer = match call {
            StoreRequest::Submit(submit) => self.submit(submit, raw).await,
            StoreRequest::Read(read) => return self.read(read).await,
            StoreRequest::Body(item) => return self.body(item).await,
            StoreRequest::End(job) => self.end(job).await,
            StoreRequest::Lease(lease) => return self.lease(&lease),
            StoreRequest::Renew(renew) => self.renew(&renew),
            StoreRequest::Record(record) => self.record(record, raw).await,
            StoreRequest::Release(owner) => self.release(owner),
        };
        framing::encode(&answer, &[])
    }

    /// Makes a change and waits until it is committed. `try_read` sees the core after the change.
    async fn propose(
        &self,
        shard: u32,
        change: impl FnOnce(&mut Replica, Timestamp) -> Proposal,
        try_read: impl FnOnce(&mut ShardHost, &Proposal),
    ) -> Proposal {
        let (proposal, commit) = {
            let mut shard_host = self.shard_host.lock();
            let now = self.now();
            let proposal = change(shard_host.replica(shard), now);
            try_read(&mut shard_host, &proposal);
            let commit = match &proposal {
                Proposal::Done(_) => None,
                Proposal::Pending(index, _) | Proposal::Compare(index, _) => {
                    let committed = shard_host.replica(shard).commit_index();
                    (*index > committed).then(|| shard_host.wait_for_commit(shard, *index))
                }
            };
            shard_host.run_effects(shard, now);
            (proposal, commit)
        };
        if let Some(commit) = commit
            && !await_commit(commit).await
        {
            return Proposal::Done(messages::StoreResponse::Indeterminate);
        }
        proposal
    }

    async fn submit(&self, submit: Submit, raw: Bytes) -> messages::StoreResponse {
        let shard = Placement::shard_of(&submit.job.host);
        if self.is_disk_full(raw.len() as u64) {
            return messages::StoreResponse::DiskFull;
        }
        let Submit {
            epoch,
            owner,
            max_queued_tokens,
            job,
        } = submit;
        let new = job.clone();
        let change = |replica: &mut Replica, now| {
            replica.submit(epoch, job, &raw, owner, max_queued_tokens, now)
        };
        match self.propose(shard, change, |_, _| ()).await {
            Proposal::Done(answer) | Proposal::Pending(_, answer) => answer,
            Proposal::Compare(index, answer) => {
                let stored = self
                    .shard_host
                    .lock()
                    .read(shard, &[index])
                    .unwrap_or_default();
                let entry = stored
                    .first()
                    .and_then(|(_, bytes)| framing::decode::<Entry>(bytes));
                let Some((Entry::Accepted(head), stored)) = entry else {
                    return messages::StoreResponse::Indeterminate;
                };
                let same = Replica::same_items(&head, &new) && (stored.is_empty() || stored == raw);
                if same {
                    answer
                } else {
                    messages::StoreResponse::Conflict
                }
            }
        }
    }

    fn is_disk_full(&self, more: u64) -> bool {
        let shard_host = self.shard_host.lock();
        let file = shard_host.disk.file_bytes();
        let jobs = || shard_host.replicas().iter().map(Replica::jobs);
        let leased: u64 = jobs()
            .map(|jobs| jobs.bytes() + jobs.expected_result_bytes())
            .sum();
        shard_host.commit_queue.is_full() || !capacity::fits(leased + more, file, self.disk_bytes)
    }

    async fn end(&self, job: JobName) -> messages::StoreResponse {
        let shard = Placement::shard_of(&job.host);
        let proposal = self
            .propose(shard, |replica, now| replica.end(&job, now), |_, _| ())
            .await;
        self.confirm_not_found(shard, proposal).await
    }

    async fn record(&self, record: Record, raw: Bytes) -> messages::StoreResponse {
        let shard = Placement::shard_of(&record.job.host);
        let change = |replica: &mut Replica, now| {
            replica.record(&record.job, record.item, record.state, &raw, now)
        };
        let try_read = |shard_host: &mut ShardHost, proposal: &Proposal| {
            let job = shard_host
                .replica(shard)
                .jobs()
                .find(&record.job)
                .map(|(number, _)| number);
            if let (Proposal::Pending(index, _), Some(job)) = (proposal, job) {
                shard_host.track_pending_result(shard, *index, job);
            }
        };
        let proposal = self.propose(shard, change, try_read).await;
        self.confirm_not_found(shard, proposal).await
    }

    /// The answer of a proposal; that a lot is not known has to be confirmed.
    async fn confirm_not_found(&self, shard: u32, proposal: Proposal) -> messages::StoreResponse {
        match proposal {
            Proposal::Done(messages::StoreResponse::NotFound)
                if !self.confirm_primary(shard).await =>
            {
                messages::StoreResponse::Indeterminate
            }
            Proposal::Done(answer)
            | Proposal::Pending(_, answer)
            | Proposal::Compare(_, answer) => answer,
        }
    }

    /// Whether this is still the primary in charge, as enough followers have said a moment ago.
    async fn confirm_primary(&self, shard: u32) -> bool {
        let until = Instant::now() + CONFIRMATION_TIMEOUT;
        loop {
            let confirmation = {
                let mut shard_host = self.shard_host.lock();
                let now = self.now();
                if !shard_host.replica(shard).is_serving() {
                    return false;
                }
                if shard_host.replica(shard).confirm(now) {
                    return true;
                }
                let confirmation = shard_host.wait_for_confirmation(shard);
                shard_host.run_effects(shard, now);
                confirmation
            };
            if timeout_at(until, confirmation).await.is_err() {
                return false;
            }
        }
    }

    async fn read(&self, read: messages::Read) -> Bytes {
        let shard = Placement::shard_of(&read.job.host);
        let until = Instant::now() + Duration::from_millis(read.wait_ms).min(MAX_READ_WAIT);
        loop {
            match self.try_read(shard, &read, Instant::now() < until) {
                ReadAttempt::Answer(bytes) => return bytes,
                ReadAttempt::Nothing(page) => return self.confirm_empty(shard, page).await,
                ReadAttempt::Wait(next) => timeout_at(until, next).await.ok(),
            };
        }
    }

    fn try_read(&self, shard: u32, read: &messages::Read, may_wait: bool) -> ReadAttempt {
        let mut shard_host = self.shard_host.lock();
        if !shard_host.replica(shard).is_serving() {
            return ReadAttempt::Answer(framing::encode(&messages::StoreResponse::NotPrimary, &[]));
        }
        let plan = shard_host
            .replica(shard)
            .page(&read.job, read.start_after, read.max_bytes);
        if let Some(plan) = plan.as_ref().filter(|plan| !plan.entries.is_empty()) {
            return ReadAttempt::Answer(page(&shard_host, shard, plan));
        }
        match shard_host.replica(shard).committed_job(&read.job) {
            Some((number, job)) if may_wait && may_have_more_results(job, read.start_after) => {
                ReadAttempt::Wait(shard_host.wait_for_result(shard, number))
            }
            _ => ReadAttempt::Nothing(plan.map(|plan| plan.page)),
        }
    }

    /// An empty page, or that the lot is not known: both have to be confirmed.
    async fn confirm_empty(&self, shard: u32, page: Option<messages::Page>) -> Bytes {
        let answer = match (self.confirm_primary(shard).await, page) {
            (false, _) => messages::StoreResponse::Indeterminate,
            (true, Some(page)) => messages::StoreResponse::Page(page),
            (true, None) => messages::StoreResponse::NotFound,
        };
        framing::encode(&answer, &[])
    }

    async fn body(&self, item: ItemName) -> Bytes {
        let shard = Placement::shard_of(&item.job.host);
        {
            let mut shard_host = self.shard_host.lock();
            if !shard_host.replica(shard).is_serving() {
                return framing::encode(&messages::StoreResponse::NotPrimary, &[]);
            }
            if let Some((entry, range)) = shard_host.replica(shard).payload(&item.job, &item.item) {
                let stored = shard_host.read(shard, &[entry]).unwrap_or_default();
                let payload = stored
                    .first()
                    .and_then(|(_, bytes)| payload_at(bytes, range));
                return match payload {
                    Some(payload) => framing::encode(&messages::StoreResponse::Body, &[&payload]),
                    None => framing::encode(&messages::StoreResponse::Indeterminate, &[]),
                };
            }
        }
        self.confirm_empty(shard, None).await
    }

    fn lease(&self, lease: &Lease) -> Bytes {
        let mut shard_host = self.shard_host.lock();
        let now = self.now();
        let (mut remaining_items, mut bytes) = (lease.max_items as usize, MAX_LEASE_PAYLOAD_BYTES);
        let (mut heads, mut payloads) = (Vec::new(), Vec::new());
        for shard in 0..SHARD_COUNT {
            if remaining_items == 0 || bytes == 0 {
                break;
            }
            // One that may have been followed by another primary has nothing to give: it would not know of
            // ends.
            let replica = shard_host.replica(shard);
            let plans = match replica.has_unleased_items(now) && replica.confirm(now) {
                true => replica.lease(lease.owner, remaining_items, bytes, now),
                false => Vec::new(),
            };
            shard_host.run_effects(shard, now);
            let entries: Vec<u64> = plans.iter().map(|plan| plan.entry).collect();
            for (plan, payload) in with_payloads(&shard_host, shard, entries, plans) {
                remaining_items -= 1;
                bytes = bytes.saturating_sub(plan.head.length);
                heads.push(plan.head);
                payloads.push(payload);
            }
        }
        let raw: Vec<&[u8]> = payloads.iter().map(|payload| &payload[..]).collect();
        framing::encode(&messages::StoreResponse::Leased(heads), &raw)
    }

    fn renew(&self, renew: &Renew) -> messages::StoreResponse {
        let mut shard_host = self.shard_host.lock();
        let now = self.now();
        let mut renewed = messages::RenewResult::default();
        for leased in &renew.jobs {
            let shard = Placement::shard_of(&leased.job.host);
            shard_host
                .replica(shard)
                .renew(renew.owner, leased, &mut renewed, now);
        }
        renewed.open = shard_host
            .replicas()
            .iter()
            .map(|replica| replica.open_items(now))
            .sum();
        messages::StoreResponse::Renewed(renewed)
    }

    fn release(&self, owner: messages::DispatcherId) -> messages::StoreResponse {
        let mut shard_host = self.shard_host.lock();
        (0..SHARD_COUNT).for_each(|shard| shard_host.replica(shard).release(owner));
        messages::StoreResponse::Released
    }
}

/// What a reader gets.
enum ReadAttempt {
    /// This.
    Answer(Bytes),
    /// An empty page or none, once that is confirmed.
    Nothing(Option<messages::Page>),
    /// It is to look again then.
    Wait(oneshot::Receiver<()>),
}

/// Whether results may still come at or behind the position.
fn may_have_more_results(job: &BatchJob, start_after: u64) -> bool {
    job.ended.is_none() && start_after < job.items.len() as u64
}

/// A page with its texts.
fn page(shard_host: &ShardHost, shard: u32, plan: &PagePlan) -> Bytes {
    let mut page = plan.page.clone();
    let stored = shard_host.read(shard, &plan.entries).unwrap_or_default();
    let texts: Vec<Bytes> = stored
        .iter()
        .filter_map(|(_, bytes)| Some(framing::decode::<Entry>(bytes)?.1))
        .collect();
    if texts.len() != page.results.len() {
        return framing::encode(&messages::StoreResponse::Indeterminate, &[]);
    }
    page.results
        .iter_mut()
        .zip(&texts)
        .for_each(|(result, text)| result.length = text.len() as u64);
    let raw: Vec<&[u8]> = texts.iter().map(|text| &text[..]).collect();
    framing::encode(&messages::StoreResponse::Page(page), &raw)
}

fn payload_at(entry: &Bytes, range: std::ops::Range<usize>) -> Option<Bytes> {
    let (_, raw) = framing::decode::<Entry>(entry)?;
    (range.end <= raw.len()).then(|| raw.slice(range))
}

/// The payloads of leased items; those that can't be read are left out and go to somebody once the lease is
/// over.
fn with_payloads(
    shard_host: &ShardHost,
    shard: u32,
    mut entries: Vec<u64>,
    plans: Vec<LeasePlan>,
) -> Vec<(LeasePlan, Bytes)> {
    entries.dedup();
    let stored = shard_host.read(shard, &entries).unwrap_or_default();
    let raws: Vec<(u64, Bytes)> = stored
        .iter()
        .filter_map(|(index, bytes)| Some((*index, framing::decode::<Entry>(bytes)?.1)))
        .collect();
    let payload = |plan: &LeasePlan| {
        let (_, raw) = raws.iter().find(|(index, _)| *index == plan.entry)?;
        (plan.range.end <= raw.len()).then(|| raw.slice(plan.range.clone()))
    };
    plans
        .into_iter()
        .filter_map(|plan| payload(&plan).map(|bytes| (plan, bytes)))
        .collect()
}

async fn await_commit(commit: oneshot::Receiver<bool>) -> bool {
    matches!(timeout(COMMIT_TIMEOUT, commit).await, Ok(Ok(true)))
}

/// [`Service`] needs the store's own handle.
pub struct StoreService(pub Arc<Store>);

impl Service for StoreService {
    fn on_notification(&self, _from: SocketAddr, body: Bytes) {
        let Some((envelope, raw)) = framing::decode::<Envelope>(&body) else {
            return;
        };
        let now = self.0.now();
        self.0.shard_host.lock().message(envelope, raw, now);
    }

    fn on_request(&self, _from: SocketAddr, body: Bytes) -> transport::ResponseFuture {
        let store = self.0.clone();
        Box::pin(async move {
            match framing::decode::<StoreRequest>(&body) {
                Some((call, raw)) => store.call(call, raw).await,
                None => Bytes::new(),
            }
        })
    }
}
