//! Messages and answers reach the life of a process that they are meant for, and no other.

mod messages;

use bytes::Bytes;
use messages::{ANSWER, NOTICE, REQUEST, Seen, WAIT, Wire, listener, next, notice, process};
use mintlb_common::incarnation::Incarnation;
use mintlb_common::transport::incarnations::{DialCheck, IncarnationTable};
use mintlb_common::transport::{CallError, Channel, Transport};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longer than any connection is idle.
const LONG: Duration = Duration::from_secs(60);

/// Begins a call.
fn call(from: &Arc<Transport>, to: SocketAddr) -> JoinHandle<Result<Bytes, CallError>> {
    let from = from.clone();
    tokio::spawn(async move {
        from.call(to, Channel::Batch, Bytes::from_static(b"call"), LONG)
            .await
    })
}

#[tokio::test]
async fn what_is_meant_for_an_earlier_life_is_not_taken() {
    let (b, mut sees) = process().await;
    let (_listener, from) = listener().await;
    let own = b.incarnation().number();
    let (mut wire, there) = Wire::dial(b.local_address(), from, 7, own ^ 1).await;
    assert_eq!(there, own, "who is there says who it is");
    wire.write(NOTICE, 0, "for another").await;
    wire.write(REQUEST, 1, "for another").await;
    wire.closed().await;
    // What is meant for it, or for whoever is there, is taken.
    for (expected, word) in [(own, "for it"), (0, "for anybody")] {
        let (mut wire, _) = Wire::dial(b.local_address(), from, 7, expected).await;
        wire.write(NOTICE, 0, word).await;
        assert_eq!(next(&mut sees).await, notice(from, word));
    }
}

#[tokio::test]
async fn a_process_that_was_restarted_gets_nothing_that_was_meant_for_it_before() {
    let (a, mut sees) = process().await;
    let (listener, there) = listener().await;
    let first = call(&a, there);
    let (mut wire, expected) = Wire::accept(&listener, 1).await;
    assert_eq!(expected, 0, "nobody was known there");
    let read = wire.read().await;
    wire.write(ANSWER, read.call, "one").await;
    assert_eq!(first.await.unwrap(), Ok(Bytes::from_static(b"one")));
    drop(wire);
    assert_eq!(next(&mut sees).await, Seen::Unreachable(there));
    // Another life answers: the call is for the first one.
    let second = call(&a, there);
    let (wire, expected) = Wire::accept(&listener, 2).await;
    assert_eq!(expected, 1);
    assert_eq!(second.await.unwrap(), Err(CallError::Replaced));
    assert_eq!(next(&mut sees).await, Seen::Restarted(there, 2));
    assert_eq!(next(&mut sees).await, Seen::Unreachable(there));
    drop(wire);
    // From then on that life is meant.
    let third = call(&a, there);
    let (mut wire, expected) = Wire::accept(&listener, 2).await;
    assert_eq!(expected, 2);
    let read = wire.read().await;
    wire.write(ANSWER, read.call, "two").await;
    assert_eq!(third.await.unwrap(), Ok(Bytes::from_static(b"two")));
}

#[tokio::test]
async fn an_answer_counts_only_on_the_connection_of_its_call() {
    let (a, mut sees) = process().await;
    let (listener, there) = listener().await;
    let first = call(&a, there);
    let (mut wire, _) = Wire::accept(&listener, 1).await;
    let of_first = wire.read().await.call;
    drop(wire);
    assert_eq!(first.await.unwrap(), Err(CallError::Unreachable));
    assert_eq!(next(&mut sees).await, Seen::Unreachable(there));
    let second = call(&a, there);
    let (mut wire, _) = Wire::accept(&listener, 1).await;
    let of_second = wire.read().await.call;
    // On a connection of the other direction nothing is an answer; it ends.
    let (mut other, _) = Wire::dial(a.local_address(), there, 1, 0).await;
    other.write(ANSWER, of_second, "forged").await;
    other.closed().await;
    // The earlier call's answer comes late, on the new connection.
    wire.write(ANSWER, of_first, "late").await;
    wire.write(ANSWER, of_second, "right").await;
    assert_eq!(second.await.unwrap(), Ok(Bytes::from_static(b"right")));
    assert!(sees.try_recv().is_err(), "nothing else was told");
}

