//! Counts of requests by route, and their log lines.

use mintlb_dispatcher::statistics::{
    PromptPlacement, RefusalReason, RequestCounters, RequestStart,
};

fn start(waited: f64, latency: f64) -> RequestStart {
    RequestStart {
        waited,
        latency,
        target_latency: 0.3,
        placement: None,
    }
}

#[test]
fn late_requests_are_counted_by_where_the_time_was_spent() {
    let counters = RequestCounters::default();
    for (waited, latency) in [(0.01, 0.2), (0.25, 0.4), (0.1, 0.4), (0.01, 0.31)] {
        counters.on_start("taps", start(waited, latency));
    }
    counters.on_late_pause("taps");
    assert_eq!(
        counters.take_lines(),
        [
            "route taps: 4 started, waited 92 ms on average and 250 ms at most; late: 1 waiting here, 2 at the \
             worker, 1 by a pause; long prompts: 0 at their preferred worker, 0 elsewhere"
        ]
    );
    assert!(
        counters.take_lines().is_empty(),
        "the counts were not reset"
    );
}

#[test]
fn route_without_a_target_has_no_late_requests() {
    let counters = RequestCounters::default();
    let start = RequestStart {
        target_latency: 0.0,
        ..start(1.0, 9.0)
    };
    counters.on_start("files", start);
    let lines = counters.take_lines();
    assert!(lines[0].contains("late: 0 waiting here, 0 at the worker"));
}

#[test]
fn long_prompts_and_refusals_are_counted_by_kind() {
    let counters = RequestCounters::default();
    for placement in [
        PromptPlacement::Preferred,
        PromptPlacement::Elsewhere,
        PromptPlacement::Preferred,
    ] {
        let placement = Some(placement);
        counters.on_start(
            "contracts",
            RequestStart {
                placement,
                ..start(0.0, 0.1)
            },
        );
    }
    counters.on_refusal(RefusalReason::Load);
    counters.on_refusal(RefusalReason::PreferredElsewhere);
    counters.on_refusal(RefusalReason::PreferredElsewhere);
    let lines = counters.take_lines();
    assert!(lines[0].ends_with("long prompts: 2 at their preferred worker, 1 elsewhere"));
    assert_eq!(
        lines[1],
        "permits refused: 1 by load, 2 by a preferred worker"
    );
}
