//! Which worker is preferred for a shared prefix while the list of workers changes, and parsing of prompt declarations.

use mintlb_dispatcher::prefix_affinity::{Prompt, preferred_workers};
use std::collections::{BTreeMap, BTreeSet};

/// Number of prefixes.
const PREFIXES: u64 = 400;

fn preferred_worker(prefix_hash: u64, workers: &[u64]) -> Option<u64> {
    preferred_workers(prefix_hash, workers.iter().copied())[0]
}

/// The hash of a prefix as a prompt declares it, so that hashes are distributed as in operation.
fn prefix_hash(index: u64) -> u64 {
    let prefix = format!("{index:x}:13300,own{index}:20");
    Prompt::parse(Some(&prefix), None).unwrap().prefix_hash
}

#[test]
fn single_worker_is_preferred_for_every_prefix_and_without_workers_there_is_none() {
    assert!((0..PREFIXES).all(|index| preferred_worker(prefix_hash(index), &[7]) == Some(7)));
    assert_eq!(preferred_worker(prefix_hash(1), &[]), None);
}

/// Number of prefixes by preferred worker.
fn prefixes_by_worker(workers: &[u64]) -> BTreeMap<u64, u64> {
    let mut prefixes = BTreeMap::new();
    for index in 0..PREFIXES {
        let preferred_worker = preferred_worker(prefix_hash(index), workers).unwrap();
        *prefixes.entry(preferred_worker).or_insert(0) += 1;
    }
    prefixes
}

#[test]
fn removed_worker_only_moves_its_own_prefixes() {
    let all: Vec<u64> = (1..=90).map(|id| id * 7919).collect();
    let by_worker = prefixes_by_worker(&all);
    let (removed, prefixes) = by_worker.iter().max_by_key(|(_, count)| **count).unwrap();
    assert!(*prefixes >= 8);
    let without: Vec<u64> = all.iter().copied().filter(|id| id != removed).collect();
    let mut new_workers = BTreeSet::new();
    for index in 0..PREFIXES {
        let (before, after) = (
            preferred_worker(prefix_hash(index), &all),
            preferred_worker(prefix_hash(index), &without),
        );
        if before == Some(*removed) {
            new_workers.insert(after);
        } else {
            assert_eq!(before, after, "prefix {index}");
        }
    }
    assert!(
        new_workers.len() > 3,
        "the prefixes moved to too few workers"
    );
}

#[test]
fn dispatchers_with_different_worker_lists_agree_on_most_prefixes() {
    let all: Vec<u64> = (1..=90).map(|id| id * 7919).collect();
    let (here, there) = (&all[..85], &all[5..]);
    let agreed = (0..PREFIXES)
        .filter(|index| {
            preferred_worker(prefix_hash(*index), here)
                == preferred_worker(prefix_hash(*index), there)
        })
        .count() as u64;
    assert!(agreed * 10 >= PREFIXES * 8, "{agreed} of {PREFIXES}");
}

#[test]
fn replacing_half_of_the_workers_spreads_their_prefixes_evenly() {
    let old: Vec<u64> = (1..=90).map(|id| id * 7919).collect();
    let new: Vec<u64> = (1..=90)
        .map(|id| if id <= 45 { id * 104_729 } else { id * 7919 })
        .collect();
    let moved = (0..PREFIXES)
        .filter(|index| {
            preferred_worker(prefix_hash(*index), &old)
                != preferred_worker(prefix_hash(*index), &new)
        })
        .count() as u64;
    // Two thirds are expected to move: a prefix stays if its worker ranks above both the removed and the new half.
    assert!(moved * 4 <= PREFIXES * 3, "{moved} of {PREFIXES} moved");
    let by_worker = prefixes_by_worker(&new);
    assert!(
        by_worker.values().all(|count| *count <= 16),
        "{by_worker:?}"
    );
}

#[test]
fn order_of_the_worker_list_does_not_matter() {
    let all: Vec<u64> = (1..=20).map(|id| id * 7919).collect();
    let reversed: Vec<u64> = all.iter().rev().copied().collect();
    assert!(
        (0..PREFIXES).all(|index| preferred_worker(prefix_hash(index), &all)
            == preferred_worker(prefix_hash(index), &reversed))
    );
}

#[test]
fn invalid_or_implausible_declarations_are_ignored() {
    let max = u64::MAX.to_string();
    for (prefix, usage) in [
        (None, None),
        (Some(""), Some("")),
        (Some("abc"), None),
        (Some("a:,b:-3,c:1.5,d:x"), Some("-1,nan")),
        (Some(&*format!("a:{max}")), None),
        (Some(&*format!("a:{max},b:{max},c:1")), None),
        (Some("a:10,b:10"), Some(&*format!("{max},{max}"))),
        (Some("a:99999999999,b:1"), None),
    ] {
        assert_eq!(Prompt::parse(prefix, usage), None, "{prefix:?} {usage:?}");
    }
    let partly_valid = Prompt::parse(Some("a:100,b:x,c:20"), None).unwrap();
    assert_eq!(
        (partly_valid.shared_tokens, partly_valid.tokens),
        (100, 120)
    );
    // A number of more than 20 digits can't be parsed, and its segment is ignored.
    let digits = "9".repeat(400);
    assert_eq!(Prompt::parse(Some(&format!("a:{digits}")), None), None);
}
