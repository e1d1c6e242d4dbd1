//! Which set a controller goes by: one that may never have been chosen gives way to a chosen one.

use mintlb_control::controller::register::register_cache::RegisterCache;
use mintlb_register::ballot::Ballot;
use mintlb_register::message::AcceptedValue;
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use std::sync::Arc;

fn set(epoch: u64, ids: &[u64]) -> ReplicaSet {
    let replica = |id: &u64| {
        let address = format!("10.0.0.{id}:7661");
        Replica {
            id: ReplicaId(*id),
            address,
            node_name: format!("edge-{id}"),
            zone: "z".to_string(),
        }
    };
    ReplicaSet {
        epoch,
        previous: Vec::new(),
        current: ids.iter().map(replica).collect(),
    }
}

fn accepted(counter: u64, set: ReplicaSet) -> AcceptedValue {
    let state = ControlState {
        revision: counter,
        replicas: set,
        ..ControlState::default()
    };
    AcceptedValue {
        ballot: Ballot {
            counter,
            proposer: 1,
        },
        state: Arc::new(state),
    }
}

#[test]
fn a_set_from_the_disk_that_was_never_chosen_gives_way_to_a_chosen_one() {
    for epoch in [2, 3] {
        let mut register_cache = RegisterCache::stored(Some(accepted(9, set(3, &[1, 2, 3, 4]))));
        assert_eq!(
            register_cache.set(),
            Some(&set(3, &[1, 2, 3, 4])),
            "somebody has to be asked"
        );
        let chosen = set(epoch, &[1, 2, 3]);
        assert_eq!(
            register_cache.record_chosen(&accepted(10, chosen.clone())),
            Some(0)
        );
        assert_eq!(register_cache.set(), Some(&chosen));
    }
}

#[test]
fn a_set_heard_of_counts_until_a_majority_has_answered() {
    let mut register_cache = RegisterCache::default();
    let chosen = accepted(10, set(4, &[1, 2, 3]));
    register_cache.record_chosen(&chosen);
    register_cache.hint(set(4, &[7, 8, 9]));
    assert_eq!(
        register_cache.set(),
        Some(&set(4, &[1, 2, 3])),
        "of one epoch the chosen one"
    );
    register_cache.hint(set(6, &[7, 8, 9]));
    assert_eq!(register_cache.set(), Some(&set(6, &[7, 8, 9])));
    assert_eq!(
        register_cache.record_chosen(&chosen),
        None,
        "the same value again"
    );
    assert_eq!(register_cache.set(), Some(&set(4, &[1, 2, 3])));
}

#[test]
fn an_older_value_never_takes_the_place_of_a_newer_one() {
    let mut register_cache = RegisterCache::default();
    register_cache.record_chosen(&accepted(10, set(4, &[1, 2, 3])));
    assert_eq!(
        register_cache.record_chosen(&accepted(9, set(3, &[1, 2]))),
        None
    );
    assert_eq!(
        register_cache.chosen().map(|chosen| chosen.ballot.counter),
        Some(10)
    );
}
