//! Messages between processes over real loopback sockets.

mod messages;

use bytes::Bytes;
use messages::{Seen, WAIT, process};
use mintlb_common::transport::{CallError, Channel};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

#[tokio::test]
async fn a_notice_comes_with_its_senders_address() {
    let (a, _) = process().await;
    let (b, mut sees) = process().await;
    assert!(a.notify(
        b.local_address(),
        Channel::Batch,
        Bytes::from_static(b"word")
    ));
    let seen = timeout(WAIT, sees.recv()).await.unwrap().unwrap();
    assert_eq!(
        seen,
        Seen::Notice(a.local_address(), Bytes::from_static(b"word"))
    );
}

#[tokio::test]
async fn calls_side_by_side_get_their_own_answers() {
    let (a, _) = process().await;
    let (b, _sees) = process().await;
    let call = |text: String| {
        let (a, to) = (a.clone(), b.local_address());
        tokio::spawn(async move { a.call(to, Channel::Batch, text.into(), WAIT).await })
    };
    let calls: Vec<_> = (0..50).map(|i| (i, call(format!("{i},")))).collect();
    for (i, call) in calls {
        assert_eq!(
            call.await.unwrap().unwrap(),
            Bytes::from(format!("{i},{i},"))
        );
    }
}

#[tokio::test]
async fn a_long_message_comes_whole() {
    let (a, _) = process().await;
    let (b, _sees) = process().await;
    let body = Bytes::from(vec![7_u8; 3 << 20]);
    let answer = a
        .call(b.local_address(), Channel::Batch, body, WAIT)
        .await
        .unwrap();
    assert_eq!(answer.len(), 6 << 20);
}

#[tokio::test]
async fn a_call_without_an_answer_ends_in_time_and_others_go_on() {
    let (a, _) = process().await;
    let (b, _sees) = process().await;
    let (to, soon) = (b.local_address(), Duration::from_millis(20));
    let silent = a
        .call(to, Channel::Batch, Bytes::from_static(b"silence"), soon)
        .await;
    assert_eq!(silent, Err(CallError::TimedOut));
    let unknown = a
        .call(to, Channel::Batch, Bytes::from_static(b"what"), WAIT)
        .await;
    assert_eq!(unknown, Err(CallError::NotUnderstood));
    let next = a
        .call(to, Channel::Batch, Bytes::from_static(b"x"), WAIT)
        .await;
    assert_eq!(next.unwrap(), Bytes::from_static(b"xx"));
}

#[tokio::test]
async fn who_can_not_be_reached_is_told_of() {
    let (a, mut sees) = process().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nobody = listener.local_addr().unwrap();
    drop(listener);
    let call = a
        .call(nobody, Channel::Batch, Bytes::from_static(b"x"), WAIT)
        .await;
    assert_eq!(call, Err(CallError::Unreachable));
    assert_eq!(
        timeout(WAIT, sees.recv()).await.unwrap().unwrap(),
        Seen::Unreachable(nobody)
    );
}

#[tokio::test]
async fn a_receiver_that_goes_and_comes_is_reached_again() {
    let (a, mut sees) = process().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let there = listener.local_addr().unwrap();
    a.notify(there, Channel::Batch, Bytes::from_static(b"x"));
    let (connection, _) = timeout(WAIT, listener.accept()).await.unwrap().unwrap();
    drop(connection);
    assert_eq!(
        timeout(WAIT, sees.recv()).await.unwrap().unwrap(),
        Seen::Unreachable(there)
    );
    a.notify(there, Channel::Batch, Bytes::from_static(b"y"));
    assert!(timeout(WAIT, listener.accept()).await.unwrap().is_ok());
}

#[tokio::test]
async fn bytes_of_another_protocol_are_not_taken() {
    let (b, mut sees) = process().await;
    let mut stranger = TcpStream::connect(b.local_address()).await.unwrap();
    stranger
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .unwrap();
    // The stranger is closed, and who speaks the protocol is served.
    let mut end = Vec::new();
    timeout(
        WAIT,
        tokio::io::AsyncReadExt::read_to_end(&mut stranger, &mut end),
    )
    .await
    .unwrap()
    .ok();
    assert!(end.is_empty());
    let (a, _) = process().await;
    a.notify(
        b.local_address(),
        Channel::Batch,
        Bytes::from_static(b"word"),
    );
    assert!(matches!(
        timeout(WAIT, sees.recv()).await.unwrap().unwrap(),
        Seen::Notice(..)
    ));
}
