//! Batch jobs at a dispatcher: parsing of submissions, retry and resumption of items, and the queue of leased items.

use axum::http::StatusCode;
use mintlb_batch::client::{CommittedResult, Item, ItemResult, LeasedItem, LeasedJob};
use mintlb_batch::entry::{ItemState, JobTerms};
use mintlb_batch::messages::ItemFailures;
use mintlb_common::configuration::Configuration;
use mintlb_dispatcher::batch::progress::{AttemptOutcome, ItemProgress, NextStep};
use mintlb_dispatcher::batch::queue::ItemQueue;
use mintlb_dispatcher::batch::statistics::BatchCounters;
use mintlb_dispatcher::batch::{page, submission};
use std::time::Duration;

const CONFIGURATION: &str = r#"{"config_version":1,"route_list":[{"name":"notices","host_name":"a.example",
"path_prefix":"/p/","route_type":"batch","target_latency_ms":400,"completion_target_ms":10000,"max_attempts":3,
"retention_s":40,"max_queued_tokens":1000,"target_service":"llm"}],"service_list":[{"name":"llm"}]}"#;

fn items(requests: &str) -> Result<Vec<Item>, submission::SubmissionError> {
    let configuration = Configuration::parse(CONFIGURATION.as_bytes()).unwrap();
    submission::parse(
        format!("{{\"requests\":{requests}}}").as_bytes(),
        &configuration.route_list[0],
    )
}

#[test]
fn submission_is_parsed_unchanged() {
    let read = items(
        r#"[{"instance_id":"e5","path":"/p/3/91","headers":{"Mintlb-Model":"m"},"body":"q83vEg==","tokens":940}]"#,
    );
    let read = read.unwrap();
    assert_eq!(read[0].instance_id, "e5");
    assert_eq!(
        read[0].headers,
        [("Mintlb-Model".to_string(), "m".to_string())]
    );
    assert_eq!(&read[0].body[..], [0xab, 0xcd, 0xef, 0x12]);
    assert_eq!(read[0].tokens, 940);
}

