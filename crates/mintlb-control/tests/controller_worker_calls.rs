//! The workers' calls at a cluster of controllers, and calls to a controller that is partitioned or
//! paused.

mod builders;
mod controllers;

use axum::http::{Method, StatusCode};
use builders::{configuration_text, heartbeat_text};
use controllers::{Cluster, TEST_TIMEOUT};
use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_control::controller::contact::quorum_contact::CONTACT_LEASE;

/// Calls until the answer is this one.
fn retry_until(expected: StatusCode, call: impl Fn(u64) -> StatusCode) {
    let give_up = std::time::Instant::now() + TEST_TIMEOUT;
    let mut seen = Vec::new();
    for number in 0.. {
        let status = call(number);
        if status == expected {
            return;
        }
        seen.push(status);
        assert!(
            std::time::Instant::now() < give_up,
            "never {expected}, last {:?}",
            seen.last()
        );
    }
}

#[test]
fn an_acknowledged_drain_is_known_to_another_controller() {
    let cluster = Cluster::of_size(3);
    let put = |index, body: String| {
        cluster
            .call(index, Method::PUT, "/v1/instances/i-1", None, &body)
            .0
    };
    assert_eq!(put(0, heartbeat_text("in_service", 1)), StatusCode::OK);
    assert_eq!(put(0, heartbeat_text("draining", 2)), StatusCode::OK);
    cluster.wait_for_record(1, |record| {
        let worker = minicbor::decode::<WorkerRecord>(&record.body).ok();
        record.key == "worker/i-1"
            && worker.is_some_and(|worker| worker.state == WorkerState::Draining)
    });
    assert_eq!(
        put(1, heartbeat_text("in_service", 1)),
        StatusCode::OK,
        "late, and acknowledged all the same"
    );
    let state = |index: usize| {
        cluster
            .at(index)
            .workers
            .published_record("i-1")
            .map(|worker| worker.state)
    };
    assert_eq!(state(1), Some(WorkerState::Draining));
    let (status, text) = cluster.call(2, Method::DELETE, "/v1/instances/i-1", None, "");
    assert_eq!(
        (status, state(2)),
        (StatusCode::OK, Some(WorkerState::Deregistered)),
        "{text}"
    );
    assert_eq!(put(0, "{}".to_string()), StatusCode::BAD_REQUEST);
}

#[test]
fn the_retirement_of_an_unknown_store_is_rejected() {
    let cluster = Cluster::of_size(3);
    for method in [Method::POST, Method::GET] {
        let (status, text) = cluster.call(
            1,
            method,
            "/v1/retire/storage-9",
            None,
            r#"{"duration_s":10}"#,
        );
        assert_eq!(status, StatusCode::NOT_FOUND, "{text}");
    }
}

#[test]
fn a_partitioned_controller_acknowledges_nothing_and_recovers() {
    let mut cluster = Cluster::of_size(3);
    let heartbeat = |cluster: &Cluster, id: &str, state: &str, sequence: u64| {
        let body = heartbeat_text(state, sequence);
        cluster
            .call(2, Method::PUT, &format!("/v1/instances/{id}"), None, &body)
            .0
    };
    assert_eq!(heartbeat(&cluster, "i-1", "in_service", 1), StatusCode::OK);
    cluster.kill(0);
    cluster.kill(1);
    // Within the lease, but nobody is there who confirms it.
    assert_eq!(
        heartbeat(&cluster, "i-0", "draining", 1),
        StatusCode::SERVICE_UNAVAILABLE
    );
    retry_until(StatusCode::SERVICE_UNAVAILABLE, |number| {
        heartbeat(&cluster, "i-1", "in_service", 2 + number)
    });
    // From now on the lease is over, for good: nobody is there who could renew it.
    assert_eq!(
        heartbeat(&cluster, "i-2", "draining", 7),
        StatusCode::SERVICE_UNAVAILABLE
    );
    let call = |method, path| cluster.call(2, method, path, None, "");
    let refused = [
        (Method::DELETE, "/v1/instances/i-3"),
        (Method::GET, "/v1/configuration"),
        (Method::GET, "/v1/retire/storage-9"),
        (Method::POST, "/v1/retire/storage-9"),
    ];
    for (method, path) in refused {
        let (status, text) = call(method, path);
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(text.starts_with("M444"), "{path}: {text}");
    }
    let (status, text) = cluster.call(
        2,
        Method::PUT,
        "/v1/configuration",
        Some(0),
        &configuration_text(4),
    );
    assert_eq!(
        (status, text.starts_with("M444")),
        (StatusCode::SERVICE_UNAVAILABLE, true)
    );
    let state = |id: &str| {
        cluster
            .at(2)
            .workers
            .published_record(id)
            .map(|worker| worker.state)
    };
    assert_eq!(
        state("i-1"),
        Some(WorkerState::InService),
        "no worker is reported as unresponsive"
    );
    assert_eq!(
        state("i-2"),
        Some(WorkerState::Draining),
        "what workers say is text all the same"
    );
    assert_eq!(state("i-3"), Some(WorkerState::Deregistered));
    cluster.restart(0);
    retry_until(StatusCode::OK, |number| {
        heartbeat(&cluster, "i-2", "draining", 8 + number)
    });
    assert_eq!(
        cluster.configure(2, 0, &configuration_text(4)),
        StatusCode::OK
    );
}

#[test]
fn the_first_calls_after_a_pause_are_not_acknowledged() {
    let cluster = Cluster::of_size(3);
    let heartbeat = |index: usize, state: &str, sequence: u64| {
        cluster
            .call(
                index,
                Method::PUT,
                "/v1/instances/i-1",
                None,
                &heartbeat_text(state, sequence),
            )
            .0
    };
    retry_until(StatusCode::OK, |number| {
        heartbeat(2, "in_service", 1 + number)
    });
    let pause = cluster.pause(2);
    std::thread::scope(|scope| {
        let calls = [
            (Method::PUT, heartbeat_text("draining", 1_000_000)),
            (Method::DELETE, String::new()),
        ];
        let cluster = &cluster;
        let first = calls.map(|(method, body)| {
            scope.spawn(move || cluster.call(2, method, "/v1/instances/i-2", None, &body))
        });
        // The others go on until its lease is over.
        let started_at = std::time::Instant::now();
        retry_until(StatusCode::OK, |number| {
            match started_at.elapsed() > CONTACT_LEASE {
                true => StatusCode::OK,
                false => match heartbeat(0, "in_service", 1000 + number) {
                    StatusCode::OK => StatusCode::ACCEPTED,
                    status => status,
                },
            }
        });
        drop(pause);
        for call in first {
            let (status, text) = call.join().unwrap();
            assert_eq!(
                (status, &text[..4]),
                (StatusCode::SERVICE_UNAVAILABLE, "M444")
            );
        }
    });
    retry_until(StatusCode::OK, |number| {
        heartbeat(2, "draining", 2_000_000 + number)
    });
}

#[test]
fn a_process_without_a_replica_set_acknowledges_nothing() {
    let mut cluster = Cluster::of_size(3);
    (0..3).for_each(|index| cluster.kill(index));
    cluster.lose_disk(1);
    cluster.restart(1);
    let put = cluster.call(
        1,
        Method::PUT,
        "/v1/instances/i-1",
        None,
        &heartbeat_text("draining", 1),
    );
    assert_eq!(put.0, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        cluster
            .call(1, Method::GET, "/v1/configuration", None, "")
            .0,
        StatusCode::SERVICE_UNAVAILABLE
    );
}
