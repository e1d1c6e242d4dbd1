//! What the client makes of the stores' responses to a submission.

use bytes::Bytes;
use mintlb_batch::client::{BatchClient, Item, Submission, SubmitError, Submitted};
use mintlb_batch::entry::{ItemPayload, JobTerms};
use mintlb_batch::framing;
use mintlb_batch::messages::{JobName, LeasedItemHeader, StoreRequest, StoreResponse};
use mintlb_common::placement::StoreId;
use mintlb_common::placement::{Placement, SHARD_COUNT, ShardAssignment, StoreEntry};
use mintlb_common::transport::{Channel, ResponseFuture, Service, Transport};
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The epoch of all shards.
const EPOCH: u64 = 5;
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// A store's response after this time is late: a full link holds messages back for seconds.
const LATE: Duration = Duration::from_millis(900);
const ACCEPTED: StoreResponse = StoreResponse::Accepted { leased: true };
const SUBMITTED: Result<Submitted, SubmitError> = Ok(Submitted { items_leased: true });

/// What a scripted store does with a request.
#[derive(Clone, Debug)]
enum Reaction {
    Respond(StoreResponse),
    RespondRaw(Duration, Bytes),
    StaySilent,
}

use Reaction::{Respond, RespondRaw, StaySilent};

/// A store that reacts to submissions by a script, of which the last line is repeated.
struct ScriptedStore {
    script: Mutex<VecDeque<Reaction>>,
    requested_epochs: Mutex<Vec<u64>>,
}

impl ScriptedStore {
    fn next_reaction(&self) -> Reaction {
        let mut script = self.script.lock();
        if script.len() > 1 {
            script.pop_front().unwrap()
        } else {
            script[0].clone()
        }
    }
}

impl Service for ScriptedStore {
    fn on_request(&self, _from: SocketAddr, body: Bytes) -> ResponseFuture {
        match framing::decode(&body) {
            Some((StoreRequest::Submit(submit), _)) => {
                self.requested_epochs.lock().push(submit.epoch);
            }
            Some((StoreRequest::Lease(_), _)) => (),
            Some((StoreRequest::HasHostPlacedJobs(_), _)) => {
                let none = framing::encode(&StoreResponse::HostPlacedJobs(false), &[]);
                return Box::pin(async move { none });
            }
            other => panic!("neither a submission nor a lease: {other:?}"),
        }
        let reaction = self.next_reaction();
        Box::pin(async move {
            match reaction {
                Respond(response) => framing::encode(&response, &[]),
                RespondRaw(delay, response) => {
                    tokio::time::sleep(delay).await;
                    response
                }
                StaySilent => std::future::pending().await,
            }
        })
    }
}

/// A placement with all shards on one store.
fn placement(address: SocketAddr) -> Placement {
    let store = StoreEntry {
        id: StoreId(1),
        node_name: String::new(),
        address: address.to_string(),
        zone: String::new(),
        decommissioning: false,
        region: None,
        counts_toward_quorum: None,
    };
    let shard = ShardAssignment {
        epoch: EPOCH,
        replicas: vec![store.id],
        ..ShardAssignment::default()
    };
    Placement {
        epoch: 1,
        stores: vec![store],
        shards: vec![shard; SHARD_COUNT as usize],
    }
}

fn job() -> Submission {
    Submission {
        host: "h".to_string(),
        route: "r".to_string(),
        tenant: None,
        job_id: "l".to_string(),
        terms: JobTerms::default(),
        max_queued_tokens: 0,
        items: vec![Item::default()],
    }
}

/// A client of one store that reacts so.
async fn client_of(script: &[Reaction]) -> (BatchClient, Arc<ScriptedStore>) {
    let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let transport = Transport::start(any_port).await.unwrap();
    let store = Arc::new(ScriptedStore {
        script: Mutex::new(script.to_vec().into()),
        requested_epochs: Mutex::default(),
    });
    transport.register_service(Channel::Batch, store.clone());
    let placement = Arc::new(placement(transport.local_address()));
    let client = BatchClient::new(
        Transport::start(any_port).await.unwrap(),
        Arc::new(move || placement.clone()),
    );
    (client, store)
}

/// Submits a job to a store that reacts so. All requests have to name the shard's epoch.
async fn submit(script: &[Reaction]) -> Result<Submitted, SubmitError> {
    let (client, store) = client_of(script).await;
    let result = client.submit(job(), 1, SUBMIT_TIMEOUT).await;
    let epochs = store.requested_epochs.lock();
    assert!(epochs.iter().all(|epoch| *epoch == EPOCH), "{epochs:?}");
    result
}

