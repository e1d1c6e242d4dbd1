//! Load reports of workers, and the free slots they leave for live requests and batch items.

use mintlb_dispatcher::load::{InstanceLoad, LoadEstimate};

#[test]
fn load_report_is_parsed_or_ignored() {
    assert_eq!(
        InstanceLoad::parse("3,1,8"),
        Some(InstanceLoad {
            running: 3.0,
            waiting: 1.0,
            slots: 8.0
        })
    );
    assert_eq!(
        InstanceLoad::parse(" 3, 1 ,8 ").map(|load| load.free_slots()),
        Some(4.0)
    );
    assert_eq!(
        InstanceLoad::parse("9,4,8").map(|load| load.free_slots()),
        Some(0.0)
    );
    for invalid in [
        "", "3,1", "3,1,8,2", "a,b,c", "-1,0,8", "inf,0,8", "NaN,0,8",
    ] {
        assert_eq!(InstanceLoad::parse(invalid), None, "{invalid}");
    }
}

fn estimate(running: f64, waiting: f64) -> LoadEstimate {
    let mut load = LoadEstimate::default();
    load.record(
        InstanceLoad {
            running,
            waiting,
            slots: 8.0,
        },
        100.0,
    );
    load
}

#[test]
fn nothing_is_rejected_without_a_load_report() {
    assert!(LoadEstimate::default().has_free_slot(0.0));
    assert!(LoadEstimate::default().has_free_slot_for_item(0.0, 1000.0));
}

#[test]
fn live_requests_use_all_slots_and_items_leave_some() {
    assert!(estimate(5.0, 0.0).has_free_slot_for_item(100.1, 0.0));
    assert!(!estimate(6.0, 0.0).has_free_slot_for_item(100.1, 0.0));
    assert!(estimate(7.0, 0.0).has_free_slot(100.1));
    assert!(!estimate(7.0, 1.0).has_free_slot(100.1));
}

#[test]
fn requests_sent_since_the_report_occupy_slots() {
    let mut load = estimate(6.0, 0.0);
    load.record_sent();
    assert!(load.has_free_slot(100.1));
    load.record_sent();
    assert!(!load.has_free_slot(100.1));
    load.record(
        InstanceLoad {
            running: 2.0,
            waiting: 0.0,
            slots: 8.0,
        },
        100.2,
    );
    assert!(load.has_free_slot_for_item(100.3, 0.0));
}

#[test]
fn stale_report_blocks_no_live_request_and_items_use_the_own_request_count() {
    let load = estimate(8.0, 3.0);
    assert!(!load.has_free_slot(100.4));
    assert!(load.has_free_slot(100.6));
    assert!(load.has_free_slot_for_item(100.6, 5.0));
    assert!(!load.has_free_slot_for_item(100.6, 6.0));
}
