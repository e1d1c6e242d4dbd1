//! The jobs of one host load the links of all stores, and count together towards their quota.

mod stores;

use mintlb_batch::client::{ItemResult, JobAccess, SubmitError, Submitted};
use mintlb_batch::heartbeat::ShardReport;
use mintlb_common::placement::SHARD_COUNT;
use mintlb_control::store::rejections::RejectionCause;
use std::time::Duration;
use stores::{ACCEPTED, Cluster, DISPATCHER, HOST, JobBuilder, TEST_TIMEOUT, rotated_placement};

const STORES: usize = 5;
const JOBS: usize = 48;
const ITEMS: usize = 3;
/// The largest share of all bytes that one store may send; the mean is a fifth.
const MAX_SHARE: f64 = 0.4;

/// Tokens of each job, and so many jobs fit into the quota.
const JOB_TOKENS: u64 = 300;
const FITTING_JOBS: usize = 10;

async fn spread_cluster() -> Cluster {
    let cluster = Cluster::start(STORES).await;
    cluster.apply_placement(rotated_placement(&cluster.nodes, 1));
    cluster
}

#[tokio::test]
async fn jobs_of_one_host_load_the_links_of_all_stores() {
    let cluster = spread_cluster().await;
    for job in 0..JOBS {
        let id = format!("job-{job}");
        assert_eq!(cluster.submit(JobBuilder::new(&id)).await, ACCEPTED);
        for item in 0..ITEMS as u32 {
            let text = ItemResult::Completed(vec![b'x'; 5000].into());
            let recorded = cluster.client.record(HOST, &id, item, text).await;
            assert_eq!(recorded, Ok(()));
        }
        let page = cluster.client.read(
            &JobAccess::Unrestricted,
            HOST,
            &id,
            0,
            Duration::ZERO,
            1 << 20,
        );
        assert_eq!(page.await.unwrap().results.len(), ITEMS);
    }
    let sent: Vec<u64> = cluster
        .nodes
        .iter()
        .map(|node| node.transport.sent_bytes())
        .collect();
    let total: u64 = sent.iter().sum();
    let most = *sent.iter().max().unwrap();
    assert!(
        most as f64 <= MAX_SHARE * total as f64,
        "one store sends {most} of {total} bytes: {sent:?}"
    );
}

/// Submits jobs at once, and returns the outcome of each.
async fn submit_at_once(
    cluster: &Cluster,
    ids: Vec<String>,
) -> Vec<Result<Submitted, SubmitError>> {
    let submit = async |id: String| {
        let job = JobBuilder::new(&id).max_queued_tokens(JOB_TOKENS * FITTING_JOBS as u64);
        let job = job.build();
        cluster.client.submit(job, DISPATCHER, TEST_TIMEOUT).await
    };
    futures_util::future::join_all(ids.into_iter().map(submit)).await
}

fn ids(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|job| format!("{prefix}-{job}")).collect()
}

fn accepted(outcomes: &[Result<Submitted, SubmitError>]) -> usize {
    let accepted = outcomes.iter().filter(|outcome| **outcome == ACCEPTED);
    accepted.count()
}

#[tokio::test]
async fn the_quota_of_a_route_is_counted_once_over_all_shards() {
    let cluster = spread_cluster().await;
    let first = submit_at_once(&cluster, ids("first", 3 * FITTING_JOBS)).await;
    assert_eq!(accepted(&first), FITTING_JOBS, "{first:?}");
    let others = first.iter().filter(|outcome| **outcome != ACCEPTED);
    assert!(
        others
            .into_iter()
            .all(|outcome| *outcome == Err(SubmitError::QuotaExceeded))
    );
    let nodes = cluster.nodes.iter();
    let counted: u64 = nodes
        .map(|node| node.store.load().take().rejections)
        .map(|rejections| rejections.of(RejectionCause::OverQuota))
        .sum();
    assert_eq!(counted as usize, 2 * FITTING_JOBS, "in the stores' log");

    // What ends makes room, whichever shard it lies on.
    let id = first
        .iter()
        .position(|outcome| *outcome == ACCEPTED)
        .unwrap();
    let ended = cluster
        .client
        .end(&JobAccess::Unrestricted, HOST, &format!("first-{id}"))
        .await;
    assert_eq!(ended, Ok(()));
    let second = submit_at_once(&cluster, ids("second", FITTING_JOBS)).await;
    assert_eq!(accepted(&second), 1, "{second:?}");
}

#[tokio::test]
async fn the_quota_holds_after_all_primaries_have_changed() {
    let cluster = spread_cluster().await;
    let first = submit_at_once(&cluster, ids("first", FITTING_JOBS - 2)).await;
    assert_eq!(accepted(&first), FITTING_JOBS - 2, "{first:?}");

    let mut takeover = rotated_placement(&cluster.nodes, 2);
    for shard in &mut takeover.shards {
        shard.previous = shard.replicas.clone();
        shard.last_active_epoch = Some(1);
        shard.replicas.rotate_left(1);
    }
    cluster.apply_placement(takeover.clone());
    let active_shards = || -> usize {
        let reports = cluster
            .nodes
            .iter()
            .flat_map(|node| node.store.report().shards);
        let is_active = |report: &ShardReport| report.active && report.epoch == 2;
        reports.filter(is_active).count()
    };
    while active_shards() < SHARD_COUNT as usize {
        tokio::task::yield_now().await;
    }
    takeover.epoch = 3;
    takeover
        .shards
        .iter_mut()
        .for_each(|shard| shard.previous.clear());
    cluster.apply_placement(takeover);

    let second = submit_at_once(&cluster, ids("second", FITTING_JOBS)).await;
    assert_eq!(accepted(&second), 2, "{second:?}");
}
