//! Stores and the client of dispatchers: batch jobs are submitted, run, read and ended, also after
//! a takeover.

mod stores;

use mintlb_batch::client::{ItemResult, JobAccess, JobError, LeasedJob, SubmitError, Submitted};
use mintlb_batch::entry::ItemState;
use mintlb_batch::messages::ItemFailures;
use mintlb_common::placement::StoreId;
use std::time::Duration;
use stores::{
    ACCEPTED, Cluster, DISPATCHER, HOST, JobBuilder, Node, ReadResult, TEST_TIMEOUT, completed,
    payload,
};

const OTHER_DISPATCHER: u64 = 8;

fn submission(id: &str) -> JobBuilder {
    JobBuilder::new(id).max_queued_tokens(500)
}

#[tokio::test]
async fn a_job_is_submitted_once_within_the_quota_of_its_route() {
    let cluster = Cluster::start_placed().await;
    let submit = async |job: JobBuilder, dispatcher: u64| {
        let job = job.build();
        cluster.client.submit(job, dispatcher, TEST_TIMEOUT).await
    };
    assert_eq!(submit(submission("a"), DISPATCHER).await, ACCEPTED);
    assert_eq!(submit(submission("a"), DISPATCHER).await, ACCEPTED, "again");
    assert_eq!(
        submit(submission("a"), OTHER_DISPATCHER).await,
        Ok(Submitted {
            items_leased: false
        }),
        "its items are leased to the first dispatcher"
    );
    assert_eq!(
        submit(submission("a").items(4), OTHER_DISPATCHER).await,
        Err(SubmitError::Conflict)
    );
    assert_eq!(
        submit(submission("b"), OTHER_DISPATCHER).await,
        Err(SubmitError::QuotaExceeded)
    );
    assert_eq!(
        submit(submission("b").items(2), OTHER_DISPATCHER).await,
        ACCEPTED
    );
}

#[tokio::test]
async fn a_job_is_run_read_and_ended() {
    let cluster = Cluster::start_placed().await;
    let client = &cluster.client;
    assert_eq!(cluster.submit(submission("a")).await, ACCEPTED);
    let of_other = submission("b").items(2).build();
    assert_eq!(
        client
            .submit(of_other, OTHER_DISPATCHER, TEST_TIMEOUT)
            .await,
        ACCEPTED
    );

    for text in ["two", "again"] {
        let result = ItemResult::Completed(text.into());
        assert_eq!(client.record(HOST, "a", 2, result).await, Ok(()));
    }
    assert_eq!(
        client.record(HOST, "a", 0, ItemResult::Unrecoverable).await,
        Ok(())
    );
    let expected = vec![
        completed("a-2", "two"),
        ReadResult {
            item: "a-0".to_string(),
            state: ItemState::Unrecoverable,
            text: String::new(),
        },
    ];
    assert_eq!(cluster.results("a", 0).await, expected);
    assert_eq!(cluster.results("a", 1).await, expected[1..]);

    assert_eq!(
        client
            .body(&JobAccess::Unrestricted, HOST, "a", "a-1")
            .await,
        Ok(payload(1))
    );
    assert_eq!(
        client
            .body(&JobAccess::Unrestricted, HOST, "a", "a-2")
            .await,
        Err(JobError::NotFound)
    );
    assert_eq!(
        client
            .read(&JobAccess::Unrestricted, HOST, "x", 0, Duration::ZERO, 1000)
            .await,
        Err(JobError::NotFound)
    );

    let leased = LeasedJob {
        host: HOST.to_string(),
        job_id: "a".to_string(),
        items: vec![1, 2],
        failures: vec![ItemFailures {
            item: 2,
            attempts: 1,
        }],
    };
    let lost = client.renew(DISPATCHER, vec![leased.clone()]).await.lost;
    assert_eq!(
        lost,
        vec![LeasedJob {
            items: vec![2],
            failures: vec![],
            ..leased.clone()
        }]
    );
    assert_eq!(
        client.lease(9, 10).await.items,
        vec![],
        "all items are leased"
    );
    client.release(DISPATCHER).await;

    assert_eq!(
        client.end(&JobAccess::Unrestricted, HOST, "a").await,
        Ok(())
    );
    assert_eq!(
        client.end(&JobAccess::Unrestricted, HOST, "a").await,
        Ok(())
    );
    assert_eq!(
        client.end(&JobAccess::Unrestricted, HOST, "x").await,
        Err(JobError::NotFound)
    );
    assert_eq!(
        client
            .body(&JobAccess::Unrestricted, HOST, "a", "a-1")
            .await,
        Err(JobError::NotFound)
    );
    assert_eq!(
        client.renew(DISPATCHER, vec![leased.clone()]).await.lost,
        vec![LeasedJob {
            failures: vec![],
            ..leased
        }]
    );
    assert_eq!(cluster.results("a", 0).await, expected);
}

