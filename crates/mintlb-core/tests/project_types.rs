//! Numbers of project types: never too few, and not many more than the active types need.

use arbtest::arbtest;
use mintlb_core::project_types::{MAX_NUMBERS_PER_TYPE, ProjectTypes};
use mintlb_scheduler::{Idempotency, ProjectType};
use rustc_hash::FxHashSet;
use std::collections::BTreeSet;

fn project_type(promised_turnaround: f64, idempotency: Idempotency) -> ProjectType {
    ProjectType {
        credit: 1.0,
        late_credit: 0.3,
        promised_turnaround,
        turnaround_stretch: 1.0,
        hard_limit: 10.0,
        idempotency,
        machine_kind: Some(1),
    }
}

fn named(name: &str, turnaround: f64, idempotency: Idempotency) -> (String, ProjectType) {
    (name.to_string(), project_type(turnaround, idempotency))
}

/// A work unit of each version stays in flight, as far as its number is not given up.
#[test]
fn any_series_of_changes_gets_numbers_while_work_of_all_versions_is_in_flight() {
    let mut types = ProjectTypes::new(Vec::new());
    let mut held: Vec<usize> = Vec::new();
    let mut most = 0;
    for version in 0..1000 {
        let next = [
            named("a", f64::from(version), Idempotency::Idempotent),
            named("b", 1.0, Idempotency::Idempotent),
        ];
        let in_use = held.iter().copied().collect();
        let changes = types.update(&next, &in_use);
        assert_eq!(changes.len(), 2);
        assert!(!held.contains(&changes[0].number), "version {version}");
        held.push(changes[0].number);
        let successors = types.successors();
        for number in &mut held {
            *number = successors.get(number).copied().unwrap_or(*number);
        }
        most = most.max(held.iter().max().copied().unwrap_or_default());
    }
    assert!(most <= 2 * MAX_NUMBERS_PER_TYPE + 2, "{most}");
}

#[test]
fn successors_are_of_the_same_kind_of_worker_and_idempotency() {
    let mut types = ProjectTypes::new(Vec::new());
    let once = Idempotency::NonIdempotent;
    types.update(&[named("a", 0.0, once)], &FxHashSet::default());
    let mut held = FxHashSet::from_iter([0]);
    for version in 1..=2 * MAX_NUMBERS_PER_TYPE as u32 {
        let next = [named("a", f64::from(version), Idempotency::Idempotent)];
        types.update(&next, &held);
        held.insert(types.active()[0].number);
    }
    let active = types.active()[0].number;
    let successors = types.successors();
    assert!(!successors.contains_key(&0), "it may run once");
    assert!(successors.values().all(|number| *number == active));
    assert!(!successors.is_empty());
    // The route moves to another kind of worker: none takes the number of what may go to the former one alone.
    let mut moved = named("a", 1.0, Idempotency::Idempotent);
    moved.1.machine_kind = Some(2);
    types.update(&[moved], &held);
    assert!(types.successors().is_empty());
}

/// No two types share a number, and none takes that of a work unit.
#[test]
fn numbers_are_unique_among_active_types_and_work_units() {
    arbtest(|u| {
        let mut types = ProjectTypes::new(Vec::new());
        let mut held: FxHashSet<usize> = FxHashSet::default();
        for _ in 0..u.int_in_range(1..=20)? {
            let mut next = Vec::new();
            for name in ["a", "b", "c"] {
                if u.arbitrary()? {
                    let turnaround = f64::from(u.int_in_range(0..=2)?);
                    next.push(named(name, turnaround, Idempotency::Idempotent));
                }
            }
            let before: Vec<usize> = types.active().iter().map(|named| named.number).collect();
            types.update(&next, &held);
            let mut numbers = BTreeSet::new();
            for named in types.active() {
                assert!(numbers.insert(named.number), "shared");
                let is_new = !before.contains(&named.number);
                assert!(!is_new || !held.contains(&named.number), "in use");
            }
            held.retain(|number| number % 3 != 0);
            held.extend(numbers);
        }
        Ok(())
    });
}
