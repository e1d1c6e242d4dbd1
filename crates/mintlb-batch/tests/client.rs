//! What the client of stores makes of their answers.

use mintlb_batch::client::{BatchClient, Item, Submission, SubmitError, Submitted};
use mintlb_batch::framing;
use mintlb_batch::messages::{StoreRequest, StoreResponse};
use mintlb_common::placement::{Placement, SHARD_COUNT, ShardAssignment, StoreEntry};
use mintlb_common::transport::{self, Channel, Service, Transport};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A store that answers submissions as it is told to; `None` is silence.
struct Scripted(Mutex<Vec<Option<StoreResponse>>>, Mutex<Vec<u64>>);

impl Service for Scripted {
    fn on_request(&self, _from: SocketAddr, body: bytes::Bytes) -> transport::ResponseFuture {
        let Some((StoreRequest::Submit(submit), _)) = framing::decode::<StoreRequest>(&body) else {
            panic!("no submission")
        };
        self.1.lock().push(submit.epoch);
        let answer = {
            let mut answers = self.0.lock();
            if answers.len() > 1 {
                answers.remove(0)
            } else {
                answers[0].clone()
            }
        };
        Box::pin(async move {
            match answer {
                Some(answer) => framing::encode(&answer, &[]),
                None => std::future::pending().await,
            }
        })
    }
}

async fn submitted(
    answers: &[Option<StoreResponse>],
    within_ms: u64,
) -> (Result<Submitted, SubmitError>, Vec<u64>) {
    let any = "127.0.0.1:0".parse().unwrap();
    let store = Transport::start(any).await.unwrap();
    let script = Arc::new(Scripted(Mutex::new(answers.to_vec()), Mutex::default()));
    store.register_service(Channel::Batch, script.clone());
    let entry = StoreEntry {
        id: 1,
        address: store.local_address().to_string(),
        ..empty_entry()
    };
    let shard = ShardAssignment {
        epoch: 5,
        replicas: vec![1],
        ..ShardAssignment::default()
    };
    let placement = Placement {
        epoch: 1,
        stores: vec![entry],
        shards: vec![shard; SHARD_COUNT as usize],
    };
    let placement = Arc::new(placement);
    let client = BatchClient::new(
        Transport::start(any).await.unwrap(),
        Arc::new(move || placement.clone()),
    );
    let job = Submission {
        host: "h".to_string(),
        route: "r".to_string(),
        job_id: "l".to_string(),
        terms: Default::default(),
        max_queued_tokens: 0,
        items: vec![Item::default()],
    };
    let outcome = client
        .submit(job, 1, Duration::from_millis(within_ms))
        .await;
    let epochs = script.1.lock().clone();
    (outcome, epochs)
}

fn empty_entry() -> StoreEntry {
    StoreEntry {
        id: 0,
        node_name: String::new(),
        address: String::new(),
        zone: String::new(),
        decommissioning: false,
    }
}

#[tokio::test]
async fn a_submission_is_refused_only_when_surely_nothing_of_it_is_in() {
    let leased = StoreResponse::Accepted { leased: true };
    let accepted = Ok(Submitted { items_leased: true });
    let not_in_charge = Some(StoreResponse::NotPrimary);
    let cases = [
        (vec![Some(leased.clone())], accepted),
        (vec![not_in_charge.clone(), Some(leased.clone())], accepted),
        (vec![not_in_charge.clone()], Err(SubmitError::Rejected)),
        (
            vec![Some(StoreResponse::QuotaExceeded)],
            Err(SubmitError::QuotaExceeded),
        ),
        (
            vec![Some(StoreResponse::DiskFull)],
            Err(SubmitError::Rejected),
        ),
        (
            vec![Some(StoreResponse::Conflict)],
            Err(SubmitError::Conflict),
        ),
        (
            vec![Some(StoreResponse::Indeterminate), Some(leased)],
            accepted,
        ),
        (
            vec![
                Some(StoreResponse::Indeterminate),
                Some(StoreResponse::QuotaExceeded),
            ],
            Err(SubmitError::Indeterminate),
        ),
        (
            vec![Some(StoreResponse::Indeterminate), not_in_charge.clone()],
            Err(SubmitError::Indeterminate),
        ),
        (vec![not_in_charge, None], Err(SubmitError::Indeterminate)),
    ];
    for (answers, expected) in cases {
        let (outcome, epochs) = submitted(&answers, 200).await;
        assert_eq!(outcome, expected, "{answers:?}");
        assert!(epochs.iter().all(|epoch| *epoch == 5));
    }
}
