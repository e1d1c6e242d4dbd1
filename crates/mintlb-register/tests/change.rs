//! One proposal before replicas that answer at once: each kind of change and its answers.

mod replicas;

use mintlb_common::placement::Placement;
use mintlb_register::acceptor::{Acceptor, AcceptorState, DurableWrite};
use mintlb_register::ballot::Ballot;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::message::{AcceptedValue, OutboundRequest, Reply};
use mintlb_register::quorum_read::{QuorumRead, ReadProgress};
use mintlb_register::replica_set::{Replica, ReplicaId};
use replicas::{Replicas, configuration, replica};
use std::sync::Arc;

#[test]
fn a_configuration_is_taken_on_the_current_version_alone() {
    let mut replicas = Replicas::settled(3);
    assert_eq!(
        replicas.answer(configuration(0, 4, "a")),
        Some(ChangeOutcome::Applied)
    );
    assert_eq!(
        replicas.answer(configuration(0, 5, "b")),
        Some(ChangeOutcome::StaleBase)
    );
    assert_eq!(
        replicas.answer(configuration(4, 4, "b")),
        Some(ChangeOutcome::VersionNotIncreased)
    );
    assert_eq!(
        replicas.answer(configuration(4, 7, "b")),
        Some(ChangeOutcome::Applied)
    );
    let newest = replicas.change(Change::Identity).unwrap().chosen.state;
    assert_eq!(
        (newest.configuration_version, &*newest.configuration),
        (7, b"b".as_slice())
    );
}

#[test]
fn a_repeated_call_is_answered_and_not_taken_again() {
    let mut replicas = Replicas::settled(3);
    replicas.answer(configuration(0, 4, "a"));
    assert_eq!(
        replicas.answer(configuration(0, 4, "a")),
        Some(ChangeOutcome::AlreadyApplied)
    );
    replicas.answer(configuration(4, 7, "b"));
    let late = replicas.change(configuration(0, 4, "a")).unwrap();
    assert_eq!(
        (late.change, late.chosen.state.configuration_version),
        (ChangeOutcome::AlreadyApplied, 7)
    );
    assert_eq!(
        replicas.answer(configuration(0, 4, "another")),
        Some(ChangeOutcome::StaleBase)
    );
}

#[test]
fn a_configuration_waits_for_enough_replicas() {
    for (size, answer) in [
        (1, ChangeOutcome::TooFewReplicas),
        (2, ChangeOutcome::TooFewReplicas),
        (3, ChangeOutcome::Applied),
    ] {
        let mut replicas = Replicas::settled(size);
        assert_eq!(
            replicas.answer(configuration(0, 1, "a")),
            Some(answer),
            "{size} replicas"
        );
    }
}

#[test]
fn where_there_will_never_be_enough_it_is_at_least_kept() {
    for (size, answer) in [
        (1, ChangeOutcome::TooFewReplicas),
        (2, ChangeOutcome::Applied),
        (3, ChangeOutcome::Applied),
    ] {
        let mut replicas = Replicas::settled(size);
        let Change::SetConfiguration {
            base,
            version,
            body,
            tolerated_failures,
            ..
        } = configuration(0, 1, "a")
        else {
            unreachable!()
        };
        let change = Change::SetConfiguration {
            base,
            version,
            body,
            tolerated_failures,
            durability_suffices: true,
        };
        assert_eq!(replicas.answer(change), Some(answer), "{size} replicas");
    }
}

#[test]
fn a_majority_is_needed() {
    let mut replicas = Replicas::settled(3);
    replicas.silent = vec![2];
    assert_eq!(
        replicas.answer(configuration(0, 1, "a")),
        Some(ChangeOutcome::Applied)
    );
    replicas.silent = vec![2, 3];
    assert_eq!(replicas.answer(configuration(1, 2, "b")), None);
    replicas.silent = vec![1];
    let newest = replicas.change(Change::Identity).unwrap().chosen.state;
    assert_eq!(
        newest.configuration_version, 1,
        "replica 2 has lain still, replica 3 knows"
    );
}

