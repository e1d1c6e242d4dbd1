//! Losses of entire zones and regions: what a quorum has accepted stays readable and changes go on, by exhaustion over
//! layouts, minimal quorums and tolerated losses. Who joins a set, and who may leave it, so that this holds.

use crate::support::cluster::Cluster;
use crate::support::{MAX_REPLICAS, replica};
use mintlb_common::quorum::FaultTolerance;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;

/// Rounds after which a change counts as stuck.
const MAX_ROUNDS: usize = 12;

const ONE_MACHINE_OR_REGION: FaultTolerance = FaultTolerance {
    machines: 1,
    zones: 0,
    regions: 1,
};
const ONE_MACHINE_OR_ZONE: FaultTolerance = FaultTolerance {
    machines: 1,
    zones: 1,
    regions: 0,
};

/// The replica with this identity in the zone and region of a name like `b2`: zone 2 of region b.
fn replica_in(id: u64, zone: &str) -> Replica {
    Replica {
        zone: zone.to_string(),
        region: Some(zone[..1].to_string()),
        ..replica(id)
    }
}

/// Replicas 1, 2... in these zones, with configuration 1.
fn configured_state(zones: &[&str], tolerance: FaultTolerance) -> ControlState {
    let members = (1..).zip(zones).map(|(id, zone)| replica_in(id, zone));
    ControlState {
        revision: 2,
        replicas: ReplicaSet {
            epoch: 7,
            previous: Vec::new(),
            current: members.collect(),
            tolerance: Some(tolerance),
        },
        configuration_version: 1,
        configuration: b"1".to_vec(),
        ..ControlState::default()
    }
}

fn configured_cluster(zones: &[&str], tolerance: FaultTolerance) -> Cluster {
    Cluster::with_state(configured_state(zones, tolerance)).with_max_rounds(MAX_ROUNDS)
}

fn configuration(base: u64, version: u64, tolerance: FaultTolerance) -> Change {
    Change::SetConfiguration {
        base,
        version,
        body: version.to_string().into_bytes(),
        tolerance,
        durability_suffices: false,
    }
}

fn add(replica: Replica, tolerance: FaultTolerance) -> Change {
    Change::AddReplica {
        replica,
        unresponsive: Vec::new(),
        tolerance,
        replaces_in_full_set_only: false,
        max_replicas: MAX_REPLICAS,
    }
}

/// The largest losses that are tolerated: each machine, zone or region.
fn losses(zones: &[&str], tolerance: FaultTolerance) -> Vec<Vec<ReplicaId>> {
    let ids_of = |is_lost: &dyn Fn(&str) -> bool| -> Vec<ReplicaId> {
        let members = (1..).zip(zones);
        let lost = members.filter(|(_, zone)| is_lost(zone));
        lost.map(|(id, _)| ReplicaId(id)).collect()
    };
    let mut losses: Vec<Vec<ReplicaId>> = (1..=zones.len() as u64)
        .map(|id| vec![ReplicaId(id)])
        .collect();
    for name in zones {
        if tolerance.zones > 0 {
            losses.push(ids_of(&|zone| zone == *name));
        }
        if tolerance.regions > 0 {
            losses.push(ids_of(&|zone| zone[..1] == name[..1]));
        }
    }
    losses
}

const LAYOUTS: [(&[&str], FaultTolerance); 7] = [
    (&["a1", "b1", "c1"], ONE_MACHINE_OR_REGION),
    (&["a1", "a2", "b1", "c1"], ONE_MACHINE_OR_REGION),
    (&["a1", "a2", "a3", "b1", "c1"], ONE_MACHINE_OR_REGION),
    (
        &["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"],
        ONE_MACHINE_OR_REGION,
    ),
    (
        &["a1", "a1", "a1", "a1", "a1", "b1", "b1", "c1", "c1"],
        ONE_MACHINE_OR_REGION,
    ),
    (&["a1", "a2", "a3"], ONE_MACHINE_OR_ZONE),
    (&["a1", "a1", "a1", "a2", "a2", "a3"], ONE_MACHINE_OR_ZONE),
];

