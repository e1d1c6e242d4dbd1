//! The registry of workers: what is published of which calls, in any order.

mod builders;

use arbtest::arbtest;
use builders::worker;
use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_control::controller::workers::registry::{HeartbeatOutcome, Registry, newer_record};
use std::time::Duration;
use tokio::time::Instant;

const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(4100);
const TICK: Duration = Duration::from_millis(200);

fn in_service(sequence: u64) -> WorkerRecord {
    worker("i-1", sequence, WorkerState::InService)
}

fn draining(sequence: u64) -> WorkerRecord {
    worker("i-1", sequence, WorkerState::Draining)
}

/// Ticks often enough that no pause is detected.
fn pass(
    registry: &mut Registry,
    from: Instant,
    time: Duration,
    version: Option<u64>,
) -> Vec<WorkerRecord> {
    let mut unresponsive = Vec::new();
    let mut passed = Duration::ZERO;
    while passed < time {
        passed += TICK;
        unresponsive.extend(registry.tick(from + passed, true, |_| version));
    }
    unresponsive
}

#[test]
fn only_changes_are_published() {
    let now = Instant::now();
    let mut registry = Registry::new(now, HEARTBEAT_TIMEOUT);
    assert_eq!(
        registry.heartbeat(now, in_service(1), None),
        HeartbeatOutcome::Publish(in_service(1))
    );
    assert_eq!(
        registry.heartbeat(now, in_service(2), Some(&in_service(1))),
        HeartbeatOutcome::Unchanged
    );
    assert_eq!(
        registry.heartbeat(now, draining(3), Some(&in_service(1))),
        HeartbeatOutcome::Publish(draining(3))
    );
    let moved = WorkerRecord {
        address: "10.128.0.9:9090".to_string(),
        ..draining(4)
    };
    assert_eq!(
        registry.heartbeat(now, moved.clone(), Some(&draining(3))),
        HeartbeatOutcome::Publish(moved)
    );
}

#[test]
fn a_drain_is_republished_until_a_neighbor_confirms_it() {
    let now = Instant::now();
    let mut registry = Registry::new(now, HEARTBEAT_TIMEOUT);
    registry.heartbeat(now, draining(1), None);
    assert_eq!(
        registry.heartbeat(now, draining(2), Some(&draining(1))),
        HeartbeatOutcome::Publish(draining(2))
    );
    registry.confirmed(&draining(2));
    assert_eq!(
        registry.heartbeat(now, draining(3), Some(&draining(2))),
        HeartbeatOutcome::Unchanged
    );
}

#[test]
fn a_stale_call_changes_nothing() {
    let now = Instant::now();
    let mut registry = Registry::new(now, HEARTBEAT_TIMEOUT);
    registry.heartbeat(now, draining(5), None);
    assert_eq!(
        registry.heartbeat(now, in_service(4), Some(&draining(5))),
        HeartbeatOutcome::Stale
    );
    let mut other = Registry::new(now, HEARTBEAT_TIMEOUT);
    assert_eq!(
        other.heartbeat(now, in_service(4), Some(&draining(5))),
        HeartbeatOutcome::Stale
    );
}

#[test]
fn a_deregistered_worker_stays_deregistered() {
    let now = Instant::now();
    let mut registry = Registry::new(now, HEARTBEAT_TIMEOUT);
    registry.heartbeat(now, in_service(1), None);
    let gone = registry.leave("i-1", Some(in_service(1)));
    assert_eq!(
        (gone.state, gone.service.as_str()),
        (WorkerState::Deregistered, "s")
    );
    assert_eq!(
        registry.heartbeat(now, in_service(9), Some(&gone)),
        HeartbeatOutcome::Stale
    );
}

#[test]
fn a_worker_from_another_controller_is_published_anew() {
    let now = Instant::now();
    let mut registry = Registry::new(now, HEARTBEAT_TIMEOUT);
    let outcome = registry.heartbeat(now, in_service(7), Some(&in_service(2)));
    assert_eq!(outcome, HeartbeatOutcome::Publish(in_service(7)));
    let unresponsive_at_the_other = worker("i-1", 6, WorkerState::Unresponsive);
    assert!(in_service(7).version() > unresponsive_at_the_other.version());
}