#[test]
fn a_value_that_one_replica_accepted_is_finished_by_the_next_proposal() {
    let mut replicas = Replicas::settled(3);
    let ballot = Ballot {
        counter: 5,
        proposer: 50,
    };
    let mut state = replicas.acceptors[0]
        .state()
        .accepted
        .clone()
        .unwrap()
        .state
        .as_ref()
        .clone();
    (
        state.revision,
        state.configuration_version,
        state.configuration,
    ) = (2, 3, b"unclear".to_vec());
    let vote = AcceptorState {
        promised: ballot,
        accepted: Some(AcceptedValue {
            ballot,
            state: Arc::new(state),
        }),
    };
    replicas.acceptors[0] = Acceptor::new(ReplicaId(1), vote);
    replicas.silent = vec![3];
    let outcome = replicas.change(configuration(0, 9, "late")).unwrap();
    assert_eq!(outcome.change, ChangeOutcome::StaleBase);
    assert_eq!(outcome.chosen.state.configuration_version, 3);
    replicas.silent = vec![1];
    assert_eq!(
        replicas
            .change(Change::Identity)
            .unwrap()
            .chosen
            .state
            .configuration_version,
        3
    );
}

#[test]
fn a_replica_joins_in_two_steps_and_counts_from_the_first() {
    let mut replicas = Replicas::settled(3);
    let join = Change::AddReplica {
        replica: replica(4),
        unresponsive: Vec::new(),
        max_replicas: 9,
    };
    let joint = replicas.change(join.clone()).unwrap().chosen.state;
    assert!(joint.replicas.is_joint());
    assert_eq!(
        (joint.replicas.previous.len(), joint.replicas.current.len()),
        (3, 4)
    );
    assert_eq!(
        replicas.answer(Change::LeaveJoint),
        Some(ChangeOutcome::Applied)
    );
    assert_eq!(
        replicas.answer(Change::LeaveJoint),
        Some(ChangeOutcome::AlreadyApplied)
    );
    assert_eq!(replicas.answer(join), Some(ChangeOutcome::AlreadyApplied));
    replicas.silent = vec![1, 2];
    assert_eq!(
        replicas.answer(Change::Identity),
        None,
        "two of four are no majority"
    );
}

#[test]
fn a_new_disk_takes_the_place_of_the_one_at_its_address() {
    let mut replicas = Replicas::settled(3);
    replicas.silent = vec![2];
    let replacement = Replica {
        id: ReplicaId(5),
        ..replica(2)
    };
    let join = Change::AddReplica {
        replica: replacement.clone(),
        unresponsive: Vec::new(),
        max_replicas: 9,
    };
    assert_eq!(replicas.answer(join), Some(ChangeOutcome::Applied));
    assert_eq!(
        replicas.answer(Change::LeaveJoint),
        Some(ChangeOutcome::Applied)
    );
    let set = replicas.rule();
    assert_eq!(set.current, [replica(1), replacement, replica(3)]);
}

#[test]
fn a_full_set_takes_a_newcomer_for_a_silent_replica_alone() {
    let mut replicas = Replicas::settled(3);
    let join = |silent| Change::AddReplica {
        replica: replica(6),
        unresponsive: silent,
        max_replicas: 3,
    };
    assert_eq!(
        replicas.answer(join(Vec::new())),
        Some(ChangeOutcome::SetFull)
    );
    replicas.silent = vec![3];
    assert_eq!(
        replicas.answer(join(vec![ReplicaId(3)])),
        Some(ChangeOutcome::Applied)
    );
    let members: Vec<ReplicaId> = replicas
        .rule()
        .current
        .iter()
        .map(|replica| replica.id)
        .collect();
    assert_eq!(members, [1, 2, 6].map(ReplicaId));
}

