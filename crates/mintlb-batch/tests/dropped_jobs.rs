//! Jobs that are no longer needed: they are removed from the disks, and don't come back from a
//! replica that was away.

mod shard_cluster;

use shard_cluster::ShardCluster;
use std::time::Duration;

/// Finished jobs are dropped after this long.
const RETENTION: Duration = Duration::from_secs(100_011);

/// Lets so much time pass that what is not needed is dropped.
fn pass_retention(cluster: &mut ShardCluster) {
    let second = Duration::from_secs(1);
    for passed in [second, RETENTION, second, second] {
        cluster.tick(passed);
        cluster.run_until_idle();
    }
}

/// Ends a job at the first store.
fn end(cluster: &mut ShardCluster, job: &str) {
    cluster.oracle.end_requested.insert(job.to_string());
    cluster.end(0, job.to_string());
}

/// Records a result at the first store.
fn record(cluster: &mut ShardCluster, job: &str, item: u32) {
    cluster.oracle.finished(job, item);
    cluster.record(0, job.to_string(), item);
}

/// The third store has two jobs as pending that the others saw done, and dropped, while it was
/// away.
fn one_was_away() -> ShardCluster {
    let mut cluster = ShardCluster::of_three();
    cluster.submit(0, "ended".to_string(), 2);
    cluster.submit(0, "finished".to_string(), 2);
    cluster.submit(0, "open".to_string(), 1);
    record(&mut cluster, "finished", 0);
    cluster.run_until_idle();
    cluster.stores[2].partitioned = true;
    end(&mut cluster, "ended");
    record(&mut cluster, "finished", 1);
    cluster.run_until_idle();
    pass_retention(&mut cluster);
    for store_index in [0, 1] {
        assert_eq!(names(&cluster, store_index), ["open"]);
    }
    assert_eq!(names(&cluster, 2), ["ended", "finished", "open"]);
    assert_eq!(cluster.queued_tokens(0), 30);
    assert_eq!(cluster.queued_tokens(2), 120);
    cluster
}

/// Ids of the jobs at a store, in the order of their acceptance.
fn names(cluster: &ShardCluster, store_index: usize) -> Vec<&str> {
    let jobs = cluster.jobs(store_index).iter();
    jobs.map(|job| job.name.id.as_str()).collect()
}

/// The third store has the open job and no other one, also after a restart.
fn assert_only_open_job_left(cluster: &mut ShardCluster) {
    for _ in 0..2 {
        assert_eq!(names(cluster, 2), ["open"], "a dropped job has come back");
        assert_eq!(cluster.queued_tokens(2), 30);
        cluster.run_until_idle();
        cluster.crash(2);
        cluster.start(2);
    }
}

#[test]
fn a_returning_replica_drops_jobs_that_the_others_dropped() {
    let mut cluster = one_was_away();
    cluster.stores[2].partitioned = false;
    cluster.tick(Duration::from_secs(1));
    cluster.run_until_idle();
    assert_only_open_job_left(&mut cluster);
}

#[test]
fn a_returning_primary_drops_jobs_that_the_others_dropped() {
    let mut cluster = one_was_away();
    cluster.stores[2].partitioned = false;
    cluster.stores[0].partitioned = true;
    cluster.messages.clear();
    cluster.take_over(2, &[3, 2, 1], &[1, 2, 3]);
    assert!(cluster.is_serving(2));
    assert_only_open_job_left(&mut cluster);
}

/// What a store keeps.
#[derive(Debug, Default, PartialEq)]
struct Usage {
    entries_on_disk: usize,
    jobs: usize,
    bytes: u64,
    entries_in_memory: usize,
}

fn usage(cluster: &ShardCluster, store_index: usize) -> Usage {
    let jobs = cluster.jobs(store_index);
    Usage {
        entries_on_disk: cluster.stores[store_index].disk.entries.len(),
        jobs: jobs.iter().count(),
        bytes: jobs.bytes(),
        entries_in_memory: jobs.entries_after(0).count(),
    }
}

#[test]
fn finished_jobs_leave_nothing_on_disk_or_in_memory() {
    let mut cluster = ShardCluster::of_three();
    let mut usages = Vec::new();
    for day in 0..6 {
        for i in 0..100 {
            let job = format!("job{day}-{i}");
            cluster.submit(0, job.clone(), 2);
            record(&mut cluster, &job, 0);
            match i % 2 {
                0 => record(&mut cluster, &job, 1),
                _ => end(&mut cluster, &job),
            }
            cluster.run_until_idle();
            cluster.tick(Duration::from_millis(100));
        }
        pass_retention(&mut cluster);
        usages.push([0, 1, 2].map(|store_index| usage(&cluster, store_index)));
    }
    println!("at each store after each 100 jobs: {usages:?}");
    let is_empty = |usage: &Usage| *usage == Usage::default();
    assert!(usages.iter().flatten().all(is_empty), "{usages:?}");
}
