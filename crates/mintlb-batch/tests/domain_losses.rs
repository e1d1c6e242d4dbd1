//! Losses of entire zones and regions under the planner with all shards: no acknowledged entry is
//! lost, and every shard becomes active again.

mod simulated_cluster;

use arbtest::arbitrary::{Result, Unstructured};
use mintlb_common::quorum::{FailureDomain, FaultTolerance};
use simulated_cluster::{RepairTimes, STEP, SimulatedCluster};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Every shard is active within this time after all machines are back.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);
/// Enough steps for any loss of a random test to be repaired.
const MAX_STEPS: usize = 400;
const TIMES: RepairTimes = RepairTimes {
    catch_up: Duration::from_secs(5),
    fill: Duration::from_millis(300),
};

fn domain(zone: usize, region: usize) -> FailureDomain {
    FailureDomain {
        zone: format!("r{region}z{zone}"),
        region: format!("r{region}"),
        counts_toward_quorum: true,
    }
}

fn tolerance(machines: usize, zones: usize, regions: usize) -> FaultTolerance {
    FaultTolerance {
        machines,
        zones,
        regions,
    }
}

/// Three regions of three zones with one machine each, of which one machine or one region may be
/// lost.
fn three_regions() -> SimulatedCluster {
    let domains = (0..9).map(|machine| domain(machine / 3, machine % 3));
    SimulatedCluster::in_domains(domains, tolerance(1, 0, 1), TIMES)
}

/// Three zones of one region with so many machines each.
fn three_zones(machines_per_zone: usize, tolerance: FaultTolerance) -> SimulatedCluster {
    let domains = (0..3 * machines_per_zone).map(|machine| domain(machine % 3, 0));
    SimulatedCluster::in_domains(domains, tolerance, TIMES)
}

/// The machines in the same zone, or region, as another one.
fn machines_beside(cluster: &SimulatedCluster, machine: usize, in_region: bool) -> Vec<usize> {
    let domain = &cluster.machines[machine].domain;
    let is_beside = |other: &usize| {
        let other = &cluster.machines[*other];
        let is_there = other.is_up() && other.domain.region == domain.region;
        is_there && (in_region || other.domain.zone == domain.zone)
    };
    (0..cluster.machines.len()).filter(is_beside).collect()
}

fn wipe_all(cluster: &mut SimulatedCluster, machines: &[usize]) {
    assert!(cluster.may_lose_all(machines));
    for machine in machines {
        cluster.wipe(*machine, SECOND * 2);
    }
}

#[test]
fn a_region_lost_with_its_disks_takes_no_acknowledged_entry() {
    for region in 0..3 {
        let mut cluster = three_regions();
        let lost = machines_beside(&cluster, region, true);
        assert_eq!(lost.len(), 3);
        wipe_all(&mut cluster, &lost);
        cluster.settle(RECOVERY_BOUND);
        cluster.assert_survives_any_two_losses();
    }
}

#[test]
fn a_zone_lost_with_its_disk_takes_no_acknowledged_entry() {
    for zone in 0..3 {
        let mut cluster = three_zones(1, tolerance(0, 1, 0));
        wipe_all(&mut cluster, &[zone]);
        cluster.settle(RECOVERY_BOUND);
        cluster.assert_survives_any_two_losses();
    }
}

/// Replicas move out of the dark zone, so that two of a shard share one; they are spread again before
/// the next zone may be lost.
#[test]
fn a_zone_is_lost_after_another_one_came_back() {
    for (dark, lost) in [(2, 1), (1, 0), (0, 2)] {
        let mut cluster = three_zones(2, tolerance(1, 1, 0));
        for machine in machines_beside(&cluster, dark, false) {
            cluster.power_off(machine, SECOND * 10);
        }
        cluster.run(SECOND * 10);
        cluster.run_until_caught_up(MAX_STEPS);
        cluster.assert_survives_any_two_losses();
        let lost = machines_beside(&cluster, lost, false);
        wipe_all(&mut cluster, &lost);
        cluster.settle(RECOVERY_BOUND);
        cluster.assert_survives_any_two_losses();
    }
}

#[test]
fn regions_are_lost_one_after_another() {
    let mut cluster = three_regions();
    for loss in 0..6 {
        let lost = machines_beside(&cluster, loss % 3, true);
        wipe_all(&mut cluster, &lost);
        cluster.run(SECOND * 7 + STEP);
        assert_eq!(cluster.lost_machines(), 0);
    }
    cluster.settle(RECOVERY_BOUND);
    cluster.assert_survives_any_two_losses();
}

