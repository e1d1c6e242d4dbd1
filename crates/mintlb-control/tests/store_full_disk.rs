//! Stores whose disks are full: they suspend themselves, recover without a restart, and lose
//! nothing that they acknowledged.

mod faulty_file;
mod stores;

use bytes::Bytes;
use faulty_file::Disk;
use mintlb_batch::client::{JobAccess, JobError, SubmitError, Submitted};
use mintlb_batch::entry::Entry;
use mintlb_common::placement::StoreId;
use mintlb_control::store::storage::file::FILE_NAME;
use mintlb_control::store::storage::{LoadedStorage, ShardStorage};
use std::collections::BTreeMap;
use std::time::Duration;
use stores::{ACCEPTED, Cluster, DISPATCHER, HOST, JobBuilder, Node, payload};

/// Shorter than the disks stay full.
const SHORT_TIMEOUT: Duration = Duration::from_millis(700);

async fn start_on(disks: &[Disk]) -> Cluster {
    let directories: Vec<_> = disks.iter().map(|_| tempfile::tempdir().unwrap()).collect();
    let mut nodes = Vec::new();
    for ((directory, disk), id) in directories.iter().zip(disks).zip(1..) {
        nodes.push(Node::start_with(disk.opener(), directory.path(), StoreId(id)).await);
    }
    let cluster = Cluster::of(nodes, directories).await;
    cluster.apply_placement(cluster.placement(&[0, 1, 2]).build());
    cluster.wait_until_active(0, 1).await;
    cluster
}

fn set_full(disks: &[Disk], full: bool) {
    disks.iter().for_each(|disk| disk.set_full(full));
}

/// Submits while the disks are full.
async fn submit_shortly(cluster: &Cluster, id: &str) -> Result<Submitted, SubmitError> {
    let job = JobBuilder::new(id).build();
    cluster.client.submit(job, DISPATCHER, SHORT_TIMEOUT).await
}

async fn body(cluster: &Cluster, job: &str) -> Result<Bytes, JobError> {
    cluster
        .client
        .body(&JobAccess::Unrestricted, HOST, job, &format!("{job}-1"))
        .await
}

#[tokio::test]
async fn stores_on_full_disks_acknowledge_nothing_until_writes_succeed() {
    let disks: [Disk; 3] = Default::default();
    let cluster = start_on(&disks).await;
    assert_eq!(cluster.submit(JobBuilder::new("a")).await, ACCEPTED);
    set_full(&disks, true);
    assert_eq!(
        submit_shortly(&cluster, "b").await,
        Err(SubmitError::Indeterminate)
    );
    assert!(cluster.nodes[0].store.is_suspended());
    assert!(
        cluster.nodes[0].store.report().shards.is_empty(),
        "it is still a primary"
    );
    // Nothing of this one can have been executed, so its client may submit it elsewhere.
    assert_eq!(
        submit_shortly(&cluster, "c").await,
        Err(SubmitError::Rejected)
    );
    assert_eq!(
        body(&cluster, "a").await,
        Err(JobError::Unavailable),
        "503, not 404"
    );
    let read = cluster
        .client
        .read(&JobAccess::Unrestricted, HOST, "x", 0, Duration::ZERO, 1000)
        .await;
    assert_eq!(read, Err(JobError::Unavailable), "503, not 404");

    set_full(&disks, false);
    assert_eq!(cluster.submit(JobBuilder::new("d")).await, ACCEPTED);
    assert!(
        cluster.nodes.iter().all(|node| !node.task.is_finished()),
        "a process has ended"
    );
    for job in ["a", "d"] {
        assert_eq!(body(&cluster, job).await, Ok(payload(1)), "{job}");
    }
    assert_eq!(body(&cluster, "c").await, Err(JobError::NotFound));
}

#[tokio::test]
async fn acknowledged_jobs_survive_full_disks_and_power_loss() {
    let disks: [Disk; 3] = Default::default();
    let cluster = start_on(&disks).await;
    let mut acknowledged = Vec::new();
    for i in 0..3 {
        let before = format!("before{i}");
        assert_eq!(cluster.submit(JobBuilder::new(&before)).await, ACCEPTED);
        acknowledged.push(before);
        set_full(&disks, true);
        let during = format!("during{i}");
        if submit_shortly(&cluster, &during).await == ACCEPTED {
            acknowledged.push(during);
        }
        set_full(&disks, false);
    }
    assert_eq!(cluster.submit(JobBuilder::new("last")).await, ACCEPTED);
    acknowledged.push("last".to_string());

    // All lose power: nothing remains that was not synced.
    cluster.nodes.iter().for_each(|node| node.task.abort());
    let mut stores_with_job: BTreeMap<String, usize> = BTreeMap::new();
    for disk in &disks {
        let directory = tempfile::tempdir().unwrap();
        disk.lose_power(&directory.path().join(FILE_NAME), |_| 0);
        let LoadedStorage { storage, shards } =
            ShardStorage::open(directory.path(), StoreId(99)).unwrap();
        assert!((1..=3).contains(&storage.id().0), "{}", storage.id().0);
        for loaded in shards.into_values().flat_map(|shard| shard.entries) {
            if let Entry::Accepted(job) = loaded.entry {
                *stores_with_job.entry(job.id).or_default() += 1;
            }
        }
    }
    for job in acknowledged {
        let stores = stores_with_job.get(&job).copied().unwrap_or_default();
        assert!(stores >= 2, "{job} is at {stores} of three stores");
    }
}
