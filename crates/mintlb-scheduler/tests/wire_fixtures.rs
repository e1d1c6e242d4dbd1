//! The bytes of what schedulers tell one another. Schedulers of different versions do so during an update, so that a
//! change of the source, such as a renaming, must leave them as they are in `fixtures/words.txt`.

mod fixture;

use mintlb_scheduler::peer_message::{MAX_ENTRIES, PeerMessage};

const WORDS: &str = include_str!("fixtures/words.txt");

fn words() -> Vec<(&'static str, PeerMessage)> {
    vec![
        (
            "nothing-held",
            PeerMessage {
                sent_at: 0.0,
                slots_held: vec![],
            },
        ),
        (
            "some-held",
            PeerMessage {
                sent_at: 1.5,
                slots_held: vec![(0, 0), (258, 1), (65535, 255)],
            },
        ),
        (
            "time-gone-round",
            PeerMessage {
                sent_at: 66.25,
                slots_held: vec![(7, 3)],
            },
        ),
        (
            "as-long-as-can-be",
            PeerMessage {
                sent_at: 60.0,
                slots_held: vec![(772, 5); MAX_ENTRIES],
            },
        ),
    ]
}

#[test]
fn words_are_written_as_in_the_fixtures() {
    let written: Vec<_> = words()
        .into_iter()
        .map(|(name, word)| (name, word.encode()))
        .collect();
    fixture::check(WORDS, &written);
}

#[test]
fn the_fixtures_are_read_as_the_same_words() {
    let (words, held) = (words(), fixture::read(WORDS));
    assert_eq!(words.len(), held.len());
    for ((name, word), (_, bytes)) in words.into_iter().zip(held) {
        let read =
            PeerMessage::decode(word.sent_at, &bytes).unwrap_or_else(|| panic!("{name}: no word"));
        assert_eq!(read, word, "{name}");
        assert_eq!(read.encode(), bytes, "{name}: written again");
    }
}
