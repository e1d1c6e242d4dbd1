//! Leases of items: each expires on its own unless it is renewed.

use mintlb_batch::entry::{Entry, ItemHeader, ItemState, JobHeader, JobTerms};
use mintlb_batch::job_table::{BatchJob, JobTable};
use mintlb_batch::leases::{ItemRef, LEASE_DURATION, Leases};
use mintlb_batch::timestamp::Timestamp;
use std::time::Duration;

/// Index of the entry that accepted the job.
const JOB: u64 = 1;
const FIRST_OWNER: u64 = 11;
const SECOND_OWNER: u64 = 22;

/// A job with three items, and its leases.
#[derive(Default)]
struct Fixture {
    jobs: JobTable,
    leases: Leases,
}

impl Fixture {
    fn new() -> Fixture {
        let item = |id: &str| ItemHeader {
            id: id.to_string(),
            tokens: 1,
            length: 0,
        };
        let header = JobHeader {
            host: "h.example".into(),
            id: "job".into(),
            route: "r".into(),
            terms: JobTerms::default(),
            items: ["a", "b", "c"].map(item).to_vec(),
            tenant: None,
        };
        let mut fixture = Fixture::default();
        let accepted = Entry::Accepted(header);
        fixture.jobs.apply(JOB, &accepted, 1, 0, Timestamp::ZERO);
        fixture
    }

    fn job(&self) -> &BatchJob {
        self.jobs.get(JOB).unwrap()
    }

    /// Offsets of the items that nobody owns.
    fn unleased(&self, now: Timestamp) -> Vec<u32> {
        let items = self.leases.unleased_items(&self.jobs, JOB, now);
        items.map(|item| item.item).collect()
    }

    fn grant(&mut self, item: u32, owner: u64, now: Timestamp) {
        self.leases.grant(ItemRef { job: JOB, item }, owner, now);
    }

    /// Renews leases; returns those that are lost.
    fn renew(&mut self, items: &[u32], owner: u64, now: Timestamp) -> Vec<u32> {
        let job = self.jobs.get(JOB).unwrap();
        self.leases.renew(job, items, owner, now)
    }

    fn apply_failures(&mut self, index: u64, item: u32, attempts: u32) {
        let entry = Entry::AttemptsFailed {
            job: JOB,
            item,
            attempts,
        };
        self.jobs.apply(index, &entry, 1, 0, Timestamp::ZERO);
    }

    fn failures(&self) -> Vec<u32> {
        let items = self.job().items.iter();
        items.map(|item| item.failed_attempts).collect()
    }
}

#[test]
fn an_item_whose_grant_was_lost_expires_while_its_owner_renews_others() {
    let mut fixture = Fixture::new();
    let second = Duration::from_secs(1);
    fixture.grant(0, FIRST_OWNER, Timestamp::ZERO);
    // The response with these two never arrived.
    fixture.grant(1, FIRST_OWNER, Timestamp::ZERO);
    fixture.grant(2, FIRST_OWNER, Timestamp::ZERO);
    for at in 1..3 {
        let now = Timestamp::ZERO + second * at;
        assert!(fixture.renew(&[0], FIRST_OWNER, now).is_empty());
        assert!(fixture.unleased(now).is_empty());
    }
    let expiry = Timestamp::ZERO + LEASE_DURATION;
    assert!(fixture.renew(&[0], FIRST_OWNER, expiry).is_empty());
    assert_eq!(fixture.unleased(expiry), [1, 2]);
}

