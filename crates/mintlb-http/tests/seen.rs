//! What is made of a client's bytes before the library has them.

use mintlb_http::sniffer::{EvictionRank, Phase, RequestSniffer};
use std::time::Duration;

const HEAD: &str = "POST /x HTTP/1.1\r\nhost: x\r\n";

/// What of a request's bytes is faulty, and whether the connection may go on after its answer.
#[test]
fn heads_and_bodies_are_told_apart() {
    let long = "content-length: 5\r\n\r\n";
    let cases = [
        ("no body", format!("{HEAD}\r\n"), None, true),
        ("a body", format!("{HEAD}{long}hello"), None, true),
        (
            "an empty line first",
            format!("\r\n{HEAD}{long}hello"),
            None,
            true,
        ),
        ("part of a body", format!("{HEAD}{long}hel"), None, false),
        ("part of a head", HEAD.to_string(), None, false),
        (
            "a chunked body",
            format!("{HEAD}transfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
            None,
            false,
        ),
        (
            "both",
            format!("{HEAD}transfer-encoding: chunked\r\n{long}0\r\n\r\n"),
            Some("both"),
            false,
        ),
        (
            "both, turned round",
            format!("{HEAD}Content-Length: 5\r\nTransfer-Encoding: x\r\n\r\n"),
            Some("both"),
            false,
        ),
        (
            "another coding",
            format!("{HEAD}transfer-encoding: gzip, chunked\r\n\r\n"),
            Some("other than"),
            false,
        ),
        (
            "two lengths",
            format!("{HEAD}content-length: 5\r\n{long}hello"),
            Some("more than one"),
            false,
        ),
        (
            "more than the body",
            format!("{HEAD}{long}hello!"),
            Some("more than the body"),
            false,
        ),
        (
            "a second request at once",
            format!("{HEAD}\r\n{HEAD}\r\n"),
            Some("before the answer"),
            false,
        ),
        (
            "a negative length",
            format!("{HEAD}content-length: -5\r\n\r\nhello"),
            None,
            false,
        ),
        ("no HTTP", "hello\r\n\r\n".to_string(), None, false),
    ];
    for (shown, bytes, fault, goes_on) in cases {
        for piece in [1, 7, bytes.len()] {
            let sniffer = RequestSniffer::default();
            bytes
                .as_bytes()
                .chunks(piece)
                .for_each(|bytes| sniffer.observe(bytes));
            let told = sniffer.fault();
            assert_eq!(
                told.is_some(),
                fault.is_some(),
                "{shown}, {piece} at a time: {told:?}"
            );
            assert!(
                told.is_none_or(|told| told.contains(fault.unwrap())),
                "{shown}: {told:?}"
            );
            sniffer.request_accepted();
            assert_eq!(
                sniffer.request_answered(),
                goes_on,
                "{shown}, {piece} at a time"
            );
        }
    }
}

/// Who may be sent away for another, and in which order.
#[test]
fn who_waits_for_an_answer_is_never_sent_away() {
    let takes = Duration::from_millis(20);
    let missed = |sniffer: &RequestSniffer| sniffer.eviction_rank(takes).map(|(missed, _)| missed);
    let request = format!("{HEAD}\r\n");
    let sniffer = RequestSniffer::default();
    assert_eq!(
        missed(&sniffer),
        Some(EvictionRank::MaybeReceiving),
        "its request may be on its way"
    );
    std::thread::sleep(takes);
    assert_eq!(missed(&sniffer), Some(EvictionRank::Stalled), "silent");
    sniffer.observe(request.as_bytes());
    sniffer.request_accepted();
    assert_eq!(
        (missed(&sniffer), sniffer.phase()),
        (None, Phase::InFlight),
        "waits for an answer"
    );
    assert!(sniffer.request_answered());
    assert_eq!(
        missed(&sniffer),
        Some(EvictionRank::IdleAfterWork),
        "idle, but has had work done"
    );
    sniffer.observe(&request.as_bytes()[..9]);
    assert_eq!(
        missed(&sniffer),
        Some(EvictionRank::MaybeReceiving),
        "its next request comes"
    );
    let idle = RequestSniffer::default();
    idle.observe(request.as_bytes());
    assert!(
        !idle.request_answered(),
        "what was not taken ends its connection"
    );
    assert_eq!(
        missed(&idle),
        Some(EvictionRank::IdleUnused),
        "idle without any work"
    );
    assert!(
        EvictionRank::Stalled < EvictionRank::IdleUnused
            && EvictionRank::IdleUnused < EvictionRank::MaybeReceiving
            && EvictionRank::MaybeReceiving < EvictionRank::IdleAfterWork
    );
}