#[tokio::test]
async fn another_store_takes_over_and_restarted_stores_rejoin() {
    let mut cluster = Cluster::start_placed().await;
    assert_eq!(cluster.submit(JobBuilder::new("a")).await, ACCEPTED);
    let result = ItemResult::Completed("one".into());
    assert_eq!(cluster.client.record(HOST, "a", 1, result).await, Ok(()));

    cluster.nodes[0].task.abort();
    let takeover = cluster.placement(&[1, 2, 0]).epoch(2);
    let during_takeover = takeover.clone().previous(&[0, 1, 2]).build();
    for node in &cluster.nodes[1..] {
        node.store.apply_placement(during_takeover.clone());
    }
    cluster.wait_until_active(1, 2).await;
    cluster.apply_placement(takeover.epoch(3).shard_epoch(2).build());

    assert_eq!(cluster.results("a", 0).await, [completed("a-1", "one")]);
    assert_eq!(
        cluster
            .client
            .body(&JobAccess::Unrestricted, HOST, "a", "a-2")
            .await,
        Ok(payload(2))
    );
    assert_eq!(cluster.submit(JobBuilder::new("b")).await, ACCEPTED);

    // The first two are restarted with their disks, under new addresses.
    let stopped: Vec<Node> = cluster.nodes.drain(..2).collect();
    stopped.iter().for_each(|node| node.task.abort());
    drop(stopped);
    for i in 0..2 {
        let directory = cluster.directories[i].path().to_path_buf();
        let copy = directory.join("copy");
        std::fs::create_dir(&copy).unwrap();
        std::fs::copy(directory.join("lots.redb"), copy.join("lots.redb")).unwrap();
        let node = Node::start(&copy, StoreId(99)).await;
        cluster.nodes.insert(i, node);
    }
    let rejoined = cluster.placement(&[1, 2, 0]).epoch(4).shard_epoch(2);
    cluster.apply_placement(rejoined.build());
    assert_eq!(cluster.results("a", 0).await, [completed("a-1", "one")]);
    let result = ItemResult::Completed("b".into());
    assert_eq!(cluster.client.record(HOST, "b", 0, result).await, Ok(()));
    assert_eq!(cluster.results("b", 0).await.len(), 1);
}

#[tokio::test]
async fn abandoned_readers_are_removed() {
    let cluster = Cluster::start_placed().await;
    let client = &cluster.client;
    for i in 0..20 {
        let id = format!("r{i}");
        cluster.submit(JobBuilder::new(&id).items(1)).await.unwrap();
        client
            .read(
                &JobAccess::Unrestricted,
                HOST,
                &id,
                0,
                Duration::from_millis(5),
                1000,
            )
            .await
            .unwrap();
        client
            .end(&JobAccess::Unrestricted, HOST, &id)
            .await
            .unwrap();
    }
    let waiting = || cluster.nodes[0].store.jobs_with_waiting_readers();
    let mut ticks = tokio::time::interval(Duration::from_millis(10));
    let all_removed = async {
        while waiting() > 0 {
            ticks.tick().await;
        }
    };
    let removed = tokio::time::timeout(Duration::from_secs(3), all_removed).await;
    assert!(removed.is_ok(), "readers wait for {} jobs", waiting());
}

#[tokio::test]
async fn a_store_has_shards_to_hand_over_until_its_replicas_have_moved() {
    let cluster = Cluster::start(4).await;
    cluster.apply_placement(cluster.placement(&[0, 1, 2]).build());
    let has_shards = |node: usize| cluster.nodes[node].store.has_shards_to_hand_over();
    assert!(has_shards(0), "it is the primary");
    assert!(!has_shards(2));
    // The third one's replicas move to the fourth: while the takeover may have to read them, they
    // are needed.
    let moved = cluster.placement(&[0, 1, 3]).epoch(2);
    cluster.apply_placement(moved.clone().previous(&[0, 1, 2]).build());
    assert!(has_shards(2));
    cluster.wait_until_active(0, 2).await;
    cluster.apply_placement(moved.epoch(3).shard_epoch(2).build());
    assert!(!has_shards(2));
}