#[test]
fn a_configuration_outlasts_each_tolerated_loss_and_changes_go_on() {
    let mut cases = 0;
    for (zones, tolerance) in LAYOUTS {
        for lost in losses(zones, tolerance) {
            for rotation in 0..zones.len() as u64 {
                cases += 1;
                let case = format!("{zones:?}, lost {lost:?}, rotation {rotation}");
                let mut cluster = configured_cluster(zones, tolerance);
                let acknowledged =
                    cluster.change_at_minimal_quorum(configuration(1, 2, tolerance), rotation);
                assert_eq!(
                    acknowledged.unwrap().change,
                    ChangeOutcome::Applied,
                    "{case}"
                );
                lost.iter().for_each(|id| cluster.lose(*id));
                let newest = cluster.change(Change::Identity).expect(&case).chosen;
                assert_eq!(newest.state.configuration_version, 2, "LOST: {case}");
                let next = cluster.outcome(configuration(2, 3, tolerance));
                assert_eq!(next, Some(ChangeOutcome::Applied), "{case}");
            }
        }
    }
    println!("losses of machines, zones and regions: {cases} cases");
}

#[test]
fn a_joint_set_outlasts_each_tolerated_loss() {
    let zones = ["a1", "b1", "c1"];
    for lost in losses(&zones, ONE_MACHINE_OR_REGION) {
        for rotation in 0..4 {
            let mut cluster = configured_cluster(&zones, ONE_MACHINE_OR_REGION);
            let newcomer = add(replica_in(9, "b2"), ONE_MACHINE_OR_REGION);
            cluster
                .change_at_minimal_quorum(newcomer, rotation)
                .unwrap();
            lost.iter().for_each(|id| cluster.lose(*id));
            let chosen = cluster
                .change(Change::LeaveJoint)
                .expect("it goes on")
                .chosen;
            assert_eq!(chosen.state.configuration_version, 1);
        }
    }
}

#[test]
fn nothing_is_acknowledged_by_a_set_that_a_tolerated_loss_stops() {
    for (zones, tolerance) in [
        (["a1", "a2", "a3"], ONE_MACHINE_OR_REGION),
        (["a1", "a2", "b1"], ONE_MACHINE_OR_REGION),
        (["a1", "a1", "a2"], ONE_MACHINE_OR_ZONE),
    ] {
        let mut cluster = configured_cluster(&zones, tolerance);
        let outcome = cluster.outcome(configuration(1, 2, tolerance));
        assert_eq!(outcome, Some(ChangeOutcome::TooFewReplicas), "{zones:?}");
    }
    // Nor while the set goes by another tolerance than the one that the change asks for.
    let mut cluster = configured_cluster(&["a1", "b1", "c1"], FaultTolerance::of_machines(1));
    let change = || configuration(1, 2, ONE_MACHINE_OR_REGION);
    assert_eq!(
        cluster.outcome(change()),
        Some(ChangeOutcome::TooFewReplicas)
    );
    let raised = cluster.outcome(Change::SetFaultTolerance(ONE_MACHINE_OR_REGION));
    assert_eq!(raised, Some(ChangeOutcome::Applied));
    assert_eq!(cluster.outcome(change()), Some(ChangeOutcome::Applied));
}

/// Nine controllers of a larger tier have joined by chance: more than half of the set is in one region.
#[test]
fn in_a_full_set_a_replica_of_a_missing_region_replaces_one_of_the_fullest() {
    let zones = ["a1", "a2", "a3", "a4", "a5", "a6", "a7", "b1", "b2"];
    let mut cluster = configured_cluster(&zones, ONE_MACHINE_OR_REGION);
    let mut change = |replica: Replica| {
        let outcome = cluster.outcome(add(replica, ONE_MACHINE_OR_REGION));
        cluster.outcome(Change::LeaveJoint);
        (outcome, cluster.replica_set())
    };
    let (outcome, set) = change(replica_in(20, "a8"));
    assert_eq!(outcome, Some(ChangeOutcome::SetFull), "it is of no use");
    assert!(!set.remains_available_after(&ONE_MACHINE_OR_REGION));
    let (outcome, set) = change(replica_in(21, "c1"));
    assert_eq!(outcome, Some(ChangeOutcome::Applied));
    assert_eq!(set.current.len(), MAX_REPLICAS);
    assert!(set.remains_available_after(&ONE_MACHINE_OR_REGION));
    let (outcome, _) = change(replica_in(22, "c2"));
    assert_eq!(outcome, Some(ChangeOutcome::SetFull), "all is well");
}

