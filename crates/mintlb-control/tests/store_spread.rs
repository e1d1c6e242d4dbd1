//! The jobs of one host load the links of all stores, and count together towards their quota.

mod stores;

use mintlb_batch::client::ItemResult;
use std::time::Duration;
use stores::{ACCEPTED, Cluster, HOST, JobBuilder, rotated_placement};

const STORES: usize = 5;
const JOBS: usize = 48;
const ITEMS: usize = 3;
/// The largest share of all bytes that one store may send; the mean is a fifth.
const MAX_SHARE: f64 = 0.4;

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
        let page = cluster.client.read(HOST, &id, 0, Duration::ZERO, 1 << 20);
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
