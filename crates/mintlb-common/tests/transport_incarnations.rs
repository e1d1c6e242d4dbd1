//! Messages and responses reach the incarnation that they are meant for, and no other.

mod support;

use bytes::Bytes;
use mintlb_common::incarnation::Incarnation;
use mintlb_common::transport::incarnations::{DialCheck, IncarnationTable};
use mintlb_common::transport::{CallError, Channel, Transport};
use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use support::{
    Dialer, Event, NOTIFICATION, REQUEST, RESPONSE, RawPeer, STEP_TIMEOUT, bind_listener,
    closed_address, next_event, notification, start_process,
};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longer than the idle timeout of a connection.
const LONG: Duration = Duration::from_secs(60);

/// The number of addresses that an [`IncarnationTable`] holds.
const TABLE_CAPACITY: usize = 4096;

/// Begins a call.
fn begin_call(
    from: &Arc<Transport>,
    to: SocketAddr,
    time_limit: Duration,
) -> JoinHandle<Result<Bytes, CallError>> {
    let from = from.clone();
    tokio::spawn(async move {
        let body = Bytes::from_static(b"call");
        from.call(to, Channel::Batch, body, time_limit).await
    })
}

/// Reads a request and responds to it.
async fn respond(peer: &mut RawPeer, body: &str) {
    let request = peer.read().await;
    peer.write(RESPONSE, request.call, body).await;
}

#[tokio::test]
async fn messages_for_another_incarnation_are_discarded() {
    let (process, mut events) = start_process().await;
    let (_listener, peer) = bind_listener().await;
    let own = process.incarnation().number();
    let dialer = Dialer::at(peer).with_incarnation(7);
    let (mut connection, replied) = dialer
        .expecting(own ^ 1)
        .dial(process.local_address())
        .await;
    assert_eq!(replied, own, "the reply names the incarnation all the same");
    connection.write(NOTIFICATION, 0, "for another").await;
    connection.write(REQUEST, 1, "for another").await;
    connection.expect_closed().await;
    // Messages for this incarnation, or for any, are accepted; nothing of the above arrives before
    // them.
    for (expected, body) in [(own, "for this one"), (0, "for any")] {
        let dialer = dialer.expecting(expected);
        let (mut connection, _) = dialer.dial(process.local_address()).await;
        connection.write(NOTIFICATION, 0, body).await;
        assert_eq!(next_event(&mut events).await, notification(peer, body));
    }
}

#[tokio::test]
async fn a_call_reaches_the_incarnation_known_when_it_began() {
    let (process, mut events) = start_process().await;
    let (listener, peer) = bind_listener().await;
    let first = begin_call(&process, peer, LONG);
    let (mut connection, expected) = RawPeer::accept(&listener, 1).await;
    assert_eq!(expected, 0, "no incarnation was known");
    respond(&mut connection, "one").await;
    assert_eq!(first.await.unwrap(), Ok(Bytes::from_static(b"one")));
    drop(connection);
    assert_eq!(next_event(&mut events).await, Event::Unreachable(peer));
    // Another incarnation replies: the call is meant for the first one.
    let second = begin_call(&process, peer, LONG);
    let (connection, expected) = RawPeer::accept(&listener, 2).await;
    assert_eq!(expected, 1);
    assert_eq!(second.await.unwrap(), Err(CallError::Replaced));
    assert_eq!(next_event(&mut events).await, Event::Restarted(peer, 2));
    assert_eq!(next_event(&mut events).await, Event::Unreachable(peer));
    drop(connection);
    // From then on calls are meant for the second one.
    let third = begin_call(&process, peer, LONG);
    let (mut connection, expected) = RawPeer::accept(&listener, 2).await;
    assert_eq!(expected, 2);
    respond(&mut connection, "two").await;
    assert_eq!(third.await.unwrap(), Ok(Bytes::from_static(b"two")));
}

#[tokio::test]
async fn a_response_counts_only_on_the_connection_of_its_request() {
    let (process, mut events) = start_process().await;
    let (listener, peer) = bind_listener().await;
    let first = begin_call(&process, peer, LONG);
    let (mut connection, _) = RawPeer::accept(&listener, 1).await;
    let first_number = connection.read().await.call;
    drop(connection);
    assert_eq!(first.await.unwrap(), Err(CallError::Unreachable));
    assert_eq!(next_event(&mut events).await, Event::Unreachable(peer));
    let second = begin_call(&process, peer, LONG);
    let (mut connection, _) = RawPeer::accept(&listener, 1).await;
    let second_number = connection.read().await.call;
    // On a connection of the other direction a response is a violation of the protocol.
    let (mut other, _) = Dialer::at(peer).dial(process.local_address()).await;
    other.write(RESPONSE, second_number, "forged").await;
    other.expect_closed().await;
    // The response to the earlier call arrives late, on the new connection.
    connection.write(RESPONSE, first_number, "late").await;
    connection.write(RESPONSE, second_number, "right").await;
    assert_eq!(second.await.unwrap(), Ok(Bytes::from_static(b"right")));
    assert!(events.try_recv().is_err(), "another event was reported");
}

