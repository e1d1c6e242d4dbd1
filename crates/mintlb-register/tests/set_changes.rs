//! Which second losses are borne at each step of each change of the set, by exhaustion: f = 1 and 2, sets of 2f + 1 to 9,
//! each least quorum that may hold the value, each choice of lost disks.

mod cluster;

use cluster::{Cluster, choices, replica};
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::replica_set::ReplicaId;

/// The largest set.
const MOST: usize = 9;

fn join(id: ReplicaId, address: u64) -> Change {
    Change::AddReplica {
        replica: replica(id, address),
        unresponsive: Vec::new(),
        max_replicas: MOST,
    }
}

/// The steps of one change of the set; the last member of the set of `size` is the one that is changed.
#[derive(Clone, Copy, Debug)]
enum Operation {
    /// Its disk is lost and it comes back at its address.
    Wipe,
    /// It is gone; another machine joins, then it is taken out.
    Replace,
    /// Another machine joins and has its time to catch up; then it leaves, and ends.
    PlannedReplace,
    /// It is cut off, and is taken out.
    Leave,
    /// It is cut off, and stays in the set.
    Cut,
}

/// One step: what is done, and how many further disks may be lost after it.
struct Step {
    change: Option<Change>,
    ends: Option<ReplicaId>,
    further: usize,
}

fn steps(operation: Operation, tolerated_failures: usize, size: usize) -> Vec<Step> {
    let (old, new) = (size as u64, 100);
    let leave = || Change::RemoveReplica {
        id: ReplicaId(old),
        min_replicas: 2 * tolerated_failures + 1,
    };
    let step = |change, further| Step {
        change: Some(change),
        ends: None,
        further,
    };
    let lost = |further| Step {
        change: None,
        ends: Some(ReplicaId(old)),
        further,
    };
    let (one_less, all) = (tolerated_failures - 1, tolerated_failures);
    match operation {
        Operation::Wipe => vec![
            lost(one_less),
            step(join(ReplicaId(new), old), one_less),
            step(Change::LeaveJoint, all),
        ],
        Operation::Replace => vec![
            lost(one_less),
            step(join(ReplicaId(new), 50), one_less),
            step(Change::LeaveJoint, one_less),
            step(leave(), one_less),
            step(Change::LeaveJoint, all),
        ],
        Operation::PlannedReplace => vec![
            step(join(ReplicaId(new), 50), one_less),
            step(Change::LeaveJoint, all),
            step(leave(), all),
            step(Change::LeaveJoint, all),
            lost(all),
        ],
        Operation::Leave => vec![
            lost(one_less),
            step(leave(), one_less),
            step(Change::LeaveJoint, one_less),
        ],
        Operation::Cut => vec![lost(one_less)],
    }
}

fn is_possible(operation: Operation, tolerated_failures: usize, size: usize) -> bool {
    match operation {
        Operation::Replace | Operation::PlannedReplace => size < MOST,
        Operation::Leave => size > 2 * tolerated_failures + 1,
        Operation::Wipe | Operation::Cut => true,
    }
}

/// Plays the steps up to `last`, each value held by one least quorum alone, then loses these disks; what was broken.
fn outcome(
    mut cluster: Cluster,
    steps: &[Step],
    lost: &[ReplicaId],
    spared: u64,
    tolerated_failures: usize,
) -> Result<(), String> {
    for step in steps {
        if let Some(ends) = step.ends {
            cluster.silence(ends);
        }
        if let Some(change) = &step.change {
            cluster
                .change_sparing(change.clone(), spared)
                .ok_or("the step itself is not taken")?;
        }
    }
    lost.iter().for_each(|id| cluster.lose(*id));
    let newest = cluster
        .change(Change::Identity)
        .ok_or("no majority is left")?
        .chosen
        .state;
    if newest.configuration_version != 1 {
        return Err(format!(
            "the configuration is {}",
            newest.configuration_version
        ));
    }
    for (place, id) in lost.iter().enumerate() {
        let address = cluster.address_of(*id);
        let change = join(ReplicaId(200 + place as u64), address);
        cluster
            .change(change)
            .ok_or("a lost disk's successor does not join")?;
    }
    cluster
        .change(Change::LeaveJoint)
        .ok_or("it does not settle")?;
    let change = Change::SetConfiguration {
        base: 1,
        version: 2,
        body: b"2".to_vec(),
        tolerated_failures,
        durability_suffices: false,
    };
    let after = cluster.change(change).ok_or("no change is taken")?;
    let set = &after.chosen.state.replicas;
    if after.change != ChangeOutcome::Applied
        || set.is_joint()
        || set.current.len() < 2 * tolerated_failures + 1
    {
        return Err(format!(
            "{:?} by {} replicas",
            after.change,
            set.current.len()
        ));
    }
    Ok(())
}

