//! Submissions over a link that carries less than comes: none is sent twice to the same primary, and
//! once the burst is over the next one is accepted at once.

mod narrow_link;
mod stores;

use futures_util::future::join_all;
use mintlb_batch::client::{SubmitError, Submitted};
use mintlb_common::placement::Placement;
use narrow_link::NarrowLink;
use std::sync::Arc;
use std::time::Duration;
use stores::{ACCEPTED, Cluster, DISPATCHER, JobBuilder};
use tokio::time::{Instant, sleep};

const LINK_BYTES_PER_SECOND: u32 = 2_000_000;
/// The burst takes the link about twice the time that a submission may take.
const BURST_JOBS: usize = 60;
const ITEMS: usize = 40;
/// A job's items have payloads of 5,000 bytes each.
const JOB_BYTES: u64 = ITEMS as u64 * 5_000;
const SUBMIT_TIME: Duration = Duration::from_secs(3);
/// Heads and handshakes beside the payloads.
const OVERHEAD: f64 = 1.05;
/// A submission on a free link takes less.
const FREE_LINK_TIME: Duration = Duration::from_secs(1);

/// The dispatcher's view of a placement: it reaches every store over its link.
fn behind_links(mut placement: Placement, links: &[NarrowLink]) -> Placement {
    for (store, link) in placement.stores.iter_mut().zip(links) {
        store.address = link.address.to_string();
    }
    placement
}

async fn cluster_behind_links() -> (Cluster, Vec<NarrowLink>) {
    let cluster = Cluster::start_placed().await;
    cluster.wait_until_active(0, 1).await;
    let nodes = cluster.nodes.iter();
    let links: Vec<NarrowLink> = nodes
        .map(|node| NarrowLink::open(node.address, LINK_BYTES_PER_SECOND))
        .collect();
    let placement = cluster.placement(&[0, 1, 2]).build();
    *cluster.placement.lock() = Arc::new(behind_links(placement, &links));
    (cluster, links)
}

async fn submit(cluster: &Cluster, id: String) -> Result<Submitted, SubmitError> {
    let job = JobBuilder::new(&id).items(ITEMS).build();
    cluster.client.submit(job, DISPATCHER, SUBMIT_TIME).await
}

#[tokio::test]
async fn a_burst_over_a_narrow_link_is_sent_once_and_leaves_nothing_behind() {
    let (cluster, links) = cluster_behind_links().await;
    let jobs = (0..BURST_JOBS).map(|job| submit(&cluster, format!("burst-{job}")));
    let outcomes = join_all(jobs).await;
    let accepted = outcomes.iter().filter(|outcome| **outcome == ACCEPTED);
    assert!(accepted.count() > 0, "nothing of the burst is accepted");
    // What the queues still hold passes.
    wait_until_idle(&links[0]).await;
    let sent = links[0].passed_bytes();
    let most = (BURST_JOBS as u64 * JOB_BYTES) as f64 * OVERHEAD;
    assert!(sent as f64 <= most, "{sent} bytes for {most} of payloads");
    let began = Instant::now();
    assert_eq!(submit(&cluster, "after".to_string()).await, ACCEPTED);
    assert!(began.elapsed() < FREE_LINK_TIME, "{:?}", began.elapsed());
}

async fn wait_until_idle(link: &NarrowLink) {
    let mut passed = 0;
    while link.passed_bytes() > passed {
        passed = link.passed_bytes();
        sleep(Duration::from_millis(300)).await;
    }
}
