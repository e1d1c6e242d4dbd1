//! The registry of workers: what is published of which calls, in any order.

use arbtest::arbtest;
use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_control::controller::workers::registry::{HeartbeatOutcome, Registry, newer_record};
use std::time::Duration;
use tokio::time::Instant;

const SILENCE: Duration = Duration::from_millis(4100);
const TICK: Duration = Duration::from_millis(200);

fn call(id: &str, sequence: u64, state: WorkerState) -> WorkerRecord {
    WorkerRecord {
        instance_id: id.to_string(),
        service: "s".to_string(),
        address: "10.128.0.9:8080".to_string(),
        zone: "z".to_string(),
        capacity_slots: 8,
        state,
        call_sequence: sequence,
        slow_start_until_ms: 0,
    }
}

fn in_service(sequence: u64) -> WorkerRecord {
    call("i-1", sequence, WorkerState::InService)
}

fn draining(sequence: u64) -> WorkerRecord {
    call("i-1", sequence, WorkerState::Draining)
}

/// Ticks often enough that no pause is seen.
fn pass(
    registry: &mut Registry,
    from: Instant,
    time: Duration,
    version: Option<u64>,
) -> Vec<WorkerRecord> {
    let mut silent = Vec::new();
    let mut passed = Duration::ZERO;
    while passed < time {
        passed += TICK;
        silent.extend(registry.tick(from + passed, true, |_| version));
    }
    silent
}

