//! What can't be taken ends its connection, is counted by kind and sender, and harms nobody else.

mod messages;

use bytes::Bytes;
use messages::{ANSWER, NOTICE, REQUEST, WAIT, Wire, listener, next, notice, process};
use mintlb_common::transport::rejections::{OTHER_SENDERS, RejectionCounts};
use mintlb_common::transport::{CallError, Channel, MAX_MESSAGE_BYTES, Rejection};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

fn head(length: u32, kind: u8) -> Vec<u8> {
    let mut head = length.to_be_bytes().to_vec();
    head.extend([Channel::Batch as u8, kind]);
    head.extend(7_u64.to_be_bytes());
    head
}

#[tokio::test]
async fn frames_that_can_not_be_read_cost_nobody_else_anything() {
    let (a, mut sees) = process().await;
    let (good, bad) = (listener().await.1, listener().await.1);
    let (mut wire, _) = Wire::dial(a.local_address(), good, 1, 0).await;
    let unreadable = [
        head(MAX_MESSAGE_BYTES as u32 + 1, NOTICE),
        head(u32::MAX, REQUEST),
        head(0, 3),
        head(0, 255),
    ];
    for (round, bytes) in unreadable.into_iter().enumerate() {
        let (mut stranger, _) = Wire::dial(a.local_address(), bad, 1, 0).await;
        stranger.0.write_all(&bytes).await.unwrap();
        stranger.closed().await;
        assert_eq!(
            a.rejection_count(Rejection::Malformed, bad),
            round as u64 + 1
        );
        wire.write(NOTICE, 0, "good").await;
        assert_eq!(next(&mut sees).await, notice(good, "good"));
    }
    assert_eq!(a.rejection_count(Rejection::Malformed, good), 0);
}

#[tokio::test]
async fn each_kind_is_counted_by_its_sender() {
    let (a, _sees) = process().await;
    let (listener, there) = listener().await;
    let own = a.incarnation().number();
    let (wire, _) = Wire::dial(a.local_address(), there, 2, own ^ 1).await;
    wire.closed().await;
    assert_eq!(a.rejection_count(Rejection::WrongIncarnation, there), 1);
    let (mut wire, _) = Wire::dial(a.local_address(), there, 2, own).await;
    wire.write(ANSWER, 1, "to nothing").await;
    wire.closed().await;
    assert_eq!(a.rejection_count(Rejection::UnexpectedFrame, there), 1);
    // The second life answers when it is asked, so the first has ended.
    let answers = tokio::spawn(async move { Wire::accept(&listener, 2).await });
    let (wire, _) = Wire::dial(a.local_address(), there, 1, own).await;
    wire.closed().await;
    assert_eq!(a.rejection_count(Rejection::StaleIncarnation, there), 1);
    answers.abort();
    let mut stranger = TcpStream::connect(a.local_address()).await.unwrap();
    let from = SocketAddr::new(stranger.local_addr().unwrap().ip(), 0);
    stranger
        .write_all(b"mintl1 is an earlier version of it.")
        .await
        .unwrap();
    Wire(stranger).closed().await;
    assert_eq!(a.rejection_count(Rejection::InvalidHandshake, from), 1);
}

#[tokio::test]
async fn a_call_to_another_version_ends_at_once() {
    let (a, _sees) = process().await;
    let (listener, there) = listener().await;
    let answers = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(b"mintl1 and more").await.unwrap();
        stream
    });
    let call = a
        .call(there, Channel::Batch, Bytes::from_static(b"call"), WAIT)
        .await;
    assert_eq!(call, Err(CallError::Unreachable));
    assert_eq!(a.rejection_count(Rejection::InvalidHandshake, there), 1);
    drop(answers.await);
}

#[test]
fn counts_are_bounded_and_told_at_powers_of_two() {
    let mut rejections = RejectionCounts::default();
    let sender = |port| SocketAddr::from(([10, 0, 0, 1], port));
    let told: Vec<_> = (0..100)
        .filter_map(|_| rejections.increment(Rejection::Malformed, sender(1)))
        .collect();
    assert_eq!(told, [1, 2, 4, 8, 16, 32, 64]);
    for port in 2..2000 {
        rejections.increment(Rejection::UnexpectedFrame, sender(port));
    }
    assert_eq!(rejections.get(Rejection::UnexpectedFrame, sender(2)), 1);
    assert_eq!(rejections.get(Rejection::UnexpectedFrame, sender(1999)), 0);
    assert_eq!(
        rejections.get(Rejection::UnexpectedFrame, OTHER_SENDERS),
        1998 - 255
    );
    assert_eq!(rejections.get(Rejection::Malformed, sender(1)), 100);
}