/// Bytes of an ended incarnation were buffered while this process was suspended, and arrive after
/// those of its successor.
#[tokio::test]
async fn a_stale_incarnation_that_dials_late_is_rejected() {
    let (process, mut events) = start_process().await;
    let (listener, peer) = bind_listener().await;
    let dialer = Dialer::at(peer);
    let (mut current, _) = dialer
        .with_incarnation(2)
        .dial(process.local_address())
        .await;
    current.write(NOTIFICATION, 0, "current").await;
    assert_eq!(next_event(&mut events).await, notification(peer, "current"));
    // The second incarnation listens at the address, and replies to the query.
    let replies = tokio::spawn(async move { RawPeer::accept(&listener, 2).await });
    let (mut stale, _) = dialer
        .with_incarnation(1)
        .dial(process.local_address())
        .await;
    stale.write(NOTIFICATION, 0, "stale").await;
    stale.expect_closed().await;
    current.write(NOTIFICATION, 0, "still current").await;
    assert_eq!(
        next_event(&mut events).await,
        notification(peer, "still current")
    );
    replies.abort();
}

#[tokio::test]
async fn a_successor_replaces_an_incarnation_that_no_longer_listens() {
    let (process, mut events) = start_process().await;
    // Nothing listens there any more, as after a power loss: no reset arrives.
    let peer = closed_address().await;
    let dialer = Dialer::at(peer);
    let (mut former, _) = dialer
        .with_incarnation(1)
        .dial(process.local_address())
        .await;
    former.write(NOTIFICATION, 0, "one").await;
    assert_eq!(next_event(&mut events).await, notification(peer, "one"));
    let (mut successor, _) = dialer
        .with_incarnation(2)
        .dial(process.local_address())
        .await;
    successor.write(NOTIFICATION, 0, "two").await;
    assert_eq!(next_event(&mut events).await, Event::Restarted(peer, 2));
    assert_eq!(next_event(&mut events).await, notification(peer, "two"));
    former.write(NOTIFICATION, 0, "one again").await;
    former.expect_closed().await;
    successor.write(NOTIFICATION, 0, "two again").await;
    assert_eq!(
        next_event(&mut events).await,
        notification(peer, "two again")
    );
}

/// The connection to the former incarnation is not reset: calls on it fail at once all the same.
#[tokio::test]
async fn pending_calls_fail_when_a_successor_dials() {
    let (process, mut events) = start_process().await;
    let (listener, peer) = bind_listener().await;
    let call = begin_call(&process, peer, LONG);
    let (mut former, _) = RawPeer::accept(&listener, 1).await;
    former.read().await;
    drop(listener);
    let (mut successor, _) = Dialer::at(peer)
        .with_incarnation(2)
        .dial(process.local_address())
        .await;
    successor.write(NOTIFICATION, 0, "two").await;
    assert_eq!(next_event(&mut events).await, Event::Restarted(peer, 2));
    let outcome = timeout(STEP_TIMEOUT, call).await;
    assert_eq!(
        outcome.expect("the call is still pending").unwrap(),
        Err(CallError::Unreachable),
        "it may have been executed"
    );
    former.expect_closed().await;
}

#[tokio::test]
async fn incarnations_are_unique() {
    let (a, _) = start_process().await;
    let (b, _) = start_process().await;
    assert_ne!(a.incarnation(), b.incarnation());
    let address = a.local_address();
    let generated: HashSet<_> = (0..1000)
        .map(|_| Incarnation::generate(address).number())
        .collect();
    assert_eq!(generated.len(), 1000);
    assert!(!generated.contains(&0));
}

/// The process is suspended while the response is on its way; when resumed, it finds the response
/// and the end of the time limit at once.
#[tokio::test(start_paused = true)]
async fn a_response_found_after_the_time_limit_does_not_count() {
    let (process, _events) = start_process().await;
    let (listener, peer) = bind_listener().await;
    let time_limit = Duration::from_millis(600);
    let call = begin_call(&process, peer, time_limit);
    let (mut connection, _) = RawPeer::accept(&listener, 1).await;
    respond(&mut connection, "response").await;
    tokio::time::advance(time_limit * 30).await;
    assert_eq!(call.await.unwrap(), Err(CallError::TimedOut));
}

fn address(number: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(number), 1))
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation::from_number(number).unwrap()
}

/// A table in which more addresses dialed, with incarnation 1, than it holds.
fn full_table() -> IncarnationTable {
    let mut table = IncarnationTable::default();
    for number in 1..=5000 {
        let check = table.check_dialer(address(number), incarnation(1));
        assert_eq!(check, DialCheck::Known);
    }
    table
}

#[test]
fn the_incarnation_table_is_bounded() {
    let table = full_table();
    let is_stored = |number: &u32| table.get(address(*number)).is_some();
    assert_eq!((1..=5000).filter(is_stored).count(), TABLE_CAPACITY);
}

#[test]
fn any_incarnation_is_current_at_an_address_beyond_the_bound() {
    assert!(full_table().is_current(address(5000), incarnation(2)));
}

#[test]
fn another_incarnation_at_a_known_address_is_a_conflict_until_confirmed() {
    let mut table = full_table();
    let known = address(1);
    assert_eq!(
        table.check_dialer(known, incarnation(2)),
        DialCheck::Conflict
    );
    assert!(
        table.confirm(known, incarnation(2)),
        "it replaces the first"
    );
    assert!(!table.is_current(known, incarnation(1)));
    assert!(table.is_current(known, incarnation(2)));
    assert!(!table.confirm(known, incarnation(2)), "it replaces nothing");
}
