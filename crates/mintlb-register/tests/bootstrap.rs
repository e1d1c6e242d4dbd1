//! Who founds the register: exactly one of the seeds, in whatever order they come up and answer.

use arbtest::arbtest;
use mintlb_register::bootstrap::{Bootstrap, BootstrapStep, BootstrapVote, SeedStatus};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};

fn set() -> ReplicaSet {
    let address = "10.0.0.1:7661".to_string();
    ReplicaSet::bootstrap(Replica {
        id: ReplicaId(1),
        address,
        node_name: "edge-1".to_string(),
        zone: "z".to_string(),
    })
}

fn step(
    first_start: bool,
    has_disk: bool,
    own: Option<usize>,
    seed_statuses: &[Option<SeedStatus>],
) -> BootstrapStep {
    Bootstrap {
        first_start,
        has_disk,
        own_index: own,
        seed_statuses,
    }
    .next_step()
}

fn answer(has_disk: bool) -> Option<SeedStatus> {
    Some(SeedStatus {
        has_disk,
        replica_set: None,
    })
}

#[test]
fn the_first_seed_with_a_disk_founds() {
    assert_eq!(
        step(true, true, Some(0), &[None, answer(true), answer(true)]),
        BootstrapStep::Initialize
    );
    assert_eq!(
        step(true, true, Some(1), &[answer(true), None, answer(true)]),
        BootstrapStep::Wait
    );
    assert_eq!(
        step(true, true, Some(1), &[answer(false), None, answer(true)]),
        BootstrapStep::Initialize
    );
    assert_eq!(
        step(true, false, Some(0), &[None, answer(true), answer(true)]),
        BootstrapStep::Wait
    );
}

#[test]
fn nobody_founds_before_every_seed_has_answered() {
    assert_eq!(
        step(true, true, Some(0), &[None, None, answer(true)]),
        BootstrapStep::Wait
    );
    assert_eq!(
        step(true, true, Some(0), &[None, answer(true), None]),
        BootstrapStep::Wait
    );
}

#[test]
fn nobody_founds_later_than_the_first_start_or_outside_the_seeds() {
    assert_eq!(
        step(false, true, Some(0), &[None, answer(true), answer(true)]),
        BootstrapStep::Wait
    );
    assert_eq!(
        step(
            true,
            true,
            None,
            &[answer(false), answer(true), answer(false)]
        ),
        BootstrapStep::Wait
    );
}

#[test]
fn where_no_seed_has_a_disk_one_that_has_needs_the_grant_of_all() {
    let none = [answer(false), answer(false), answer(false)];
    assert_eq!(step(true, true, None, &none), BootstrapStep::RequestVotes);
    assert_eq!(step(true, false, None, &none), BootstrapStep::Wait);
    assert_eq!(step(false, true, None, &none), BootstrapStep::Wait);
    assert_eq!(
        step(true, true, None, &[answer(false), None, answer(false)]),
        BootstrapStep::Wait
    );
    assert_eq!(step(true, true, None, &[]), BootstrapStep::Wait);
}

#[test]
fn a_seed_grants_it_to_one_process_for_good() {
    let mut grant = BootstrapVote::default();
    assert!(!grant.grant(ReplicaId(5), false, false) && !grant.grant(ReplicaId(5), true, true));
    assert!(
        grant.grant(ReplicaId(5), true, false)
            && !grant.grant(ReplicaId(6), true, false)
            && grant.grant(ReplicaId(5), true, false)
    );
}

#[test]
fn candidates_that_ask_in_the_seeds_order_get_one_founder() {
    arbtest(|u| {
        let mut grants = [
            BootstrapVote::default(),
            BootstrapVote::default(),
            BootstrapVote::default(),
        ];
        let mut got = [0_usize; 3];
        for _ in 0..u.int_in_range(1..=30)? {
            let candidate = u.int_in_range(0..=2)?;
            if let Some(grant) = grants.get_mut(got[candidate])
                && grant.grant(ReplicaId(candidate as u64), true, false)
            {
                got[candidate] += 1;
            }
        }
        assert!(got.iter().filter(|got| **got == 3).count() <= 1, "{got:?}");
        Ok(())
    });
}

#[test]
fn a_founder_that_has_lost_its_disk_joins_what_the_others_know() {
    let knows = Some(SeedStatus {
        has_disk: true,
        replica_set: Some(set()),
    });
    assert_eq!(
        step(true, true, Some(0), &[None, knows, None]),
        BootstrapStep::Join(set())
    );
}

#[test]
fn the_newest_set_is_joined() {
    let newer = ReplicaSet { epoch: 9, ..set() };
    let knows = |set| {
        Some(SeedStatus {
            has_disk: true,
            replica_set: Some(set),
        })
    };
    let answers = [knows(set()), knows(newer.clone()), None];
    assert_eq!(
        step(false, false, None, &answers),
        BootstrapStep::Join(newer)
    );
}

#[test]
fn at_most_one_seed_founds_whatever_answers_arrive() {
    arbtest(|u| {
        let count = u.int_in_range(1..=3)?;
        let disks: Vec<bool> = (0..count)
            .map(|_| u.arbitrary())
            .collect::<Result<_, _>>()?;
        let mut founders = 0;
        for own in 0..count {
            let mut answers: Vec<Option<SeedStatus>> = Vec::new();
            for (place, disk) in disks.iter().enumerate() {
                let heard = place != own && u.ratio(4, 5)?;
                answers.push(heard.then_some(SeedStatus {
                    has_disk: *disk,
                    replica_set: None,
                }));
            }
            if step(true, disks[own], Some(own), &answers) == BootstrapStep::Initialize {
                founders += 1;
            }
        }
        assert!(founders <= 1, "{disks:?}");
        Ok(())
    });
}
