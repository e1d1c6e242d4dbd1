//! Random requests and deliveries over time, and the checks at the end of a simulation.

use super::ShardCluster;
use super::requests::name;
use std::time::Duration;

/// Sends a random request, mostly to a store that serves, otherwise to `fallback`.
pub fn random_request(cluster: &mut ShardCluster, fallback: usize) {
    let is_serving = |store_index: &usize| {
        cluster.stores[*store_index]
            .replica
            .as_ref()
            .is_some_and(|r| r.is_serving())
    };
    let serving: Vec<usize> = (0..cluster.stores.len()).filter(is_serving).collect();
    let store_index = match serving.is_empty() || cluster.random.percent(10) {
        true => fallback,
        false => serving[cluster.random.below(serving.len() as u64) as usize],
    };
    let kind = cluster.random.below(33);
    if kind < 7 {
        cluster.next_job += 1;
        let job = format!("job{:05}", cluster.next_job);
        let items = 1 + cluster.random.below(4) as usize;
        return cluster.submit(store_index, job, items);
    }
    let Some((job, items)) = random_job(cluster) else {
        return;
    };
    match kind {
        // The same job again, perhaps at another store.
        7..=8 => cluster.submit(store_index, job, items),
        9..=19 => {
            let item = cluster.random.below(items as u64) as u32;
            cluster.oracle.finished(&job, item);
            cluster.record(store_index, job, item);
        }
        20 if cluster.random.percent(40) => {
            cluster.oracle.end_requested.insert(job.clone());
            cluster.end(store_index, job);
        }
        21..=28 => cluster.read(store_index, &job),
        29..=30 => cluster.lease(store_index),
        _ => (),
    }
}

fn random_job(cluster: &mut ShardCluster) -> Option<(String, usize)> {
    let count = cluster.oracle.accepted.len() as u64;
    // Among the newest ones: those are the least replicated.
    let back = cluster.random.below(count.min(8)) as usize;
    let job = cluster.oracle.accepted.keys().rev().nth(back)?.clone();
    let items = cluster.oracle.accepted[&job].1;
    Some((job, items))
}

/// Ends all faults, and lets the cluster recover.
pub fn heal(cluster: &mut ShardCluster) {
    for store_index in 0..cluster.stores.len() {
        cluster.restore(store_index);
    }
    for _ in 0..400 {
        deliver_all(cluster);
        cluster.advance_machines();
        cluster.run_controller();
        cluster.tick(Duration::from_millis(50));
    }
}

/// Syncs all disks, and delivers all placements and messages.
pub fn deliver_all(cluster: &mut ShardCluster) {
    for store_index in 0..cluster.stores.len() {
        cluster.receive_placement(store_index);
        cluster.sync(store_index);
    }
    let mut remaining = 5000;
    while !cluster.messages.is_empty() && remaining > 0 {
        cluster.deliver(0, false);
        remaining -= 1;
    }
}

/// Checks that everything acknowledged can be read at the one store that serves.
pub fn check_all(cluster: &mut ShardCluster) {
    let serving: Vec<usize> = (0..cluster.stores.len())
        .filter(|store_index| {
            cluster.stores[*store_index]
                .replica
                .as_ref()
                .is_some_and(|replica| replica.is_serving())
        })
        .collect();
    let history = cluster.history.join("\n");
    assert_eq!(
        serving.len(),
        1,
        "exactly one store serves: {:?}\n{history}",
        cluster.placements.last()
    );
    let store_index = serving[0];
    cluster.stores[store_index]
        .replica
        .as_mut()
        .unwrap()
        .confirm(cluster.now.into());
    cluster.run_effects(store_index);
    deliver_all(cluster);
    deliver_all(cluster);
    assert!(
        cluster.stores[store_index]
            .replica
            .as_mut()
            .unwrap()
            .confirm(cluster.now.into())
    );
    let jobs: Vec<(String, usize)> = cluster
        .oracle
        .accepted
        .iter()
        .map(|(job, (_, items))| (job.clone(), *items))
        .collect();
    for (job, _) in &jobs {
        let jobs = cluster.stores[store_index].replica.as_ref().unwrap().jobs();
        let Some(found) = jobs.find(&name(job)) else {
            panic!("LOST: {job}\n{history}")
        };
        if cluster.oracle.ended.contains_key(job) {
            assert!(found.ended.is_some(), "an end is lost");
        }
        let read = cluster.oracle.results.get(job).map_or(0, Vec::len);
        assert!(found.results.len() >= read, "a result is lost");
        cluster.read(store_index, job);
    }
    cluster.lease(store_index);
}

/// Lets time pass, with requests and a network that loses, duplicates and delays little. Returns
/// early once a job was accepted, if `until_accepted`.
pub fn run_for(cluster: &mut ShardCluster, time: Duration, until_accepted: bool) {
    let end = cluster.now + time;
    cluster.just_accepted = false;
    while cluster.now < end && !(until_accepted && cluster.just_accepted) {
        cluster.advance_machines();
        let calls = if cluster.idle {
            0
        } else {
            cluster.random.below(3)
        };
        for _ in 0..calls {
            let any = cluster.random.below(cluster.stores.len() as u64) as usize;
            random_request(cluster, any);
        }
        deliver_some(cluster, until_accepted);
        if cluster.random.percent(50) {
            cluster.run_controller();
        }
        let passed = Duration::from_millis(10 + cluster.random.below(60));
        cluster.tick(passed);
    }
}

fn deliver_some(cluster: &mut ShardCluster, until_accepted: bool) {
    for store_index in 0..cluster.stores.len() {
        if cluster.random.percent(80) {
            cluster.receive_placement(store_index);
            cluster.sync(store_index);
        }
    }
    for _ in 0..cluster.messages.len() {
        match cluster.random.below(100) {
            0..=2 => _ = cluster.messages.remove(0),
            3..=12 => {
                let message = cluster.messages.remove(0);
                cluster.messages.push(message);
            }
            other => cluster.deliver(0, other < 16),
        }
        if until_accepted && cluster.just_accepted {
            return;
        }
    }
    cluster.messages.truncate(5000);
}
