//! Stores and the client of dispatchers: lots are taken, run, read and ended, also after a takeover.

mod stores;

use bytes::Bytes;
use mintlb_batch::client::{ItemResult, JobError, LeasedJob, SubmitError, Submitted};
use mintlb_batch::entry::ItemState;
use mintlb_common::placement::Placement;
use std::time::Duration;
use stores::{Cluster, HOST, Node, WITHIN, job, placement};

#[tokio::test]
async fn a_lot_is_taken_run_read_and_ended() {
    let cluster = Cluster::start(3).await;
    cluster.place(placement(&cluster.nodes, 1, &[0, 1, 2], &[]));
    let client = &cluster.client;
    let first = client.submit(job("a", 3, 500), 7, WITHIN).await;
    assert_eq!(first, Ok(Submitted { items_leased: true }));
    assert_eq!(
        client.submit(job("a", 3, 500), 7, WITHIN).await,
        Ok(Submitted { items_leased: true })
    );
    assert_eq!(
        client.submit(job("a", 3, 500), 8, WITHIN).await,
        Ok(Submitted {
            items_leased: false
        })
    );
    assert_eq!(
        client.submit(job("a", 4, 500), 8, WITHIN).await,
        Err(SubmitError::Conflict)
    );
    assert_eq!(
        client.submit(job("b", 3, 500), 8, WITHIN).await,
        Err(SubmitError::QuotaExceeded)
    );
    assert_eq!(
        client.submit(job("b", 2, 500), 8, WITHIN).await,
        Ok(Submitted { items_leased: true })
    );

    assert_eq!(
        client
            .record(HOST, "a", 2, ItemResult::Completed("two".into()))
            .await,
        Ok(())
    );
    assert_eq!(
        client
            .record(HOST, "a", 2, ItemResult::Completed("again".into()))
            .await,
        Ok(())
    );
    assert_eq!(
        client.record(HOST, "a", 0, ItemResult::Unrecoverable).await,
        Ok(())
    );
    let expected = vec![
        ("a-2".to_string(), ItemState::Completed, "two".to_string()),
        ("a-0".to_string(), ItemState::Unrecoverable, String::new()),
    ];
    assert_eq!(cluster.texts("a", 0).await, expected);
    assert_eq!(cluster.texts("a", 1).await, expected[1..]);

    assert_eq!(
        client.body(HOST, "a", "a-1").await,
        Ok(Bytes::from(vec![1; 5000]))
    );
    assert_eq!(client.body(HOST, "a", "a-2").await, Err(JobError::NotFound));
    assert_eq!(
        client.read(HOST, "x", 0, Duration::ZERO, 1000).await,
        Err(JobError::NotFound)
    );

    let held = LeasedJob {
        host: HOST.to_string(),
        job_id: "a".to_string(),
        items: vec![1, 2],
        failures: vec![(2, 1)],
    };
    let lost = client.renew(7, vec![held.clone()]).await;
    assert_eq!(
        lost,
        vec![LeasedJob {
            items: vec![2],
            failures: vec![],
            ..held.clone()
        }]
    );
    assert_eq!(client.lease(9, 10).await, vec![], "all items are leased");
    client.release(7).await;

    assert_eq!(client.end(HOST, "a").await, Ok(()));
    assert_eq!(client.end(HOST, "a").await, Ok(()));
    assert_eq!(client.end(HOST, "x").await, Err(JobError::NotFound));
    assert_eq!(client.body(HOST, "a", "a-1").await, Err(JobError::NotFound));
    assert_eq!(
        client.renew(7, vec![held.clone()]).await,
        vec![LeasedJob {
            failures: vec![],
            ..held
        }]
    );
    assert_eq!(cluster.texts("a", 0).await, expected);
}