#[test]
fn an_unresponsive_worker_is_published_once_with_its_last_call() {
    let now = Instant::now();
    let mut registry = Registry::new(now, HEARTBEAT_TIMEOUT);
    registry.heartbeat(now, in_service(1), None);
    registry.heartbeat(now, in_service(4), Some(&in_service(1)));
    let version = Some(in_service(1).version());
    assert!(pass(&mut registry, now, HEARTBEAT_TIMEOUT - TICK, version).is_empty());
    let unresponsive = pass(
        &mut registry,
        now + HEARTBEAT_TIMEOUT - TICK,
        TICK * 4,
        version,
    );
    assert_eq!(unresponsive, [worker("i-1", 4, WorkerState::Unresponsive)]);
    assert!(registry.is_empty());
}

#[test]
fn a_worker_taken_over_by_another_controller_is_not_published_as_unresponsive() {
    let now = Instant::now();
    let mut registry = Registry::new(now, HEARTBEAT_TIMEOUT);
    registry.heartbeat(now, in_service(1), None);
    assert!(
        pass(
            &mut registry,
            now,
            HEARTBEAT_TIMEOUT * 2,
            Some(in_service(3).version())
        )
        .is_empty()
    );
    assert!(registry.is_empty());
}

#[test]
fn after_a_pause_of_the_controller_no_worker_is_unresponsive() {
    let now = Instant::now();
    let mut registry = Registry::new(now, HEARTBEAT_TIMEOUT);
    let version = Some(in_service(1).version());
    registry.heartbeat(now, in_service(1), None);
    let resumed_at = now + HEARTBEAT_TIMEOUT * 3;
    assert!(registry.tick(resumed_at, true, |_| version).is_empty());
    assert!(pass(&mut registry, resumed_at, HEARTBEAT_TIMEOUT - TICK, version).is_empty());
    assert_eq!(
        pass(
            &mut registry,
            resumed_at + HEARTBEAT_TIMEOUT - TICK,
            TICK * 2,
            version
        )
        .len(),
        1
    );
}

#[test]
fn a_small_change_of_the_slow_start_is_not_published() {
    let now = Instant::now();
    let mut registry = Registry::new(now, HEARTBEAT_TIMEOUT);
    let slow_start = |sequence, slow_start_until_ms| WorkerRecord {
        slow_start_until_ms,
        ..in_service(sequence)
    };
    registry.heartbeat(now, slow_start(1, 10_000), None);
    assert_eq!(
        registry.heartbeat(now, slow_start(2, 10_300), Some(&slow_start(1, 10_000))),
        HeartbeatOutcome::Unchanged
    );
    assert_eq!(
        registry.heartbeat(now, slow_start(3, 0), Some(&slow_start(1, 10_000))),
        HeartbeatOutcome::Publish(slow_start(3, 0))
    );
}

#[test]
fn calls_in_any_order_end_with_the_newest_state() {
    arbtest(|u| {
        // The worker's calls, each sent to one of two controllers, arrive in a random order.
        let count = u.int_in_range(1..=6)?;
        let draining_from = u.int_in_range(1..=6)?;
        let mut calls: Vec<(WorkerRecord, usize)> = Vec::new();
        for sequence in 1..=count {
            let state = if sequence >= draining_from {
                WorkerState::Draining
            } else {
                WorkerState::InService
            };
            calls.push((worker("i-1", sequence, state), u.int_in_range(0..=1)?));
        }
        let now = Instant::now();
        let mut controllers = [
            Registry::new(now, HEARTBEAT_TIMEOUT),
            Registry::new(now, HEARTBEAT_TIMEOUT),
        ];
        let mut current: Option<WorkerRecord> = None;
        let mut highest = 0;
        while !calls.is_empty() {
            let (reported, at) = calls.remove(u.choose_index(calls.len())?);
            highest = highest.max(reported.call_sequence);
            if let HeartbeatOutcome::Publish(record) =
                controllers[at].heartbeat(now, reported, current.as_ref())
                && current
                    .as_ref()
                    .is_none_or(|known| known.version() < record.version())
            {
                current = Some(record);
            }
        }
        let expected = if highest >= draining_from {
            WorkerState::Draining
        } else {
            WorkerState::InService
        };
        assert_eq!(current.map(|record| record.state), Some(expected));
        Ok(())
    });
}

