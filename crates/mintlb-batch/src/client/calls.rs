//! The calls of [`super::BatchClient`], each with its bounds.

use super::*;
use crate::entry::{ItemHeader, ItemPayload, ItemState, JobHeader};
use crate::framing;
use crate::messages::{
    self, ItemName, JobName, LeasedItems, Record, Renew, StoreRequest, StoreResponse, Submit,
};
use mintlb_common::transport::Channel;
use std::net::SocketAddr;
use tokio::time::{sleep, timeout_at};

/// Between two tries, while the primary is not in charge or out of reach.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// The longest that one try waits for its answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1200);
/// All tries of a read, a body or an end together, beside the time that a read waits for a result.
const READ_TIMEOUT: Duration = Duration::from_millis(1300);
/// All tries of a record together.
const RECORD_TIMEOUT: Duration = Duration::from_millis(4000);
/// How long a lease, a renewal or a release may take at one store.
const LEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a store without known open items is asked for some.
const IDLE_STORE_INTERVAL: Duration = Duration::from_millis(1000);
/// Most calls of one lease.
const MAX_STORES_PER_LEASE: usize = 4;

/// The answer of a try.
enum Attempt {
    Answered(StoreResponse, Bytes),
    /// Nothing was or will be done.
    NotExecuted,
    /// It may have been done.
    Indeterminate,
}

/// The primary of a host's shard and the shard's epoch.
fn primary(client: &BatchClient, host: &str) -> Option<(SocketAddr, u64)> {
    let placement = (client.placement)();
    let shard = Placement::shard_of(host);
    let address = placement.primary(shard)?.address.parse().ok()?;
    Some((address, placement.shards.get(shard as usize)?.epoch))
}

async fn call_once(client: &BatchClient, to: SocketAddr, body: Bytes, within: Duration) -> Attempt {
    match client
        .transport
        .call(to, Channel::Batch, body, within)
        .await
    {
        Ok(bytes) => match framing::decode::<StoreResponse>(&bytes) {
            Some((StoreResponse::NotPrimary, _)) => Attempt::NotExecuted,
            Some((StoreResponse::Indeterminate, _)) | None => Attempt::Indeterminate,
            Some((answer, raw)) => Attempt::Answered(answer, raw),
        },
        Err(error) if error.may_have_executed() => Attempt::Indeterminate,
        Err(_) => Attempt::NotExecuted,
    }
}

fn encode_call(call: &StoreRequest, raw: &[&[u8]]) -> Bytes {
    framing::encode(call, raw)
}

/// Tries until there is an answer or the time is over.
async fn call_host(
    client: &BatchClient,
    host: &str,
    body: Bytes,
    until: Instant,
) -> Option<(StoreResponse, Bytes)> {
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        if let Some((to, _)) = primary(client, host)
            && let Attempt::Answered(answer, raw) = call_once(client, to, body.clone(), left).await
        {
            return Some((answer, raw));
        }
        sleep(RETRY_PAUSE.min(until.saturating_duration_since(Instant::now()))).await;
    }
}

pub(super) async fn submit(
    client: &BatchClient,
    job: Submission,
    owner: DispatcherId,
    within: Duration,
) -> SubmitOutcome {
    let until = Instant::now() + within;
    let payloads: Vec<Bytes> = job.items.iter().map(payload).collect();
    let items = job
        .items
        .into_iter()
        .zip(&payloads)
        .map(|(item, payload)| ItemHeader {
            id: item.instance_id,
            tokens: item.tokens,
            length: payload.len() as u64,
        });
    let items = items.collect();
    let head = JobHeader {
        host: job.host,
        id: job.job_id,
        route: job.route,
        terms: job.terms,
        items,
    };
    let host = head.host.clone();
    let raw: Vec<&[u8]> = payloads.iter().map(|payload| &payload[..]).collect();
    let mut submit = Submit {
        epoch: 0,
        owner,
        max_queued_tokens: job.max_queued_tokens,
        job: head,
    };
    // Once a try came out unclear it may be carried out at any time, so that only "accepted" can be believed.
    let mut may_have_executed = false;
    let mut body = Bytes::new();
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return if may_have_executed {
                SubmitOutcome::Indeterminate
            } else {
                SubmitOutcome::Rejected
            };
        }
        if let Some((to, epoch)) = primary(client, &host) {
            if body.is_empty() || submit.epoch != epoch {
                submit.epoch = epoch;
                let call = StoreRequest::Submit(submit);
                body = encode_call(&call, &raw);
                let StoreRequest::Submit(back) = call else {
                    unreachable!("it was just put in")
                };
                submit = back;
            }
            match call_once(client, to, body.clone(), left.min(ATTEMPT_TIMEOUT)).await {
                Attempt::Answered(StoreResponse::Accepted { leased }, _) => {
                    return SubmitOutcome::Accepted {
                        items_leased: leased,
                    };
                }
                Attempt::Answered(StoreResponse::Conflict, _) => return SubmitOutcome::Conflict,
                Attempt::Answered(StoreResponse::QuotaExceeded, _) if !may_have_executed => {
                    return SubmitOutcome::QuotaExceeded;
                }
                Attempt::Answered(StoreResponse::DiskFull, _) if !may_have_executed => {
                    return SubmitOutcome::Rejected;
                }
                Attempt::Answered(StoreResponse::QuotaExceeded | StoreResponse::DiskFull, _) => {
                    return SubmitOutcome::Indeterminate;
                }
                Attempt::Answered(..) | Attempt::Indeterminate => may_have_executed = true,
                Attempt::NotExecuted => (),
            }
        }
        sleep(RETRY_PAUSE.min(until.saturating_duration_since(Instant::now()))).await;
    }
}

