//! The lifecycle: every order of events gives the expected state and closing times.

use mintlb_core::lifecycle::{CloseDelays, Lifecycle, LifecycleEvent};

/// Applies a script of `time:event` steps. Events: `ready`, `leave`, `join`, `stop`, and `succeeded` (a stop with a
/// successor); a trailing `!` expects an error that changes nothing.
fn lifecycle_after(script: &str) -> Lifecycle {
    let mut lifecycle = Lifecycle::new(CloseDelays {
        after_leave: 0.7,
        after_stop: 1.7,
    });
    for step in script.split_whitespace() {
        let (at, event) = step.split_once(':').unwrap();
        let (event, is_error) = event
            .strip_suffix('!')
            .map_or((event, false), |event| (event, true));
        let event = match event {
            "ready" => LifecycleEvent::Ready,
            "leave" => LifecycleEvent::Leave,
            "join" => LifecycleEvent::Join,
            "stop" => LifecycleEvent::Stop {
                has_successor: false,
            },
            "succeeded" => LifecycleEvent::Stop {
                has_successor: true,
            },
            other => panic!("{other}"),
        };
        let before = lifecycle;
        let applied = lifecycle.apply(at.parse().unwrap(), event);
        assert_eq!(applied.is_err(), is_error, "{script}: {step}");
        assert!(
            applied.is_ok() || lifecycle == before,
            "{script}: the rejected step {step} changed the state"
        );
    }
    lifecycle
}

#[test]
fn events_in_any_order_give_the_expected_state() {
    // The script, whether the process is ready at its end, the state's name, and from when on connections are closed
    // after an answer, and while idle.
    let cases = [
        ("", false, "starting", None, None),
        ("0:ready", true, "ready", None, None),
        ("0:ready 0:ready", true, "ready", None, None),
        ("0:ready 1:leave", false, "leaving", Some(1.7), Some(1.7)),
        (
            "0:ready 1:leave 2:leave",
            false,
            "leaving",
            Some(1.7),
            Some(1.7),
        ),
        ("0:ready 1:leave 2:join", true, "ready", None, None),
        (
            "0:ready 1:leave 2:join 3:leave",
            false,
            "leaving",
            Some(3.7),
            Some(3.7),
        ),
        ("0:ready 1:join", true, "ready", None, None),
        // A process that was told to leave before it could serve is never ready.
        ("0:leave 1:ready", false, "leaving", Some(0.7), Some(0.7)),
        ("0:leave 1:join", false, "starting", None, None),
        ("0:leave 1:join 2:ready", true, "ready", None, None),
        ("0:ready 1:stop", false, "stopping", Some(2.7), Some(2.7)),
        (
            "0:ready 1:stop 2:stop",
            false,
            "stopping",
            Some(2.7),
            Some(2.7),
        ),
        (
            "0:ready 1:stop 2:join!",
            false,
            "stopping",
            Some(2.7),
            Some(2.7),
        ),
        (
            "0:ready 1:leave 5:stop",
            false,
            "stopping",
            Some(1.7),
            Some(1.7),
        ),
        (
            "0:ready 1:leave 5:stop 6:join!",
            false,
            "stopping",
            Some(1.7),
            Some(1.7),
        ),
        (
            "0:ready 1:stop 5:leave",
            false,
            "stopping",
            Some(2.7),
            Some(2.7),
        ),
        ("0:stop 1:ready", false, "stopping", Some(1.7), Some(1.7)),
        // A successor takes the clients at once, but idle connections stay open for the delay.
        (
            "0:ready 1:succeeded",
            false,
            "stopping",
            Some(1.0),
            Some(2.7),
        ),
        (
            "0:ready 1:stop 2:succeeded",
            false,
            "stopping",
            Some(2.7),
            Some(2.7),
        ),
    ];
    for (script, ready, state_name, closes_after, closes_idle_after) in cases {
        let lifecycle = lifecycle_after(script);
        assert_eq!(lifecycle.is_ready(), ready, "{script}: ready");
        assert_eq!(lifecycle.state_name(), state_name, "{script}: state");
        assert_eq!(
            lifecycle.draining_since().is_some(),
            closes_after.is_some(),
            "{script}: draining"
        );
        let last_event_at = script
            .split_whitespace()
            .filter_map(|step| step.split_once(':')?.0.parse().ok())
            .fold(0.0, f64::max);
        for (connections, expected, closes_at) in [
            (
                "answered connections",
                closes_after,
                Lifecycle::closes_after_answer as fn(&Lifecycle, f64) -> bool,
            ),
            (
                "idle connections",
                closes_idle_after,
                Lifecycle::closes_idle_connections,
            ),
        ] {
            let first = (0..200)
                .map(|step| step as f64 / 20.0)
                .find(|time| closes_at(&lifecycle, time + 1e-9));
            let expected: Option<f64> = expected;
            let matches = match (first, expected) {
                (Some(first), Some(expected)) => {
                    (first - expected).abs() < 0.06
                        || first <= expected && expected <= last_event_at
                }
                (first, expected) => first == expected,
            };
            assert!(
                matches,
                "{script}: {connections} close from {first:?}, expected {expected:?}"
            );
        }
    }
}
