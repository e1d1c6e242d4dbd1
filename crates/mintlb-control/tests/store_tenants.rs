//! Jobs of tenants at stores: each tenant has its own quota, and reads and ends its own jobs only.

mod stores;

use mintlb_batch::client::{ItemResult, JobAccess, JobError, SubmitError};
use std::time::Duration;
use stores::{ACCEPTED, Cluster, HOST, JobBuilder, completed, payload, rotated_placement};

/// Bytes of a page that takes all results.
const PAGE_BYTES: usize = 1 << 20;
/// Stores of a cluster whose shards are led by all of them.
const STORES: usize = 5;
/// Tokens of a job of three items, and a limit that it fills.
const JOB_TOKENS: u64 = 300;

fn job(id: &str) -> JobBuilder {
    JobBuilder::new(id).max_queued_tokens(JOB_TOKENS)
}

fn of_tenant(tenant: &str) -> JobAccess {
    JobAccess::OfTenant(Some(tenant.to_string()))
}

#[tokio::test]
async fn each_tenant_and_route_has_the_whole_limit_over_all_shards() {
    let cluster = Cluster::start(STORES).await;
    cluster.apply_placement(rotated_placement(&cluster.nodes, 1));
    let submit = async |id: &str, tenant: &str, route: &str| {
        let job = job(id).tenant(tenant).route(route);
        cluster.submit(job).await
    };
    for (id, tenant, route) in [("a1", "a", "r1"), ("b1", "b", "r1"), ("a2", "a", "r2")] {
        assert_eq!(submit(id, tenant, route).await, ACCEPTED, "{id}");
    }
    assert_eq!(cluster.submit(job("none").route("r1")).await, ACCEPTED);
    for (id, tenant, route) in [("a3", "a", "r1"), ("b2", "b", "r1"), ("a4", "a", "r2")] {
        let refused = submit(id, tenant, route).await;
        assert_eq!(refused, Err(SubmitError::QuotaExceeded), "{id}");
    }
    let refused = cluster.submit(job("none2").route("r1")).await;
    assert_eq!(refused, Err(SubmitError::QuotaExceeded));

    // What ends makes room for its own tenant on its own route alone.
    assert_eq!(
        cluster.client.end(&of_tenant("a"), HOST, "a1").await,
        Ok(())
    );
    assert_eq!(
        submit("b3", "b", "r1").await,
        Err(SubmitError::QuotaExceeded)
    );
    assert_eq!(
        submit("a5", "a", "r2").await,
        Err(SubmitError::QuotaExceeded)
    );
    assert_eq!(submit("a6", "a", "r1").await, ACCEPTED);
}

#[tokio::test]
async fn the_same_id_submitted_by_another_tenant_conflicts() {
    let cluster = Cluster::start_placed().await;
    assert_eq!(cluster.submit(job("x").tenant("a")).await, ACCEPTED);
    assert_eq!(
        cluster.submit(job("x").tenant("a")).await,
        ACCEPTED,
        "again"
    );
    for other in [job("x").tenant("b"), job("x")] {
        let submitted = cluster.submit(other).await;
        assert_eq!(submitted, Err(SubmitError::Conflict));
    }
}

#[tokio::test]
async fn a_call_for_another_tenant_changes_nothing() {
    let cluster = Cluster::start_placed().await;
    let client = &cluster.client;
    assert_eq!(cluster.submit(job("x").tenant("a")).await, ACCEPTED);
    let result = ItemResult::Completed("two".into());
    assert_eq!(client.record(HOST, "x", 2, result).await, Ok(()));

    for other in [of_tenant("b"), of_tenant(""), JobAccess::OfTenant(None)] {
        let page = client.read(&other, HOST, "x", 0, Duration::ZERO, PAGE_BYTES);
        assert_eq!(page.await, Err(JobError::OtherTenant), "{other:?}");
        let body = client.body(&other, HOST, "x", "x-1").await;
        assert_eq!(body, Err(JobError::OtherTenant), "{other:?}");
        let ended = client.end(&other, HOST, "x").await;
        assert_eq!(ended, Err(JobError::OtherTenant), "{other:?}");
    }
    let owner = of_tenant("a");
    let body = client.body(&owner, HOST, "x", "x-1").await;
    assert_eq!(body, Ok(payload(1)), "the job is not ended");
    assert_eq!(cluster.results("x", 0).await, [completed("x-2", "two")]);
    let refused = cluster.submit(job("y").tenant("a")).await;
    assert_eq!(refused, Err(SubmitError::QuotaExceeded), "its tokens wait");
}

#[tokio::test]
async fn the_own_tenant_reads_and_ends_its_job() {
    let cluster = Cluster::start_placed().await;
    assert_eq!(cluster.submit(job("x").tenant("a")).await, ACCEPTED);
    assert_executed(&cluster, &of_tenant("a")).await;
}

#[tokio::test]
async fn every_client_reads_and_ends_a_job_without_a_tenant() {
    for access in [
        of_tenant("a"),
        JobAccess::OfTenant(None),
        JobAccess::Unrestricted,
    ] {
        let cluster = Cluster::start_placed().await;
        assert_eq!(cluster.submit(job("x")).await, ACCEPTED);
        assert_executed(&cluster, &access).await;
    }
}

#[tokio::test]
async fn a_job_that_nobody_submitted_is_not_found_for_any_tenant() {
    let cluster = Cluster::start_placed().await;
    let client = &cluster.client;
    let access = of_tenant("a");
    let page = client.read(&access, HOST, "x", 0, Duration::ZERO, PAGE_BYTES);
    assert_eq!(page.await, Err(JobError::NotFound));
    let body = client.body(&access, HOST, "x", "x-1").await;
    assert_eq!(body, Err(JobError::NotFound));
    assert_eq!(
        client.end(&access, HOST, "x").await,
        Err(JobError::NotFound)
    );
}

/// Reads job x and a body of it, and ends it.
async fn assert_executed(cluster: &Cluster, access: &JobAccess) {
    let client = &cluster.client;
    let page = client.read(access, HOST, "x", 0, Duration::ZERO, PAGE_BYTES);
    assert_eq!(page.await.unwrap().total, 3, "{access:?}");
    let body = client.body(access, HOST, "x", "x-1").await;
    assert_eq!(body, Ok(payload(1)), "{access:?}");
    assert_eq!(client.end(access, HOST, "x").await, Ok(()), "{access:?}");
    let body = client.body(access, HOST, "x", "x-1").await;
    assert_eq!(body, Err(JobError::NotFound), "it is ended");
}