#[tokio::test]
async fn submission_is_retried_until_it_is_accepted() {
    for script in [
        vec![Respond(ACCEPTED)],
        vec![Respond(StoreResponse::NotPrimary), Respond(ACCEPTED)],
        vec![Respond(StoreResponse::Indeterminate), Respond(ACCEPTED)],
    ] {
        assert_eq!(submit(&script).await, SUBMITTED, "{script:?}");
    }
}

#[tokio::test]
async fn submission_is_rejected_if_no_attempt_was_executed() {
    for (response, error) in [
        (StoreResponse::NotPrimary, SubmitError::Rejected),
        (StoreResponse::DiskFull, SubmitError::Rejected),
        (StoreResponse::QuotaExceeded, SubmitError::QuotaExceeded),
        (StoreResponse::Conflict, SubmitError::Conflict),
    ] {
        let script = [Respond(response)];
        assert_eq!(submit(&script).await, Err(error), "{script:?}");
    }
}

#[tokio::test]
async fn submission_is_indeterminate_once_an_attempt_may_have_been_executed() {
    for script in [
        [
            Respond(StoreResponse::Indeterminate),
            Respond(StoreResponse::QuotaExceeded),
        ],
        [
            Respond(StoreResponse::Indeterminate),
            Respond(StoreResponse::NotPrimary),
        ],
        [Respond(StoreResponse::NotPrimary), StaySilent],
    ] {
        let result = submit(&script).await;
        assert_eq!(result, Err(SubmitError::Indeterminate), "{script:?}");
    }
}

/// Over a full link the response comes late. The store counts the items as leased for 3 s: if the
/// dispatcher gave up the call, nobody would run them meanwhile, and each further call would lease
/// more of them to nobody.
#[tokio::test]
async fn a_late_lease_response_is_taken() {
    let header = LeasedItemHeader {
        job: JobName {
            host: "h".to_string(),
            id: "l".to_string(),
        },
        route: "r".to_string(),
        terms: JobTerms::default(),
        index: 0,
        item: "l-0".to_string(),
        tokens: 1,
        length: 0,
        failures: 0,
        host_placed: None,
        tenant: None,
    };
    let payload = ItemPayload::default().encode(b"");
    let header = LeasedItemHeader {
        length: payload.len() as u64,
        ..header
    };
    let response = framing::encode(&StoreResponse::Leased(vec![header]), &[&payload]);
    let (client, _store) = client_of(&[RespondRaw(LATE, response)]).await;
    let leased = client.lease(1, 16).await;
    assert_eq!((leased.items.len(), leased.unanswered), (1, 0));
}

/// A submission carries all bodies: sent again while the first one is under way, it would fill the
/// link to a store that is busy even further.
#[tokio::test]
async fn a_submission_under_way_is_not_repeated_at_the_same_primary() {
    const FORMER_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1200);
    let (client, store) = client_of(&[StaySilent]).await;
    let timeout = FORMER_ATTEMPT_TIMEOUT + SUBMIT_TIMEOUT;
    let result = client.submit(job(), 1, timeout).await;
    assert_eq!(result, Err(SubmitError::Indeterminate));
    assert_eq!(store.requested_epochs.lock().len(), 1);
}

#[tokio::test]
async fn a_submission_under_way_is_given_up_when_the_shard_has_another_primary() {
    let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let mut transports = Vec::new();
    for script in [StaySilent, Respond(ACCEPTED)] {
        let transport = Transport::start(any_port).await.unwrap();
        let store = ScriptedStore {
            script: Mutex::new(vec![script].into()),
            requested_epochs: Mutex::default(),
        };
        transport.register_service(Channel::Batch, Arc::new(store));
        transports.push(transport);
    }
    let placements = transports
        .iter()
        .map(|transport| Arc::new(placement(transport.local_address())));
    let placements: Vec<Arc<Placement>> = placements.collect();
    let current = Arc::new(Mutex::new(placements[0].clone()));
    let known = current.clone();
    let client = BatchClient::new(
        Transport::start(any_port).await.unwrap(),
        Arc::new(move || known.lock().clone()),
    );
    let submit = client.submit(job(), 1, Duration::from_secs(10));
    let replace = async {
        tokio::time::sleep(SUBMIT_TIMEOUT).await;
        *current.lock() = placements[1].clone();
    };
    let (result, ()) = tokio::join!(submit, replace);
    assert_eq!(result, SUBMITTED);
}
