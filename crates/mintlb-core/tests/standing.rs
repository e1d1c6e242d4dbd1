//! The standing: words in any order, and what follows from them.

use mintlb_core::lifecycle::{CloseDelays, Lifecycle, LifecycleEvent};

/// Words, each at its time: `ready`, `leave`, `join`, `stop`, `succeeded` (stop, with a successor); `!` where it is an error.
fn after(words: &str) -> Lifecycle {
    let mut lifecycle = Lifecycle::new(CloseDelays {
        after_leave: 0.7,
        after_stop: 1.7,
    });
    for said in words.split_whitespace() {
        let (at, word) = said.split_once(':').unwrap();
        let (word, fails) = word
            .strip_suffix('!')
            .map_or((word, false), |word| (word, true));
        let word = match word {
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
        let heard = lifecycle.apply(at.parse().unwrap(), word);
        assert_eq!(heard.is_err(), fails, "{words}: {said}");
        assert!(
            heard.is_ok() || lifecycle == before,
            "{words}: {said} changed something"
        );
    }
    lifecycle
}

#[test]
fn words_in_any_order() {
    // Whether it is ready at time 10, what it shows, and from when on its answers end connections, and idle ones close.
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
        // Told to leave before it could serve, it says no from the first moment on.
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
        // A successor takes clients at once, but idle connections first get their time.
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
    for (words, ready, state_name, closes, closes_idle) in cases {
        let lifecycle = after(words);
        assert_eq!(lifecycle.is_ready(), ready, "{words}");
        assert_eq!(lifecycle.state_name(), state_name, "{words}");
        assert_eq!(
            lifecycle.draining_since().is_some(),
            closes.is_some(),
            "{words}"
        );
        let last = words
            .split_whitespace()
            .filter_map(|w| w.split_once(':')?.0.parse().ok())
            .fold(0.0, f64::max);
        for (what, from, says) in [
            (
                "answers",
                closes,
                Lifecycle::closes_after_answer as fn(&Lifecycle, f64) -> bool,
            ),
            ("idle ones", closes_idle, Lifecycle::closes_idle_connections),
        ] {
            let first = (0..200)
                .map(|tenth| tenth as f64 / 20.0)
                .find(|at| says(&lifecycle, at + 1e-9));
            let from: Option<f64> = from;
            let near = match (first, from) {
                (Some(first), Some(from)) => {
                    (first - from).abs() < 0.06 || first <= from && from <= last
                }
                (first, from) => first == from,
            };
            assert!(near, "{words}: {what} close from {first:?}, not {from:?}");
        }
    }
}
