//! A shard whose zones or regions are lost, cut off or frozen as a whole, right after something was
//! acknowledged: acknowledgements hold, and the shard becomes active again.

mod shard_cluster;

use mintlb_common::quorum::{FailureDomain, FaultTolerance};
use shard_cluster::ShardCluster;
use shard_cluster::workload::{check_all, heal, run_for};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Losses of one scenario.
const LOSSES: usize = 4;

/// What happens to all stores of a domain at once.
#[derive(Clone, Copy, Debug)]
enum Event {
    DiskLoss,
    PowerLoss,
    Partition,
    Freeze,
}

const EVENTS: [Event; 5] = [
    Event::DiskLoss,
    Event::DiskLoss,
    Event::PowerLoss,
    Event::Partition,
    Event::Freeze,
];

/// Stores in three domains: regions of three zones, or zones of one region.
fn cluster(seed: u64, stores: usize, are_regions: bool) -> ShardCluster {
    let domain = |store: usize| {
        let (domain, part) = (store % 3, store / 3);
        let (zone, region) = match are_regions {
            true => (format!("r{domain}z{part}"), format!("r{domain}")),
            false => (format!("z{domain}"), "r".to_string()),
        };
        FailureDomain {
            zone,
            region,
            counts_toward_quorum: true,
        }
    };
    let tolerance = FaultTolerance {
        machines: 1,
        zones: usize::from(!are_regions),
        regions: usize::from(are_regions),
    };
    ShardCluster::in_domains(seed, (0..stores).map(domain), tolerance)
}

fn lose_domain(cluster: &mut ShardCluster, domain: usize, event: Event) {
    let returns_at = Some(cluster.now + SECOND * 3);
    cluster.record_event(format!("{event:?} of domain {domain}"));
    let stores = (domain..cluster.stores.len()).step_by(3);
    for store_index in stores {
        match event {
            Event::DiskLoss => cluster.wipe(store_index),
            Event::PowerLoss => cluster.crash(store_index),
            Event::Partition => cluster.stores[store_index].partitioned = true,
            Event::Freeze => cluster.stores[store_index].frozen = true,
        }
        cluster.stores[store_index].machine.returns_at = returns_at;
    }
}

fn run_scenario(seed: u64, stores: usize, are_regions: bool) {
    let mut cluster = cluster(seed, stores, are_regions);
    heal(&mut cluster);
    for _ in 0..LOSSES {
        cluster.idle = false;
        run_for(&mut cluster, SECOND * 3, true);
        let domain = cluster.random.below(3) as usize;
        let event = EVENTS[cluster.random.below(EVENTS.len() as u64) as usize];
        lose_domain(&mut cluster, domain, event);
        cluster.idle = cluster.random.percent(30);
        let end = cluster.now + SECOND * 40;
        while cluster.lost_count() > 0 && cluster.now < end {
            run_for(&mut cluster, SECOND / 10, false);
        }
    }
    cluster.idle = false;
    run_for(&mut cluster, SECOND * 3, true);
    let domain = cluster.random.below(3) as usize;
    lose_domain(&mut cluster, domain, Event::DiskLoss);
    run_for(&mut cluster, SECOND * 2, false);
    heal(&mut cluster);
    check_all(&mut cluster);
    assert!(!cluster.oracle.accepted.is_empty());
}

#[test]
fn lost_regions_take_nothing_that_was_acknowledged() {
    for seed in 0..12 {
        run_scenario(seed, 9, true);
    }
}

#[test]
fn lost_zones_take_nothing_that_was_acknowledged() {
    for seed in 0..12 {
        run_scenario(seed, 3, false);
        run_scenario(seed, 6, false);
    }
}

/// Three stores that count, one in each zone, and two that don't. The latter are lost for good right after something was
/// acknowledged, and with them one that counts, which comes back empty.
fn lose_uncounted(seed: u64) {
    let domain = |store: usize| FailureDomain {
        zone: format!("z{}", store % 3),
        region: "r".to_string(),
        counts_toward_quorum: store < 3,
    };
    let domains = (0..5).map(domain);
    let mut cluster = ShardCluster::in_domains(seed, domains, FaultTolerance::of_machines(1));
    heal(&mut cluster);
    run_for(&mut cluster, SECOND * 3, true);
    for store_index in 3..5 {
        cluster.crash(store_index);
        cluster.stores[store_index].machine.removed = true;
        cluster.stores[store_index].machine.decommissioned = true;
    }
    let counted = cluster.random.below(3) as usize;
    cluster.wipe(counted);
    cluster.stores[counted].machine.returns_at = Some(cluster.now + SECOND);
    run_for(&mut cluster, SECOND * 2, false);
    heal(&mut cluster);
    check_all(&mut cluster);
    assert!(!cluster.oracle.accepted.is_empty());
}

#[test]
fn lost_stores_that_do_not_count_take_nothing_that_was_acknowledged() {
    (0..12).for_each(lose_uncounted);
}