#[test]
fn only_what_changes_is_published() {
    let now = Instant::now();
    let mut registry = Registry::new(now, SILENCE);
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
fn a_drain_is_published_until_a_neighbour_has_confirmed_it() {
    let now = Instant::now();
    let mut registry = Registry::new(now, SILENCE);
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
fn a_late_call_changes_nothing() {
    let now = Instant::now();
    let mut registry = Registry::new(now, SILENCE);
    registry.heartbeat(now, draining(5), None);
    assert_eq!(
        registry.heartbeat(now, in_service(4), Some(&draining(5))),
        HeartbeatOutcome::Stale
    );
    let mut other = Registry::new(now, SILENCE);
    assert_eq!(
        other.heartbeat(now, in_service(4), Some(&draining(5))),
        HeartbeatOutcome::Stale
    );
}

#[test]
fn a_worker_that_has_ended_stays_so() {
    let now = Instant::now();
    let mut registry = Registry::new(now, SILENCE);
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
fn a_worker_that_comes_from_another_controller_is_published_anew() {
    let now = Instant::now();
    let mut registry = Registry::new(now, SILENCE);
    let heard = registry.heartbeat(now, in_service(7), Some(&in_service(2)));
    assert_eq!(heard, HeartbeatOutcome::Publish(in_service(7)));
    let silent_at_the_other = call("i-1", 6, WorkerState::Unresponsive);
    assert!(in_service(7).version() > silent_at_the_other.version());
}

#[test]
fn silence_is_told_once_with_the_last_call() {
    let now = Instant::now();
    let mut registry = Registry::new(now, SILENCE);
    registry.heartbeat(now, in_service(1), None);
    registry.heartbeat(now, in_service(4), Some(&in_service(1)));
    let version = Some(in_service(1).version());
    assert!(pass(&mut registry, now, SILENCE - TICK, version).is_empty());
    let silent = pass(&mut registry, now + SILENCE - TICK, TICK * 4, version);
    assert_eq!(silent, [call("i-1", 4, WorkerState::Unresponsive)]);
    assert!(registry.is_empty());
}

#[test]
fn a_worker_that_has_gone_to_another_controller_is_not_called_silent() {
    let now = Instant::now();
    let mut registry = Registry::new(now, SILENCE);
    registry.heartbeat(now, in_service(1), None);
    assert!(
        pass(
            &mut registry,
            now,
            SILENCE * 2,
            Some(in_service(3).version())
        )
        .is_empty()
    );
    assert!(registry.is_empty());
}

#[test]
fn after_a_pause_of_its_own_the_controller_calls_nobody_silent() {
    let now = Instant::now();
    let mut registry = Registry::new(now, SILENCE);
    let version = Some(in_service(1).version());
    registry.heartbeat(now, in_service(1), None);
    let woken = now + SILENCE * 3;
    assert!(registry.tick(woken, true, |_| version).is_empty());
    assert!(pass(&mut registry, woken, SILENCE - TICK, version).is_empty());
    assert_eq!(
        pass(&mut registry, woken + SILENCE - TICK, TICK * 2, version).len(),
        1
    );
}

#[test]
fn the_end_of_the_cold_time_is_no_news_when_it_hardly_moves() {
    let now = Instant::now();
    let mut registry = Registry::new(now, SILENCE);
    let cold = |sequence, slow_start_until_ms| WorkerRecord {
        slow_start_until_ms,
        ..in_service(sequence)
    };
    registry.heartbeat(now, cold(1, 10_000), None);
    assert_eq!(
        registry.heartbeat(now, cold(2, 10_300), Some(&cold(1, 10_000))),
        HeartbeatOutcome::Unchanged
    );
    assert_eq!(
        registry.heartbeat(now, cold(3, 0), Some(&cold(1, 10_000))),
        HeartbeatOutcome::Publish(cold(3, 0))
    );
}

#[test]
fn whatever_order_calls_come_in_the_newest_state_is_in_force() {
    arbtest(|u| {
        // The worker's calls, each sent to one of two controllers, arrive in a drawn order.
        let count = u.int_in_range(1..=6)?;
        let drains_at = u.int_in_range(1..=6)?;
        let mut calls: Vec<(WorkerRecord, usize)> = Vec::new();
        for sequence in 1..=count {
            let state = if sequence >= drains_at {
                WorkerState::Draining
            } else {
                WorkerState::InService
            };
            calls.push((call("i-1", sequence, state), u.int_in_range(0..=1)?));
        }
        let now = Instant::now();
        let mut controllers = [Registry::new(now, SILENCE), Registry::new(now, SILENCE)];
        let mut in_force: Option<WorkerRecord> = None;
        let mut highest = 0;
        while !calls.is_empty() {
            let (told, at) = calls.remove(u.choose_index(calls.len())?);
            highest = highest.max(told.call_sequence);
            if let HeartbeatOutcome::Publish(record) =
                controllers[at].heartbeat(now, told, in_force.as_ref())
                && in_force
                    .as_ref()
                    .is_none_or(|known| known.version() < record.version())
            {
                in_force = Some(record);
            }
        }
        let expected = if highest >= drains_at {
            WorkerState::Draining
        } else {
            WorkerState::InService
        };
        assert_eq!(in_force.map(|record| record.state), Some(expected));
        Ok(())
    });
}

#[test]
fn out_of_contact_nobody_is_silent_and_the_time_begins_anew_after_it() {
    let now = Instant::now();
    let mut registry = Registry::new(now, SILENCE);
    let version = Some(in_service(1).version());
    registry.heartbeat(now, in_service(1), None);
    let mut passed = Duration::ZERO;
    while passed < SILENCE * 5 {
        passed += TICK;
        assert!(registry.tick(now + passed, false, |_| version).is_empty());
    }
    let back = now + passed;
    assert!(pass(&mut registry, back, SILENCE - TICK, version).is_empty());
    assert_eq!(
        pass(&mut registry, back + SILENCE - TICK, TICK * 2, version).len(),
        1
    );
}

#[test]
fn a_worker_that_moved_during_the_cut_is_not_called_silent_after_it() {
    let now = Instant::now();
    let mut registry = Registry::new(now, SILENCE);
    registry.heartbeat(now, in_service(1), None);
    registry.heartbeat(now, in_service(4), Some(&in_service(1)));
    let back = now + SILENCE;
    (1..=10).for_each(|tick| {
        _ = registry.tick(now + TICK * tick, false, |_| Some(in_service(1).version()))
    });
    assert!(
        pass(
            &mut registry,
            back,
            SILENCE * 2,
            Some(in_service(5).version())
        )
        .is_empty()
    );
    assert!(registry.is_empty());
}

#[test]
fn a_drain_that_nobody_confirmed_is_published_again_for_the_same_call_and_for_a_late_one() {
    let now = Instant::now();
    let mut registry = Registry::new(now, SILENCE);
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
fn out_of_contact_only_what_is_new_and_later_is_told() {
    assert_eq!(newer_record(in_service(3), None), Some(in_service(3)));
    assert_eq!(
        newer_record(in_service(3), Some(&in_service(2))),
        None,
        "the same but for its number"
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
    let silent = call("i-1", 2, WorkerState::Unresponsive);
    assert_eq!(
        newer_record(in_service(2), Some(&silent)),
        None,
        "the call that was followed by silence"
    );
    assert_eq!(
        newer_record(in_service(3), Some(&silent)),
        Some(in_service(3))
    );
    assert_eq!(
        newer_record(
            in_service(9),
            Some(&call("i-1", 2, WorkerState::Deregistered))
        ),
        None,
        "it has ended"
    );
}
