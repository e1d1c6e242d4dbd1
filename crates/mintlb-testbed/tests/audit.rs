//! The audit against histories made by hand: each rule broken, and just not.

use mintlb_testbed::audit::{Verdict, audit};
use mintlb_testbed::scenario::Scenario;
use mintlb_testbed::seen::{Asked, Seen, Sent, Stretch, Told};

const SCENARIO: &str = r#"
title = "by hand"
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

/// An allocation whose last byte came at that moment, to a look's millisecond.
fn sent(id: u64, worker: usize, by: f64) -> Sent {
    let (began, returned, ended) = (None, None, None);
    let (after, first) = (by - 0.001, by - 0.001);
    Sent {
        id,
        process: 0,
        worker,
        life: 0,
        after,
        by,
        first,
        work: 0.1,
        began,
        returned,
        ended,
        done: false,
    }
}

fn asked(id: u64, of: usize, answers: &[(f64, u16)]) -> Asked {
    Asked {
        id,
        process: 0,
        of,
        at: 1.0,
        answers: answers.to_vec(),
        broken: None,
    }
}

fn seen(asked: Vec<Asked>, sent: Vec<Sent>) -> Seen {
    let stretches = vec![Stretch {
        process: 0,
        from: 0.0,
        to: None,
    }];
    Seen {
        asked,
        sent,
        stretches,
        ..Seen::default()
    }
}

/// Allocations of one work unit at these moments, all but the first of which spend.
fn again(moments: &[f64]) -> Seen {
    let first = sent(1, 0, 0.0);
    let later = moments.iter().map(|at| sent(1, 0, *at));
    seen(Vec::new(), [first].into_iter().chain(later).collect())
}

