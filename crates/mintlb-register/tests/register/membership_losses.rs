//! Which losses of disks are tolerated at each step of each change of the replica set, by exhaustion: one and two
//! tolerated failures f, sets of 2f + 1 to 9 replicas, each minimal quorum that may hold the value, each choice of lost
//! disks.

mod operation;

use crate::support::cluster::{Cluster, Cost};
use crate::support::{
    MAX_REPLICAS, address, configuration, configuration_tolerating, replica, replica_set,
};
use mintlb_common::quorum::FaultTolerance;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use operation::{
    ADDED, Action, NEW_MACHINE, OPERATIONS, Operation, Step, add_at, cut_off, is_possible, propose,
    remaining_members, steps,
};

/// Rounds after which a change counts as stuck.
const MAX_ROUNDS: usize = 12;

/// Replicas 1 to `size` with configuration 1.
fn configured_cluster(size: usize) -> Cluster {
    let state = ControlState {
        revision: 2,
        replicas: replica_set((1..=size as u64).map(replica)),
        configuration_version: 1,
        configuration: b"1".to_vec(),
        ..ControlState::default()
    };
    Cluster::with_state(state).with_max_rounds(MAX_ROUNDS)
}

/// Each choice of `count` of them.
fn choices(of: &[ReplicaId], count: usize) -> Vec<Vec<ReplicaId>> {
    if count == 0 {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (index, first) in of.iter().enumerate() {
        for mut rest in choices(&of[index + 1..], count - 1) {
            rest.insert(0, *first);
            all.push(rest);
        }
    }
    all
}

/// Runs the steps, each value held by one minimal quorum, then loses these disks, adds their successors and changes the
/// configuration. Returns what has failed.
fn run(
    mut cluster: Cluster,
    steps: &[Step],
    lost: &[ReplicaId],
    rotation: u64,
    tolerated_failures: usize,
) -> Result<(), String> {
    for step in steps {
        match &step.action {
            Action::CutOff(id) => cluster.cut_off(*id),
            Action::Propose(change) => {
                cluster
                    .change_at_minimal_quorum(change.clone(), rotation)
                    .ok_or("the step itself is stuck")?;
            }
        }
    }
    lost.iter().for_each(|id| cluster.lose(*id));
    check_configuration(&mut cluster)?;
    replace_lost(&mut cluster, lost)?;
    check_change(&mut cluster, tolerated_failures)
}

fn check_configuration(cluster: &mut Cluster) -> Result<(), String> {
    let newest = cluster
        .change(Change::Identity)
        .ok_or("no majority is left")?
        .chosen
        .state;
    match newest.configuration_version {
        1 => Ok(()),
        version => Err(format!("the configuration is {version}")),
    }
}

fn replace_lost(cluster: &mut Cluster, lost: &[ReplicaId]) -> Result<(), String> {
    for (index, id) in lost.iter().enumerate() {
        let successor = ReplicaId(200 + index as u64);
        let change = add_at(successor, cluster.address_of(*id));
        cluster
            .change(change)
            .ok_or("the successor of a lost disk is not added")?;
    }
    cluster
        .change(Change::LeaveJoint)
        .ok_or("the set stays joint")?;
    Ok(())
}

fn check_change(cluster: &mut Cluster, tolerated_failures: usize) -> Result<(), String> {
    let change = configuration_tolerating(tolerated_failures, 1, 2, "2");
    let outcome = cluster.change(change).ok_or("no change is applied")?;
    let set = &outcome.chosen.state.replicas;
    let is_large_enough = set.current.len() > 2 * tolerated_failures;
    if outcome.change != ChangeOutcome::Applied || set.is_joint() || !is_large_enough {
        return Err(format!(
            "{:?} by {} replicas",
            outcome.change,
            set.current.len()
        ));
    }
    Ok(())
}

#[test]
fn every_further_loss_within_the_bound_is_tolerated_at_each_step() {
    let mut cases = 0;
    for tolerated_failures in 1..=2 {
        for size in 2 * tolerated_failures + 1..=MAX_REPLICAS {
            for operation in OPERATIONS {
                if is_possible(operation, tolerated_failures, size) {
                    cases += check_operation(operation, tolerated_failures, size);
                }
            }
        }
    }
    println!("further losses: {cases} cases, all tolerated");
    assert!(cases > 6_000, "{cases}");
}

/// Checks all losses after each step of an operation; returns the number of cases.
fn check_operation(operation: Operation, tolerated_failures: usize, size: usize) -> usize {
    let steps = steps(operation, tolerated_failures, size);
    let mut cases = 0;
    for last in 0..steps.len() {
        let run_steps = &steps[..=last];
        let members = remaining_members(size, run_steps);
        for lost in choices(&members, steps[last].further_losses) {
            for rotation in 0..size as u64 {
                cases += 1;
                let cluster = configured_cluster(size);
                let result = run(cluster, run_steps, &lost, rotation, tolerated_failures);
                let case = format!(
                    "f {tolerated_failures}, set of {size}, {operation:?}, step {last}, \
                     lost {lost:?}, rotation {rotation}"
                );
                assert_eq!(result, Ok(()), "{case}");
            }
        }
    }
    cases
}

#[test]
fn a_member_that_stops_before_it_is_removed_may_cost_the_majority() {
    // Why a controller that is told to stop removes itself first.
    for tolerated_failures in 1..=2 {
        let size = 2 * tolerated_failures + 1;
        let steps = [
            propose(add_at(ADDED, &address(NEW_MACHINE)), 0),
            cut_off(ReplicaId(size as u64), 0),
            propose(Change::LeaveJoint, 0),
        ];
        let lost: Vec<ReplicaId> = (1..=tolerated_failures as u64).map(ReplicaId).collect();
        let result = run(
            configured_cluster(size),
            &steps,
            &lost,
            0,
            tolerated_failures,
        );
        assert_eq!(result, Err("no majority is left".to_string()));
    }
}

/// The joint set of three replicas to which another is added.
fn joint_set(cluster: &mut Cluster) -> ReplicaSet {
    let change = add_at(ADDED, &address(NEW_MACHINE));
    let chosen = cluster.change(change).unwrap().chosen;
    chosen.state.replicas.clone()
}

#[test]
fn any_further_change_ends_a_joint_set_first() {
    for change in [
        configuration(1, 2, "2"),
        add_at(ReplicaId(101), &address(51)),
        Change::RemoveReplica {
            id: ReplicaId(1),
            tolerance: FaultTolerance::of_machines(1),
        },
    ] {
        let mut cluster = configured_cluster(3);
        let joint = joint_set(&mut cluster);
        assert!(joint.is_joint());
        let outcome = cluster.change(change.clone()).unwrap();
        assert_eq!(outcome.change, ChangeOutcome::Applied, "{change:?}");
        let set = &outcome.chosen.state.replicas;
        // Epoch 2 is joint, epoch 3 is not; a further change of the set begins from there.
        assert_eq!(
            (set.epoch >= 3, outcome.chosen.state.revision),
            (true, 5),
            "{change:?}: {set:?}"
        );
        assert!(
            !set.is_joint() || set.previous == joint.current,
            "{change:?}: {set:?}"
        );
    }
}

#[test]
fn a_disk_that_is_lost_twice_in_a_row_is_replaced() {
    for size in 3..=MAX_REPLICAS {
        let member = ReplicaId(size as u64);
        let (first, second) = (ADDED, ReplicaId(101));
        let mut cluster = configured_cluster(size);
        cluster.lose(member);
        cluster.change(add_at(first, &address(member.0))).unwrap();
        cluster.lose(first);
        cluster.change(add_at(second, &address(member.0))).unwrap();
        let chosen = cluster.change(Change::LeaveJoint).unwrap().chosen;
        let set = &chosen.state.replicas;
        assert_eq!((set.current.len(), set.is_joint()), (size, false));
        assert!(set.current_replica(second).is_some() && set.current_replica(first).is_none());
    }
}

#[test]
fn messages_and_syncs_of_a_change_stay_constant_over_hundreds() {
    for size in [3, 9] {
        let mut cluster = configured_cluster(size);
        let mut costs = Vec::new();
        for version in 2..=501 {
            let before = cluster.cost();
            let change = configuration(version - 1, version, &version.to_string());
            assert_eq!(cluster.outcome(change), Some(ChangeOutcome::Applied));
            let after = cluster.cost();
            costs.push(Cost {
                messages: after.messages - before.messages,
                syncs: after.syncs - before.syncs,
            });
        }
        println!("set of {size}: {:?} a change", costs[499]);
        let expected = Cost {
            messages: 4 * size,
            syncs: 2 * size,
        };
        assert!(costs.iter().all(|cost| *cost == expected), "{costs:?}");
    }
}
