//! Tests of the audit with constructed observations: each rule just kept and just violated.

use mintlb_testbed::audit::{Verdict, audit};
use mintlb_testbed::observations::{
    ListUpdate, Observations, ObservedAttempt, ObservedRequest, ServingInterval,
};
use mintlb_testbed::scenario::Scenario;

const SCENARIO: &str = r#"
title = "constructed"
seconds = 60.0
processes = 2
budgets = [{ name = "again", limits = "again", rate = 10.0, burst = 2.0, wanted = [[0.0, 1.0]] }]
zones = [{ name = "a", workers = 1 }, { name = "b", workers = 1, slots = 1 }]
types = [
    { name = "safe", effect = "rerunnable", promised_turnaround = 1.0, hard_limit = 2.0, runs = 0.1 },
    { name = "keyed", effect = "receipted", promised_turnaround = 1.0, hard_limit = 2.0, runs = 0.1, window = 5.0 },
    { name = "once", effect = "exclusive", promised_turnaround = 1.0, hard_limit = 2.0, runs = 0.1 },
]
demand = [{ type = "safe", rate = 1.0 }]
"#;

/// An attempt whose last byte arrived within the millisecond before `received_by`.
fn attempt(id: u64, worker: usize, received_by: f64) -> ObservedAttempt {
    let (started_at, rejected_at, ended_at) = (None, None, None);
    let (received_after, first_byte_at) = (received_by - 0.001, received_by - 0.001);
    ObservedAttempt {
        id,
        process: 0,
        worker,
        incarnation: 0,
        received_after,
        received_by,
        first_byte_at,
        run_time_s: 0.1,
        started_at,
        rejected_at,
        ended_at,
        succeeded: false,
    }
}

fn request(id: u64, project_type: usize, responses: &[(f64, u16)]) -> ObservedRequest {
    ObservedRequest {
        id,
        process: 0,
        project_type,
        sent_at: 1.0,
        responses: responses.to_vec(),
        broken_at: None,
    }
}

fn observations(requests: Vec<ObservedRequest>, attempts: Vec<ObservedAttempt>) -> Observations {
    let serving_intervals = vec![ServingInterval {
        process: 0,
        from: 0.0,
        to: None,
    }];
    Observations {
        requests,
        attempts,
        serving_intervals,
        ..Observations::default()
    }
}

/// One work unit allocated at time 0 and retried at the given times; the retries spend from the budget.
fn retries(times: &[f64]) -> Observations {
    let first = attempt(1, 0, 0.0);
    let later = times.iter().map(|at| attempt(1, 0, *at));
    observations(Vec::new(), [first].into_iter().chain(later).collect())
}

