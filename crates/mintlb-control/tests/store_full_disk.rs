//! Stores whose disks take no more bytes: they stand still, come back by themselves, and have all that they told.

mod faulty_file;
mod stores;

use bytes::Bytes;
use faulty_file::Disk;
use mintlb_batch::client::{JobError, SubmitError, Submitted};
use mintlb_control::store::storage::ShardStorage;
use std::time::Duration;
use stores::{Cluster, HOST, Node, WITHIN, job, placement};

const TAKEN: Result<Submitted, SubmitError> = Ok(Submitted { items_leased: true });
const SHORT: Duration = Duration::from_millis(700);

async fn cluster() -> (Cluster, Vec<Disk>) {
    let directories: Vec<_> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
    let disks: Vec<Disk> = (0..3).map(|_| Disk::default()).collect();
    let mut nodes = Vec::new();
    for (i, (directory, disk)) in directories.iter().zip(&disks).enumerate() {
        nodes.push(Node::start_by(disk.opener(), directory.path(), i as u64 + 1).await);
    }
    let cluster = Cluster::of(nodes, directories).await;
    cluster.place(placement(&cluster.nodes, 1, &[0, 1, 2], &[]));
    cluster.wait_until_active(0, 1).await;
    (cluster, disks)
}

async fn body(cluster: &Cluster, job: &str) -> Result<Bytes, JobError> {
    cluster.client.body(HOST, job, &format!("{job}-1")).await
}

#[tokio::test]
async fn full_disks_stop_promises_until_they_take_bytes() {
    let (cluster, disks) = cluster().await;
    assert_eq!(
        cluster.client.submit(job("a", 3, 0), 7, WITHIN).await,
        TAKEN
    );
    disks.iter().for_each(|disk| disk.set_full(true));
    let while_full = cluster.client.submit(job("b", 3, 0), 7, SHORT).await;
    assert!(
        matches!(while_full, Err(SubmitError::Indeterminate)),
        "{while_full:?}"
    );
    assert!(cluster.nodes[0].store.is_suspended());
    assert!(
        cluster.nodes[0].store.report().shards.is_empty(),
        "it is in charge of nothing"
    );
    // Nothing of this one can be in, so that its client is told to come back.
    assert_eq!(
        cluster.client.submit(job("c", 3, 0), 7, SHORT).await,
        Err(SubmitError::Rejected)
    );
    assert_eq!(
        body(&cluster, "a").await,
        Err(JobError::Unavailable),
        "503, not 404"
    );
    let read = cluster
        .client
        .read(HOST, "x", 0, Duration::ZERO, 1000)
        .await;
    assert_eq!(read, Err(JobError::Unavailable), "503, not 404");

    disks.iter().for_each(|disk| disk.set_full(false));
    assert_eq!(
        cluster.client.submit(job("d", 3, 0), 7, WITHIN).await,
        TAKEN
    );
    assert!(
        cluster.nodes.iter().all(|node| !node.task.is_finished()),
        "no process has ended"
    );
    for job in ["a", "d"] {
        assert_eq!(
            body(&cluster, job).await,
            Ok(Bytes::from(vec![1; 5000])),
            "{job}"
        );
    }
    assert_eq!(body(&cluster, "c").await, Err(JobError::NotFound));
}

#[tokio::test]
async fn after_full_disks_and_a_loss_of_power_all_that_was_taken_is_there() {
    let (cluster, disks) = cluster().await;
    let mut taken = Vec::new();
    for round in 0..3 {
        let before = format!("before{round}");
        assert_eq!(
            cluster.client.submit(job(&before, 3, 0), 7, WITHIN).await,
            TAKEN
        );
        disks.iter().for_each(|disk| disk.set_full(true));
        let during = format!("during{round}");
        if cluster.client.submit(job(&during, 3, 0), 7, SHORT).await == TAKEN {
            taken.push(during);
        }
        disks.iter().for_each(|disk| disk.set_full(false));
        taken.push(before);
    }
    assert_eq!(
        cluster.client.submit(job("last", 3, 0), 7, WITHIN).await,
        TAKEN
    );
    taken.push("last".to_string());

    // All lose power: none of what was not synced remains.
    let Cluster {
        nodes, directories, ..
    } = cluster;
    nodes.iter().for_each(|node| node.task.abort());
    let mut again = Vec::new();
    for (directory, disk) in directories.iter().zip(&disks) {
        let other = tempfile::tempdir().unwrap();
        let path = other
            .path()
            .join(mintlb_control::store::storage::file::FILE_NAME);
        disk.lose_power(&path, |_| 0);
        let opened = ShardStorage::open(other.path(), 99).unwrap();
        let held: usize = opened.1.values().map(|shard| shard.entries.len()).sum();
        again.push((opened.0.id(), held));
        drop((directory, other));
    }
    assert!(
        again.iter().all(|(id, _)| (1..=3).contains(id)),
        "{again:?}"
    );
    // Begin of 16 shards, and each lot at two of the three at least.
    let jobs: usize = again.iter().map(|(_, held)| held.saturating_sub(16)).sum();
    assert!(jobs >= 2 * taken.len(), "{again:?} for {taken:?}");
}
