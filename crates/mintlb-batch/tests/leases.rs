//! Who runs which item: each lease lives by its own renewals.

use mintlb_batch::entry::{Entry, ItemHead, ItemState, LotHead, LotTerms};
use mintlb_batch::leases::{LEASE, Leases};
use mintlb_batch::lots::{Lots, Moment};
use std::time::Duration;

const LOT: u64 = 1;
const ONE: u64 = 11;
const TWO: u64 = 22;

/// A lot of three items, its entry the first one.
fn lots() -> Lots {
    let item = |id: &str| ItemHead {
        id: id.to_string(),
        tokens: 1,
        length: 0,
    };
    let items = ["a", "b", "c"].map(item).to_vec();
    let head = LotHead {
        host: "h.example".into(),
        id: "lot".into(),
        route: "r".into(),
        terms: LotTerms::default(),
        items,
    };
    let mut lots = Lots::default();
    lots.apply(LOT, &Entry::Accepted(head), 1, 0, Moment::ZERO);
    lots
}

fn open(leases: &Leases, lots: &Lots, now: Moment) -> Vec<u32> {
    leases
        .open_items(lots, LOT, now)
        .map(|(_, item)| item)
        .collect()
}

fn renew(leases: &mut Leases, lots: &Lots, items: &[u32], holder: u64, now: Moment) -> Vec<u32> {
    leases.renew(LOT, lots.get(LOT).unwrap(), items, holder, now)
}

#[test]
fn an_item_whose_grant_was_lost_is_open_again_while_its_holder_runs_others() {
    let (lots, mut leases) = (lots(), Leases::default());
    let second = Duration::from_secs(1);
    leases.grant(LOT, 0, ONE, Moment::ZERO);
    // The answer with these two never came.
    leases.grant(LOT, 1, ONE, Moment::ZERO);
    leases.grant(LOT, 2, ONE, Moment::ZERO);
    for at in 1..3 {
        assert!(renew(&mut leases, &lots, &[0], ONE, second * at).is_empty());
        assert!(open(&leases, &lots, second * at).is_empty());
    }
    assert!(renew(&mut leases, &lots, &[0], ONE, LEASE).is_empty());
    assert_eq!(open(&leases, &lots, LEASE), [1, 2]);
}

#[test]
fn an_item_is_run_by_one_holder_at_a_time() {
    let (mut lots, mut leases) = (lots(), Leases::default());
    leases.grant_all(LOT, 3, ONE, Moment::ZERO);
    let almost = LEASE - Duration::from_millis(1);
    assert_eq!(
        renew(&mut leases, &lots, &[0, 1], TWO, almost),
        [0, 1],
        "the lease still holds"
    );
    assert!(open(&leases, &lots, almost).is_empty());
    // Frozen for as long as its lease lasts, it finds that another holds the items now.
    leases.grant(LOT, 0, TWO, LEASE);
    assert!(renew(&mut leases, &lots, &[1], TWO, LEASE).is_empty());
    assert_eq!(renew(&mut leases, &lots, &[0, 1, 2], ONE, LEASE), [0, 1]);
    // What is listed is nobody's to run.
    lots.apply(
        2,
        &Entry::Result {
            lot: LOT,
            item: 2,
            state: ItemState::Completed,
        },
        1,
        0,
        LEASE,
    );
    assert_eq!(renew(&mut leases, &lots, &[2], ONE, LEASE), [2]);
    leases.release(TWO);
    assert_eq!(open(&leases, &lots, LEASE), [0, 1]);
}

#[test]
fn failed_attempts_outlast_their_holder() {
    let (lots, mut leases) = (lots(), Leases::default());
    leases.grant_all(LOT, 3, ONE, Moment::ZERO);
    let lot = lots.get(LOT).unwrap();
    leases.failed(LOT, lot, 1, 2);
    // An older word of it comes late; another names an item that is none.
    leases.failed(LOT, lot, 1, 1);
    leases.failed(LOT, lot, 900, 1);
    leases.release(ONE);
    leases.grant(LOT, 1, TWO, LEASE);
    assert_eq!(
        (
            leases.failures(LOT, 1),
            leases.failures(LOT, 0),
            leases.failures(LOT, 900)
        ),
        (2, 0, 0)
    );
}