pub(super) async fn read(
    client: &BatchClient,
    host: &str,
    job_id: &str,
    start_after: u64,
    wait: Duration,
    max_bytes: usize,
) -> ReadOutcome {
    let until = Instant::now() + wait + READ_TIMEOUT;
    let call = StoreRequest::Read(messages::Read {
        job: name(host, job_id),
        start_after,
        wait_ms: wait.as_millis() as u64,
        max_bytes: max_bytes as u64,
    });
    match call_host(client, host, encode_call(&call, &[]), until).await {
        Some((StoreResponse::Page(page), raw)) => results(page, raw),
        Some((StoreResponse::NotFound, _)) => ReadOutcome::NotFound,
        _ => ReadOutcome::Unavailable,
    }
}

fn results(page: messages::Page, mut raw: Bytes) -> ReadOutcome {
    if page.results.iter().map(|result| result.length).sum::<u64>() != raw.len() as u64 {
        return ReadOutcome::Unavailable;
    }
    let results = page.results.into_iter().map(|result| CommittedResult {
        instance_id: result.item,
        state: result.state,
        text: raw.split_to(result.length as usize),
    });
    ReadOutcome::Page {
        total: page.total,
        next: page.next,
        results: results.collect(),
    }
}

pub(super) async fn body(
    client: &BatchClient,
    host: &str,
    job_id: &str,
    instance_id: &str,
) -> BodyOutcome {
    let item = ItemName {
        job: name(host, job_id),
        item: instance_id.to_string(),
    };
    let body = encode_call(&StoreRequest::Body(item), &[]);
    match call_host(client, host, body, Instant::now() + READ_TIMEOUT).await {
        Some((StoreResponse::Body, raw)) => match ItemPayload::decode(&raw) {
            Some((_, body)) => BodyOutcome::Body(body),
            None => BodyOutcome::Unavailable,
        },
        Some((StoreResponse::NotFound, _)) => BodyOutcome::NotFound,
        _ => BodyOutcome::Unavailable,
    }
}

pub(super) async fn end(client: &BatchClient, host: &str, job_id: &str) -> EndOutcome {
    let body = encode_call(&StoreRequest::End(name(host, job_id)), &[]);
    match call_host(client, host, body, Instant::now() + READ_TIMEOUT).await {
        Some((StoreResponse::Ended, _)) => EndOutcome::Ended,
        Some((StoreResponse::NotFound, _)) => EndOutcome::NotFound,
        _ => EndOutcome::Unavailable,
    }
}

pub(super) async fn record(
    client: &BatchClient,
    host: &str,
    job_id: &str,
    index: u32,
    result: ItemResult,
) -> bool {
    let (state, text) = match result {
        ItemResult::Completed(text) => (ItemState::Completed, text),
        ItemResult::Unrecoverable => (ItemState::Unrecoverable, Bytes::new()),
    };
    let call = StoreRequest::Record(Record {
        job: name(host, job_id),
        item: index,
        state,
    });
    let body = encode_call(&call, &[&text]);
    let answer = call_host(client, host, body, Instant::now() + RECORD_TIMEOUT).await;
    matches!(
        answer,
        Some((StoreResponse::Recorded | StoreResponse::NotFound, _))
    )
}

/// The distinct primaries of all shards.
fn primaries(placement: &Placement) -> Vec<(StoreId, SocketAddr)> {
    let mut primaries: Vec<(StoreId, SocketAddr)> = Vec::new();
    for assignment in &placement.shards {
        let Some(store) = assignment
            .replicas
            .first()
            .and_then(|id| placement.store(*id))
        else {
            continue;
        };
        let Ok(address) = store.address.parse() else {
            continue;
        };
        if !primaries.iter().any(|(id, _)| *id == store.id) {
            primaries.push((store.id, address));
        }
    }
    primaries
}

