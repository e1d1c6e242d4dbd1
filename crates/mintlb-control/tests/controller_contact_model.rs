//! Contact and duties under cuts of each kind and under processes that stand still, in virtual time.

mod contact_world;

use contact_world::World;
use std::time::Duration;

/// After so long without change everybody knows how things are.
const SETTLED: Duration = Duration::from_secs(4);
/// As long as the operators have seen it.
const CUT_FOR: Duration = Duration::from_secs(20);

fn settled(replicas: usize, others: usize) -> World {
    settled_from(replicas, others, 0x9e37_79b9)
}

fn settled_from(replicas: usize, others: usize, seed: u64) -> World {
    let mut world = World::new(replicas, others, seed);
    world.pass(SETTLED);
    assert_eq!(world.broken, None);
    assert!(
        (0..world.count()).all(|place| world.is_in_contact(place)),
        "at the start"
    );
    assert_eq!(world.holders(), [0]);
    world
}

/// Cuts as told, waits, and looks at who is in contact and has the duties; then all is joined again.
fn cut(replicas: usize, cuts: &[(&[usize], &[usize])], out: &[usize], holder: usize) {
    let mut world = settled(replicas, 2);
    cuts.iter()
        .for_each(|(from, to)| world.set_cut(from, to, true));
    world.pass(CUT_FOR);
    assert_eq!(world.broken, None);
    let away: Vec<usize> = (0..world.count())
        .filter(|place| !world.is_in_contact(*place))
        .collect();
    assert_eq!((away.as_slice(), world.holders()), (out, vec![holder]));
    cuts.iter()
        .for_each(|(from, to)| world.set_cut(from, to, false));
    world.pass(SETTLED);
    assert_eq!(world.broken, None);
    assert!(
        (0..world.count()).all(|place| world.is_in_contact(place)),
        "after the cut"
    );
    assert_eq!(world.holders(), [0]);
}

#[test]
fn the_first_is_cut_off_from_all() {
    cut(3, &[(&[0], &[1, 2, 3, 4]), (&[1, 2, 3, 4], &[0])], &[0], 1);
}

#[test]
fn the_first_is_heard_and_hears_nobody() {
    cut(3, &[(&[1, 2, 3, 4], &[0])], &[0], 1);
}

#[test]
fn the_first_hears_all_and_is_not_heard() {
    cut(3, &[(&[0], &[1, 2, 3, 4])], &[0], 1);
}

#[test]
fn the_first_is_cut_off_with_a_controller_of_its_zone() {
    // 5 has no replica and is on its side alone: it reaches 0, and no majority.
    cut(
        5,
        &[(&[0, 5], &[1, 2, 3, 4, 6]), (&[1, 2, 3, 4, 6], &[0, 5])],
        &[0, 5],
        1,
    );
}

#[test]
fn the_first_reaches_one_other_alone() {
    cut(5, &[(&[0], &[2, 3, 4]), (&[2, 3, 4], &[0])], &[0], 1);
}

#[test]
fn a_process_that_stood_still_is_out_of_contact_until_it_is_answered_again() {
    for place in 0..5 {
        let mut world = settled(3, 2);
        world.set_frozen(place, true);
        world.pass(CUT_FOR);
        world.set_frozen(place, false);
        assert_eq!(world.broken, None, "{place}");
        assert!(!world.is_in_contact(place), "{place}, before anything");
        world.pass(SETTLED);
        assert_eq!(world.broken, None, "{place}");
        assert!(world.is_in_contact(place), "{place}");
        assert_eq!(world.holders(), [0], "{place}");
    }
}

#[test]
fn the_duties_are_never_with_two_as_one_is_cut_off_and_returns() {
    for seed in 1..=40_u64 {
        let mut world = settled_from(3, 0, seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let after = Duration::from_millis(world.roll(600));
        world.pass(after);
        for cut in [true, false] {
            world.set_cut(&[0], &[1, 2], cut);
            world.set_cut(&[1, 2], &[0], cut);
            world.pass(SETTLED);
            assert_eq!(world.broken, None, "seed {seed}");
            assert_eq!(world.holders(), [usize::from(cut)], "seed {seed}");
            assert_eq!(world.most_holders, 1, "seed {seed}");
        }
    }
}

#[test]
fn two_are_gone_and_nobody_promises_anything() {
    let mut world = settled(3, 2);
    [1, 2]
        .into_iter()
        .for_each(|place| world.set_frozen(place, true));
    world.pass(CUT_FOR);
    assert_eq!(world.broken, None);
    assert!(
        [0, 3, 4]
            .into_iter()
            .all(|place| !world.is_in_contact(place))
    );
    assert!(world.holders().is_empty());
}

#[test]
fn no_drawn_course_of_cuts_and_pauses_breaks_it() {
    let (mut plays, mut questions) = (0, 0);
    for seed in 1..=24_u64 {
        let mut world = World::new(
            [3, 5, 9][seed as usize % 3],
            2,
            0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(seed),
        );
        for _ in 0..12 {
            let (a, b) = (world.roll(64), world.roll(64));
            let some: Vec<usize> = (0..world.count())
                .filter(|place| a >> (place % 6) & 1 == 1)
                .collect();
            let others: Vec<usize> = (0..world.count())
                .filter(|place| b >> (place % 6) & 1 == 1)
                .collect();
            match world.roll(5) {
                0 => world.set_cut(&some, &others, true),
                1 | 2 => world.set_cut(&some, &others, false),
                kind => some
                    .iter()
                    .take(2)
                    .for_each(|place| world.set_frozen(*place, kind == 3)),
            }
            let time = Duration::from_millis(50 + world.roll(4000));
            world.pass(time);
        }
        let all: Vec<usize> = (0..world.count()).collect();
        world.set_cut(&all, &all, false);
        all.iter().for_each(|place| world.set_frozen(*place, false));
        world.pass(SETTLED);
        assert_eq!(world.broken, None, "seed {seed}");
        assert!(
            all.iter().all(|place| world.is_in_contact(*place)),
            "seed {seed}: not all are back"
        );
        assert_eq!(world.holders(), [0], "seed {seed}");
        plays += 1;
        questions += world.in_contact;
    }
    println!("{plays} plays, {questions} times in contact");
    assert!(questions > plays * 1000);
}

#[test]
fn of_two_that_reach_each_other_by_nobody_one_alone_has_the_duties() {
    for (replicas, pair) in [(3, [0, 1]), (3, [0, 2]), (5, [0, 1]), (9, [0, 1])] {
        let mut world = settled(replicas, 0);
        world.set_cut(&pair, &pair, true);
        let end = world.now + CUT_FOR;
        while world.now < end {
            world.pass(Duration::from_millis(10));
            assert_eq!(world.holders(), [0], "{pair:?} of {replicas}");
        }
        assert_eq!(world.broken, None);
        assert!((0..replicas).all(|place| world.is_in_contact(place)));
    }
}