#[test]
fn an_unresponsive_member_is_replaced_only_if_the_set_survives_as_much() {
    let zones = ["a1", "b1", "c1"];
    let add_beside = |id, zone| Change::AddReplica {
        unresponsive: vec![ReplicaId(3)],
        replica: replica_in(id, zone),
        tolerance: ONE_MACHINE_OR_REGION,
        replaces_in_full_set_only: false,
        max_replicas: MAX_REPLICAS,
    };
    for (zone, size) in [("c2", 3), ("a2", 4)] {
        let mut cluster = configured_cluster(&zones, ONE_MACHINE_OR_REGION);
        cluster.set_unreachable([3]);
        let outcome = cluster.outcome(add_beside(4, zone));
        assert_eq!(outcome, Some(ChangeOutcome::Applied));
        let set = cluster.replica_set();
        assert_eq!((set.current.len(), set.previous.len()), (size, 3), "{zone}");
    }
}

#[test]
fn the_last_member_of_a_region_is_not_removed() {
    let mut cluster = configured_cluster(&["a1", "a2", "b1", "c1"], ONE_MACHINE_OR_REGION);
    let remove = |id| Change::RemoveReplica {
        id: ReplicaId(id),
        tolerance: ONE_MACHINE_OR_REGION,
    };
    for id in [3, 4] {
        assert_eq!(
            cluster.outcome(remove(id)),
            Some(ChangeOutcome::TooFewReplicas)
        );
    }
    assert_eq!(cluster.outcome(remove(1)), Some(ChangeOutcome::Applied));
}

/// A register of an earlier release: quorums are majorities, members don't tell their regions.
#[test]
fn a_register_of_an_earlier_release_gets_a_tolerance_once_all_members_tell_their_domains() {
    let zones = ["a1", "a2", "a3", "b1", "c1"];
    let mut state = configured_state(&zones, ONE_MACHINE_OR_REGION);
    state.replicas.tolerance = None;
    let told = std::mem::take(&mut state.replicas.current);
    state.replicas.current = told
        .iter()
        .map(|member| Replica {
            region: None,
            ..member.clone()
        })
        .collect();
    let mut cluster = Cluster::with_state(state).with_max_rounds(MAX_ROUNDS);
    let set_tolerance = || Change::SetFaultTolerance(ONE_MACHINE_OR_REGION);
    for member in told {
        // A loss of machines is tolerated as before; nothing is promised for that of a region.
        let outcome = cluster.outcome(configuration(1, 2, ONE_MACHINE_OR_REGION));
        assert_eq!(outcome, Some(ChangeOutcome::TooFewReplicas));
        assert_eq!(
            cluster.outcome(set_tolerance()),
            Some(ChangeOutcome::UnknownDomain)
        );
        let upgraded = cluster.outcome(add(member, ONE_MACHINE_OR_REGION));
        assert_eq!(upgraded, Some(ChangeOutcome::Applied));
        assert_eq!(
            cluster.outcome(Change::LeaveJoint),
            Some(ChangeOutcome::Applied)
        );
    }
    assert_eq!(
        cluster.outcome(set_tolerance()),
        Some(ChangeOutcome::Applied)
    );
    assert_eq!(
        cluster.outcome(set_tolerance()),
        Some(ChangeOutcome::AlreadyApplied)
    );
    let outcome = cluster.outcome(configuration(1, 2, ONE_MACHINE_OR_REGION));
    assert_eq!(outcome, Some(ChangeOutcome::Applied));
    (1..=3).for_each(|id| cluster.lose(ReplicaId(id)));
    let newest = cluster
        .change(Change::Identity)
        .expect("region a is lost")
        .chosen;
    assert_eq!(newest.state.configuration_version, 2);
}

/// A proposer that knows the set from before the tolerance finds the values that were chosen since.
#[test]
fn a_reader_with_an_outdated_set_finds_what_other_quorums_have_accepted() {
    let zones = ["a1", "a2", "a3", "b1", "c1"];
    let mut state = configured_state(&zones, ONE_MACHINE_OR_REGION);
    state.replicas.tolerance = None;
    let outdated = state.replicas.clone();
    for rotation in 0..5 {
        let mut cluster = Cluster::with_state(state.clone()).with_max_rounds(MAX_ROUNDS);
        let raised = Change::SetFaultTolerance(ONE_MACHINE_OR_REGION);
        cluster.change_at_minimal_quorum(raised, rotation).unwrap();
        cluster.set_unreachable([1, 2, 3]);
        let applied = cluster.outcome(configuration(1, 2, ONE_MACHINE_OR_REGION));
        assert_eq!(
            applied,
            Some(ChangeOutcome::Applied),
            "b and c are a quorum"
        );
        // Now a majority by the outdated set is there that has not accepted the configuration.
        cluster.set_unreachable([4, 5]);
        assert_eq!(
            cluster.read_from(outdated.clone()),
            None,
            "rotation {rotation}"
        );
        cluster.set_unreachable([]);
        assert_eq!(cluster.read().configuration_version, 2);
    }
}

