//! Delivery of messages between processes over real loopback sockets.

mod support;

use bytes::Bytes;
use mintlb_common::transport::{CallError, Channel, Transport};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::{
    Event, STEP_TIMEOUT, bind_listener, closed_address, next_event, notification, start_process,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Calls with an ample time limit.
async fn call(
    from: &Arc<Transport>,
    to: SocketAddr,
    body: &'static str,
) -> Result<Bytes, CallError> {
    let body = Bytes::from_static(body.as_bytes());
    from.call(to, Channel::Batch, body, STEP_TIMEOUT).await
}

fn notify(from: &Arc<Transport>, to: SocketAddr, body: &'static str) -> bool {
    from.notify(to, Channel::Batch, Bytes::from_static(body.as_bytes()))
}

#[tokio::test]
async fn a_notification_carries_the_address_of_its_sender() {
    let (sender, _) = start_process().await;
    let (receiver, mut events) = start_process().await;
    assert!(notify(&sender, receiver.local_address(), "update"));
    assert_eq!(
        next_event(&mut events).await,
        notification(sender.local_address(), "update")
    );
}

#[tokio::test]
async fn concurrent_calls_get_their_own_responses() {
    let (caller, _) = start_process().await;
    let (receiver, _events) = start_process().await;
    let call = |text: String| {
        let (caller, to) = (caller.clone(), receiver.local_address());
        tokio::spawn(async move {
            caller
                .call(to, Channel::Batch, text.into(), STEP_TIMEOUT)
                .await
        })
    };
    let calls: Vec<_> = (0..50).map(|i| (i, call(format!("{i},")))).collect();
    for (i, call) in calls {
        let response = call.await.unwrap().unwrap();
        assert_eq!(response, Bytes::from(format!("{i},{i},")));
    }
}

#[tokio::test]
async fn a_large_message_arrives_complete() {
    let (caller, _) = start_process().await;
    let (receiver, _events) = start_process().await;
    let body = Bytes::from(vec![7_u8; 3 << 20]);
    let response = caller
        .call(receiver.local_address(), Channel::Batch, body, STEP_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(response.len(), 6 << 20);
}

#[tokio::test]
async fn a_call_without_a_response_times_out_and_delays_no_other() {
    let (caller, _) = start_process().await;
    let (receiver, _events) = start_process().await;
    let to = receiver.local_address();
    let body = Bytes::from_static(b"silence");
    let time_limit = Duration::from_millis(20);
    let unanswered = caller.call(to, Channel::Batch, body, time_limit).await;
    assert_eq!(unanswered, Err(CallError::TimedOut));
    let next = call(&caller, to, "x").await;
    assert_eq!(next, Ok(Bytes::from_static(b"xx")));
}

#[tokio::test]
async fn an_empty_response_means_that_the_request_is_not_understood() {
    let (caller, _) = start_process().await;
    let (receiver, _events) = start_process().await;
    let to = receiver.local_address();
    let unknown = call(&caller, to, "unknown").await;
    assert_eq!(unknown, Err(CallError::NotUnderstood));
    let next = call(&caller, to, "x").await;
    assert_eq!(next, Ok(Bytes::from_static(b"xx")));
}

#[tokio::test]
async fn an_unreachable_peer_is_reported() {
    let (caller, mut events) = start_process().await;
    let unreachable = closed_address().await;
    let outcome = call(&caller, unreachable, "x").await;
    assert_eq!(outcome, Err(CallError::Unreachable));
    assert_eq!(
        next_event(&mut events).await,
        Event::Unreachable(unreachable)
    );
}

#[tokio::test]
async fn a_peer_that_closed_its_connection_is_dialed_again() {
    let (sender, mut events) = start_process().await;
    let (listener, peer) = bind_listener().await;
    notify(&sender, peer, "x");
    let accepted = timeout(STEP_TIMEOUT, listener.accept()).await;
    drop(accepted.unwrap().unwrap());
    assert_eq!(next_event(&mut events).await, Event::Unreachable(peer));
    notify(&sender, peer, "y");
    let accepted = timeout(STEP_TIMEOUT, listener.accept()).await;
    assert!(accepted.unwrap().is_ok());
}

#[tokio::test]
async fn a_connection_of_another_protocol_is_closed_and_others_are_served() {
    let (receiver, mut events) = start_process().await;
    let to = receiver.local_address();
    let mut http_client = TcpStream::connect(to).await.unwrap();
    http_client
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .unwrap();
    let mut received = Vec::new();
    let closed = timeout(STEP_TIMEOUT, http_client.read_to_end(&mut received)).await;
    closed.expect("the connection stays open").ok();
    assert!(received.is_empty());
    let (sender, _) = start_process().await;
    notify(&sender, to, "update");
    assert!(matches!(
        next_event(&mut events).await,
        Event::Notification(..)
    ));
}

#[test]
fn only_a_request_that_was_discarded_can_be_repeated_safely() {
    for error in [CallError::TimedOut, CallError::Unreachable] {
        assert!(error.may_have_executed(), "{error}");
    }
    for error in [CallError::NotUnderstood, CallError::Replaced] {
        assert!(!error.may_have_executed(), "{error}");
    }
}
