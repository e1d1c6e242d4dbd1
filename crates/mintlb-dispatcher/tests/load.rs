//! Load reports of workers, and the slots they leave to live requests and batch items.

use mintlb_dispatcher::load::{KnownLoad, Load};

#[test]
fn a_head_is_read_or_passed_over() {
    assert_eq!(
        Load::read("3,1,8"),
        Some(Load {
            running: 3.0,
            waiting: 1.0,
            slots: 8.0
        })
    );
    assert_eq!(Load::read(" 3, 1 ,8 ").map(|load| load.free()), Some(4.0));
    assert_eq!(Load::read("9,4,8").map(|load| load.free()), Some(0.0));
    for bad in [
        "", "3,1", "3,1,8,2", "a,b,c", "-1,0,8", "inf,0,8", "NaN,0,8",
    ] {
        assert_eq!(Load::read(bad), None, "{bad}");
    }
}

fn known(running: f64, waiting: f64) -> KnownLoad {
    let mut load = KnownLoad::default();
    load.record(
        Load {
            running,
            waiting,
            slots: 8.0,
        },
        100.0,
    );
    load
}

#[test]
fn without_a_load_report_nothing_is_rejected() {
    assert!(KnownLoad::default().has_free_slot(0.0));
    assert!(KnownLoad::default().has_free_slot_for_item(0.0, 1000.0));
}

#[test]
fn live_requests_may_use_all_slots_and_items_leave_some() {
    assert!(known(5.0, 0.0).has_free_slot_for_item(100.1, 0.0));
    assert!(!known(6.0, 0.0).has_free_slot_for_item(100.1, 0.0));
    assert!(known(7.0, 0.0).has_free_slot(100.1));
    assert!(!known(7.0, 1.0).has_free_slot(100.1));
}

#[test]
fn requests_sent_since_the_report_count() {
    let mut load = known(6.0, 0.0);
    load.sent();
    assert!(load.has_free_slot(100.1));
    load.sent();
    assert!(!load.has_free_slot(100.1));
    load.record(
        Load {
            running: 2.0,
            waiting: 0.0,
            slots: 8.0,
        },
        100.2,
    );
    assert!(load.has_free_slot_for_item(100.3, 0.0));
}

#[test]
fn a_stale_report_blocks_no_live_request_and_items_use_the_own_count() {
    let load = known(8.0, 3.0);
    assert!(!load.has_free_slot(100.4));
    assert!(load.has_free_slot(100.6));
    assert!(load.has_free_slot_for_item(100.6, 5.0));
    assert!(!load.has_free_slot_for_item(100.6, 6.0));
}