#[test]
fn each_rule_has_the_expected_verdict() {
    let none = Verdict::default;
    let update = |at, ready| ListUpdate {
        process: 0,
        worker: 0,
        at,
        ready,
    };
    let drained = |list_updates: Vec<ListUpdate>, received_by| Observations {
        list_updates,
        ..observations(Vec::new(), vec![attempt(1, 0, received_by)])
    };
    let cold = |n: usize| {
        let all = (0..n).map(|i| ObservedAttempt {
            incarnation: 1,
            ..attempt(i as u64, 1, 1.0 + i as f64 * 0.01)
        });
        Observations {
            cold_starts: vec![(1, 1, 0.5)],
            ..observations(Vec::new(), all.collect())
        }
    };
    // Both configuration files lower the rate from 10 to 2 per second, the second file one second after the first. The
    // change has settled 2.5 s later.
    let lowered = |from: f64| {
        let times: Vec<f64> = (0..20).map(|i| from + f64::from(i) * 0.1).collect();
        let budget_changes = vec![(1.0, 0, 0, 2.0, 1.0), (2.0, 1, 0, 2.0, 1.0)];
        Observations {
            budget_changes,
            ..retries(&times)
        }
    };
    let cases = [
        ("budget lowered in only one file", lowered(1.0), none()),
        ("budget lowered, not yet settled", lowered(2.5), none()),
        (
            "budget lowered and settled, spending unchanged",
            lowered(5.0),
            Verdict {
                over_budget: 19,
                ..none()
            },
        ),
        ("within the burst", retries(&[1.0, 1.001]), none()),
        (
            "above the burst",
            retries(&[1.0, 1.001, 1.002]),
            Verdict {
                over_budget: 1,
                ..none()
            },
        ),
        (
            "burst and rate used up",
            retries(&[1.0, 1.001, 1.102, 1.202]),
            none(),
        ),
        (
            "above burst and rate",
            retries(&[1.0, 1.0, 1.1, 1.15, 1.2]),
            Verdict {
                over_budget: 2,
                ..none()
            },
        ),
        (
            "answered",
            observations(vec![request(1, 0, &[(2.0, 200)])], vec![]),
            none(),
        ),
        (
            "no response",
            observations(vec![request(1, 0, &[])], vec![]),
            Verdict { lost: 1, ..none() },
        ),
        (
            "late response",
            observations(vec![request(1, 0, &[(3.4, 200)])], vec![]),
            Verdict { late: 1, ..none() },
        ),
        (
            "two responses",
            observations(vec![request(1, 0, &[(1.5, 200), (1.6, 0)])], vec![]),
            Verdict {
                answered_twice: 1,
                ..none()
            },
        ),
        (
            "non-idempotent, retried",
            observations(
                vec![request(1, 2, &[(2.0, 200)])],
                vec![attempt(1, 0, 1.1), attempt(1, 1, 1.3)],
            ),
            Verdict {
                doubled: 1,
                ..none()
            },
        ),
        (
            "non-idempotent, retried after a rejection",
            observations(
                vec![request(1, 2, &[(2.0, 200)])],
                vec![
                    ObservedAttempt {
                        rejected_at: Some(1.2),
                        ..attempt(1, 0, 1.1)
                    },
                    attempt(1, 1, 1.3),
                ],
            ),
            none(),
        ),
        (
            "non-idempotent, deferred after it may have run",
            observations(vec![request(1, 2, &[(2.0, 503)])], vec![attempt(1, 0, 1.1)]),
            Verdict {
                doubled: 1,
                ..none()
            },
        ),
        (
            "deduplicated, retried within its zone",
            observations(
                vec![request(1, 1, &[(2.0, 200)])],
                vec![attempt(1, 0, 1.1), attempt(1, 0, 1.3)],
            ),
            none(),
        ),
        (
            "deduplicated, retried in another zone",
            observations(
                vec![request(1, 1, &[(2.0, 200)])],
                vec![attempt(1, 0, 1.1), attempt(1, 1, 1.3)],
            ),
            Verdict {
                doubled: 1,
                ..none()
            },
        ),
        (
            "deduplicated, retried after its window",
            observations(
                vec![request(1, 1, &[(2.0, 200)])],
                vec![attempt(1, 0, 1.1), attempt(1, 0, 6.5)],
            ),
            Verdict {
                doubled: 1,
                ..none()
            },
        ),
        (
            "within the grace period",
            drained(vec![update(1.0, false)], 1.5),
            none(),
        ),
        (
            "after the grace period",
            drained(vec![update(1.0, false)], 1.6),
            Verdict {
                after_drain: 1,
                ..none()
            },
        ),
        (
            "serving again before the end of the grace period",
            drained(vec![update(1.0, false), update(1.55, true)], 1.6),
            none(),
        ),
        // A mean capacity of slightly above 0.3 of one slot, times the overload multiple of 3, over 3 s: 4 s of work.
        ("cold, within the limit", cold(38), none()),
        (
            "cold, above the limit",
            cold(50),
            Verdict {
                cold_overloads: 1,
                ..none()
            },
        ),
    ];
    let scenario = Scenario::parse(SCENARIO).unwrap();
    for (name, observed, expected) in cases {
        let (verdict, violations) = audit(&scenario, 0, &observed);
        let counts = |v: &Verdict| {
            (
                v.over_budget,
                v.lost,
                v.late,
                v.answered_twice,
                v.doubled,
                v.after_drain,
                v.cold_overloads,
            )
        };
        assert_eq!(counts(&verdict), counts(&expected), "{name}: {violations}");
        assert_eq!(
            verdict.holds(),
            counts(&expected) == counts(&none()),
            "{name}"
        );
        assert_eq!(
            violations.is_empty(),
            verdict.holds(),
            "{name}: {violations}"
        );
    }
}

/// On a busy machine, polls come late: attempts that may have been spread over the time between two polls are not a
/// certain violation of the budget.
#[test]
fn uncertain_violations_are_not_reported() {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    let over_budget = |received_after: f64| {
        let all = (0..5).map(|i| ObservedAttempt {
            received_after,
            ..attempt(1, 0, 2.0 + f64::from(i) * 1e-4)
        });
        audit(&scenario, 0, &observations(Vec::new(), all.collect()))
            .0
            .over_budget
    };
    assert_eq!([over_budget(1.7), over_budget(1.99)], [0, 2]);
}

#[test]
fn errors_in_scenarios_name_the_line_or_the_field() {
    let cases = [
        ("rate = 10.0, burst", "rate = 0.0, burst", "budgets[0]"),
        ("processes = 2", "processes = 41", "processes: 41"),
        ("seconds = 60.0", "seconds = \"60\"", "line 3: seconds"),
        ("type = \"safe\"", "type = \"sale\"", "demand[0].type"),
        (
            "rate = 1.0 }]",
            "rate = 1.0 }]\nfaults = [{ at = 1.0, do = \"kill\", who = [2] }]",
            "faults[0].who",
        ),
        (
            "rate = 1.0 }]",
            "rate = 1.0 }]\nfaults = [{ at = 1.0, do = \"kill\", whom = [1] }]",
            "whom",
        ),
        (
            "rate = 1.0 }]",
            "rate = 1.0 }]\nfaults = [{ at = 99.0, do = \"down\", zone = \"a\" }]",
            "faults[0].at",
        ),
        (
            "rate = 1.0 }]",
            "rate = 1.0 }]\nfaults = [{ at = 1.0, do = \"whole\", who = [0], budget = \"x\", rate = 1.0, burst = 1.0 }]",
            "faults[0]: expected an existing budget",
        ),
        (
            "wanted = [[0.0, 1.0]]",
            "wanted = [[1.0, 0.0]]",
            "budgets[0].wanted",
        ),
    ];
    for (valid, invalid, named) in cases {
        assert!(SCENARIO.contains(valid), "{valid}");
        let error = Scenario::parse(&SCENARIO.replace(valid, invalid)).unwrap_err();
        assert!(error.contains(named), "{invalid}: {error}");
    }
}