/// Replicas 1, 2... of one zone: so many that count, and after them so many that don't.
fn with_uncounted(counted: u64, uncounted: u64) -> Cluster {
    let zones = vec!["a1"; (counted + uncounted) as usize];
    let mut state = configured_state(&zones, FaultTolerance::of_machines(1));
    for (id, member) in (1..).zip(&mut state.replicas.current) {
        member.counts_toward_quorum = Some(id <= counted);
    }
    Cluster::with_state(state).with_max_rounds(MAX_ROUNDS)
}

#[test]
fn replicas_that_do_not_count_can_be_spared_once_the_others_outlast_a_loss() {
    let tolerance = FaultTolerance::of_machines(1);
    for (counted, is_spared) in [(1, false), (2, true), (3, true)] {
        let mut cluster = with_uncounted(counted, 3);
        for id in counted + 1..=counted + 3 {
            let removal = Change::RemoveReplica {
                id: ReplicaId(id),
                tolerance,
            };
            let expected = match is_spared {
                true => ChangeOutcome::Applied,
                false => ChangeOutcome::TooFewReplicas,
            };
            assert_eq!(cluster.outcome(removal), Some(expected), "{counted} count");
            cluster.outcome(Change::LeaveJoint);
        }
    }
}

/// A register that machines which don't count have begun, of an earlier release: what it has accepted stays readable while
/// those that count join and the others leave, whichever one that counts is lost meanwhile.
#[test]
fn a_register_moves_to_the_machines_that_count() {
    let tolerance = FaultTolerance::of_machines(1);
    let newcomer = |id: u64| Replica {
        counts_toward_quorum: Some(true),
        ..replica_in(id, "a1")
    };
    let remove = |id: u64| Change::RemoveReplica {
        id: ReplicaId(id),
        tolerance,
    };
    let steps: Vec<Change> = [11, 12, 13]
        .map(|id| add(newcomer(id), tolerance))
        .into_iter()
        .chain([1, 2, 3].map(remove))
        .flat_map(|change| [change, Change::LeaveJoint])
        .collect();
    for last in 0..steps.len() {
        for rotation in 0..6 {
            for lost in [11, 12, 13] {
                let mut cluster = with_uncounted(0, 3);
                for step in &steps[..=last] {
                    let outcome = cluster.change_at_minimal_quorum(step.clone(), rotation);
                    assert_eq!(outcome.unwrap().change, ChangeOutcome::Applied);
                }
                cluster.lose(ReplicaId(lost));
                let newest = cluster.change(Change::Identity);
                let case = format!("{} steps, {lost} lost, rotation {rotation}", last + 1);
                let newest = newest.expect(&case).chosen;
                assert_eq!(newest.state.configuration_version, 1, "LOST: {case}");
            }
        }
    }
}

/// Whatever is acknowledged lies with members that count alone.
#[test]
fn a_set_with_a_member_that_does_not_count_acknowledges_nothing() {
    let tolerance = FaultTolerance::of_machines(1);
    for (counted, uncounted) in [(0, 3), (1, 4), (2, 1), (3, 1), (3, 4)] {
        for durability_suffices in [false, true] {
            let mut cluster = with_uncounted(counted, uncounted);
            let outcome = cluster.outcome(Change::SetConfiguration {
                base: 1,
                version: 2,
                body: b"2".to_vec(),
                tolerance,
                durability_suffices,
            });
            let case = format!("{counted} count, {uncounted} don't");
            assert_eq!(outcome, Some(ChangeOutcome::TooFewReplicas), "{case}");
        }
    }
}

/// A set of an earlier release may be full of members that don't count.
#[test]
fn a_replica_that_counts_joins_a_full_set_in_place_of_one_that_does_not() {
    let tolerance = FaultTolerance::of_machines(1);
    let mut cluster = with_uncounted(0, 3);
    for id in 11..=13 {
        let addition = Change::AddReplica {
            replica: Replica {
                counts_toward_quorum: Some(true),
                ..replica_in(id, "a1")
            },
            unresponsive: Vec::new(),
            tolerance,
            replaces_in_full_set_only: false,
            max_replicas: 3,
        };
        assert_eq!(cluster.outcome(addition), Some(ChangeOutcome::Applied));
        cluster.outcome(Change::LeaveJoint);
    }
    let outcome = cluster.outcome(configuration(1, 2, tolerance));
    assert_eq!(outcome, Some(ChangeOutcome::Applied), "all three count");
}