/// A store is decommissioned and taken away; then the region that it was in is lost, or another one.
#[test]
fn a_region_is_lost_after_a_store_was_decommissioned() {
    for region in 0..3 {
        let mut cluster = three_regions();
        assert!(cluster.decommission(0));
        cluster.run(SECOND * 10);
        assert!(cluster.decommissioning.is_empty(), "it is complete");
        let lost = machines_beside(&cluster, 3 + region, true);
        wipe_all(&mut cluster, &lost);
        cluster.settle(RECOVERY_BOUND);
        cluster.assert_survives_any_two_losses();
    }
}

/// The last store of a region can't be taken away: the others would not survive the next loss of a
/// region, but still outlast it, so that the order is carried out and nothing is lost.
#[test]
fn a_store_is_decommissioned_only_if_the_others_are_a_write_quorum() {
    let domains = (0..3).map(|machine| domain(0, machine));
    let mut cluster = SimulatedCluster::in_domains(domains, tolerance(1, 0, 1), TIMES);
    assert!(cluster.decommission(0));
    cluster.run(SECOND * 10);
    assert!(cluster.decommissioning.is_empty(), "it is complete");
    assert!(!cluster.decommission(1), "one region alone can't commit");
    cluster.wipe(2, SECOND);
    cluster.settle(RECOVERY_BOUND);
}

/// Three machines that count, one in each zone, and so many that don't.
fn with_uncounted(uncounted: usize) -> SimulatedCluster {
    let domains = (0..3 + uncounted).map(|machine| FailureDomain {
        counts_toward_quorum: machine < 3,
        ..domain(machine % 3, 0)
    });
    SimulatedCluster::in_domains(domains, tolerance(1, 0, 0), TIMES)
}

#[test]
fn machines_that_do_not_count_are_gone_for_good_and_take_no_acknowledged_entry() {
    for uncounted in 1..=4 {
        let mut cluster = with_uncounted(uncounted);
        for machine in 3..3 + uncounted {
            cluster.remove(machine);
        }
        cluster.run(SECOND * 20);
        cluster.settle(RECOVERY_BOUND);
        cluster.assert_survives_any_two_losses();
    }
}

#[test]
fn machines_that_do_not_count_are_lost_together_with_one_that_does() {
    for counted in 0..3 {
        let mut cluster = with_uncounted(3);
        (3..6).for_each(|machine| cluster.remove(machine));
        cluster.wipe(counted, SECOND * 2);
        cluster.settle(RECOVERY_BOUND);
        cluster.assert_survives_any_two_losses();
    }
}

/// Machines that count and others that start at any times, in any order; once entries are acknowledged all that don't
/// count are gone for good, at once or one by one, and then one that counts loses its disk.
fn random_start(u: &mut Unstructured) -> Result<()> {
    let counted = u.int_in_range(3..=5)?;
    let mut machines = Vec::new();
    for machine in 0..counted + u.int_in_range(1..=6)? {
        let domain = FailureDomain {
            counts_toward_quorum: machine < counted,
            ..domain(u.int_in_range(0..=2)?, 0)
        };
        machines.push((domain, STEP * u.int_in_range(0..=150)?));
    }
    let mut cluster = SimulatedCluster::starting_at(machines, tolerance(1, 0, 0), TIMES);
    cluster.run(STEP * u.int_in_range(0..=100)?);
    while let Some(machine) = (0..cluster.machines.len()).find(|machine| {
        let state = &cluster.machines[*machine];
        state.is_up() && !state.domain.counts_toward_quorum
    }) {
        cluster.remove(machine);
        cluster.run(STEP * u.int_in_range(0..=20)?);
    }
    let counts = |machine: &usize| cluster.machines[*machine].domain.counts_toward_quorum;
    let counted: Vec<usize> = (0..cluster.machines.len()).filter(counts).collect();
    cluster.wipe(*u.choose(&counted)?, SECOND);
    cluster.settle(RECOVERY_BOUND);
    cluster.assert_survives_any_two_losses();
    Ok(())
}

#[test]
fn machines_that_do_not_count_start_at_any_time_and_take_no_acknowledged_entry() {
    arbtest::arbtest(random_start).budget_ms(3000);
}

