//! Losses right after repairs, replacements and retirements, under the planner with all shards: nothing that was
//! told is lost, and every shard comes in charge again.

mod fleet;

use fleet::{Fleet, STEP};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const FILL: Duration = Duration::from_millis(300);
/// Every shard is in charge within this once all is back.
const BOUND: Duration = Duration::from_secs(12);

fn small(count: usize) -> Fleet {
    Fleet::new(count, 1, SECOND * 5, FILL)
}

/// The machines whose disks have lasted longest.
fn oldest(fleet: &Fleet, count: usize) -> Vec<usize> {
    let mut places: Vec<usize> = (0..fleet.machines.len())
        .filter(|place| fleet.machines[*place].is_up())
        .collect();
    places.sort_by_key(|place| fleet.machines[*place].disk_since);
    places.truncate(count);
    places
}

/// Some lose their disks, all others lose power.
fn closing_fault(fleet: &mut Fleet, wiped: &[usize]) {
    for place in 0..fleet.machines.len() {
        if wiped.contains(&place) {
            fleet.wipe(place, SECOND);
        } else if fleet.machines[place].is_up() {
            fleet.down(place, SECOND);
        }
    }
    fleet.settle(BOUND);
}

#[test]
fn a_primary_whose_only_partner_lost_its_disk_gets_another() {
    let mut fleet = small(3);
    assert!(fleet.retire(2));
    fleet.run(SECOND * 10);
    assert!(!fleet.machines[2].is_up(), "it is emptied and taken away");
    assert!(
        fleet
            .placement
            .shards
            .iter()
            .all(|shard| shard.replicas.len() == 2)
    );
    closing_fault(&mut fleet, &[0]);
}

#[test]
fn a_replaced_store_does_not_stay_in_a_set_that_was_shrunk() {
    // Without calls a primary goes on as if in charge, and a store that comes early is one more.
    let days = [
        (false, STEP * 20, false),
        (true, STEP * 20, false),
        (false, STEP, true),
    ];
    for (planned, after, idle) in days {
        let mut fleet = small(3);
        fleet.idle = idle;
        assert!(fleet.retire(2));
        fleet.run(SECOND * 10);
        match planned {
            true => fleet.replace_planned(1, after),
            false => fleet.replace(1, after),
        }
        while fleet.lost() > 0 {
            fleet.step();
        }
        // The one left of the old ones is the next.
        fleet.wipe(0, SECOND * 2);
        fleet.settle(BOUND);
        fleet.check_sizes();
    }
}

#[test]
fn a_store_that_loses_its_disk_twice_in_a_row_leaves_no_lost_replica_behind() {
    for steps in 12..40 {
        let mut fleet = small(3);
        assert!(fleet.retire(2));
        fleet.run(SECOND * 10);
        fleet.idle = true;
        fleet.wipe(1, SECOND);
        fleet.run(STEP * steps);
        fleet.wipe(1, SECOND);
        while fleet.lost() > 0 {
            fleet.step();
        }
        fleet.wipe(0, SECOND);
        fleet.settle(BOUND);
        fleet.check_sizes();
    }
}

#[test]
fn a_lost_replica_is_replaced_beside_one_that_is_to_be_emptied() {
    let mut fleet = small(3);
    assert!(fleet.retire(2));
    fleet.run(SECOND * 10);
    // It is ordered just before another one is told to stop, and can't be completed.
    fleet.replace_planned(1, SECOND * 6);
    fleet.run(SECOND * 6 - STEP);
    assert!(fleet.retire(0));
    fleet.run(SECOND + STEP);
    fleet.idle = true;
    while fleet.machines[1].is_up() || fleet.lost() > 0 {
        fleet.step();
    }
    let successor = fleet.machines.len() - 1;
    fleet.wipe(successor, SECOND);
    fleet.run(SECOND * 6 + STEP);
    fleet.replace(0, SECOND);
    fleet.settle(BOUND);
}

#[test]
fn a_lost_disk_is_made_good_before_the_next_may_be_lost() {
    let mut fleet = small(3);
    for round in 0..6 {
        let place = round % 3;
        assert!(fleet.may_lose(place));
        fleet.wipe(place, SECOND * 2);
        fleet.run(SECOND * 7 + STEP);
        assert_eq!(fleet.lost(), 0);
    }
    fleet.settle(BOUND);
    fleet.check_sizes();
}

#[test]
fn the_successor_of_a_store_has_its_copies_before_the_next_two_may_be_lost() {
    for (one, two) in [(1, 2), (1, 3), (2, 3), (3, 4)] {
        let mut fleet = Fleet::new(5, 2, SECOND * 6, FILL);
        fleet.replace(0, STEP * 3);
        fleet.run(STEP * 64);
        assert!(fleet.may_lose(one) && fleet.may_lose(two));
        fleet.wipe(one, SECOND);
        fleet.wipe(two, SECOND);
        fleet.settle(BOUND);
        fleet.check_sizes();
    }
}