pub(super) async fn lease(
    client: &BatchClient,
    owner: DispatcherId,
    max_items: usize,
) -> Vec<LeasedItem> {
    let mut leased = Vec::new();
    let stores = stores_to_ask(client, owner);
    for (store, address) in stores.into_iter().take(MAX_STORES_PER_LEASE) {
        let left = max_items.saturating_sub(leased.len());
        if left == 0 {
            break;
        }
        let call = StoreRequest::Lease(messages::Lease {
            owner,
            max_items: left as u32,
        });
        let answer = call_once(client, address, encode_call(&call, &[]), LEASE_TIMEOUT).await;
        let got = match answer {
            Attempt::Answered(StoreResponse::Leased(heads), raw) => leased_items(heads, raw),
            _ => Vec::new(),
        };
        // As long as a store gives something it is asked again at once.
        client
            .open
            .lock()
            .insert(store, (Instant::now(), got.len() as u32));
        leased.extend(got);
    }
    leased
}

/// Those that may have something first, beginning at another store for each holder.
fn stores_to_ask(client: &BatchClient, owner: DispatcherId) -> Vec<(StoreId, SocketAddr)> {
    let mut stores = primaries(&(client.placement)());
    let now = Instant::now();
    let mut open = client.open.lock();
    open.retain(|id, _| stores.iter().any(|(store, _)| store == id));
    let waiting = |id: StoreId| match open.get(&id) {
        Some((asked_at, 0)) if now.duration_since(*asked_at) < IDLE_STORE_INTERVAL => None,
        Some((_, count)) => Some(*count),
        None => Some(0),
    };
    stores.retain(|(id, _)| waiting(*id).is_some());
    stores.sort_by_key(|(id, _)| {
        (
            std::cmp::Reverse(waiting(*id).map(|n| n > 0)),
            (id ^ owner).rotate_left(17),
        )
    });
    stores
}

fn leased_items(heads: Vec<messages::LeasedItemHeader>, mut raw: Bytes) -> Vec<LeasedItem> {
    if heads.iter().map(|head| head.length).sum::<u64>() != raw.len() as u64 {
        return Vec::new();
    }
    let items = heads.into_iter().filter_map(|head| {
        let (payload, body) = ItemPayload::decode(&raw.split_to(head.length as usize))?;
        let (path, headers) = (payload.path, payload.headers);
        Some(LeasedItem {
            host: head.job.host,
            route: head.route,
            job_id: head.job.id,
            terms: head.terms,
            index: head.index,
            item: Item {
                instance_id: head.item,
                path,
                headers,
                body,
                tokens: head.tokens,
            },
            failures: head.failures,
        })
    });
    items.collect()
}

pub(super) async fn renew(
    client: &BatchClient,
    owner: DispatcherId,
    leased: Vec<LeasedJob>,
) -> Vec<LeasedJob> {
    let placement = (client.placement)();
    let mut by_store: FxHashMap<(StoreId, SocketAddr), Vec<LeasedItems>> = FxHashMap::default();
    for job in leased {
        let store = placement.primary(Placement::shard_of(&job.host));
        if let Some(address) = store.and_then(|store| Some((store.id, store.address.parse().ok()?)))
        {
            let LeasedJob {
                host,
                job_id,
                items,
                failures,
            } = job;
            let job = LeasedItems {
                job: JobName { host, id: job_id },
                items,
                failures,
            };
            by_store.entry(address).or_default().push(job);
        }
    }
    let until = Instant::now() + LEASE_TIMEOUT;
    let calls: Vec<_> = by_store
        .into_iter()
        .map(|((store, address), jobs)| {
            let body = encode_call(&StoreRequest::Renew(Renew { owner, jobs }), &[]);
            let transport = client.transport.clone();
            let call = async move {
                transport
                    .call(address, Channel::Batch, body, LEASE_TIMEOUT)
                    .await
            };
            (store, tokio::spawn(call))
        })
        .collect();
    let mut lost = Vec::new();
    for (store, call) in calls {
        let Ok(Ok(Ok(bytes))) = timeout_at(until, call).await else {
            continue;
        };
        if let Some((StoreResponse::Renewed(renewed), _)) = framing::decode::<StoreResponse>(&bytes)
        {
            client
                .open
                .lock()
                .insert(store, (Instant::now(), renewed.open));
            lost.extend(renewed.lost.into_iter().map(|items| LeasedJob {
                host: items.job.host,
                job_id: items.job.id,
                items: items.items,
                failures: items.failures,
            }));
        }
    }
    lost
}

pub(super) async fn release(client: &BatchClient, owner: DispatcherId) {
    let body = encode_call(&StoreRequest::Release(owner), &[]);
    let until = Instant::now() + LEASE_TIMEOUT;
    let stores = primaries(&(client.placement)()).into_iter();
    let calls: Vec<_> = stores
        .map(|(_, address)| {
            let (transport, body) = (client.transport.clone(), body.clone());
            tokio::spawn(async move {
                transport
                    .call(address, Channel::Batch, body, LEASE_TIMEOUT)
                    .await
            })
        })
        .collect();
    for call in calls {
        timeout_at(until, call).await.ok();
    }
}

fn name(host: &str, job_id: &str) -> JobName {
    JobName {
        host: host.to_string(),
        id: job_id.to_string(),
    }
}