#[test]
fn each_rule() {
    let none = Verdict::default;
    let told = |at, ready| Told {
        process: 0,
        worker: 0,
        at,
        ready,
    };
    let drained = |told: Vec<Told>, by| Seen {
        told,
        ..seen(Vec::new(), vec![sent(1, 0, by)])
    };
    let cold = |n: usize| {
        let all = (0..n).map(|i| Sent {
            life: 1,
            ..sent(i as u64, 1, 1.0 + i as f64 * 0.01)
        });
        Seen {
            cold: vec![(1, 1, 0.5)],
            ..seen(Vec::new(), all.collect())
        }
    };
    // Both files lower the whole from 10 a second to 2, the second one a second after the first; 2.5 s later that holds.
    let lowered = |from: f64| {
        let moments: Vec<f64> = (0..20).map(|i| from + f64::from(i) * 0.1).collect();
        let wholes = vec![(1.0, 0, 0, 2.0, 1.0), (2.0, 1, 0, 2.0, 1.0)];
        Seen {
            wholes,
            ..again(&moments)
        }
    };
    let cases = [
        ("lowered, one file still the old one", lowered(1.0), none()),
        ("lowered, as long as that takes", lowered(2.5), none()),
        (
            "lowered, and spent as before",
            lowered(5.0),
            Verdict {
                over_budget: 19,
                ..none()
            },
        ),
        ("within a burst", again(&[1.0, 1.001]), none()),
        (
            "over it",
            again(&[1.0, 1.001, 1.002]),
            Verdict {
                over_budget: 1,
                ..none()
            },
        ),
        (
            "what the rate brings",
            again(&[1.0, 1.001, 1.102, 1.202]),
            none(),
        ),
        (
            "more than it brings",
            again(&[1.0, 1.0, 1.1, 1.15, 1.2]),
            Verdict {
                over_budget: 2,
                ..none()
            },
        ),
        (
            "answered",
            seen(vec![asked(1, 0, &[(2.0, 200)])], vec![]),
            none(),
        ),
        (
            "lost",
            seen(vec![asked(1, 0, &[])], vec![]),
            Verdict { lost: 1, ..none() },
        ),
        (
            "late",
            seen(vec![asked(1, 0, &[(3.4, 200)])], vec![]),
            Verdict { late: 1, ..none() },
        ),
        (
            "answered twice",
            seen(vec![asked(1, 0, &[(1.5, 200), (1.6, 0)])], vec![]),
            Verdict {
                answered_twice: 1,
                ..none()
            },
        ),
        (
            "exclusive, twice",
            seen(
                vec![asked(1, 2, &[(2.0, 200)])],
                vec![sent(1, 0, 1.1), sent(1, 1, 1.3)],
            ),
            Verdict {
                doubled: 1,
                ..none()
            },
        ),
        (
            "exclusive, the first one turned away",
            seen(
                vec![asked(1, 2, &[(2.0, 200)])],
                vec![
                    Sent {
                        returned: Some(1.2),
                        ..sent(1, 0, 1.1)
                    },
                    sent(1, 1, 1.3),
                ],
            ),
            none(),
        ),
        (
            "exclusive, deferred after it may have run",
            seen(vec![asked(1, 2, &[(2.0, 503)])], vec![sent(1, 0, 1.1)]),
            Verdict {
                doubled: 1,
                ..none()
            },
        ),
        (
            "receipted, within its zone",
            seen(
                vec![asked(1, 1, &[(2.0, 200)])],
                vec![sent(1, 0, 1.1), sent(1, 0, 1.3)],
            ),
            none(),
        ),
        (
            "receipted, in another",
            seen(
                vec![asked(1, 1, &[(2.0, 200)])],
                vec![sent(1, 0, 1.1), sent(1, 1, 1.3)],
            ),
            Verdict {
                doubled: 1,
                ..none()
            },
        ),
        (
            "receipted, after its window",
            seen(
                vec![asked(1, 1, &[(2.0, 200)])],
                vec![sent(1, 0, 1.1), sent(1, 0, 6.5)],
            ),
            Verdict {
                doubled: 1,
                ..none()
            },
        ),
        (
            "within the grace",
            drained(vec![told(1.0, false)], 1.5),
            none(),
        ),
        (
            "after it",
            drained(vec![told(1.0, false)], 1.6),
            Verdict {
                after_drain: 1,
                ..none()
            },
        ),
        (
            "back before",
            drained(vec![told(1.0, false), told(1.55, true)], 1.6),
            none(),
        ),
        // 0.3 of one slot and a little more, three times over, for three seconds: 4 s of work.
        ("cold, within", cold(38), none()),
        (
            "cold, over",
            cold(50),
            Verdict {
                cold_overloads: 1,
                ..none()
            },
        ),
    ];
    let scenario = Scenario::parse(SCENARIO).unwrap();
    for (name, seen, expected) in cases {
        let (verdict, story) = audit(&scenario, 0, &seen);
        let broken = |v: &Verdict| {
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
        assert_eq!(broken(&verdict), broken(&expected), "{name}: {story}");
        assert_eq!(
            verdict.holds(),
            broken(&expected) == broken(&none()),
            "{name}"
        );
        assert_eq!(story.is_empty(), verdict.holds(), "{name}: {story}");
    }
}

/// While the machine is busy a look comes late: what may have been spread over that time is no breach for certain.
#[test]
fn what_is_not_certain_is_no_breach() {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    let late = |after: f64| {
        let all = (0..5).map(|i| Sent {
            after,
            ..sent(1, 0, 2.0 + f64::from(i) * 1e-4)
        });
        audit(&scenario, 0, &seen(Vec::new(), all.collect()))
            .0
            .over_budget
    };
    assert_eq!([late(1.7), late(1.99)], [0, 2]);
}

/// What is written wrongly is named with its line, or its field.
#[test]
fn wrong_scenarios() {
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
            "faults[0]: a budget that there is",
        ),
        (
            "wanted = [[0.0, 1.0]]",
            "wanted = [[1.0, 0.0]]",
            "budgets[0].wanted",
        ),
    ];
    for (right, wrong, named) in cases {
        assert!(SCENARIO.contains(right), "{right}");
        let why = Scenario::parse(&SCENARIO.replace(right, wrong)).unwrap_err();
        assert!(why.contains(named), "{wrong}: {why}");
    }
}