#[test]
fn out_of_contact_no_worker_times_out_and_the_timeout_restarts_after_it() {
    let now = Instant::now();
    let mut registry = Registry::new(now, HEARTBEAT_TIMEOUT);
    let version = Some(in_service(1).version());
    registry.heartbeat(now, in_service(1), None);
    let mut passed = Duration::ZERO;
    while passed < HEARTBEAT_TIMEOUT * 5 {
        passed += TICK;
        assert!(registry.tick(now + passed, false, |_| version).is_empty());
    }
    let back = now + passed;
    assert!(pass(&mut registry, back, HEARTBEAT_TIMEOUT - TICK, version).is_empty());
    assert_eq!(
        pass(
            &mut registry,
            back + HEARTBEAT_TIMEOUT - TICK,
            TICK * 2,
            version
        )
        .len(),
        1
    );
}

#[test]
fn a_worker_that_moved_during_a_partition_is_not_unresponsive_after_it() {
    let now = Instant::now();
    let mut registry = Registry::new(now, HEARTBEAT_TIMEOUT);
    registry.heartbeat(now, in_service(1), None);
    registry.heartbeat(now, in_service(4), Some(&in_service(1)));
    let back = now + HEARTBEAT_TIMEOUT;
    (1..=10).for_each(|tick| {
        _ = registry.tick(now + TICK * tick, false, |_| Some(in_service(1).version()))
    });
    assert!(
        pass(
            &mut registry,
            back,
            HEARTBEAT_TIMEOUT * 2,
            Some(in_service(5).version())
        )
        .is_empty()
    );
    assert!(registry.is_empty());
}

#[test]
fn an_unconfirmed_drain_is_republished_for_repeated_and_stale_calls() {
    let now = Instant::now();
    let mut registry = Registry::new(now, HEARTBEAT_TIMEOUT);
    registry.heartbeat(now, in_service(1), None);
    registry.heartbeat(now, draining(3), Some(&in_service(1)));
    assert_eq!(
        registry.heartbeat(now, draining(3), Some(&draining(3))),
        HeartbeatOutcome::Publish(draining(3))
    );
    assert_eq!(
        registry.heartbeat(now, draining(2), Some(&draining(3))),
        HeartbeatOutcome::Publish(draining(3))
    );
    assert_eq!(
        registry.heartbeat(now, in_service(2), Some(&draining(3))),
        HeartbeatOutcome::Stale
    );
    registry.confirmed(&draining(3));
    assert_eq!(
        registry.heartbeat(now, draining(3), Some(&draining(3))),
        HeartbeatOutcome::Stale
    );
}

#[test]
fn out_of_contact_only_newer_changes_are_published() {
    assert_eq!(newer_record(in_service(3), None), Some(in_service(3)));
    assert_eq!(
        newer_record(in_service(3), Some(&in_service(2))),
        None,
        "the same but for the call sequence"
    );
    assert_eq!(
        newer_record(draining(3), Some(&in_service(2))),
        Some(draining(3))
    );
    assert_eq!(
        newer_record(in_service(2), Some(&draining(3))),
        None,
        "late"
    );
    let unresponsive = worker("i-1", 2, WorkerState::Unresponsive);
    assert_eq!(
        newer_record(in_service(2), Some(&unresponsive)),
        None,
        "the call after which it became unresponsive"
    );
    assert_eq!(
        newer_record(in_service(3), Some(&unresponsive)),
        Some(in_service(3))
    );
    assert_eq!(
        newer_record(
            in_service(9),
            Some(&worker("i-1", 2, WorkerState::Deregistered))
        ),
        None,
        "it has ended"
    );
}
