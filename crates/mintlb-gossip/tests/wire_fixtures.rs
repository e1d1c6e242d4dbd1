//! The bytes of the gossip messages. Processes of different versions exchange them during an
//! update, so that a change of the source, such as a renaming, must leave each of them as it is in
//! `fixtures/messages.txt`. The digest of a table is compared between processes, too:
//! `fixtures/digest.txt`.

#[path = "../../mintlb-scheduler/tests/fixture/mod.rs"]
mod fixture;

use bytes::Bytes;
use mintlb_common::incarnation::Incarnation;
use mintlb_common::record::Record;
use mintlb_gossip::RecordId;
use mintlb_gossip::anti_entropy::AntiEntropy;
use mintlb_gossip::effects::{Effect, Effects};
use mintlb_gossip::message::{
    Ack, BucketVersions, DirectPush, Fetch, Gossip, Graft, Heartbeat, IHave, Member,
    MemberDescriptor, Message, NeighborReply, NeighborRequest, Probe, RecordFrame, RecordVersion,
    Records, Role, Shuffle,
};
use mintlb_gossip::record_store::RecordStore;
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

fn record_version(id: u64, version: u64) -> RecordVersion {
    RecordVersion {
        id: RecordId::new(id),
        version,
    }
}

fn frame(key: &str, ttl_s: u32) -> RecordFrame {
    let body = Bytes::from_static(&[0, 1, 0x7f, 0xff]);
    RecordFrame {
        key: key.into(),
        version: 70_000,
        ttl_s,
        remaining_ms: 299_500,
        body,
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let first = member("127.0.0.1:7000", 1, Role::Dispatcher);
    let second = member("10.250.3.4:65535", u64::MAX, Role::Controller);
    let third = member("192.168.0.9:1", 0x1234_5678_9abc_def0, Role::Store);
    let descriptor = |member: &Member, age_s: u32| MemberDescriptor {
        member: member.clone(),
        age_s,
    };
    let sample = vec![descriptor(&second, 0), descriptor(&third, 100_000)];
    let reply = |member: &Member| NeighborReply {
        member: member.clone(),
        sample: sample.clone(),
        lost_neighbors: vec![descriptor(&first, 30)],
    };
    let entries = Shuffle {
        entries: sample.clone(),
    };
    let versions = vec![record_version(0, 1), record_version(u64::MAX, 300)];
    vec![
        (
            "neighbour",
            Message::Neighbor(NeighborRequest {
                member: first.clone(),
                high_priority: true,
                sample: sample.clone(),
            }),
        ),
        (
            "neighbour-alone",
            Message::Neighbor(NeighborRequest {
                member: third.clone(),
                high_priority: false,
                sample: vec![],
            }),
        ),
        ("accepted", Message::NeighborAccepted(reply(&second))),
        ("refused", Message::NeighborRejected(reply(&third))),
        (
            "refused-empty",
            Message::NeighborRejected(NeighborReply {
                member: first.clone(),
                sample: vec![],
                lost_neighbors: vec![],
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
            Message::Heartbeat(Heartbeat {
                table_hash: 1 << 40,
                record_count: 9,
                bucket_hashes: vec![1, 2, 3, 4].into(),
            }),
        ),
        (
            "ping-same",
            Message::Heartbeat(Heartbeat {
                table_hash: 1,
                record_count: 1000,
                bucket_hashes: vec![].into(),
            }),
        ),
        (
            "listing",
            Message::BucketVersions(BucketVersions {
                buckets: vec![0, 63].into(),
                versions: versions.clone(),
            }),
        ),
        (
            "fetch",
            Message::Fetch(Fetch {
                ids: [1, 256, u64::MAX].map(RecordId::new).to_vec(),
            }),
        ),
        (
            "records",
            Message::Records(Records {
                records: vec![frame("key-1", 600), frame("key-2", 0)],
                incomplete_buckets: vec![7, 40].into(),
            }),
        ),
        (
            "push",
            Message::Gossip(Gossip {
                records: vec![frame("key-1", 600)],
                ack_requested: true,
            }),
        ),
        (
            "push-unconfirmed",
            Message::Gossip(Gossip {
                records: vec![],
                ack_requested: false,
            }),
        ),
        (
            "announce",
            Message::IHave(IHave {
                versions: versions.clone(),
            }),
        ),
        (
            "graft",
            Message::Graft(Graft {
                ids: [5, 70_000].map(RecordId::new).to_vec(),
            }),
        ),
        ("prune", Message::Prune),
        (
            "offer",
            Message::DirectPush(DirectPush {
                record: frame("key-1", 600),
            }),
        ),
        ("have", Message::Ack(Ack { versions })),
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
    let (messages, stored) = (messages(), fixture::read(MESSAGES));
    assert_eq!(messages.len(), stored.len());
    for ((name, message), (_, bytes)) in messages.into_iter().zip(stored) {
        let read = Message::from_bytes(&bytes).unwrap_or_else(|error| panic!("{name}: {error}"));
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
        store.apply_local(
            now,
            Record {
                key: key.into(),
                version,
                ttl_s: 600,
                body,
            },
        );
    }
    AntiEntropy::default().neighbor_up("127.0.0.1:7000".parse().unwrap(), &store, &mut effects);
    let sent = effects.into_vec();
    let [Effect::Send { body, .. }] = &sent[..] else {
        panic!("one message to a new neighbor: {sent:?}")
    };
    let id = |key: &str| RecordId::of_key(key).number().to_be_bytes().to_vec();
    let written = [
        ("id-of-empty", id("")),
        ("id-of-key", id("key-1")),
        ("ping-of-three", body.to_vec()),
    ];
    fixture::check(DIGEST, &written);
}
