//! The bytes of the overlay's messages. Processes of different versions exchange them during an update, so that a
//! change of the source, such as a renaming, must leave each of them as it is in `fixtures/messages.txt`. The digest of
//! a table is compared between processes, too: `fixtures/digest.txt`.

#[path = "../../mintlb-scheduler/tests/fixture/mod.rs"]
mod fixture;

use bytes::Bytes;
use mintlb_overlay::broadcast::{Announce, Graft, Have, Offer, Push};
use mintlb_overlay::codec::{CarriedRecord, Stamp, record_id};
use mintlb_overlay::digest::{Digests, Fetch, Listing, Ping, Records};
use mintlb_overlay::effects::{Effect, Effects};
use mintlb_overlay::message::{Member, Message, Role};
use mintlb_overlay::table::RecordStore;
use mintlb_overlay::views::{Heard, NeighbourReply, NeighbourRequest, Probe, Shuffle};
use mintlb_tier::incarnation::Incarnation;
use mintlb_tier::record::Record;
use tokio::time::Instant;

const MESSAGES: &str = include_str!("fixtures/messages.txt");
const DIGEST: &str = include_str!("fixtures/digest.txt");

/// So many kinds of messages there are, numbered from 0.
const KINDS: u8 = 18;

fn member(address: &str, incarnation: u64, role: Role) -> Member {
    Member {
        address: address.parse().unwrap(),
        incarnation: Incarnation::from_number(incarnation).unwrap(),
        role,
        node_name: "machine-é".into(),
        zone: "zone-1".into(),
    }
}

fn stamp(id: u64, version: u64) -> Stamp {
    Stamp { id, version }
}

fn carried(key: &str, lifetime_s: u32) -> CarriedRecord {
    let body = Bytes::from_static(&[0, 1, 0x7f, 0xff]);
    CarriedRecord {
        key: key.into(),
        version: 70_000,
        lifetime_s,
        remaining_ms: 299_500,
        body,
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let first = member("127.0.0.1:7000", 1, Role::Dispatcher);
    let second = member("10.250.3.4:65535", u64::MAX, Role::Controller);
    let third = member("192.168.0.9:1", 0x1234_5678_9abc_def0, Role::Store);
    let heard = |member: &Member, age_s: u32| Heard {
        member: member.clone(),
        age_s,
    };
    let sample = vec![heard(&second, 0), heard(&third, 100_000)];
    let reply = |member: &Member| NeighbourReply {
        member: member.clone(),
        sample: sample.clone(),
        lost: vec![heard(&first, 30)],
    };
    let entries = Shuffle {
        entries: sample.clone(),
    };
    let stamps = vec![stamp(0, 1), stamp(u64::MAX, 300)];
    vec![
        (
            "neighbour",
            Message::Neighbour(NeighbourRequest {
                member: first.clone(),
                urgent: true,
                sample: sample.clone(),
            }),
        ),
        (
            "neighbour-alone",
            Message::Neighbour(NeighbourRequest {
                member: third.clone(),
                urgent: false,
                sample: vec![],
            }),
        ),
        ("accepted", Message::Accepted(reply(&second))),
        ("refused", Message::Refused(reply(&third))),
        (
            "refused-empty",
            Message::Refused(NeighbourReply {
                member: first.clone(),
                sample: vec![],
                lost: vec![],
            }),
        ),
        ("disconnect", Message::Disconnect),
        ("shuffle", Message::Shuffle(entries.clone())),
        ("shuffle-reply", Message::ShuffleReply(entries)),
        (
            "probe",
            Message::Probe(Probe {
                member: first,
                table_hash: u64::MAX,
            }),
        ),
        (
            "probe-reply",
            Message::ProbeReply(Probe {
                member: second,
                table_hash: 0,
            }),
        ),
        (
            "ping",
            Message::Ping(Ping {
                hash: 1 << 40,
                records: 9,
                buckets: vec![1, 2, 3, 4].into(),
            }),
        ),
        (
            "ping-same",
            Message::Ping(Ping {
                hash: 1,
                records: 1000,
                buckets: vec![].into(),
            }),
        ),
        (
            "listing",
            Message::Listing(Listing {
                buckets: vec![0, 63].into(),
                stamps: stamps.clone(),
            }),
        ),
        (
            "fetch",
            Message::Fetch(Fetch {
                ids: vec![1, 256, u64::MAX],
            }),
        ),
        (
            "records",
            Message::Records(Records {
                records: vec![carried("key-1", 600), carried("key-2", 0)],
                unfinished: vec![7, 40].into(),
            }),
        ),
        (
            "push",
            Message::Push(Push {
                records: vec![carried("key-1", 600)],
                confirm: true,
            }),
        ),
        (
            "push-unconfirmed",
            Message::Push(Push {
                records: vec![],
                confirm: false,
            }),
        ),
        (
            "announce",
            Message::Announce(Announce {
                stamps: stamps.clone(),
            }),
        ),
        (
            "graft",
            Message::Graft(Graft {
                ids: vec![5, 70_000],
            }),
        ),
        ("prune", Message::Prune),
        (
            "offer",
            Message::Offer(Offer {
                record: carried("key-1", 600),
            }),
        ),
        ("have", Message::Have(Have { stamps })),
    ]
}

#[test]
fn messages_are_written_as_in_the_fixtures() {
    let written: Vec<_> = messages()
        .into_iter()
        .map(|(name, message)| (name, message.to_bytes().to_vec()))
        .collect();
    fixture::check(MESSAGES, &written);
}

#[test]
fn the_fixtures_are_read_as_the_same_messages() {
    let (messages, held) = (messages(), fixture::read(MESSAGES));
    assert_eq!(messages.len(), held.len());
    for ((name, message), (_, bytes)) in messages.into_iter().zip(held) {
        let read = Message::from_bytes(&bytes).unwrap_or_else(|| panic!("{name}: no message"));
        assert_eq!(read, message, "{name}");
        assert_eq!(read.to_bytes(), bytes, "{name}: written again");
    }
}

/// A message is an array of its kind's number and its content.
#[test]
fn every_kind_has_a_fixture() {
    let mut kinds: Vec<u8> = fixture::read(MESSAGES)
        .iter()
        .map(|(_, bytes)| bytes[1])
        .collect();
    kinds.dedup();
    assert_eq!(kinds, (0..KINDS).collect::<Vec<_>>());
    let past_the_last = minicbor::decode::<Message>(&[0x82, KINDS, 0x80]);
    assert!(
        past_the_last.is_err_and(|e| e.is_unknown_variant()),
        "a kind of message without a fixture"
    );
}

#[test]
fn the_digest_of_a_table_is_as_in_the_fixtures() {
    let (mut store, mut effects, now) =
        (RecordStore::default(), Effects::default(), Instant::now());
    for (key, version) in [("key-1", 1), ("key-2", 70_000), ("key-3", u64::MAX)] {
        let body = Bytes::from_static(b"body");
        store.publish(
            now,
            Record {
                key: key.into(),
                version,
                lifetime_s: 600,
                body,
            },
        );
    }
    Digests::default().link_up("127.0.0.1:7000".parse().unwrap(), &store, &mut effects);
    let sent = effects.into_list();
    let [Effect::Send { body, .. }] = &sent[..] else {
        panic!("one message to a new neighbour: {sent:?}")
    };
    let id = |key: &str| record_id(key).to_be_bytes().to_vec();
    let written = [
        ("id-of-empty", id("")),
        ("id-of-key", id("key-1")),
        ("ping-of-three", body.to_vec()),
    ];
    fixture::check(DIGEST, &written);
}
