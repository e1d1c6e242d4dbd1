//! Which worker all dispatchers prefer for a prompt's shared part, as the fleet changes; and declarations that are none.

use mintlb_dispatcher::prompts::{Prompt, preferred};
use std::collections::{BTreeMap, BTreeSet};

const SUBJECTS: u64 = 400;

fn home(subject: u64, workers: &[u64]) -> Option<u64> {
    preferred(subject, workers.iter().copied())[0]
}

/// Subjects as they come from prompts, not numbers in a row.
fn subject(index: u64) -> u64 {
    let prefix = format!("{index:x}:13300,own{index}:20");
    Prompt::read(Some(&prefix), None).unwrap().subject
}

#[test]
fn a_fleet_of_one_worker_is_every_subjects_home_and_an_empty_one_nobodys() {
    assert!((0..SUBJECTS).all(|index| home(subject(index), &[7]) == Some(7)));
    assert_eq!(home(subject(1), &[]), None);
}

/// How many subjects each worker is the home of.
fn subjects_by_home(workers: &[u64]) -> BTreeMap<u64, u64> {
    let mut subjects = BTreeMap::new();
    for index in 0..SUBJECTS {
        let home = home(subject(index), workers).unwrap();
        *subjects.entry(home).or_insert(0) += 1;
    }
    subjects
}

#[test]
fn a_worker_that_goes_moves_its_own_subjects_only() {
    let all: Vec<u64> = (1..=90).map(|id| id * 7919).collect();
    let by_home = subjects_by_home(&all);
    let (gone, subjects) = by_home.iter().max_by_key(|(_, count)| **count).unwrap();
    assert!(*subjects >= 8);
    let without: Vec<u64> = all.iter().copied().filter(|id| id != gone).collect();
    let mut heirs = BTreeSet::new();
    for index in 0..SUBJECTS {
        let (before, after) = (home(subject(index), &all), home(subject(index), &without));
        if before == Some(*gone) {
            heirs.insert(after);
        } else {
            assert_eq!(before, after, "subject {index}");
        }
    }
    assert!(heirs.len() > 3, "no worker inherits them all");
}

#[test]
fn dispatchers_that_see_different_fleets_agree_on_most_subjects() {
    let all: Vec<u64> = (1..=90).map(|id| id * 7919).collect();
    let (here, there) = (&all[..85], &all[5..]);
    let agreed = (0..SUBJECTS)
        .filter(|index| home(subject(*index), here) == home(subject(*index), there))
        .count() as u64;
    assert!(agreed * 10 >= SUBJECTS * 8, "{agreed} of {SUBJECTS}");
}

#[test]
fn a_release_of_half_the_workers_spreads_their_subjects_over_the_fleet() {
    let old: Vec<u64> = (1..=90).map(|id| id * 7919).collect();
    let new: Vec<u64> = (1..=90)
        .map(|id| if id <= 45 { id * 104_729 } else { id * 7919 })
        .collect();
    let moved = (0..SUBJECTS)
        .filter(|index| home(subject(*index), &old) != home(subject(*index), &new))
        .count() as u64;
    // Two thirds: a subject stays where its home beats both the old half and the new one.
    assert!(moved * 4 <= SUBJECTS * 3, "{moved} of {SUBJECTS} moved");
    let by_home = subjects_by_home(&new);
    assert!(by_home.values().all(|count| *count <= 16), "{by_home:?}");
}

#[test]
fn the_order_in_which_workers_are_listed_does_not_matter() {
    let all: Vec<u64> = (1..=20).map(|id| id * 7919).collect();
    let reversed: Vec<u64> = all.iter().rev().copied().collect();
    assert!(
        (0..SUBJECTS).all(|index| home(subject(index), &all) == home(subject(index), &reversed))
    );
}

#[test]
fn declarations_that_are_none_or_absurd_are_not_believed() {
    let most = u64::MAX.to_string();
    for (prefix, usage) in [
        (None, None),
        (Some(""), Some("")),
        (Some("abc"), None),
        (Some("a:,b:-3,c:1.5,d:x"), Some("-1,nan")),
        (Some(&*format!("a:{most}")), None),
        (Some(&*format!("a:{most},b:{most},c:1")), None),
        (Some("a:10,b:10"), Some(&*format!("{most},{most}"))),
        (Some("a:99999999999,b:1"), None),
    ] {
        assert_eq!(Prompt::read(prefix, usage), None, "{prefix:?} {usage:?}");
    }
    let partly = Prompt::read(Some("a:100,b:x,c:20"), None).unwrap();
    assert_eq!((partly.shared_tokens, partly.tokens), (100, 120));
    // Beyond 20 digits it is no number: passed over.
    let digits = "9".repeat(400);
    assert_eq!(Prompt::read(Some(&format!("a:{digits}")), None), None);
}
