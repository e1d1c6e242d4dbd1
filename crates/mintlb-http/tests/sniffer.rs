//! The sniffer's view of a client's bytes, before hyper reads them.

use mintlb_http::sniffer::{EvictionRank, Phase, RequestSniffer};
use std::time::Duration;

const HEAD_START: &str = "POST /x HTTP/1.1\r\nhost: x\r\n";

/// Whether the bytes of a request are faulty, and whether the connection may be kept open after the response.
#[test]
fn framing_faults_are_detected_for_any_read_size() {
    let five_bytes = "content-length: 5\r\n\r\n";
    let cases = [
        ("no body", format!("{HEAD_START}\r\n"), None, true),
        (
            "a body",
            format!("{HEAD_START}{five_bytes}hello"),
            None,
            true,
        ),
        (
            "an empty line first",
            format!("\r\n{HEAD_START}{five_bytes}hello"),
            None,
            true,
        ),
        (
            "part of a body",
            format!("{HEAD_START}{five_bytes}hel"),
            None,
            false,
        ),
        ("part of a head", HEAD_START.to_string(), None, false),
        (
            "a chunked body",
            format!("{HEAD_START}transfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
            None,
            false,
        ),
        (
            "both lengths",
            format!("{HEAD_START}transfer-encoding: chunked\r\n{five_bytes}0\r\n\r\n"),
            Some("both"),
            false,
        ),
        (
            "both, in the other order",
            format!("{HEAD_START}Content-Length: 5\r\nTransfer-Encoding: x\r\n\r\n"),
            Some("both"),
            false,
        ),
        (
            "another coding",
            format!("{HEAD_START}transfer-encoding: gzip, chunked\r\n\r\n"),
            Some("other than"),
            false,
        ),
        (
            "two lengths",
            format!("{HEAD_START}content-length: 5\r\n{five_bytes}hello"),
            Some("more than one"),
            false,
        ),
        (
            "more than the body",
            format!("{HEAD_START}{five_bytes}hello!"),
            Some("more than the body"),
            false,
        ),
        (
            "a second request at once",
            format!("{HEAD_START}\r\n{HEAD_START}\r\n"),
            Some("before the answer"),
            false,
        ),
        (
            "a negative length",
            format!("{HEAD_START}content-length: -5\r\n\r\nhello"),
            None,
            false,
        ),
        ("not HTTP", "hello\r\n\r\n".to_string(), None, false),
    ];
    for (case, bytes, fault, keep_alive) in cases {
        for read_size in [1, 7, bytes.len()] {
            let sniffer = RequestSniffer::default();
            bytes
                .as_bytes()
                .chunks(read_size)
                .for_each(|bytes| sniffer.observe(bytes));
            let reported = sniffer.fault();
            assert_eq!(
                reported.is_some(),
                fault.is_some(),
                "{case}, {read_size} bytes per read: {reported:?}"
            );
            assert!(
                reported.is_none_or(|reported| reported.contains(fault.unwrap())),
                "{case}: {reported:?}"
            );
            sniffer.request_accepted();
            assert_eq!(
                sniffer.request_answered(),
                keep_alive,
                "{case}, {read_size} bytes per read"
            );
        }
    }
}

/// The order in which connections are evicted for others.
#[test]
fn a_connection_with_a_request_in_flight_is_never_evicted() {
    let request_time = Duration::from_millis(20);
    let rank = |sniffer: &RequestSniffer| sniffer.eviction_rank(request_time).map(|(rank, _)| rank);
    let request = format!("{HEAD_START}\r\n");
    let sniffer = RequestSniffer::default();
    assert_eq!(
        rank(&sniffer),
        Some(EvictionRank::MaybeReceiving),
        "a request may be on its way"
    );
    std::thread::sleep(request_time);
    assert_eq!(
        rank(&sniffer),
        Some(EvictionRank::Stalled),
        "silent since the connection was accepted"
    );
    sniffer.observe(request.as_bytes());
    sniffer.request_accepted();
    assert_eq!(
        (rank(&sniffer), sniffer.phase()),
        (None, Phase::InFlight),
        "a request is in flight"
    );
    assert!(sniffer.request_answered());
    assert_eq!(
        rank(&sniffer),
        Some(EvictionRank::IdleAfterWork),
        "idle after work"
    );
    sniffer.observe(&request.as_bytes()[..9]);
    assert_eq!(
        rank(&sniffer),
        Some(EvictionRank::MaybeReceiving),
        "the next request is arriving"
    );
    let unused = RequestSniffer::default();
    unused.observe(request.as_bytes());
    assert!(
        !unused.request_answered(),
        "the connection must close after a request that was not accepted"
    );
    assert_eq!(
        rank(&unused),
        Some(EvictionRank::IdleUnused),
        "idle without work"
    );
    assert!(
        EvictionRank::Stalled < EvictionRank::IdleUnused
            && EvictionRank::IdleUnused < EvictionRank::MaybeReceiving
            && EvictionRank::MaybeReceiving < EvictionRank::IdleAfterWork
    );
}
