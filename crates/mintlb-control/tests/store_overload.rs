//! A store with too many bytes waiting for its connections accepts no batch job, and says so at
//! once.

mod stores;

use bytes::Bytes;
use mintlb_batch::client::SubmitError;
use mintlb_common::settings::Limits;
use mintlb_common::transport::{Channel, Transport};
use mintlb_control::store::limits::StoreLimits;
use mintlb_control::store::rejections::RejectionCause;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stores::{ACCEPTED, Cluster, DISPATCHER, JobBuilder, LIMITS, TEST_TIMEOUT};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

const MESSAGE_BYTES: usize = 1 << 20;
/// More than the system buffers for a connection, and fewer than a connection's queue holds.
const MAX_MESSAGES: usize = 200;
/// After this time the system has taken what it buffers.
const BUFFER_TIME: Duration = Duration::from_millis(200);
/// An answer within this time is no wait for a link.
const AT_ONCE: Duration = Duration::from_secs(1);

#[tokio::test]
async fn jobs_are_rejected_while_too_much_waits_for_the_links() {
    let cluster = Cluster::start_placed().await;
    cluster.wait_until_active(0, 1).await;
    assert_eq!(cluster.submit(JobBuilder::new("before")).await, ACCEPTED);
    // A peer that reads nothing: what the system doesn't buffer waits.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    overload(&cluster.nodes[0].transport, silent.local_addr().unwrap()).await;
    let began = Instant::now();
    let rejected = cluster.submit(JobBuilder::new("meanwhile")).await;
    assert_eq!(rejected, Err(SubmitError::Rejected));
    assert!(began.elapsed() < AT_ONCE, "after {:?}", began.elapsed());
    let rejections = cluster.nodes[0].store.load().take().rejections;
    assert_eq!(rejections.of(RejectionCause::LinksFull), 1);
    assert_eq!(
        rejections.to_string(),
        "1 submissions rejected, links full 1"
    );
    // What was accepted is served on.
    assert!(cluster.results("before", 0).await.is_empty());
    let again = cluster.submit(JobBuilder::new("before")).await;
    assert_eq!(again, ACCEPTED, "it is stored already");
    drop(silent);
    wait_until_accepted(&cluster, "meanwhile").await;
}

/// Sends to a peer until the limit is exceeded for good.
async fn overload(transport: &Arc<Transport>, peer: SocketAddr) {
    for _ in 0..MAX_MESSAGES {
        if transport.queued_bytes() > LIMITS.queued_bytes {
            sleep(BUFFER_TIME).await;
        }
        if transport.queued_bytes() > LIMITS.queued_bytes {
            return;
        }
        transport.notify(peer, Channel::Batch, Bytes::from(vec![0; MESSAGE_BYTES]));
    }
    panic!("the system buffers all that is sent");
}

async fn wait_until_accepted(cluster: &Cluster, id: &str) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let job = JobBuilder::new(id).build();
        let submitted = cluster.client.submit(job, DISPATCHER, TEST_TIMEOUT).await;
        if submitted == ACCEPTED {
            return;
        }
        assert_eq!(submitted, Err(SubmitError::Rejected));
        assert!(Instant::now() < deadline, "{id} is never accepted");
        sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn a_narrow_link_may_have_less_waiting() {
    let queued_bytes = |link_mbps: f64| {
        let limits = Limits {
            cpu_share: 0.5,
            memory_mb: 300,
            max_open_files: 8200,
            link_mbps,
            disk_mb: None,
        };
        StoreLimits::new(&limits, 0).queued_bytes
    };
    assert_eq!(queued_bytes(60.0), 7_500_000);
    assert_eq!(queued_bytes(20.0), 2_500_000);
    assert_eq!(queued_bytes(1.0), 1 << 20, "a page of results");
    assert_eq!(queued_bytes(600.0), 8 << 20);
    assert_eq!(queued_bytes(0.0), 8 << 20, "not known");
}
