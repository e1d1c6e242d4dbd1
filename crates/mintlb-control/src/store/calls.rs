//! Dispatchers' calls, answered by the primaries among this store's replicas.

use super::core::Core;
use super::disk::LoadedShards;
use super::room;
use super::writer::Opened;
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
const COMMIT: Duration = Duration::from_millis(3000);
/// How long an answer waits until the followers have confirmed that nobody has taken over.
const CONFIRM: Duration = Duration::from_millis(700);
/// The longest that a reader waits for a result.
const LONGEST_READ: Duration = Duration::from_millis(5000);
/// The most bytes of payloads in one lease.
const LEASE_BYTES: u64 = 1 << 20;
/// The store. Messages and calls come in as [`Service`].
pub struct Store {
    core: Mutex<Core>,
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
        opened: Opened,
        settings: ReplicaSettings,
        disk_bytes: u64,
        draw: u64,
    ) -> Arc<Store> {
        let clock_offset = Duration::from_millis(draw >> 24);
        let core = Core::new(transport, opened, settings, clock_offset);
        let report_changed = core.report_changed.clone();
        let own = settings.store_id;
        let (core, started, draining) = (Mutex::new(core), Instant::now(), Default::default());
        Arc::new(Store {
            core,
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
        let core = self.core.lock();
        (core.reports(), core.placement().epoch)
    }

    /// Told when the report has changed.
    pub fn report_changed(&self) -> &Notify {
        &self.report_changed
    }

    /// Goes by this placement from now on.
    pub fn set_placement(&self, placement: Placement) {
        self.core.lock().set_placement(placement, self.now());
    }

    /// What follows a commit.
    pub fn synced(&self, after: Vec<(u32, AfterSync)>) {
        self.core.lock().synced(after, self.now());
    }

    /// Time passes.
    pub fn tick(&self) {
        self.core.lock().tick(self.now());
    }

    /// A commit failed: lets go of the file, and says and promises nothing until [`Store::resume`].
    pub fn suspend(&self) {
        let disk = {
            let mut core = self.core.lock();
            core.suspend(self.now());
            core.disk.clone()
        };
        disk.close();
        self.report_changed.notify_one();
    }

    /// Goes on with what the file held when it was opened again.
    pub fn resume(&self, shards: LoadedShards) {
        self.core.lock().resume(shards, self.now());
        self.report_changed.notify_one();
    }

    /// Whether the disk has failed or answers nothing: others are to take this store for silent.
    pub fn is_without_disk(&self) -> bool {
        self.core.lock().is_without_disk(std::time::Instant::now())
    }

    /// Whether the disk has failed and could not be opened again yet.
    pub fn is_suspended(&self) -> bool {
        self.core.lock().is_suspended()
    }

    /// Lets the controllers know that this store was told to stop, so that its shards get other primaries.
    pub fn leave(&self) {
        self.draining.store(true, Relaxed);
        self.report_changed.notify_one();
    }

    /// Whether this store was told to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Relaxed)
    }

    /// Whether other stores still need this one: it is the primary of a shard, or a shard is moved away from it and
    /// its copy may have to be read.
    pub fn is_needed(&self) -> bool {
        let core = self.core.lock();
        let is_read = core
            .placement()
            .shards
            .iter()
            .any(|shard| shard.previous.contains(&self.own));
        is_read || core.replicas().iter().any(Replica::is_primary)
    }

    /// Lots that readers wait for.
    pub fn lots_waited_for(&self) -> usize {
        self.core.lock().lots_waited_for()
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

    /// Makes a change and waits until it is committed. `look` sees the core after the change.
    async fn propose(
        &self,
        shard: u32,
        change: impl FnOnce(&mut Replica, Timestamp) -> Proposal,
        look: impl FnOnce(&mut Core, &Proposal),
    ) -> Proposal {
        let (proposal, commit) = {
            let mut core = self.core.lock();
            let now = self.now();
            let proposal = change(core.replica(shard), now);
            look(&mut core, &proposal);
            let commit = match &proposal {
                Proposal::Done(_) => None,
                Proposal::Pending(index, _) | Proposal::Compare(index, _) => {
                    let committed = core.replica(shard).commit_index();
                    (*index > committed).then(|| core.wait_commit(shard, *index))
                }
            };
            core.act(shard, now);
            (proposal, commit)
        };
        if let Some(commit) = commit
            && !is_told(commit).await
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
                let stored = self.core.lock().read(shard, &[index]).unwrap_or_default();
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
        let core = self.core.lock();
        let file = core.disk.file_bytes();
        let jobs = || core.replicas().iter().map(Replica::jobs);
        let held: u64 = jobs()
            .map(|jobs| jobs.bytes() + jobs.expected_result_bytes())
            .sum();
        core.writer.is_full() || !room::fits(held + more, file, self.disk_bytes)
    }

    async fn end(&self, job: JobName) -> messages::StoreResponse {
        let shard = Placement::shard_of(&job.host);
        let proposal = self
            .propose(shard, |replica, now| replica.end(&job, now), |_, _| ())
            .await;
        self.sure(shard, proposal).await
    }

    async fn record(&self, record: Record, raw: Bytes) -> messages::StoreResponse {
        let shard = Placement::shard_of(&record.job.host);
        let change = |replica: &mut Replica, now| {
            replica.record(&record.job, record.item, record.state, &raw, now)
        };
        let look = |core: &mut Core, proposal: &Proposal| {
            let job = core
                .replica(shard)
                .jobs()
                .find(&record.job)
                .map(|(number, _)| number);
            if let (Proposal::Pending(index, _), Some(job)) = (proposal, job) {
                core.result_on_its_way(shard, *index, job);
            }
        };
        let proposal = self.propose(shard, change, look).await;
        self.sure(shard, proposal).await
    }

    /// The answer of a proposal; that a lot is not known has to be confirmed.
    async fn sure(&self, shard: u32, proposal: Proposal) -> messages::StoreResponse {
        match proposal {
            Proposal::Done(messages::StoreResponse::NotFound) if !self.confirmed(shard).await => {
                messages::StoreResponse::Indeterminate
            }
            Proposal::Done(answer)
            | Proposal::Pending(_, answer)
            | Proposal::Compare(_, answer) => answer,
        }
    }

    /// Whether this is still the primary in charge, as enough followers have said a moment ago.
    async fn confirmed(&self, shard: u32) -> bool {
        let until = Instant::now() + CONFIRM;
        loop {
            let sign = {
                let mut core = self.core.lock();
                let now = self.now();
                if !core.replica(shard).is_serving() {
                    return false;
                }
                if core.replica(shard).confirm(now) {
                    return true;
                }
                let sign = core.wait_confirmation(shard);
                core.act(shard, now);
                sign
            };
            if timeout_at(until, sign).await.is_err() {
                return false;
            }
        }
    }

    async fn read(&self, read: messages::Read) -> Bytes {
        let shard = Placement::shard_of(&read.job.host);
        let until = Instant::now() + Duration::from_millis(read.wait_ms).min(LONGEST_READ);
        loop {
            match self.look(shard, &read, Instant::now() < until) {
                Look::Answer(bytes) => return bytes,
                Look::Nothing(page) => return self.nothing_there(shard, page).await,
                Look::Wait(next) => timeout_at(until, next).await.ok(),
            };
        }
    }

    fn look(&self, shard: u32, read: &messages::Read, may_wait: bool) -> Look {
        let mut core = self.core.lock();
        if !core.replica(shard).is_serving() {
            return Look::Answer(framing::encode(&messages::StoreResponse::NotPrimary, &[]));
        }
        let plan = core
            .replica(shard)
            .page(&read.job, read.start_after, read.max_bytes);
        if let Some(plan) = plan.as_ref().filter(|plan| !plan.entries.is_empty()) {
            return Look::Answer(page(&core, shard, plan));
        }
        match core.replica(shard).committed_job(&read.job) {
            Some((number, job)) if may_wait && may_get_more(job, read.start_after) => {
                Look::Wait(core.wait_result(shard, number))
            }
            _ => Look::Nothing(plan.map(|plan| plan.page)),
        }
    }

    /// An empty page, or that the lot is not known: both have to be confirmed.
    async fn nothing_there(&self, shard: u32, page: Option<messages::Page>) -> Bytes {
        let answer = match (self.confirmed(shard).await, page) {
            (false, _) => messages::StoreResponse::Indeterminate,
            (true, Some(page)) => messages::StoreResponse::Page(page),
            (true, None) => messages::StoreResponse::NotFound,
        };
        framing::encode(&answer, &[])
    }

    async fn body(&self, item: ItemName) -> Bytes {
        let shard = Placement::shard_of(&item.job.host);
        {
            let mut core = self.core.lock();
            if !core.replica(shard).is_serving() {
                return framing::encode(&messages::StoreResponse::NotPrimary, &[]);
            }
            if let Some((entry, range)) = core.replica(shard).payload(&item.job, &item.item) {
                let stored = core.read(shard, &[entry]).unwrap_or_default();
                let payload = stored.first().and_then(|(_, bytes)| raw_part(bytes, range));
                return match payload {
                    Some(payload) => framing::encode(&messages::StoreResponse::Body, &[&payload]),
                    None => framing::encode(&messages::StoreResponse::Indeterminate, &[]),
                };
            }
        }
        self.nothing_there(shard, None).await
    }

    fn lease(&self, lease: &Lease) -> Bytes {
        let mut core = self.core.lock();
        let now = self.now();
        let (mut left, mut bytes) = (lease.max_items as usize, LEASE_BYTES);
        let (mut heads, mut payloads) = (Vec::new(), Vec::new());
        for shard in 0..SHARD_COUNT {
            if left == 0 || bytes == 0 {
                break;
            }
            // One that may have been followed by another primary has nothing to give: it would not know of
            // ends.
            let replica = core.replica(shard);
            let plans = match replica.has_unleased_items(now) && replica.confirm(now) {
                true => replica.lease(lease.owner, left, bytes, now),
                false => Vec::new(),
            };
            core.act(shard, now);
            let entries: Vec<u64> = plans.iter().map(|plan| plan.entry).collect();
            for (plan, payload) in with_payloads(&core, shard, entries, plans) {
                left -= 1;
                bytes = bytes.saturating_sub(plan.head.length);
                heads.push(plan.head);
                payloads.push(payload);
            }
        }
        let raw: Vec<&[u8]> = payloads.iter().map(|payload| &payload[..]).collect();
        framing::encode(&messages::StoreResponse::Leased(heads), &raw)
    }

    fn renew(&self, renew: &Renew) -> messages::StoreResponse {
        let mut core = self.core.lock();
        let now = self.now();
        let mut renewed = messages::RenewResult::default();
        for held in &renew.jobs {
            let shard = Placement::shard_of(&held.job.host);
            core.replica(shard)
                .renew(renew.owner, held, &mut renewed, now);
        }
        renewed.open = core
            .replicas()
            .iter()
            .map(|replica| replica.open_items(now))
            .sum();
        messages::StoreResponse::Renewed(renewed)
    }

    fn release(&self, owner: messages::DispatcherId) -> messages::StoreResponse {
        let mut core = self.core.lock();
        (0..SHARD_COUNT).for_each(|shard| core.replica(shard).release(owner));
        messages::StoreResponse::Released
    }
}

/// What a reader gets.
enum Look {
    /// This.
    Answer(Bytes),
    /// An empty page or none, once that is confirmed.
    Nothing(Option<messages::Page>),
    /// It is to look again then.
    Wait(oneshot::Receiver<()>),
}

/// Whether results may still come at or behind the position.
fn may_get_more(job: &BatchJob, start_after: u64) -> bool {
    job.ended.is_none() && start_after < job.items.len() as u64
}

/// A page with its texts.
fn page(core: &Core, shard: u32, plan: &PagePlan) -> Bytes {
    let mut page = plan.page.clone();
    let stored = core.read(shard, &plan.entries).unwrap_or_default();
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

fn raw_part(entry: &Bytes, range: std::ops::Range<usize>) -> Option<Bytes> {
    let (_, raw) = framing::decode::<Entry>(entry)?;
    (range.end <= raw.len()).then(|| raw.slice(range))
}

/// The payloads of leased items; those that can't be read are left out and go to somebody once the lease is
/// over.
fn with_payloads(
    core: &Core,
    shard: u32,
    mut entries: Vec<u64>,
    plans: Vec<LeasePlan>,
) -> Vec<(LeasePlan, Bytes)> {
    entries.dedup();
    let stored = core.read(shard, &entries).unwrap_or_default();
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

async fn is_told(commit: oneshot::Receiver<bool>) -> bool {
    matches!(timeout(COMMIT, commit).await, Ok(Ok(true)))
}

/// [`Service`] needs the store's own handle.
pub struct StoreService(pub Arc<Store>);

impl Service for StoreService {
    fn on_notification(&self, _from: SocketAddr, body: Bytes) {
        let Some((envelope, raw)) = framing::decode::<Envelope>(&body) else {
            return;
        };
        let now = self.0.now();
        self.0.core.lock().message(envelope, raw, now);
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
