//! The replica set that a controller queries: a chosen one replaces one that may never have been
//! chosen.

mod builders;

use builders::{ValueBuilder, replica_set};
use mintlb_control::controller::register::register_cache::RegisterCache;
use mintlb_register::message::AcceptedValue;
use mintlb_register::replica_set::ReplicaSet;

fn accepted(counter: u64, set: ReplicaSet) -> AcceptedValue {
    ValueBuilder::new(counter, set).build()
}

#[test]
fn a_set_from_the_disk_yields_to_a_chosen_one() {
    for epoch in [2, 3] {
        let mut register_cache =
            RegisterCache::stored(Some(accepted(9, replica_set(3, &[1, 2, 3, 4]))));
        assert_eq!(
            register_cache.set(),
            Some(&replica_set(3, &[1, 2, 3, 4])),
            "some replicas have to be queried"
        );
        let chosen = replica_set(epoch, &[1, 2, 3]);
        assert_eq!(
            register_cache.record_chosen(&accepted(10, chosen.clone())),
            Some(0)
        );
        assert_eq!(register_cache.set(), Some(&chosen));
    }
}

#[test]
fn a_hinted_set_is_used_until_a_majority_replies() {
    let mut register_cache = RegisterCache::default();
    let chosen = accepted(10, replica_set(4, &[1, 2, 3]));
    register_cache.record_chosen(&chosen);
    register_cache.hint(replica_set(4, &[7, 8, 9]));
    assert_eq!(
        register_cache.set(),
        Some(&replica_set(4, &[1, 2, 3])),
        "of one epoch the chosen one"
    );
    register_cache.hint(replica_set(6, &[7, 8, 9]));
    assert_eq!(register_cache.set(), Some(&replica_set(6, &[7, 8, 9])));
    assert_eq!(
        register_cache.record_chosen(&chosen),
        None,
        "the same value again"
    );
    assert_eq!(register_cache.set(), Some(&replica_set(4, &[1, 2, 3])));
}

#[test]
fn an_older_value_never_replaces_a_newer_one() {
    let mut register_cache = RegisterCache::default();
    register_cache.record_chosen(&accepted(10, replica_set(4, &[1, 2, 3])));
    assert_eq!(
        register_cache.record_chosen(&accepted(9, replica_set(3, &[1, 2]))),
        None
    );
    assert_eq!(
        register_cache.chosen().map(|chosen| chosen.ballot.counter),
        Some(10)
    );
}
