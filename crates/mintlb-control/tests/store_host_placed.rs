//! Jobs that a former release has stored on their host's shard are found, run, and ended there.

mod faulty_file;
mod single_replica;
mod stores;

use bytes::Bytes;
use mintlb_batch::client::{
    Item, ItemResult, JobAccess, JobError, LeasedJob, Submission, Submitted,
};
use mintlb_batch::entry::{ItemHeader, ItemPayload, JobHeader, JobTerms};
use mintlb_batch::messages::{JobName, Submit};
use mintlb_common::placement::StoreId;
use single_replica::{SHARD, START, SingleReplica, job_name};
use std::path::Path;
use std::time::Duration;
use stores::{ACCEPTED, Cluster, DISPATCHER, Node, TEST_TIMEOUT, completed};
use tempfile::TempDir;

const ITEMS: usize = 2;

/// A job whose shard is not that of its host.
fn host_placed_job() -> JobName {
    let mut names = (0..).map(job_name);
    names.find(|name| name.shard() != SHARD).unwrap()
}

fn submission(name: &JobName) -> Submission {
    let item = |item| Item {
        instance_id: format!("{}-{item}", name.id),
        path: "/p".to_string(),
        headers: Vec::new(),
        body: Bytes::from(vec![item as u8; 10]),
        tokens: 10,
    };
    Submission {
        host: name.host.clone(),
        route: "r".to_string(),
        tenant: None,
        job_id: name.id.clone(),
        terms: JobTerms {
            retention_ms: 60_000,
            ..JobTerms::default()
        },
        max_queued_tokens: 1000,
        items: (0..ITEMS).map(item).collect(),
    }
}

/// Stores the job in the file of a store, as a release did that placed all jobs of a host together.
fn write_as_before(directory: &Path, name: &JobName) {
    let mut replica = SingleReplica::open(directory, START);
    let job = submission(name);
    let payloads: Vec<Bytes> = job
        .items
        .iter()
        .map(|item| {
            let head = ItemPayload {
                path: item.path.clone(),
                headers: Vec::new(),
            };
            head.encode(&item.body)
        })
        .collect();
    let items = job.items.iter().zip(&payloads);
    let items = items.map(|(item, payload)| ItemHeader {
        id: item.instance_id.clone(),
        tokens: item.tokens,
        length: payload.len() as u64,
    });
    let submit = Submit {
        epoch: 1,
        owner: 3,
        max_queued_tokens: 0,
        job: JobHeader {
            host: job.host.clone(),
            id: job.job_id.clone(),
            route: job.route.clone(),
            terms: job.terms,
            items: items.collect(),
            tenant: None,
        },
    };
    replica
        .replica
        .submit(&submit, &payloads.concat().into(), START);
    replica.run_effects();
}

/// Three stores, the first of them on the file of the former release.
async fn upgraded_cluster(name: &JobName) -> Cluster {
    let directories: Vec<TempDir> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
    write_as_before(directories[0].path(), name);
    let mut nodes = Vec::new();
    for (directory, id) in directories.iter().zip(7..) {
        nodes.push(Node::start(directory.path(), StoreId(id)).await);
    }
    let cluster = Cluster::of(nodes, directories).await;
    let placement = cluster.placement(&[0, 1, 2]).epoch(2);
    cluster.apply_placement(placement.clone().previous(&[0]).build());
    cluster.wait_until_active(0, 2).await;
    cluster.apply_placement(placement.epoch(3).shard_epoch(2).build());
    cluster
}

#[tokio::test]
async fn a_job_of_a_former_release_is_run_to_its_end() {
    let name = host_placed_job();
    let (host, id) = (name.host.as_str(), name.id.as_str());
    assert_eq!(name.host_shard(), SHARD);
    let cluster = upgraded_cluster(&name).await;
    let client = &cluster.client;
    let read = client
        .read(&JobAccess::Unrestricted, host, id, 0, Duration::ZERO, 1000)
        .await;
    assert_eq!(read.unwrap().total, ITEMS as u64);
    let unknown = client
        .read(
            &JobAccess::Unrestricted,
            host,
            "unknown",
            0,
            Duration::ZERO,
            1000,
        )
        .await;
    assert_eq!(unknown, Err(JobError::NotFound));

    // Submitted again it is the same job, and is not stored a second time.
    let again = client.submit(submission(&name), DISPATCHER, TEST_TIMEOUT);
    assert_eq!(
        again.await,
        Ok(Submitted {
            items_leased: false
        })
    );
    let body = client
        .body(&JobAccess::Unrestricted, host, id, &format!("{id}-1"))
        .await;
    assert_eq!(body, Ok(Bytes::from(vec![1; 10])));

    let mut leased = client.lease(DISPATCHER, 10).await.items;
    while leased.is_empty() {
        // The new primary grants no leases at first.
        tokio::time::sleep(Duration::from_millis(100)).await;
        leased = client.lease(DISPATCHER, 10).await.items;
    }
    assert_eq!(leased.len(), ITEMS);
    let renewal = LeasedJob {
        host: name.host.clone(),
        job_id: name.id.clone(),
        items: vec![0, 1],
        failures: Vec::new(),
    };
    let lost = client.renew(DISPATCHER, vec![renewal]).await.lost;
    assert_eq!(lost, []);

    let result = ItemResult::Completed("one".into());
    assert_eq!(client.record(host, id, 1, result).await, Ok(()));
    let page = client
        .read(&JobAccess::Unrestricted, host, id, 0, Duration::ZERO, 1000)
        .await
        .unwrap();
    let results: Vec<String> = page.results.into_iter().map(|r| r.instance_id).collect();
    assert_eq!(results, [completed(&format!("{id}-1"), "one").item]);
    assert_eq!(client.end(&JobAccess::Unrestricted, host, id).await, Ok(()));
}

#[tokio::test]
async fn a_new_job_of_the_same_host_lies_on_its_own_shard() {
    let name = host_placed_job();
    let cluster = upgraded_cluster(&name).await;
    let other = JobName {
        id: "other".to_string(),
        ..name
    };
    let submitted = cluster
        .client
        .submit(submission(&other), DISPATCHER, TEST_TIMEOUT);
    assert_eq!(submitted.await, ACCEPTED);
    let read = cluster.client.read(
        &JobAccess::Unrestricted,
        &other.host,
        &other.id,
        0,
        Duration::ZERO,
        1000,
    );
    assert_eq!(read.await.unwrap().total, ITEMS as u64);
}