/// A random layout in which all tolerated losses can be survived.
fn random_layout(u: &mut Unstructured) -> Result<(Vec<FailureDomain>, FaultTolerance)> {
    let (zones, regions, tolerance) = match u.int_in_range(0..=4)? {
        0 => (3, 1, tolerance(0, 1, 0)),
        1 => (3, 1, tolerance(1, 1, 0)),
        2 => (1, 3, tolerance(1, 0, 1)),
        3 => (3, 3, tolerance(1, 2, 1)),
        _ => (2, 3, tolerance(2, 1, 1)),
    };
    let per_zone = match tolerance.machines {
        2 => 1,
        _ => u.int_in_range(1..=2)?,
    };
    let mut domains = Vec::new();
    for _ in 0..per_zone {
        for region in 0..regions {
            domains.extend((0..zones).map(|zone| domain(zone, region)));
        }
    }
    for _ in 0..u.int_in_range(0..=3)? {
        domains.push(FailureDomain {
            counts_toward_quorum: false,
            ..domain(u.int_in_range(0..=2)?, 0)
        });
    }
    Ok((domains, tolerance))
}

/// All machines that don't count are lost for good.
fn remove_uncounted(cluster: &mut SimulatedCluster) {
    for machine in 0..cluster.machines.len() {
        let state = &cluster.machines[machine];
        if state.is_up() && !state.domain.counts_toward_quorum {
            cluster.remove(machine);
        }
    }
}

/// One random event that the operators' limits allow: of a machine, its zone, or its region.
fn random_event(cluster: &mut SimulatedCluster, u: &mut Unstructured) -> Result<()> {
    let machine = u.int_in_range(0..=cluster.machines.len() - 1)?;
    let time = STEP * u.int_in_range(5..=45)?;
    let affected = match u.int_in_range(0..=3)? {
        0 => vec![machine],
        1 => machines_beside(cluster, machine, false),
        _ => machines_beside(cluster, machine, true),
    };
    if affected.is_empty() || !cluster.may_lose_all(&affected) {
        return Ok(());
    }
    let is_uncounted = !cluster.machines[machine].domain.counts_toward_quorum;
    if is_uncounted && u.arbitrary()? {
        remove_uncounted(cluster);
        return Ok(());
    }
    let kind = u.int_in_range(0..=7)?;
    let is_idle = cluster.lost_machines() == 0 && cluster.decommissioning.is_empty();
    match (kind, affected.as_slice()) {
        (0, [single]) if is_idle => _ = cluster.decommission(*single),
        (1, [single]) => cluster.replace_planned(*single, time),
        (2, [single]) => cluster.restart(*single),
        (_, affected) => {
            for machine in affected {
                match u.int_in_range(0..=3)? {
                    0 => cluster.power_off(*machine, time),
                    1 => cluster.replace(*machine, time),
                    _ => cluster.wipe(*machine, time),
                }
            }
        }
    }
    Ok(())
}

/// Random events, often as soon as the limits allow the next one; then the loss of a machine, a zone
/// or a region with its disks, while all others lose power.
fn random_day(u: &mut Unstructured) -> Result<()> {
    let (domains, tolerance) = random_layout(u)?;
    let times = RepairTimes {
        catch_up: SECOND * 5,
        fill: STEP * u.int_in_range(1..=6)?,
    };
    let mut cluster = SimulatedCluster::in_domains(domains, tolerance, times);
    cluster.idle = u.arbitrary()?;
    for _ in 0..u.int_in_range(1..=8)? {
        random_event(&mut cluster, u)?;
        if u.arbitrary()? {
            cluster.run_until_caught_up(MAX_STEPS);
        } else {
            cluster.run(STEP * u.int_in_range(0..=60)?);
        }
    }
    cluster.run_until_caught_up(MAX_STEPS);
    cluster.idle = false;
    cluster.run(SECOND);
    let machine = u.int_in_range(0..=cluster.machines.len() - 1)?;
    let lost = machines_beside(&cluster, machine, u.arbitrary()?);
    let lost = match cluster.may_lose_all(&lost) {
        true => lost,
        false => Vec::new(),
    };
    for machine in 0..cluster.machines.len() {
        if lost.contains(&machine) {
            cluster.wipe(machine, SECOND);
        } else if cluster.machines[machine].is_up() {
            cluster.power_off(machine, SECOND);
        }
    }
    cluster.settle(RECOVERY_BOUND);
    Ok(())
}

#[test]
fn any_day_of_lost_machines_zones_and_regions() {
    arbtest::arbtest(random_day).size_max(4096).budget_ms(8000);
}
