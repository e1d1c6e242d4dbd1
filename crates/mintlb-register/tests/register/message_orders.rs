//! The smallest case by exhaustion, in breadth up to a bound: three replicas, two proposers, one lost disk, one change of
//! the set; every order of messages and, as a message may stay in flight for ever, every loss.

mod search;

use search::{Interleaving, Search};
use std::collections::{HashSet, VecDeque};

/// States visited at most.
const MAX_STATES: usize = 30_000;

/// How far a search has come.
struct Explored {
    states: usize,
    /// Whether no state was left.
    is_complete: bool,
}

/// Visits every state, the nearest first. Returns the violation that it finds, if any.
fn explore(keeps_identity: bool, interleaving: Interleaving) -> Result<Explored, String> {
    let mut visited = HashSet::new();
    let mut queue = VecDeque::from([Search::start()]);
    while let Some(search) = queue.pop_front() {
        if !visited.insert(search.key()) {
            continue;
        }
        search
            .check()
            .map_err(|violation| format!("after {} states: {violation}", visited.len()))?;
        if visited.len() >= MAX_STATES {
            return Ok(Explored {
                states: visited.len(),
                is_complete: false,
            });
        }
        queue.extend(search.successors(keeps_identity, interleaving));
    }
    Ok(Explored {
        states: visited.len(),
        is_complete: true,
    })
}

#[test]
fn no_order_of_messages_loses_what_was_acknowledged() {
    let explored = explore(false, Interleaving::Any).unwrap();
    println!(
        "{} states, all of them: {}",
        explored.states, explored.is_complete
    );
    assert!(explored.states > 10_000, "{}", explored.states);
}

#[test]
fn an_acceptor_with_the_identity_of_a_lost_disk_is_found_out() {
    let violation = explore(true, Interleaving::Any).err();
    println!("{violation:?}");
    assert!(violation.is_some());
}

#[test]
fn with_replies_at_once_or_never_nothing_acknowledged_is_lost_either() {
    let explored = explore(false, Interleaving::ImmediateReplies).unwrap();
    println!(
        "replies at once or never: {} states, all of them: {}",
        explored.states, explored.is_complete
    );
    assert!(explored.states > 5_000, "{}", explored.states);
}
