//! Invalid input ends its connection, is counted by reason and sender, and affects nothing else.

mod support;

use bytes::Bytes;
use mintlb_common::transport::rejections::{OTHER_SENDERS, RejectionCounts};
use mintlb_common::transport::{CallError, Channel, MAX_MESSAGE_BYTES, Rejection, Transport};
use std::net::SocketAddr;
use support::{
    Dialer, NOTIFICATION, REQUEST, RESPONSE, RawPeer, STEP_TIMEOUT, bind_listener, next_event,
    notification, start_process,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const UNKNOWN_KINDS: [u8; 2] = [3, 255];

/// The number of counters that [`RejectionCounts`] holds.
const COUNTER_CAPACITY: u64 = 256;

/// The header of a frame.
fn header(body_bytes: u32, kind: u8) -> Vec<u8> {
    let mut header = body_bytes.to_be_bytes().to_vec();
    header.extend([Channel::Batch as u8, kind]);
    header.extend(7_u64.to_be_bytes());
    header
}

/// Input from this sender was rejected once, for this reason and no other.
#[track_caller]
fn assert_only_rejection(process: &Transport, rejection: Rejection, sender: SocketAddr) {
    let reasons = [
        Rejection::InvalidHandshake,
        Rejection::Malformed,
        Rejection::WrongIncarnation,
        Rejection::StaleIncarnation,
        Rejection::UnexpectedFrame,
    ];
    for reason in reasons {
        let expected = u64::from(reason == rejection);
        assert_eq!(
            process.rejection_count(reason, sender),
            expected,
            "{reason}"
        );
    }
}

#[tokio::test]
async fn malformed_frames_affect_no_other_connection() {
    let (process, mut events) = start_process().await;
    let (_good_listener, good) = bind_listener().await;
    let (_bad_listener, bad) = bind_listener().await;
    let (mut connection, _) = Dialer::at(good).dial(process.local_address()).await;
    let malformed = [
        header(MAX_MESSAGE_BYTES as u32 + 1, NOTIFICATION),
        header(u32::MAX, REQUEST),
        header(0, UNKNOWN_KINDS[0]),
        header(0, UNKNOWN_KINDS[1]),
    ];
    for (count, bytes) in (1..).zip(malformed) {
        let (mut offender, _) = Dialer::at(bad).dial(process.local_address()).await;
        offender.0.write_all(&bytes).await.unwrap();
        offender.expect_closed().await;
        assert_eq!(process.rejection_count(Rejection::Malformed, bad), count);
        connection.write(NOTIFICATION, 0, "good").await;
        assert_eq!(next_event(&mut events).await, notification(good, "good"));
    }
    assert_eq!(process.rejection_count(Rejection::Malformed, good), 0);
}

#[tokio::test]
async fn messages_for_another_incarnation_are_counted() {
    let (process, _events) = start_process().await;
    let (_listener, peer) = bind_listener().await;
    let other = process.incarnation().number() ^ 1;
    let dialer = Dialer::at(peer).with_incarnation(2).expecting(other);
    let (connection, _) = dialer.dial(process.local_address()).await;
    connection.expect_closed().await;
    assert_only_rejection(&process, Rejection::WrongIncarnation, peer);
}

#[tokio::test]
async fn a_response_without_a_request_is_counted() {
    let (process, _events) = start_process().await;
    let (_listener, peer) = bind_listener().await;
    let own = process.incarnation().number();
    let dialer = Dialer::at(peer).with_incarnation(2).expecting(own);
    let (mut connection, _) = dialer.dial(process.local_address()).await;
    connection.write(RESPONSE, 1, "without a request").await;
    connection.expect_closed().await;
    assert_only_rejection(&process, Rejection::UnexpectedFrame, peer);
}

#[tokio::test]
async fn a_stale_incarnation_is_counted() {
    let (process, _events) = start_process().await;
    let (listener, peer) = bind_listener().await;
    let own = process.incarnation().number();
    let dialer = Dialer::at(peer).expecting(own);
    let (_current, _) = dialer
        .with_incarnation(2)
        .dial(process.local_address())
        .await;
    // The second incarnation replies to the query, so the first has ended.
    let replies = tokio::spawn(async move { RawPeer::accept(&listener, 2).await });
    let (stale, _) = dialer
        .with_incarnation(1)
        .dial(process.local_address())
        .await;
    stale.expect_closed().await;
    assert_only_rejection(&process, Rejection::StaleIncarnation, peer);
    replies.abort();
}

#[tokio::test]
async fn a_handshake_of_another_version_is_counted_by_host() {
    let (process, _events) = start_process().await;
    let mut stream = TcpStream::connect(process.local_address()).await.unwrap();
    let host = SocketAddr::new(stream.local_addr().unwrap().ip(), 0);
    stream
        .write_all(b"mintl1 is an earlier version of it.")
        .await
        .unwrap();
    RawPeer(stream).expect_closed().await;
    assert_only_rejection(&process, Rejection::InvalidHandshake, host);
}

#[tokio::test]
async fn a_call_to_another_version_fails_at_once() {
    let (process, _events) = start_process().await;
    let (listener, peer) = bind_listener().await;
    let replies = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(b"mintl1 and more").await.unwrap();
        stream
    });
    let body = Bytes::from_static(b"call");
    let outcome = process.call(peer, Channel::Batch, body, STEP_TIMEOUT).await;
    assert_eq!(outcome, Err(CallError::Unreachable));
    assert_only_rejection(&process, Rejection::InvalidHandshake, peer);
    drop(replies.await);
}

fn sender(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Counts 100 malformed messages of one sender. Returns the counts that are to be logged.
fn count_malformed(counts: &mut RejectionCounts) -> Vec<u64> {
    (0..100)
        .filter_map(|_| counts.increment(Rejection::Malformed, sender(1)))
        .collect()
}

#[test]
fn rejections_are_logged_at_powers_of_two() {
    let logged = count_malformed(&mut RejectionCounts::default());
    assert_eq!(logged, [1, 2, 4, 8, 16, 32, 64]);
}

#[test]
fn rejection_counters_are_bounded() {
    let mut counts = RejectionCounts::default();
    count_malformed(&mut counts);
    let ports = 2..2000;
    for port in ports.clone() {
        counts.increment(Rejection::UnexpectedFrame, sender(port));
    }
    let count = |sender| counts.get(Rejection::UnexpectedFrame, sender);
    assert_eq!(count(sender(2)), 1);
    assert_eq!(count(sender(1999)), 0);
    // One counter is that of the malformed messages.
    let own_counters = COUNTER_CAPACITY - 1;
    assert_eq!(count(OTHER_SENDERS), ports.len() as u64 - own_counters);
    assert_eq!(counts.get(Rejection::Malformed, sender(1)), 100);
}
