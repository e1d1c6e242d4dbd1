//! Changes of the configuration and of the placement: when they apply, and which outcome they have otherwise.

use crate::support::cluster::Cluster;
use crate::support::configuration;
use mintlb_common::placement::Placement;
use mintlb_register::ballot::Ballot;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::message::AcceptedValue;
use mintlb_register::state::ControlState;
use std::sync::Arc;

/// The same configuration, for a deployment that will never have enough replicas to go on after a loss.
fn where_durability_suffices(change: Change) -> Change {
    match change {
        Change::SetConfiguration {
            base,
            version,
            body,
            tolerance,
            ..
        } => Change::SetConfiguration {
            base,
            version,
            body,
            tolerance,
            durability_suffices: true,
        },
        other => other,
    }
}

#[test]
fn a_configuration_applies_to_the_current_version_only() {
    let mut cluster = Cluster::new(3);
    let outcomes = [
        (0, 4, "a", ChangeOutcome::Applied),
        (0, 5, "b", ChangeOutcome::StaleBase),
        (4, 4, "b", ChangeOutcome::VersionNotIncreased),
        (4, 7, "b", ChangeOutcome::Applied),
    ];
    for (base, version, text, outcome) in outcomes {
        assert_eq!(
            cluster.outcome(configuration(base, version, text)),
            Some(outcome),
            "version {version} on {base}"
        );
    }
    let newest = cluster.read();
    assert_eq!(
        (newest.configuration_version, &*newest.configuration),
        (7, b"b".as_slice())
    );
}

#[test]
fn a_repeated_configuration_is_acknowledged_and_not_applied_again() {
    let mut cluster = Cluster::new(3);
    cluster.outcome(configuration(0, 4, "a"));
    assert_eq!(
        cluster.outcome(configuration(0, 4, "a")),
        Some(ChangeOutcome::AlreadyApplied)
    );
    cluster.outcome(configuration(4, 7, "b"));
    let late = cluster.change(configuration(0, 4, "a")).unwrap();
    assert_eq!(
        (late.change, late.chosen.state.configuration_version),
        (ChangeOutcome::AlreadyApplied, 7)
    );
    assert_eq!(
        cluster.outcome(configuration(0, 4, "another")),
        Some(ChangeOutcome::StaleBase)
    );
}

#[test]
fn a_configuration_needs_enough_replicas_to_remain_available() {
    for (size, outcome) in [
        (1, ChangeOutcome::TooFewReplicas),
        (2, ChangeOutcome::TooFewReplicas),
        (3, ChangeOutcome::Applied),
    ] {
        let change = configuration(0, 1, "a");
        assert_eq!(
            Cluster::new(size).outcome(change),
            Some(outcome),
            "{size} replicas"
        );
    }
}

#[test]
fn where_durability_suffices_a_configuration_needs_enough_replicas_for_it() {
    for (size, outcome) in [
        (1, ChangeOutcome::TooFewReplicas),
        (2, ChangeOutcome::Applied),
        (3, ChangeOutcome::Applied),
    ] {
        let change = where_durability_suffices(configuration(0, 1, "a"));
        assert_eq!(
            Cluster::new(size).outcome(change),
            Some(outcome),
            "{size} replicas"
        );
    }
}

#[test]
fn a_change_needs_a_majority() {
    let mut cluster = Cluster::new(3);
    cluster.set_unreachable([2]);
    assert_eq!(
        cluster.outcome(configuration(0, 1, "a")),
        Some(ChangeOutcome::Applied)
    );
    cluster.set_unreachable([2, 3]);
    assert_eq!(cluster.outcome(configuration(1, 2, "b")), None);
    cluster.set_unreachable([1]);
    assert_eq!(
        cluster.read().configuration_version,
        1,
        "replica 2 was unreachable, replica 3 has it"
    );
}

#[test]
fn the_next_proposal_recovers_a_value_that_one_replica_has_accepted() {
    let mut cluster = Cluster::new(3);
    let partly_accepted = ControlState {
        revision: 2,
        configuration_version: 3,
        configuration: b"unclear".to_vec(),
        ..cluster.accepted(1).state.as_ref().clone()
    };
    let ballot = Ballot {
        counter: 5,
        proposer: 50,
    };
    cluster.force_accept(
        1,
        AcceptedValue {
            ballot,
            state: Arc::new(partly_accepted),
        },
    );
    cluster.set_unreachable([3]);
    let outcome = cluster.change(configuration(0, 9, "late")).unwrap();
    assert_eq!(outcome.change, ChangeOutcome::StaleBase);
    assert_eq!(outcome.chosen.state.configuration_version, 3);
    cluster.set_unreachable([1]);
    assert_eq!(cluster.read().configuration_version, 3);
}

#[test]
fn a_placement_has_the_epoch_after_the_current_one() {
    let mut cluster = Cluster::new(3);
    let outcomes = [
        (1, ChangeOutcome::Applied),
        (1, ChangeOutcome::AlreadyApplied),
        (3, ChangeOutcome::StaleBase),
        (2, ChangeOutcome::Applied),
    ];
    for (epoch, outcome) in outcomes {
        let placement = Placement {
            epoch,
            ..Placement::default()
        };
        assert_eq!(
            cluster.outcome(Change::SetPlacement(placement)),
            Some(outcome),
            "epoch {epoch}"
        );
    }
}
