//! Configurations that are sent again, twice under one version, or too late: which outcome each has.

use crate::applied_history::{after_changes, numbered};
use crate::support::cluster::Cluster;
use crate::support::configuration;
use arbtest::arbtest;
use mintlb_register::change::ChangeOutcome;
use std::collections::{BTreeMap, BTreeSet};

/// The identities 1 to 3 that `predicate` does not select.
fn others_of_three(predicate: impl Fn(&u64) -> bool) -> impl Iterator<Item = u64> {
    (1..=3).filter(move |id| !predicate(id))
}

fn is_applied(outcome: Option<ChangeOutcome>) -> bool {
    outcome.is_some_and(ChangeOutcome::is_applied)
}

#[test]
fn an_old_text_on_the_newest_version_is_invalid_though_it_was_applied_once() {
    let mut cluster = after_changes(7);
    for base in [4, 5, 7] {
        assert_eq!(
            cluster.outcome(configuration(base, 4, "text 4")),
            Some(ChangeOutcome::VersionNotIncreased),
            "on {base}"
        );
    }
    assert_eq!(
        cluster.outcome(configuration(7, 7, "text 7")),
        Some(ChangeOutcome::VersionNotIncreased)
    );
    assert_eq!(cluster.read().configuration_version, 7);
}

#[test]
fn a_configuration_whose_accept_replies_are_lost_is_applied_once_by_its_proposer() {
    for lost in 1..=6 {
        let mut cluster = Cluster::new(3);
        cluster.lose_accept_replies(lost);
        let outcome = cluster.outcome(numbered(1));
        assert!(is_applied(outcome), "{lost} lost: {outcome:?}");
        assert_eq!(cluster.read().configuration_version, 1);
        assert_eq!(
            cluster.outcome(numbered(1)),
            Some(ChangeOutcome::AlreadyApplied)
        );
    }
}

#[test]
fn of_an_unclear_configuration_and_a_rival_with_the_same_version_only_one_is_acknowledged() {
    for reached in 1..=3 {
        for quorum in [[2, 3], [1, 3], [1, 2]] {
            let mut cluster = Cluster::new(3);
            cluster.lose_accept_requests(others_of_three(|id| *id == reached));
            assert_eq!(
                cluster.outcome(configuration(0, 4, "unclear")),
                None,
                "one replica has it"
            );
            cluster.lose_accept_requests([]);
            cluster.set_unreachable(others_of_three(|id| quorum.contains(id)));
            let rival = cluster.outcome(configuration(0, 4, "rival"));
            cluster.set_unreachable([]);
            let again = cluster.outcome(configuration(0, 4, "unclear"));
            let expected = if quorum.contains(&reached) {
                (ChangeOutcome::StaleBase, ChangeOutcome::AlreadyApplied)
            } else {
                (ChangeOutcome::Applied, ChangeOutcome::StaleBase)
            };
            assert_eq!(
                (rival, again),
                (Some(expected.0), Some(expected.1)),
                "at {reached}, rival at {quorum:?}"
            );
        }
    }
}

#[test]
fn the_same_configuration_by_two_operators_is_acknowledged_to_both() {
    let mut cluster = Cluster::new(3);
    cluster.lose_accept_requests([2, 3]);
    assert_eq!(cluster.outcome(numbered(1)), None);
    cluster.lose_accept_requests([]);
    let second = cluster.outcome(numbered(1));
    assert!(is_applied(second), "{second:?}");
    assert_eq!(
        cluster.outcome(numbered(1)),
        Some(ChangeOutcome::AlreadyApplied)
    );
}

