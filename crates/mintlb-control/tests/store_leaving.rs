//! A store that was told to stop: its copy may be gone for good a moment later.

mod stores;

use mintlb_lots::client::SubmitOutcome;
use std::time::Duration;
use stores::{Cluster, WITHIN, lot, placement};

const TAKEN: SubmitOutcome = SubmitOutcome::Accepted { items_leased: true };
const SHORT: Duration = Duration::from_millis(700);

#[tokio::test]
async fn nothing_new_is_promised_on_a_copy_that_leaves() {
    let cluster = Cluster::start(3).await;
    cluster.place(placement(&cluster.nodes, 1, &[0, 1, 2], &[]));
    cluster.in_charge(0, 1).await;
    assert_eq!(cluster.client.submit(lot("a", 2, 0), 7, WITHIN).await, TAKEN);

    cluster.nodes[2].store.leave();
    assert_eq!(cluster.client.submit(lot("b", 2, 0), 7, WITHIN).await, TAKEN, "the two others have it");
    cluster.nodes[1].store.leave();
    let alone = cluster.client.submit(lot("c", 2, 0), 7, SHORT).await;
    assert_eq!(alone, SubmitOutcome::Unclear, "only the primary stays");
}
