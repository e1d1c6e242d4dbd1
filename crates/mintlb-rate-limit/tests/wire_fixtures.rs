//! The datagrams between members. Members of different versions exchange them during an update, so a change of the
//! source, such as a rename, must leave each of them as it is in `fixtures/letters.txt`. The ids that are hashes of
//! names, such as a budget's key, must be the same in all members, too: `fixtures/ids.txt`.

#[path = "../../mintlb-scheduler/tests/fixture/mod.rs"]
mod fixture;

use mintlb_rate_limit::config::{Config, MemberConfig};
use mintlb_rate_limit::fleet::Fleet;
use mintlb_rate_limit::message::{Amount, BudgetDemand, Datagram, Message, Term};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::timeout;

const DATAGRAMS: &str = include_str!("fixtures/letters.txt");
const IDS: &str = include_str!("fixtures/ids.txt");

/// The number of kinds of messages, which are numbered from 0.
const KINDS: u8 = 7;
/// The offset of the message's kind in a datagram whose ids are below 128: after the first byte and four ids.
const KIND_OFFSET: usize = 5;

fn datagrams() -> Vec<(&'static str, Datagram)> {
    let term = Term {
        number: 300,
        member: u64::MAX,
        incarnation: 70_000,
    };
    let latest_term = Term {
        number: 301,
        member: 2,
        incarnation: 3,
    };
    let held = Amount {
        rate_milli: 12_500,
        burst_milli: u32::MAX,
    };
    let demand = |key: u64| BudgetDemand {
        key,
        held,
        demand_milli: 2_500,
    };
    let messages = [
        (
            "ask",
            Message::VoteRequest {
                term,
                number: 9,
                is_coordinator: true,
            },
        ),
        (
            "ask-standing",
            Message::VoteRequest {
                term,
                number: u64::MAX,
                is_coordinator: false,
            },
        ),
        (
            "vote",
            Message::VoteResponse {
                term,
                number: 9,
                granted: true,
                idle_ms: 4_000,
                latest_term,
            },
        ),
        (
            "vote-refused",
            Message::VoteResponse {
                term,
                number: 9,
                granted: false,
                idle_ms: 0,
                latest_term: term,
            },
        ),
        ("free", Message::ReleaseVote { number: 200 }),
        (
            "want",
            Message::ShareRequest {
                term,
                number: 10,
                accepted: 8,
                demands: vec![demand(1), demand(u64::MAX)],
            },
        ),
        (
            "want-nothing",
            Message::ShareRequest {
                term,
                number: 10,
                accepted: 0,
                demands: vec![],
            },
        ),
        (
            "give",
            Message::ShareGrant {
                term,
                incarnation: 5,
                number: 10,
                amounts: vec![(1, held), (u64::MAX, Amount::NONE)],
            },
        ),
        (
            "give-nothing",
            Message::ShareGrant {
                term,
                incarnation: 5,
                number: 10,
                amounts: vec![],
            },
        ),
        ("lead", Message::CoordinatorHint { term }),
        ("bye", Message::Leave),
    ];
    let with_small_ids = |message| Datagram {
        fleet: 1,
        from: 2,
        incarnation: 3,
        to: 4,
        message,
    };
    let with_large_ids = Datagram {
        fleet: u64::MAX,
        from: 1 << 40,
        incarnation: 300,
        to: 1 << 63,
        message: Message::Leave,
    };
    messages
        .into_iter()
        .map(|(name, message)| (name, with_small_ids(message)))
        .chain([("bye-of-great-ids", with_large_ids)])
        .collect()
}

#[test]
fn datagrams_are_encoded_as_in_the_fixtures() {
    let encoded: Vec<_> = datagrams()
        .into_iter()
        .map(|(name, datagram)| (name, datagram.encode().unwrap()))
        .collect();
    fixture::check(DATAGRAMS, &encoded);
}

#[test]
fn fixtures_decode_to_the_same_datagrams() {
    let (datagrams, fixtures) = (datagrams(), fixture::read(DATAGRAMS));
    assert_eq!(datagrams.len(), fixtures.len());
    for ((name, datagram), (_, bytes)) in datagrams.into_iter().zip(fixtures) {
        let decoded = Datagram::decode(&bytes).unwrap_or_else(|| panic!("{name}: not decoded"));
        assert_eq!(decoded, datagram, "{name}");
        assert_eq!(decoded.encode().unwrap(), bytes, "{name}: encoded again");
    }
}

#[test]
fn every_kind_of_message_has_a_fixture() {
    let fixtures = fixture::read(DATAGRAMS);
    let with_small_ids = fixtures
        .iter()
        .filter(|(_, bytes)| bytes[1..KIND_OFFSET] == [1, 2, 3, 4]);
    let mut kinds: Vec<u8> = with_small_ids
        .map(|(_, bytes)| bytes[KIND_OFFSET])
        .collect();
    kinds.dedup();
    assert_eq!(kinds, (0..KINDS).collect::<Vec<_>>());
    for zeros in 0..64 {
        let unknown_kind = [&[fixtures[0].1[0], 1, 2, 3, 4, KINDS][..], &vec![0; zeros]].concat();
        assert_eq!(
            Datagram::decode(&unknown_kind),
            None,
            "a kind of message without a fixture"
        );
    }
}

/// A member sends a share request to its only voter, here a socket of the test. The ids in it must be those of the
/// fixtures.
#[tokio::test]
async fn ids_of_names_are_those_in_the_fixtures() {
    let voter = UdpSocket::bind("127.94.0.2:7").await.unwrap();
    let settings = r#"
        members = { first = "127.94.0.1:7", second = "127.94.0.2:7" }
        keepers = ["second"]
        budgets = [{ name = "some", limits = "again", rate = 10.0, burst = 5.0 }]
    "#;
    let config = MemberConfig::new(toml::from_str::<Config>(settings).unwrap(), "first").unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let _member = Fleet::start(config, 1, log).await.unwrap();
    let mut bytes = [0; 2000];
    let received = timeout(Duration::from_secs(10), voter.recv(&mut bytes)).await;
    let datagram =
        Datagram::decode(&bytes[..received.expect("no datagram within 10 s").unwrap()]).unwrap();
    let Message::ShareRequest { demands, .. } = &datagram.message else {
        panic!("the first message is a share request: {datagram:?}")
    };
    let [budget] = &demands[..] else {
        panic!("one budget: {demands:?}")
    };
    let ids = [
        ("fleet", datagram.fleet),
        ("from", datagram.from),
        ("to", datagram.to),
        ("budget", budget.key),
    ];
    fixture::check(
        IDS,
        &ids.map(|(name, id)| (name, id.to_be_bytes().to_vec())),
    );
}