#[test]
fn what_was_rejected_stays_rejected_and_what_was_applied_stays_acknowledged() {
    arbtest(|u| {
        let mut cluster = Cluster::new(3);
        let mut current = 0;
        let mut sent: Vec<(u64, u64, String)> = Vec::new();
        let mut applied: BTreeMap<u64, String> = BTreeMap::new();
        let mut rejected: BTreeSet<(u64, u64, String)> = BTreeSet::new();
        for _ in 0..u.int_in_range(4..=40)? {
            let is_repeated = !sent.is_empty() && u.ratio(1, 2)?;
            let (base, version, text) = if is_repeated {
                u.choose(&sent)?.clone()
            } else {
                let base: u64 = if u.ratio(3, 4)? {
                    current
                } else {
                    u.int_in_range(0..=current)?
                };
                let version = u.int_in_range(base.saturating_sub(1)..=base + 3)?;
                (base, version, format!("text {}", u.int_in_range(0..=2)?))
            };
            let this = (base, version, text.clone());
            sent.push(this.clone());
            let was_applied = version > base && applied.get(&version) == Some(&text);
            let change = configuration(base, version, &text);
            match cluster.outcome(change).unwrap() {
                ChangeOutcome::Applied => {
                    assert!(base == current && version > base);
                    assert!(!was_applied && !rejected.contains(&this));
                    applied.insert(version, text);
                    current = version;
                }
                // Also one that was rejected, if another call has brought the same version and text since.
                ChangeOutcome::AlreadyApplied => {
                    assert!(was_applied, "{this:?} was never applied");
                }
                outcome => {
                    assert!(matches!(
                        outcome,
                        ChangeOutcome::StaleBase | ChangeOutcome::VersionNotIncreased
                    ));
                    assert!(!was_applied, "{this:?} was applied, now {outcome:?}");
                    rejected.insert(this);
                }
            }
        }
        Ok(())
    })
    .budget_ms(1000);
}

/// Two of three replicas.
const PAIRS: [[u64; 2]; 3] = [[1, 2], [1, 3], [2, 3]];

/// A configuration that reaches two replicas, and whose accept requests reach those of them that `accept_mask` selects.
struct PartialCall {
    pair: [u64; 2],
    accept_mask: usize,
    text: &'static str,
}

impl PartialCall {
    /// One of the twelve calls with this text.
    fn numbered(number: usize, text: &'static str) -> PartialCall {
        PartialCall {
            pair: PAIRS[number % 3],
            accept_mask: number / 3,
            text,
        }
    }

    fn send(&self, cluster: &mut Cluster) -> Option<ChangeOutcome> {
        let without_accept = (0..2)
            .filter(|index| self.accept_mask >> index & 1 == 0)
            .map(|index| self.pair[index]);
        cluster.set_unreachable(others_of_three(|id| self.pair.contains(id)));
        cluster.lose_accept_requests(without_accept);
        let outcome = cluster.outcome(configuration(0, 4, self.text));
        cluster.set_unreachable([]);
        cluster.lose_accept_requests([]);
        outcome
    }
}

#[test]
fn of_two_unclear_configurations_every_reader_finds_the_same_one_from_then_on() {
    let (mut runs, mut unclear) = (0, 0);
    for run in 0..(3 * 4 * 3 * 4 * 27_usize) {
        let first = PartialCall::numbered(run % 12, "first");
        let second = PartialCall::numbered(run / 12 % 12, "second");
        let readers = [run / 144 % 3, run / 432 % 3, run / 1296].map(|pair| PAIRS[pair]);
        let mut cluster = Cluster::new(3);
        let is_first = is_applied(first.send(&mut cluster));
        let is_second = is_applied(second.send(&mut cluster));
        assert!(!(is_first && is_second), "both are acknowledged, run {run}");
        let mut found: Vec<Vec<u8>> = Vec::new();
        for pair in readers {
            cluster.set_unreachable(others_of_three(|id| pair.contains(id)));
            found.push(cluster.read().configuration);
        }
        // A configuration that one replica has accepted may be chosen between two reads; from then on it stays.
        let chosen: BTreeSet<&[u8]> = found
            .iter()
            .skip_while(|text| text.is_empty())
            .map(Vec::as_slice)
            .collect();
        assert!(chosen.len() <= 1, "run {run}: {found:?}");
        for (is_acknowledged, text) in [(is_first, b"first".as_slice()), (is_second, b"second")] {
            assert!(
                !is_acknowledged || found.iter().all(|found| found == text),
                "run {run}: {found:?}"
            );
        }
        runs += 1;
        unclear += usize::from(!is_first && !is_second);
    }
    println!("{runs} runs, {unclear} with two unclear configurations");
    assert!(unclear > runs / 10);
}
