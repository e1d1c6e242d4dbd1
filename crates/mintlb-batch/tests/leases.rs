//! Who runs which item: each lease lives by its own renewals.

use mintlb_batch::entry::{Entry, ItemHeader, ItemState, JobHeader, JobTerms};
use mintlb_batch::job_table::JobTable;
use mintlb_batch::leases::{ItemRef, LEASE_DURATION, Leases};
use mintlb_batch::timestamp::Timestamp;
use std::time::Duration;

const LOT: u64 = 1;
const ONE: u64 = 11;
const TWO: u64 = 22;

/// A lot of three items, its entry the first one.
fn jobs() -> JobTable {
    let item = |id: &str| ItemHeader {
        id: id.to_string(),
        tokens: 1,
        length: 0,
    };
    let items = ["a", "b", "c"].map(item).to_vec();
    let head = JobHeader {
        host: "h.example".into(),
        id: "lot".into(),
        route: "r".into(),
        terms: JobTerms::default(),
        items,
    };
    let mut jobs = JobTable::default();
    jobs.apply(LOT, &Entry::Accepted(head), 1, 0, Timestamp::ZERO);
    jobs
}

fn item(item: u32) -> ItemRef {
    ItemRef { job: LOT, item }
}

fn open(leases: &Leases, jobs: &JobTable, now: Timestamp) -> Vec<u32> {
    leases
        .unleased_items(jobs, LOT, now)
        .map(|item| item.item)
        .collect()
}

fn renew(
    leases: &mut Leases,
    jobs: &JobTable,
    items: &[u32],
    owner: u64,
    now: Timestamp,
) -> Vec<u32> {
    leases.renew(jobs.get(LOT).unwrap(), items, owner, now)
}

#[test]
fn an_item_whose_grant_was_lost_is_open_again_while_its_holder_runs_others() {
    let (jobs, mut leases) = (jobs(), Leases::default());
    let second = Duration::from_secs(1);
    leases.grant(item(0), ONE, Timestamp::ZERO);
    // The answer with these two never came.
    leases.grant(item(1), ONE, Timestamp::ZERO);
    leases.grant(item(2), ONE, Timestamp::ZERO);
    for at in 1..3 {
        assert!(renew(&mut leases, &jobs, &[0], ONE, second * at).is_empty());
        assert!(open(&leases, &jobs, second * at).is_empty());
    }
    assert!(renew(&mut leases, &jobs, &[0], ONE, LEASE_DURATION).is_empty());
    assert_eq!(open(&leases, &jobs, LEASE_DURATION), [1, 2]);
}

#[test]
fn an_item_is_run_by_one_holder_at_a_time() {
    let (mut jobs, mut leases) = (jobs(), Leases::default());
    leases.grant_all(LOT, 3, ONE, Timestamp::ZERO);
    let almost = LEASE_DURATION - Duration::from_millis(1);
    assert_eq!(
        renew(&mut leases, &jobs, &[0, 1], TWO, almost),
        [0, 1],
        "the lease still holds"
    );
    assert!(open(&leases, &jobs, almost).is_empty());
    // Frozen for as long as its lease lasts, it finds that another holds the items now.
    leases.grant(item(0), TWO, LEASE_DURATION);
    assert!(renew(&mut leases, &jobs, &[1], TWO, LEASE_DURATION).is_empty());
    assert_eq!(
        renew(&mut leases, &jobs, &[0, 1, 2], ONE, LEASE_DURATION),
        [0, 1]
    );
    // What is listed is nobody's to run.
    jobs.apply(
        2,
        &Entry::Result {
            job: LOT,
            item: 2,
            state: ItemState::Completed,
        },
        1,
        0,
        LEASE_DURATION,
    );
    assert_eq!(renew(&mut leases, &jobs, &[2], ONE, LEASE_DURATION), [2]);
    leases.release(TWO);
    assert_eq!(open(&leases, &jobs, LEASE_DURATION), [0, 1]);
}

#[test]
fn failed_attempts_outlast_their_holder() {
    let (jobs, mut leases) = (jobs(), Leases::default());
    leases.grant_all(LOT, 3, ONE, Timestamp::ZERO);
    let job = jobs.get(LOT).unwrap();
    leases.record_failures(job, 1, 2);
    // An older word of it comes late; another names an item that is none.
    leases.record_failures(job, 1, 1);
    leases.record_failures(job, 900, 1);
    leases.release(ONE);
    leases.grant(item(1), TWO, LEASE_DURATION);
    assert_eq!(
        (
            leases.failures(item(1)),
            leases.failures(item(0)),
            leases.failures(item(900))
        ),
        (2, 0, 0)
    );
}
