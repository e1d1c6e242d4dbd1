//! The bytes of what schedulers tell one another. Schedulers of different versions do so during an update, so that a
//! change of the source, such as a renaming, must leave them as they are in `fixtures/words.txt`.

mod fixture;

use mintlb_scheduler::word::{MOST, Word};

const WORDS: &str = include_str!("fixtures/words.txt");

fn words() -> Vec<(&'static str, Word)> {
    vec![
        (
            "nothing-held",
            Word {
                sent: 0.0,
                holds: vec![],
            },
        ),
        (
            "some-held",
            Word {
                sent: 1.5,
                holds: vec![(0, 0), (258, 1), (65535, 255)],
            },
        ),
        (
            "time-gone-round",
            Word {
                sent: 66.25,
                holds: vec![(7, 3)],
            },
        ),
        (
            "as-long-as-can-be",
            Word {
                sent: 60.0,
                holds: vec![(772, 5); MOST],
            },
        ),
    ]
}

#[test]
fn words_are_written_as_in_the_fixtures() {
    let written: Vec<_> = words()
        .into_iter()
        .map(|(name, word)| (name, word.write()))
        .collect();
    fixture::check(WORDS, &written);
}

#[test]
fn the_fixtures_are_read_as_the_same_words() {
    let (words, held) = (words(), fixture::read(WORDS));
    assert_eq!(words.len(), held.len());
    for ((name, word), (_, bytes)) in words.into_iter().zip(held) {
        let read = Word::read(word.sent, &bytes).unwrap_or_else(|| panic!("{name}: no word"));
        assert_eq!(read, word, "{name}");
        assert_eq!(read.write(), bytes, "{name}: written again");
    }
}
