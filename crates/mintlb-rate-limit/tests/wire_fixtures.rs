//! The datagrams of the fleet's limits. Members of different versions exchange them during an update, so that a change of
//! the source, such as a renaming, must leave each of them as it is in `fixtures/letters.txt`. By the ids that are made
//! of names, among them that of a budget, two members mean the same: `fixtures/ids.txt`.

#[path = "../../mintlb-scheduler/tests/fixture/mod.rs"]
mod fixture;

use mintlb_rate_limit::config::{Config, MemberConfig};
use mintlb_rate_limit::fleet::Fleet;
use mintlb_rate_limit::word::{Amount, Letter, Term, Wanted, Word};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::timeout;

const LETTERS: &str = include_str!("fixtures/letters.txt");
const IDS: &str = include_str!("fixtures/ids.txt");

/// So many kinds of words there are, numbered from 0.
const KINDS: u8 = 7;
/// Where a letter without great numbers has the number of its word's kind: behind a first byte and four numbers.
const KIND_AT: usize = 5;

fn letters() -> Vec<(&'static str, Letter)> {
    let term = Term {
        number: 300,
        who: u64::MAX,
        life: 70_000,
    };
    let top = Term {
        number: 301,
        who: 2,
        life: 3,
    };
    let holds = Amount {
        flow: 12_500,
        stock: u32::MAX,
    };
    let wanted = |key: u64| Wanted {
        key,
        holds,
        want: 2_500,
    };
    let words = [
        (
            "ask",
            Word::Ask {
                term,
                number: 9,
                divides: true,
            },
        ),
        (
            "ask-standing",
            Word::Ask {
                term,
                number: u64::MAX,
                divides: false,
            },
        ),
        (
            "vote",
            Word::Vote {
                term,
                number: 9,
                granted: true,
                idle: 4_000,
                top,
            },
        ),
        (
            "vote-refused",
            Word::Vote {
                term,
                number: 9,
                granted: false,
                idle: 0,
                top: term,
            },
        ),
        ("free", Word::Free { number: 200 }),
        (
            "want",
            Word::Want {
                term,
                number: 10,
                accepted: 8,
                of: vec![wanted(1), wanted(u64::MAX)],
            },
        ),
        (
            "want-nothing",
            Word::Want {
                term,
                number: 10,
                accepted: 0,
                of: vec![],
            },
        ),
        (
            "give",
            Word::Give {
                term,
                life: 5,
                number: 10,
                of: vec![(1, holds), (u64::MAX, Amount::NONE)],
            },
        ),
        (
            "give-nothing",
            Word::Give {
                term,
                life: 5,
                number: 10,
                of: vec![],
            },
        ),
        ("lead", Word::Lead { term }),
        ("bye", Word::Bye),
    ];
    let small = |word| Letter {
        fleet: 1,
        from: 2,
        life: 3,
        to: 4,
        word,
    };
    let great = Letter {
        fleet: u64::MAX,
        from: 1 << 40,
        life: 300,
        to: 1 << 63,
        word: Word::Bye,
    };
    words
        .into_iter()
        .map(|(name, word)| (name, small(word)))
        .chain([("bye-of-great-ids", great)])
        .collect()
}

#[test]
fn datagrams_are_written_as_in_the_fixtures() {
    let written: Vec<_> = letters()
        .into_iter()
        .map(|(name, letter)| (name, letter.write().unwrap()))
        .collect();
    fixture::check(LETTERS, &written);
}

#[test]
fn the_fixtures_are_read_as_the_same_letters() {
    let (letters, held) = (letters(), fixture::read(LETTERS));
    assert_eq!(letters.len(), held.len());
    for ((name, letter), (_, bytes)) in letters.into_iter().zip(held) {
        let read = Letter::read(&bytes).unwrap_or_else(|| panic!("{name}: no letter"));
        assert_eq!(read, letter, "{name}");
        assert_eq!(read.write().unwrap(), bytes, "{name}: written again");
    }
}

#[test]
fn every_kind_of_word_has_a_fixture() {
    let held = fixture::read(LETTERS);
    let small = held
        .iter()
        .filter(|(_, bytes)| bytes[1..KIND_AT] == [1, 2, 3, 4]);
    let mut kinds: Vec<u8> = small.map(|(_, bytes)| bytes[KIND_AT]).collect();
    kinds.dedup();
    assert_eq!(kinds, (0..KINDS).collect::<Vec<_>>());
    for zeros in 0..64 {
        let past_the_last = [&[held[0].1[0], 1, 2, 3, 4, KINDS][..], &vec![0; zeros]].concat();
        assert_eq!(
            Letter::read(&past_the_last),
            None,
            "a kind of word without a fixture"
        );
    }
}

/// A member asks its keeper, here a socket of the test's: what it says is known but for its life and its counts.
#[tokio::test]
async fn names_come_to_the_same_ids() {
    let keeper = UdpSocket::bind("127.94.0.2:7").await.unwrap();
    let table = r#"
        members = { first = "127.94.0.1:7", second = "127.94.0.2:7" }
        keepers = ["second"]
        budgets = [{ name = "some", limits = "again", rate = 10.0, burst = 5.0 }]
    "#;
    let plan = MemberConfig::new(toml::from_str::<Config>(table).unwrap(), "first").unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let _member = Fleet::start(plan, 1, log).await.unwrap();
    let mut bytes = [0; 2000];
    let heard = timeout(Duration::from_secs(10), keeper.recv(&mut bytes)).await;
    let letter = Letter::read(&bytes[..heard.expect("no word came").unwrap()]).unwrap();
    let Word::Want { of, .. } = &letter.word else {
        panic!("it asks for its parts first: {letter:?}")
    };
    let [budget] = &of[..] else {
        panic!("one budget: {of:?}")
    };
    let ids = [
        ("fleet", letter.fleet),
        ("from", letter.from),
        ("to", letter.to),
        ("budget", budget.key),
    ];
    fixture::check(
        IDS,
        &ids.map(|(name, id)| (name, id.to_be_bytes().to_vec())),
    );
}