#[test]
fn an_item_has_one_owner_at_a_time() {
    let mut fixture = Fixture::new();
    let items = fixture.job().items.len();
    fixture
        .leases
        .grant_all(JOB, items, FIRST_OWNER, Timestamp::ZERO);
    let expiry = Timestamp::ZERO + LEASE_DURATION;
    let before_expiry = Timestamp::ZERO + (LEASE_DURATION - Duration::from_millis(1));
    assert_eq!(
        fixture.renew(&[0, 1], SECOND_OWNER, before_expiry),
        [0, 1],
        "the leases are still in force"
    );
    assert!(fixture.unleased(before_expiry).is_empty());
    // The first owner was suspended for the duration of its leases, and finds another owner.
    fixture.grant(0, SECOND_OWNER, expiry);
    assert!(fixture.renew(&[1], SECOND_OWNER, expiry).is_empty());
    assert_eq!(fixture.renew(&[0, 1, 2], FIRST_OWNER, expiry), [0, 1]);
    // An item with a result is nobody's to run.
    let result = Entry::Result {
        job: JOB,
        item: 2,
        state: ItemState::Completed,
    };
    fixture.jobs.apply(2, &result, 1, 0, expiry);
    assert_eq!(fixture.renew(&[2], FIRST_OWNER, expiry), [2]);
    fixture.leases.release(SECOND_OWNER);
    assert_eq!(fixture.unleased(expiry), [0, 1]);
}

#[test]
fn an_owner_releases_some_of_its_items() {
    let mut fixture = Fixture::new();
    fixture
        .leases
        .grant_all(JOB, 3, FIRST_OWNER, Timestamp::ZERO);
    let job = fixture.jobs.iter().next().unwrap();
    fixture.leases.release_items(job, &[1, 900], SECOND_OWNER);
    assert!(fixture.unleased(Timestamp::ZERO).is_empty(), "not its own");
    let job = fixture.jobs.iter().next().unwrap();
    fixture.leases.release_items(job, &[0, 1, 900], FIRST_OWNER);
    assert_eq!(fixture.unleased(Timestamp::ZERO), [0, 1]);
    // A release that is delayed in the network ends no other owner's lease.
    fixture.grant(0, SECOND_OWNER, Timestamp::ZERO);
    let job = fixture.jobs.iter().next().unwrap();
    fixture.leases.release_items(job, &[0], FIRST_OWNER);
    assert_eq!(fixture.unleased(Timestamp::ZERO), [1]);
}

#[test]
fn failed_attempts_are_counted_by_the_log_and_never_fall() {
    let mut fixture = Fixture::new();
    fixture.apply_failures(2, 1, 2);
    // A delayed report of fewer attempts, and one of an item that does not exist.
    fixture.apply_failures(3, 1, 1);
    fixture.apply_failures(4, 900, 1);
    assert_eq!(fixture.failures(), [0, 2, 0]);
    fixture
        .leases
        .grant_all(JOB, 3, FIRST_OWNER, Timestamp::ZERO);
    fixture.leases.release(FIRST_OWNER);
    fixture.grant(1, SECOND_OWNER, Timestamp::ZERO + LEASE_DURATION);
    assert_eq!(fixture.failures(), [0, 2, 0], "they outlive the lease");
}

#[test]
fn a_truncated_count_of_failed_attempts_is_undone() {
    let mut fixture = Fixture::new();
    fixture.apply_failures(2, 1, 2);
    fixture.apply_failures(3, 1, 5);
    fixture.apply_failures(4, 0, 1);
    fixture.jobs.truncate(2);
    assert_eq!(fixture.failures(), [0, 2, 0]);
    fixture.jobs.truncate(1);
    assert_eq!(fixture.failures(), [0, 0, 0]);
}

#[test]
fn counts_of_failed_attempts_leave_the_disk_with_their_job() {
    let mut fixture = Fixture::new();
    fixture.apply_failures(2, 1, 2);
    // Without an effect: dropped at once.
    fixture.apply_failures(3, 1, 1);
    let late = Timestamp::ZERO + Duration::from_secs(100_000);
    let dropped = fixture.jobs.sweep(1, Duration::ZERO, late);
    assert!(dropped.remove.is_empty(), "not while they are uncommitted");
    let dropped = fixture.jobs.sweep(3, Duration::ZERO, late);
    assert_eq!(dropped.remove, [1, 2, 3]);
    assert_eq!(fixture.jobs.bytes(), 0);
}