#[test]
fn invalid_item_is_reported_by_position_and_field() {
    let wrong = [
        (
            r#"[{"instance_id":"a","path":"/p/1"},{"instance_id":"a","path":"/p/2"}]"#,
            "requests[1].instance_id",
        ),
        (r#"[{"instance_id":"a","path":"/q/1"}]"#, "requests[0].path"),
        (
            r#"[{"instance_id":"a","path":"/p/ 1"}]"#,
            "requests[0].path",
        ),
        (
            r#"[{"instance_id":"","path":"/p/1"}]"#,
            "requests[0].instance_id",
        ),
        (
            r#"[{"instance_id":"a","path":"/p/1","body":"%%"}]"#,
            "requests[0].body",
        ),
        (
            r#"[{"instance_id":"a","path":"/p/1","tokens":-1}]"#,
            "requests[0].tokens",
        ),
        (
            r#"[{"instance_id":"a","path":"/p/1","headers":{"A b":"x"}}]"#,
            "requests[0].headers",
        ),
        (
            r#"[{"instance_id":"a","path":"/p/1","headers":{"A":"x\r\nB: y"}}]"#,
            "requests[0].headers",
        ),
        (r#"[{"path":"/p/1"}]"#, "instance_id"),
        ("[]", "requests: 0 items"),
        (r#"[{"instance_id":"a""#, "can't be read"),
    ];
    for (requests, named) in wrong {
        let error = items(requests).unwrap_err().to_string();
        assert!(error.contains(named), "{requests}: {error}");
    }
    let many: Vec<String> = (0..201)
        .map(|i| format!(r#"{{"instance_id":"{i}","path":"/p/1"}}"#))
        .collect();
    assert!(
        items(&format!("[{}]", many.join(",")))
            .unwrap_err()
            .to_string()
            .contains("201 items")
    );
}

/// Submissions over the quota and those that no store could take are counted separately.
#[test]
fn submissions_are_counted_by_their_response() {
    let counters = BatchCounters::default();
    let responses = [202, 202, 429, 503, 503, 503, 409, 504];
    for (status, took_ms) in responses.into_iter().zip(1..) {
        let status = StatusCode::from_u16(status).unwrap();
        counters.on_submitted(status, Duration::from_millis(took_ms));
    }
    let counts = counters.take();
    let text = "submissions 2 accepted, 1 over the quota, 3 rejected, 1 invalid, 1 unclear, the \
                slowest 8 ms;";
    assert!(counts.to_string().starts_with(text), "{counts}");
    assert!(counters.take().is_empty(), "the counts were not reset");
}

/// Clients see these texts. serde puts the names of the types into them, so the types must keep their names.
#[test]
fn error_texts_of_malformed_submissions_are_unchanged() {
    let configuration = Configuration::parse(CONFIGURATION.as_bytes()).unwrap();
    let text = |json: &str| {
        submission::parse(json.as_bytes(), &configuration.route_list[0])
            .unwrap_err()
            .to_string()
    };
    assert_eq!(
        text("5"),
        "M411 the lot can't be read: invalid type: integer `5`, expected struct Lot at line 1 column 1"
    );
    assert_eq!(
        text("[]"),
        "M411 the lot can't be read: invalid length 0, expected struct Lot with 1 element at line 1 column 2"
    );
    assert_eq!(
        text("{}"),
        "M411 the lot can't be read: missing field `requests` at line 1 column 2"
    );
    assert_eq!(
        text(r#"{"requests":[5]}"#),
        "M411 the lot can't be read: invalid type: integer `5`, expected struct Request at line 1 column 14"
    );
}

#[test]
fn page_lists_results_as_json() {
    let result = CommittedResult {
        instance_id: "e5".into(),
        state: ItemState::Completed,
        text: "a\n\"b\"".into(),
    };
    let json: serde_json::Value =
        serde_json::from_slice(&page::to_json(40, 13, &[result])).unwrap();
    let expected = serde_json::json!({"total": 40, "next_page_token": 13,
        "results": [{"instance_id": "e5", "state": "completed", "text": "a\n\"b\""}]});
    assert_eq!(json, expected);
}

const TERMS: JobTerms = JobTerms {
    sent_at_ms: 1_000,
    completion_target_ms: 10_000,
    retention_ms: 40_000,
    max_attempts: 3,
};

#[test]
fn broken_attempt_resumes_after_its_last_event() {
    let mut progress = ItemProgress::default();
    progress.add_event(Some(1), b"one");
    progress.add_event(Some(2), b"two");
    assert!(matches!(
        progress.on_attempt_ended(&AttemptOutcome::Broken, &TERMS, 2_000),
        NextStep::Retry(_)
    ));
    assert_eq!(progress.last_event(), Some(2));
    progress.add_event(Some(2), b"two");
    progress.add_event(Some(3), b"three");
    let next = progress.on_attempt_ended(&AttemptOutcome::Completed, &TERMS, 3_000);
    assert_eq!(
        next,
        NextStep::Record(ItemResult::Completed("one\ntwo\nthree".into()))
    );
}

#[test]
fn only_failures_422_or_expiry_make_an_item_unrecoverable() {
    let unrecoverable = NextStep::Record(ItemResult::Unrecoverable);
    let mut progress = ItemProgress::default();
    for _ in 0..20 {
        assert!(matches!(
            progress.on_attempt_ended(&AttemptOutcome::NotRun, &TERMS, 2_000),
            NextStep::Retry(_)
        ));
        assert!(matches!(
            progress.on_attempt_ended(&AttemptOutcome::Broken, &TERMS, 2_000),
            NextStep::Retry(_)
        ));
    }
    assert!(matches!(
        progress.on_attempt_ended(&AttemptOutcome::Failed, &TERMS, 2_000),
        NextStep::Retry(_)
    ));
    assert!(matches!(
        progress.on_attempt_ended(&AttemptOutcome::Failed, &TERMS, 2_000),
        NextStep::Retry(_)
    ));
    assert_eq!(
        progress.on_attempt_ended(&AttemptOutcome::Failed, &TERMS, 2_000),
        unrecoverable
    );
    assert_eq!(
        ItemProgress::default().on_attempt_ended(&AttemptOutcome::Unprocessable, &TERMS, 2_000),
        unrecoverable
    );
    let almost = ItemProgress::default().on_attempt_ended(&AttemptOutcome::NotRun, &TERMS, 45_999);
    assert!(matches!(almost, NextStep::Retry(_)));
    assert_eq!(
        ItemProgress::default().on_attempt_ended(&AttemptOutcome::NotRun, &TERMS, 46_000),
        unrecoverable
    );
}

/// The clock of the dispatcher that accepted the job was 2 s behind; that of the one that runs the item is over 2 s ahead.
#[test]
fn clock_skew_within_tolerance_expires_no_item_early() {
    let clock_skew_ms = 4_500;
    let now = TERMS.sent_at_ms + TERMS.retention_ms - 1 + clock_skew_ms;
    let next = ItemProgress::default().on_attempt_ended(&AttemptOutcome::NotRun, &TERMS, now);
    assert!(
        matches!(next, NextStep::Retry(_)),
        "the item expired early with a clock skew of {clock_skew_ms} ms"
    );
}

#[test]
fn briefly_missing_route_fails_no_item() {
    let mut progress = ItemProgress::default();
    assert!(matches!(
        progress.on_attempt_ended(&AttemptOutcome::NoRoute, &TERMS, 2_000),
        NextStep::Retry(_)
    ));
    assert!(matches!(
        progress.on_attempt_ended(&AttemptOutcome::NotRun, &TERMS, 7_000),
        NextStep::Retry(_)
    ));
    assert!(matches!(
        progress.on_attempt_ended(&AttemptOutcome::NoRoute, &TERMS, 8_000),
        NextStep::Retry(_)
    ));
    assert!(matches!(
        progress.on_attempt_ended(&AttemptOutcome::NoRoute, &TERMS, 13_999),
        NextStep::Retry(_)
    ));
    assert_eq!(
        progress.on_attempt_ended(&AttemptOutcome::NoRoute, &TERMS, 14_000),
        NextStep::Record(ItemResult::Unrecoverable)
    );
}

fn leased(job: &str, index: u32, sent_at_ms: u64) -> LeasedItem {
    LeasedItem {
        host: "a.example".into(),
        route: "notices".into(),
        tenant: None,
        job_id: job.into(),
        terms: JobTerms {
            sent_at_ms,
            ..TERMS
        },
        index,
        item: Item::default(),
        failures: 0,
    }
}

#[test]
fn items_run_once_in_order_of_due_time() {
    let mut queue = ItemQueue::default();
    for item in [
        leased("late", 0, 9_000),
        leased("soon", 1, 2_000),
        leased("soon", 0, 2_000),
        leased("soon", 1, 2_000),
    ] {
        queue.add(item);
    }
    let order: Vec<(String, u32)> = std::iter::from_fn(|| queue.start(9))
        .map(|(_, item)| (item.job_id, item.index))
        .collect();
    assert_eq!(
        order,
        [("soon".into(), 1), ("soon".into(), 0), ("late".into(), 0)]
    );
}

#[test]
fn concurrency_is_limited_and_a_finished_item_frees_a_slot() {
    let mut queue = ItemQueue::default();
    (0..3).for_each(|index| queue.add(leased("lot", index, 0)));
    let (first, _) = queue.start(2).unwrap();
    queue.start(2).unwrap();
    assert!(queue.start(2).is_none());
    queue.finish(first);
    assert!(queue.start(2).is_some());
    assert_eq!((queue.waiting(), queue.running()), (0, 2));
}

#[test]
fn excess_queued_items_are_released_latest_due_first() {
    let mut queue = ItemQueue::default();
    for item in [
        leased("late", 0, 9_000),
        leased("late", 1, 9_000),
        leased("soon", 0, 2_000),
        leased("soon", 1, 2_000),
        leased("later", 0, 9_500),
    ] {
        queue.add(item);
    }
    let (running, _) = queue.start(1).unwrap();
    assert!(queue.take_excess(4).is_empty());
    let released: Vec<(String, Vec<u32>)> = queue
        .take_excess(1)
        .into_iter()
        .map(|job| (job.job_id, job.items))
        .collect();
    assert_eq!(
        released,
        [("late".into(), vec![1, 0]), ("later".into(), vec![0])]
    );
    assert_eq!((queue.waiting(), queue.running()), (1, 1));
    assert!(queue.is_leased(running));
    let renewed: Vec<String> = queue.leased().into_iter().map(|job| job.job_id).collect();
    assert_eq!(renewed, ["soon"], "released leases would be renewed");
    // A released item may be leased again.
    queue.add(leased("late", 0, 9_000));
    assert_eq!(queue.waiting(), 2);
}

#[test]
fn ended_job_is_neither_run_nor_renewed() {
    let mut queue = ItemQueue::default();
    (0..3).for_each(|index| queue.add(leased("ended", index, 0)));
    queue.add(leased("other", 0, 5_000));
    let (number, _) = queue.start(1).unwrap();
    let key = ("a.example".to_string(), "ended".to_string());
    assert_eq!(queue.end_job(key), [number]);
    assert!(!queue.is_leased(number));
    queue.finish(number);
    assert_eq!(queue.leased().len(), 1);
    assert_eq!(queue.start(9).unwrap().1.job_id, "other");
    assert!(queue.start(9).is_none());
}

#[test]
fn lease_received_after_its_job_ended_is_ignored() {
    let mut queue = ItemQueue::default();
    let host = "a.example".to_string();
    assert!(
        queue
            .end_job((host.clone(), "ended".to_string()))
            .is_empty()
    );
    // The store granted the lease before the end of the job; the response arrives after it.
    queue.add(leased("ended", 0, 0));
    queue.add(leased("other", 0, 0));
    let mut elsewhere = leased("ended", 0, 1);
    elsewhere.host = "b.example".to_string();
    queue.add(elsewhere);
    let next = |queue: &mut ItemQueue| queue.start(9).map(|(_, item)| (item.host, item.job_id));
    assert_eq!(next(&mut queue), Some((host, "other".to_string())));
    assert_eq!(
        next(&mut queue),
        Some(("b.example".to_string(), "ended".to_string())),
        "a job of another host"
    );
    assert_eq!(next(&mut queue), None);
    assert_eq!(
        queue.leased().len(),
        2,
        "the lease of the ended job would be renewed"
    );
}

#[test]
fn the_number_of_remembered_ended_jobs_is_bounded() {
    let mut queue = ItemQueue::default();
    for number in 0..5000 {
        queue.end_job(("a.example".to_string(), number.to_string()));
    }
    for job in ["0", "4999", "904"] {
        queue.add(leased(job, 0, 0));
    }
    let left: Vec<String> = std::iter::from_fn(|| queue.start(9))
        .map(|(_, item)| item.job_id)
        .collect();
    assert_eq!(
        left,
        ["0"],
        "only the newest 4096 ended jobs are remembered"
    );
}

#[test]
fn failed_attempts_carry_over_to_another_dispatcher() {
    let mut queue = ItemQueue::default();
    queue.add(leased("lot", 2, 0));
    let (number, _) = queue.start(1).unwrap();
    let mut progress = ItemProgress::default();
    assert!(matches!(
        progress.on_attempt_ended(&AttemptOutcome::Failed, &TERMS, 2_000),
        NextStep::Retry(_)
    ));
    assert!(matches!(
        progress.on_attempt_ended(&AttemptOutcome::Failed, &TERMS, 2_000),
        NextStep::Retry(_)
    ));
    let report = queue.record_failures(number, progress.failures()).unwrap();
    let failures = ItemFailures {
        item: 2,
        attempts: 2,
    };
    assert_eq!((report.items, report.failures), (vec![2], vec![failures]));
    assert_eq!(
        queue.leased()[0].failures,
        [failures],
        "each renewal reports the failures again"
    );
    queue.finish(number);
    assert!(queue.leased().is_empty());
    // The next dispatcher gets the count with the lease, so that the third failure is the last.
    let mut next = ItemProgress::after_failures(2);
    assert!(!next.has_exhausted_attempts(&TERMS));
    assert_eq!(
        next.on_attempt_ended(&AttemptOutcome::Failed, &TERMS, 2_000),
        NextStep::Record(ItemResult::Unrecoverable)
    );
    // After the third failure, or a 422, no dispatcher runs the item again, even if recording the result failed.
    assert!(ItemProgress::after_failures(next.failures()).has_exhausted_attempts(&TERMS));
    let mut unprocessable = ItemProgress::default();
    unprocessable.on_attempt_ended(&AttemptOutcome::Unprocessable, &TERMS, 2_000);
    assert!(ItemProgress::after_failures(unprocessable.failures()).has_exhausted_attempts(&TERMS));
}

/// Ids and items of jobs, sorted.
fn items_by_job(jobs: Vec<LeasedJob>) -> Vec<(String, Vec<u32>)> {
    let sorted = |mut job: LeasedJob| {
        job.items.sort_unstable();
        (job.job_id, job.items)
    };
    let mut jobs: Vec<_> = jobs.into_iter().map(sorted).collect();
    jobs.sort();
    jobs
}

#[test]
fn shutdown_keeps_only_items_whose_result_is_being_recorded() {
    let mut queue = ItemQueue::default();
    for (job, index) in [("a", 0), ("a", 1), ("a", 2), ("b", 0)] {
        queue.add(leased(job, index, 0));
    }
    let (recorded, item) = queue.start(2).unwrap();
    assert_eq!((item.job_id.as_str(), item.index), ("a", 0));
    let (running, _) = queue.start(2).unwrap();
    queue.begin_recording(recorded);
    assert!(queue.is_recording());
    let (released, stopped) = queue.drain();
    assert_eq!(
        items_by_job(released),
        [("a".to_string(), vec![1, 2]), ("b".to_string(), vec![0])]
    );
    assert_eq!(stopped, [running]);
    assert!(queue.is_leased(recorded) && !queue.is_leased(running));
    queue.finish(running);
    assert!(queue.is_recording(), "the process must not exit yet");
    queue.finish(recorded);
    assert!(!queue.is_recording());
    assert_eq!((queue.waiting(), queue.running()), (0, 0));
}
