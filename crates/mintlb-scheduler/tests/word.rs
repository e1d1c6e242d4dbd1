//! What schedulers tell one another, as bytes.

use mintlb_scheduler::word::{LONGEST, MOST, Word};

#[test]
fn words_come_back_as_they_were_written() {
    for (holds, sent, age) in [
        (vec![], 100.0, 0.0),
        (vec![(0, 0), (65535, 255)], 100.25, 0.02),
        // The two bytes of time go round between writing and reading.
        (vec![(7, 1)], 65.5, 0.1),
        (vec![(7, 1)], 1.7e9, 30.0),
        // A clock that is ahead of ours.
        (vec![(7, 1)], 200.0, -3.0),
        (vec![(9, 2); MOST], 100.0, 0.0),
    ] {
        let bytes = Word {
            sent,
            holds: holds.clone(),
        }
        .write();
        assert!(bytes.len() <= LONGEST);
        let word = Word::read(sent + age, &bytes).unwrap();
        assert!(
            (word.sent - sent).abs() < 0.002 && word.holds == holds,
            "{sent} {age}: {word:?}"
        );
    }
    let long = Word {
        sent: 1.0,
        holds: vec![(9, 2); MOST + 9],
    }
    .write();
    assert_eq!(Word::read(1.0, &long).unwrap().holds.len(), MOST);
}

#[test]
fn what_is_none_of_ours_is_passed_over() {
    for (bytes, why) in [
        (&[][..], "empty"),
        (&[1, 0], "cut short in the head"),
        (&[1, 0, 0, 9], "cut short in an entry"),
        (&[2, 0, 0, 0, 9, 1], "another first byte"),
        (b"GET /", "another protocol"),
        (&[1; 258], "too long"),
    ] {
        assert_eq!(Word::read(1.0, bytes), None, "{why}");
    }
}