/// Bytes of an ended life lay about while this process was frozen, and come after its successor's.
#[tokio::test]
async fn an_ended_life_that_dials_late_is_not_heard() {
    let (a, mut sees) = process().await;
    let (listener, there) = listener().await;
    let (mut living, _) = Wire::dial(a.local_address(), there, 2, 0).await;
    living.write(NOTICE, 0, "living").await;
    assert_eq!(next(&mut sees).await, notice(there, "living"));
    // Who listens at the address is the second life, and says so when asked.
    let answers = tokio::spawn(async move { Wire::accept(&listener, 2).await });
    let (mut ended, _) = Wire::dial(a.local_address(), there, 1, 0).await;
    ended.write(NOTICE, 0, "ended").await;
    ended.closed().await;
    living.write(NOTICE, 0, "still here").await;
    assert_eq!(next(&mut sees).await, notice(there, "still here"));
    answers.abort();
}

#[tokio::test]
async fn a_successor_takes_the_place_of_a_life_that_is_gone() {
    let (a, mut sees) = process().await;
    // Nobody listens there any more, as after a loss of power: no reset comes.
    let there = listener().await.1;
    let (mut former, _) = Wire::dial(a.local_address(), there, 1, 0).await;
    former.write(NOTICE, 0, "one").await;
    assert_eq!(next(&mut sees).await, notice(there, "one"));
    let (mut successor, _) = Wire::dial(a.local_address(), there, 2, 0).await;
    successor.write(NOTICE, 0, "two").await;
    assert_eq!(next(&mut sees).await, Seen::Restarted(there, 2));
    assert_eq!(next(&mut sees).await, notice(there, "two"));
    former.write(NOTICE, 0, "one again").await;
    former.closed().await;
    successor.write(NOTICE, 0, "two again").await;
    assert_eq!(next(&mut sees).await, notice(there, "two again"));
}

/// The connection to the former life is not reset: calls on it end at once all the same.
#[tokio::test]
async fn calls_to_a_life_that_is_gone_end_when_its_successor_dials() {
    let (a, mut sees) = process().await;
    let (listener, there) = listener().await;
    let call = call(&a, there);
    let (mut wire, _) = Wire::accept(&listener, 1).await;
    wire.read().await;
    drop(listener);
    let (mut successor, _) = Wire::dial(a.local_address(), there, 2, 0).await;
    successor.write(NOTICE, 0, "two").await;
    assert_eq!(next(&mut sees).await, Seen::Restarted(there, 2));
    let outcome = timeout(WAIT, call)
        .await
        .expect("it is still waited for")
        .unwrap();
    assert_eq!(
        outcome,
        Err(CallError::Unreachable),
        "it may have been carried out"
    );
    wire.closed().await;
}

#[tokio::test]
async fn two_lives_at_one_address_have_two_identities() {
    let (a, _) = process().await;
    let (b, _) = process().await;
    assert_ne!(a.incarnation(), b.incarnation());
    let own = a.local_address();
    let drawn: std::collections::HashSet<_> = (0..1000)
        .map(|_| Incarnation::generate(own).number())
        .collect();
    assert_eq!(drawn.len(), 1000);
    assert!(!drawn.contains(&0));
}

/// The process stands still while the answer is on its way; awake again, it finds the answer and the end of its patience
/// at the same time.
#[tokio::test(start_paused = true)]
async fn an_answer_that_lay_about_longer_than_the_call_may_take_does_not_count() {
    let (a, _sees) = process().await;
    let (listener, there) = listener().await;
    let within = Duration::from_millis(600);
    let call = {
        let a = a.clone();
        tokio::spawn(async move {
            a.call(there, Channel::Batch, Bytes::from_static(b"ping"), within)
                .await
        })
    };
    let (mut wire, _) = Wire::accept(&listener, 1).await;
    let read = wire.read().await;
    wire.write(ANSWER, read.call, "pong").await;
    tokio::time::advance(within * 30).await;
    assert_eq!(call.await.unwrap(), Err(CallError::TimedOut));
}

#[test]
fn lives_are_remembered_of_a_bounded_number_of_addresses() {
    let address = |number: u32| SocketAddr::from((std::net::Ipv4Addr::from_bits(number), 1));
    let life = |number| Incarnation::from_number(number).unwrap();
    let mut incarnations = IncarnationTable::default();
    for number in 1..=5000 {
        assert_eq!(
            incarnations.check_dialer(address(number), life(1)),
            DialCheck::Known
        );
    }
    assert_eq!(
        (1..=5000)
            .filter(|number| incarnations.get(address(*number)).is_some())
            .count(),
        4096
    );
    // Of one that there was no room for anything is taken; of a known one the other life is asked for.
    assert!(incarnations.is_current(address(5000), life(2)));
    assert_eq!(
        incarnations.check_dialer(address(1), life(2)),
        DialCheck::Conflict
    );
    assert!(incarnations.confirm(address(1), life(2)));
    assert!(
        !incarnations.is_current(address(1), life(1))
            && incarnations.is_current(address(1), life(2))
    );
    assert!(!incarnations.confirm(address(1), life(2)), "nothing new");
}
