//! Which process bootstraps the register: at most one, in whatever order the seeds start and answer.

use crate::support::replica;
use arbtest::arbtest;
use mintlb_common::quorum::FaultTolerance;
use mintlb_register::bootstrap::{Bootstrap, BootstrapStep, BootstrapVote, SeedStatus};
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};

/// A process with a disk at its first start.
#[derive(Clone, Copy)]
struct Process {
    first_start: bool,
    has_disk: bool,
    own_index: Option<usize>,
}

impl Process {
    fn seed(index: usize) -> Process {
        Process {
            own_index: Some(index),
            ..Process::outside_seeds()
        }
    }

    fn outside_seeds() -> Process {
        Process {
            first_start: true,
            has_disk: true,
            own_index: None,
        }
    }

    fn without_disk(self) -> Process {
        Process {
            has_disk: false,
            ..self
        }
    }

    fn after_first_start(self) -> Process {
        Process {
            first_start: false,
            ..self
        }
    }

    /// What it does after these answers.
    fn step(self, seed_statuses: &[Option<SeedStatus>]) -> BootstrapStep {
        Bootstrap {
            first_start: self.first_start,
            has_disk: self.has_disk,
            own_index: self.own_index,
            seed_statuses,
        }
        .next_step()
    }
}

fn first_set() -> ReplicaSet {
    ReplicaSet::bootstrap(replica(1), FaultTolerance::of_machines(1))
}

/// The answer of a seed that knows no set.
fn knows_nothing(has_disk: bool) -> Option<SeedStatus> {
    Some(SeedStatus {
        has_disk,
        replica_set: None,
    })
}

/// The answer of a seed that knows this set.
fn knows(set: ReplicaSet) -> Option<SeedStatus> {
    Some(SeedStatus {
        has_disk: true,
        replica_set: Some(set),
    })
}

#[test]
fn the_first_seed_with_a_disk_bootstraps() {
    let [disk, no_disk] = [knows_nothing(true), knows_nothing(false)];
    assert_eq!(
        Process::seed(0).step(&[None, disk.clone(), disk.clone()]),
        BootstrapStep::Initialize
    );
    assert_eq!(
        Process::seed(1).step(&[disk.clone(), None, disk.clone()]),
        BootstrapStep::Wait
    );
    assert_eq!(
        Process::seed(1).step(&[no_disk, None, disk.clone()]),
        BootstrapStep::Initialize
    );
    assert_eq!(
        Process::seed(0)
            .without_disk()
            .step(&[None, disk.clone(), disk]),
        BootstrapStep::Wait
    );
}

#[test]
fn nobody_bootstraps_before_every_other_seed_has_answered() {
    let disk = knows_nothing(true);
    for answers in [[None, None, disk.clone()], [None, disk, None]] {
        assert_eq!(Process::seed(0).step(&answers), BootstrapStep::Wait);
    }
}

#[test]
fn nobody_bootstraps_after_the_first_start_or_outside_the_seeds() {
    let [disk, no_disk] = [knows_nothing(true), knows_nothing(false)];
    assert_eq!(
        Process::seed(0)
            .after_first_start()
            .step(&[None, disk.clone(), disk.clone()]),
        BootstrapStep::Wait
    );
    assert_eq!(
        Process::outside_seeds().step(&[no_disk.clone(), disk, no_disk]),
        BootstrapStep::Wait
    );
}

#[test]
fn if_no_seed_has_a_disk_a_process_with_one_requests_all_votes() {
    let no_disk = knows_nothing(false);
    let answers = [no_disk.clone(), no_disk.clone(), no_disk.clone()];
    let process = Process::outside_seeds();
    assert_eq!(process.step(&answers), BootstrapStep::RequestVotes);
    assert_eq!(process.without_disk().step(&answers), BootstrapStep::Wait);
    assert_eq!(
        process.after_first_start().step(&answers),
        BootstrapStep::Wait
    );
    assert_eq!(
        process.step(&[no_disk.clone(), None, no_disk]),
        BootstrapStep::Wait
    );
    assert_eq!(process.step(&[]), BootstrapStep::Wait);
}

#[test]
fn a_seed_votes_for_one_process_for_good() {
    let mut vote = BootstrapVote::default();
    let (first, second) = (ReplicaId(5), ReplicaId(6));
    assert!(!vote.grant(first, false, false), "not its first start");
    assert!(!vote.grant(first, true, true), "it knows a set");
    assert!(vote.grant(first, true, false));
    assert!(!vote.grant(second, true, false));
    assert!(vote.grant(first, true, false), "again");
}

#[test]
fn of_candidates_that_ask_in_the_order_of_the_seeds_at_most_one_has_all_votes() {
    arbtest(|u| {
        let mut votes: [BootstrapVote; 3] = Default::default();
        let mut granted = [0_usize; 3];
        for _ in 0..u.int_in_range(1..=30)? {
            let candidate = u.int_in_range(0..=2)?;
            if let Some(vote) = votes.get_mut(granted[candidate])
                && vote.grant(ReplicaId(candidate as u64), true, false)
            {
                granted[candidate] += 1;
            }
        }
        let winners = granted.iter().filter(|granted| **granted == 3).count();
        assert!(winners <= 1, "{granted:?}");
        Ok(())
    });
}

#[test]
fn a_seed_that_has_lost_its_disk_joins_what_the_others_know() {
    assert_eq!(
        Process::seed(0).step(&[None, knows(first_set()), None]),
        BootstrapStep::Join(first_set())
    );
}

#[test]
fn the_newest_set_is_joined() {
    let newer = ReplicaSet {
        epoch: 9,
        ..first_set()
    };
    let process = Process::outside_seeds().without_disk().after_first_start();
    assert_eq!(
        process.step(&[knows(first_set()), knows(newer.clone()), None]),
        BootstrapStep::Join(newer)
    );
}

#[test]
fn at_most_one_seed_bootstraps_whatever_answers_arrive() {
    arbtest(|u| {
        let count = u.int_in_range(1..=3)?;
        let disks: Vec<bool> = (0..count)
            .map(|_| u.arbitrary())
            .collect::<Result<_, _>>()?;
        let mut bootstrapping = 0;
        for own in 0..count {
            let mut answers: Vec<Option<SeedStatus>> = Vec::new();
            for (index, has_disk) in disks.iter().enumerate() {
                let has_answered = index != own && u.ratio(4, 5)?;
                answers.push(knows_nothing(*has_disk).filter(|_| has_answered));
            }
            let process = Process {
                has_disk: disks[own],
                ..Process::seed(own)
            };
            if process.step(&answers) == BootstrapStep::Initialize {
                bootstrapping += 1;
            }
        }
        assert!(bootstrapping <= 1, "{disks:?}");
        Ok(())
    });
}