#[test]
fn a_set_with_room_grows_though_a_replica_is_silent() {
    let mut replicas = Replicas::settled(3);
    replicas.silent = vec![3];
    let join = Change::AddReplica {
        replica: replica(6),
        unresponsive: vec![ReplicaId(3)],
        max_replicas: 9,
    };
    assert_eq!(replicas.answer(join), Some(ChangeOutcome::Applied));
    assert_eq!(replicas.rule().current.len(), 4);
}

#[test]
fn a_silent_replica_leaves_only_a_set_that_is_larger_than_needed() {
    let mut replicas = Replicas::settled(4);
    replicas.silent = vec![4];
    let leave = |id| Change::RemoveReplica {
        id,
        min_replicas: 3,
    };
    assert_eq!(
        replicas.answer(leave(ReplicaId(4))),
        Some(ChangeOutcome::Applied)
    );
    assert_eq!(
        replicas.answer(Change::LeaveJoint),
        Some(ChangeOutcome::Applied)
    );
    assert_eq!(
        replicas.answer(leave(ReplicaId(4))),
        Some(ChangeOutcome::AlreadyApplied)
    );
    assert_eq!(
        replicas.answer(leave(ReplicaId(3))),
        Some(ChangeOutcome::TooFewReplicas)
    );
}

#[test]
fn a_proposer_with_an_old_set_finds_the_way_to_the_newest() {
    let mut replicas = Replicas::settled(3);
    let old = replicas.rule();
    for id in [5, 6] {
        let at = id - 4;
        let newcomer = Replica {
            id: ReplicaId(id),
            ..replica(at)
        };
        replicas.answer(Change::AddReplica {
            replica: newcomer,
            unresponsive: Vec::new(),
            max_replicas: 9,
        });
        replicas.answer(Change::LeaveJoint);
        replicas.silent.push(at);
    }
    replicas.answer(configuration(0, 2, "new"));
    let (mut reading, mut progress) = QuorumRead::start(old, None);
    let chosen = loop {
        match progress {
            ReadProgress::Chosen(chosen) => break chosen,
            ReadProgress::Inconclusive => panic!("the read is unclear"),
            ReadProgress::Send(messages) => {
                progress = ReadProgress::Inconclusive;
                for OutboundRequest { to, request } in messages {
                    let silent = replicas.silent.contains(&to.id.0);
                    let acceptor = replicas
                        .acceptors
                        .iter_mut()
                        .find(|acceptor| acceptor.id() == to.id);
                    let reply = acceptor
                        .filter(|_| !silent)
                        .map(|acceptor| acceptor.handle(request).reply);
                    progress = reading.handle_reply(to.id, reply);
                    if matches!(&progress, ReadProgress::Send(more) if !more.is_empty())
                        || matches!(progress, ReadProgress::Chosen(_))
                    {
                        break;
                    }
                }
            }
        }
    };
    assert_eq!(chosen.state.configuration_version, 2);
}

#[test]
fn a_placement_follows_the_one_before_it() {
    let mut replicas = Replicas::settled(3);
    let placement = |epoch| {
        Change::SetPlacement(Placement {
            epoch,
            ..Placement::default()
        })
    };
    assert_eq!(replicas.answer(placement(1)), Some(ChangeOutcome::Applied));
    assert_eq!(
        replicas.answer(placement(1)),
        Some(ChangeOutcome::AlreadyApplied)
    );
    assert_eq!(
        replicas.answer(placement(3)),
        Some(ChangeOutcome::StaleBase)
    );
    assert_eq!(replicas.answer(placement(2)), Some(ChangeOutcome::Applied));
}

#[test]
fn a_replica_answers_for_its_own_identity_alone() {
    let mut acceptor = Acceptor::new(ReplicaId(7), AcceptorState::default());
    let body = mintlb_register::message::RequestBody::Read { known: None };
    let answered = acceptor.handle(mintlb_register::message::Request {
        target: ReplicaId(2),
        body,
    });
    assert_eq!(
        (answered.durable_write, answered.reply),
        (
            DurableWrite::Nothing,
            Reply::WrongReplica { id: ReplicaId(7) }
        )
    );
}