#[tokio::test]
async fn another_store_takes_over_and_a_restarted_one_goes_on() {
    let mut cluster = Cluster::start(3).await;
    cluster.place(placement(&cluster.nodes, 1, &[0, 1, 2], &[]));
    let accepted = Ok(Submitted { items_leased: true });
    assert_eq!(
        cluster.client.submit(job("a", 3, 0), 7, WITHIN).await,
        accepted
    );
    assert_eq!(
        cluster
            .client
            .record(HOST, "a", 1, ItemResult::Completed("one".into()))
            .await,
        Ok(())
    );

    cluster.nodes[0].task.abort();
    let taken_over = placement(&cluster.nodes, 2, &[1, 2, 0], &[0, 1, 2]);
    cluster.nodes[1].store.apply_placement(taken_over.clone());
    cluster.nodes[2].store.apply_placement(taken_over);
    cluster.wait_until_active(1, 2).await;
    let settled = placement(&cluster.nodes, 2, &[1, 2, 0], &[]);
    cluster.place(Placement {
        epoch: 3,
        ..settled
    });

    assert_eq!(
        cluster.texts("a", 0).await,
        vec![("a-1".to_string(), ItemState::Completed, "one".to_string())]
    );
    assert_eq!(
        cluster.client.body(HOST, "a", "a-2").await,
        Ok(Bytes::from(vec![2; 5000]))
    );
    assert_eq!(
        cluster.client.submit(job("b", 3, 0), 7, WITHIN).await,
        accepted
    );

    // The first two come back with their disks under new addresses.
    let old: Vec<Node> = cluster.nodes.drain(..2).collect();
    old.iter().for_each(|node| node.task.abort());
    drop(old);
    for i in 0..2 {
        let directory = cluster.directories[i].path().to_path_buf();
        let copy = cluster.directories[i].path().join("copy");
        std::fs::create_dir(&copy).unwrap();
        std::fs::copy(directory.join("lots.redb"), copy.join("lots.redb")).unwrap();
        let node = Node::start(&copy, 99).await;
        cluster.nodes.insert(i, node);
    }
    let settled = placement(&cluster.nodes, 2, &[1, 2, 0], &[]);
    cluster.place(Placement {
        epoch: 4,
        ..settled
    });
    assert_eq!(
        cluster.texts("a", 0).await,
        vec![("a-1".to_string(), ItemState::Completed, "one".to_string())]
    );
    assert_eq!(
        cluster
            .client
            .record(HOST, "b", 0, ItemResult::Completed("b".into()))
            .await,
        Ok(())
    );
    assert_eq!(cluster.texts("b", 0).await.len(), 1);
}

#[tokio::test]
async fn readers_that_left_leave_nothing_behind() {
    let cluster = Cluster::start(3).await;
    cluster.place(placement(&cluster.nodes, 1, &[0, 1, 2], &[]));
    let client = &cluster.client;
    for i in 0..20 {
        let id = format!("r{i}");
        client.submit(job(&id, 1, 0), 7, WITHIN).await.unwrap();
        client
            .read(HOST, &id, 0, Duration::from_millis(5), 1000)
            .await
            .unwrap();
        client.end(HOST, &id).await.unwrap();
    }
    let mut ticks = tokio::time::interval(Duration::from_millis(10));
    let none = async {
        while cluster.nodes[0].store.jobs_with_waiting_readers() > 0 {
            _ = ticks.tick().await
        }
    };
    let left = tokio::time::timeout(Duration::from_secs(3), none).await;
    assert!(
        left.is_ok(),
        "{} lots are waited for",
        cluster.nodes[0].store.jobs_with_waiting_readers()
    );
}

#[tokio::test]
async fn a_store_is_needed_until_its_copies_have_moved() {
    let cluster = Cluster::start(4).await;
    cluster.place(placement(&cluster.nodes, 1, &[0, 1, 2], &[]));
    let has_shards_to_hand_over = |node: usize| cluster.nodes[node].store.has_shards_to_hand_over();
    assert!(
        has_shards_to_hand_over(0) && !has_shards_to_hand_over(2),
        "the primary is"
    );
    // The third one's copies move to the fourth: while the takeover may have to read it, it goes on.
    cluster.place(placement(&cluster.nodes, 2, &[0, 1, 3], &[0, 1, 2]));
    assert!(has_shards_to_hand_over(2));
    cluster.wait_until_active(0, 2).await;
    let settled = placement(&cluster.nodes, 2, &[0, 1, 3], &[]);
    cluster.place(Placement {
        epoch: 3,
        ..settled
    });
    assert!(!has_shards_to_hand_over(2));
}