#[test]
fn every_second_loss_within_the_promise_is_borne_at_each_step() {
    let mut cases = 0;
    for tolerated_failures in 1..=2 {
        for size in 2 * tolerated_failures + 1..=MOST {
            for operation in [
                Operation::Wipe,
                Operation::Replace,
                Operation::PlannedReplace,
                Operation::Leave,
                Operation::Cut,
            ] {
                if !is_possible(operation, tolerated_failures, size) {
                    continue;
                }
                let steps = steps(operation, tolerated_failures, size);
                for last in 0..steps.len() {
                    let played = &steps[..=last];
                    let members: Vec<ReplicaId> = (1..=size as u64)
                        .map(ReplicaId)
                        .filter(|id| !played.iter().any(|step| step.ends == Some(*id)))
                        .collect();
                    for lost in choices(&members, played[last].further) {
                        for spared in 0..size as u64 {
                            cases += 1;
                            let cluster = Cluster::settled(size as u64);
                            let result =
                                outcome(cluster, played, &lost, spared, tolerated_failures);
                            let case = format!(
                                "f {tolerated_failures}, set of {size}, {operation:?}, step {last}, lost {lost:?}, spared {spared}"
                            );
                            assert_eq!(result, Ok(()), "{case}");
                        }
                    }
                }
            }
        }
    }
    println!("second losses: {cases} cases, all borne");
    assert!(cases > 6_000, "{cases}");
}

#[test]
fn a_member_that_ends_before_it_has_left_may_cost_the_majority() {
    // Why a controller that is told to stop leaves the set first.
    for tolerated_failures in 1..=2 {
        let size = 2 * tolerated_failures + 1;
        let joined = [
            Step {
                change: Some(join(ReplicaId(100), 50)),
                ends: None,
                further: 0,
            },
            Step {
                change: Some(Change::LeaveJoint),
                ends: Some(ReplicaId(size as u64)),
                further: 0,
            },
        ];
        let lost: Vec<ReplicaId> = (1..=tolerated_failures as u64).map(ReplicaId).collect();
        let result = outcome(
            Cluster::settled(size as u64),
            &joined,
            &lost,
            0,
            tolerated_failures,
        );
        assert_eq!(result, Err("no majority is left".to_string()));
    }
}

#[test]
fn whatever_change_comes_first_ends_a_change_of_the_set() {
    let after = [
        Change::SetConfiguration {
            base: 1,
            version: 2,
            body: b"2".to_vec(),
            tolerated_failures: 1,
            durability_suffices: false,
        },
        join(ReplicaId(101), 51),
        Change::RemoveReplica {
            id: ReplicaId(1),
            min_replicas: 3,
        },
    ];
    for change in after {
        let mut cluster = Cluster::settled(3);
        let joint = cluster
            .change(join(ReplicaId(100), 50))
            .unwrap()
            .chosen
            .state
            .replicas
            .clone();
        assert!(joint.is_joint());
        let outcome = cluster.change(change.clone()).unwrap();
        assert_eq!(outcome.change, ChangeOutcome::Applied, "{change:?}");
        let set = &outcome.chosen.state.replicas;
        // 1 joint, 2 settled; a further change of the set begins from there.
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
fn a_disk_lost_twice_in_a_row_joins_again() {
    for size in 3..=MOST {
        let mut cluster = Cluster::settled(size as u64);
        cluster.lose(ReplicaId(size as u64));
        cluster.change(join(ReplicaId(100), size as u64)).unwrap();
        cluster.lose(ReplicaId(100));
        cluster.change(join(ReplicaId(101), size as u64)).unwrap();
        let settled = cluster
            .change(Change::LeaveJoint)
            .unwrap()
            .chosen
            .state
            .replicas
            .clone();
        assert_eq!((settled.current.len(), settled.is_joint()), (size, false));
        assert!(
            settled.current_replica(ReplicaId(101)).is_some()
                && settled.current_replica(ReplicaId(100)).is_none()
        );
    }
}

#[test]
fn messages_and_syncs_of_a_change_stay_level_over_hundreds() {
    for size in [3, 9] {
        let mut cluster = Cluster::settled(size);
        let mut counted = Vec::new();
        for version in 2..=501 {
            let before = (cluster.messages, cluster.syncs);
            let body = version.to_string().into_bytes();
            let change = Change::SetConfiguration {
                base: version - 1,
                version,
                body,
                tolerated_failures: 1,
                durability_suffices: false,
            };
            assert_eq!(
                cluster.change(change).map(|outcome| outcome.change),
                Some(ChangeOutcome::Applied)
            );
            counted.push((cluster.messages - before.0, cluster.syncs - before.1));
        }
        println!(
            "set of {size}: {:?} messages and syncs a change",
            counted[499]
        );
        assert!(
            counted
                .iter()
                .all(|count| *count == (4 * size as usize, 2 * size as usize)),
            "{counted:?}"
        );
    }
}