#[test]
fn a_copy_moves_before_the_store_that_leaves_is_gone() {
    let mut fleet = small(3);
    fleet.replace_planned(0, SECOND * 5);
    while fleet.machines[0].is_up() {
        fleet.step();
    }
    let named = |fleet: &Fleet| {
        fleet
            .placement
            .shards
            .iter()
            .filter(|s| s.replicas.contains(&1) || s.previous.contains(&1))
            .count()
    };
    assert_eq!(named(&fleet), 0, "{:?}", fleet.placement.shards);
    // The successor was there for long: the next may go at once.
    fleet.wipe(1, SECOND * 2);
    fleet.settle(BOUND);
}

#[test]
fn a_store_whose_successor_has_a_copy_already_leaves_the_set() {
    let mut fleet = small(3);
    assert!(fleet.retire(2));
    fleet.run(SECOND * 10);
    fleet.replace_planned(0, SECOND * 5);
    while fleet.machines[0].is_up() || fleet.lost() > 0 {
        fleet.step();
    }
    fleet.wipe(1, SECOND * 2);
    fleet.settle(BOUND);
}

#[test]
fn a_store_that_restarts_keeps_its_copies_without_a_successor() {
    let mut fleet = small(3);
    let epochs = |fleet: &Fleet| {
        fleet
            .placement
            .shards
            .iter()
            .map(|s| s.replicas.len())
            .collect::<Vec<_>>()
    };
    fleet.restart(0);
    fleet.run(SECOND * 6);
    assert_eq!(epochs(&fleet), vec![3; 16]);
}

#[test]
fn stores_lost_one_after_another_with_a_retirement_and_a_replacement() {
    let mut fleet = small(3);
    for place in [0, 1] {
        fleet.wipe(place, SECOND * 2);
        fleet.run(SECOND * 8);
    }
    assert!(fleet.retire(2));
    fleet.run(SECOND * 10);
    fleet.replace_planned(0, SECOND * 2);
    fleet.run(SECOND * 12);
    fleet.wipe(1, SECOND * 2);
    fleet.run(SECOND * 8);
    let wiped = oldest(&fleet, 1);
    closing_fault(&mut fleet, &wiped);
}

/// One random event that the promise allows.
fn event(
    fleet: &mut Fleet,
    u: &mut arbtest::arbitrary::Unstructured,
) -> arbtest::arbitrary::Result<()> {
    let place = u.int_in_range(0..=fleet.machines.len() - 1)?;
    let time = STEP * u.int_in_range(5..=45)?;
    if u.ratio(1, 8)? && fleet.lost() < fleet.tolerance {
        fleet.lose_controller(time.min(STEP * 25), u.arbitrary()?);
        return Ok(());
    }
    if !fleet.may_lose(place) {
        return Ok(());
    }
    match u.int_in_range(0..=9)? {
        0 | 1 => fleet.down(place, time),
        2..=4 => fleet.wipe(place, time),
        // The successor may come at once.
        5 => fleet.replace(place, time / u.int_in_range(1..=5)?),
        6 => fleet.replace_planned(place, time),
        7 => fleet.restart(place),
        8 if fleet.lost() == 0 && fleet.decommissioning.is_empty() => _ = fleet.retire(place),
        9 if fleet.machines.len() < 9 => _ = fleet.add_machine(),
        _ => (),
    }
    Ok(())
}

fn any_day(
    u: &mut arbtest::arbitrary::Unstructured,
    tolerance: usize,
) -> arbtest::arbitrary::Result<()> {
    let catch_up = SECOND * if tolerance == 1 { 5 } else { 6 };
    let count = 2 * tolerance + u.int_in_range(1..=2)?;
    let mut fleet = Fleet::new(count, tolerance, catch_up, STEP * u.int_in_range(1..=6)?);
    fleet.idle = u.arbitrary()?;
    for _ in 0..u.int_in_range(1..=12)? {
        event(&mut fleet, u)?;
        // Often as soon as the promise allows the next.
        match u.arbitrary()? {
            true => {
                let mut most = 400;
                while fleet.lost() > 0 && most > 0 {
                    fleet.step();
                    most -= 1;
                }
            }
            false => fleet.run(STEP * u.int_in_range(0..=60)?),
        }
    }
    let mut most = 400;
    while fleet.lost() > 0 && most > 0 {
        fleet.step();
        most -= 1;
    }
    let count = u.int_in_range(0..=tolerance)?;
    let wiped = oldest(&fleet, count);
    closing_fault(&mut fleet, &wiped);
    fleet.run(SECOND * 20);
    fleet.check_sizes();
    Ok(())
}

#[test]
fn any_day_of_losses_with_one_tolerated() {
    arbtest::arbtest(|u| any_day(u, 1))
        .size_max(4096)
        .budget_ms(5000);
}

#[test]
fn any_day_of_losses_with_two_tolerated() {
    arbtest::arbtest(|u| any_day(u, 2))
        .size_max(4096)
        .budget_ms(5000);
}
