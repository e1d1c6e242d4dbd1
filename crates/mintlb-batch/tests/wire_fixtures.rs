//! The bytes of every kind of message and log entry of this crate, compared with those that were written down
//! in `tests/fixtures`. Processes of different versions talk to each other and read each other's disks, so a
//! change of names or of the code's structure must not change a byte. Each kind is there at least once, with
//! all of its fields set and different values in fields of one type, so that exchanged fields are seen.

mod fixture;

use bytes::Bytes;
use minicbor::{Decode, Encode};
use mintlb_batch::entry::*;
use mintlb_batch::epoch_history::{EpochHistory, EpochRun, LogPosition};
use mintlb_batch::framing;
use mintlb_batch::heartbeat::*;
use mintlb_batch::messages::*;
use mintlb_batch::peer::*;
use mintlb_batch::replica::ShardMeta;
use mintlb_common::placement::StoreId;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// A fixture file, of which each line has to be asked for once.
struct Fixtures {
    file: &'static str,
    left: BTreeMap<String, Vec<u8>>,
}

impl Fixtures {
    fn of(file: &'static str) -> Fixtures {
        Fixtures {
            file,
            left: fixture::read(file),
        }
    }

    fn take(&mut self, name: &str) -> Bytes {
        let bytes = self.left.remove(name);
        Bytes::from(bytes.unwrap_or_else(|| panic!("{} has no line {name}", self.file)))
    }

    /// The value encodes to the line's bytes, and these decode to the value and encode to themselves.
    fn check<T>(&mut self, name: &str, value: T, raw: &[u8])
    where
        T: Encode<()> + for<'b> Decode<'b, ()> + PartialEq + Debug,
    {
        let expected = self.take(name);
        let encoded = framing::encode(&value, &[raw]);
        assert_eq!(
            fixture::hex(&encoded),
            fixture::hex(&expected),
            "{name}: encoding"
        );
        let decoded = framing::decode::<T>(&expected);
        let (head, rest) = decoded.unwrap_or_else(|| panic!("{name} can't be decoded"));
        assert_eq!((&head, &rest[..]), (&value, raw), "{name}: decoding");
        let again = framing::encode(&head, &[&rest]);
        assert_eq!(again, expected, "{name}: encoding what was decoded");
        let (head, end) = framing::decode_head::<T>(&expected).unwrap();
        assert_eq!(
            (&head, end),
            (&value, expected.len() - raw.len()),
            "{name}: decoding the head alone"
        );
    }

    /// What a process of an earlier version wrote decodes to the value.
    fn check_earlier<T>(&mut self, name: &str, value: T)
    where
        T: for<'b> Decode<'b, ()> + PartialEq + Debug,
    {
        let bytes = self.take(name);
        let (head, rest) =
            framing::decode::<T>(&bytes).unwrap_or_else(|| panic!("{name} can't be decoded"));
        assert_eq!((head, rest.len()), (value, 0), "{name}: decoding");
    }

    fn end(self) {
        assert!(
            self.left.is_empty(),
            "{}: lines that nothing asked for: {:?}",
            self.file,
            self.left.keys()
        );
    }
}

/// Takes all eight bytes of a number, each another one.
const LONG: u64 = 0x0102_0304_0506_0708;

fn text(text: &str) -> String {
    text.to_string()
}

fn name(id: &str) -> JobName {
    JobName {
        host: text("h.example"),
        id: text(id),
    }
}

fn terms() -> JobTerms {
    JobTerms {
        sent_at_ms: 1_700_000_000_123,
        completion_target_ms: 60_000,
        retention_ms: 86_400_000,
        max_attempts: 5,
    }
}

fn job() -> JobHeader {
    let items = vec![
        ItemHeader {
            id: text("first"),
            tokens: 300,
            length: 7,
        },
        ItemHeader {
            id: text("zweites-\u{fc}"),
            tokens: 70_000,
            length: 0,
        },
    ];
    JobHeader {
        host: text("h.example"),
        id: text("lot-1"),
        route: text("route-1"),
        terms: terms(),
        items,
        tenant: None,
    }
}

fn log() -> EpochHistory {
    let mut log = EpochHistory::default();
    log.extend(24, 2);
    log.extend(300, 9);
    log
}

fn append() -> Append {
    Append {
        previous: LogPosition {
            epoch: 4,
            index: 21,
        },
        through: 300,
        runs: vec![
            EpochRun {
                first: 22,
                epoch: 5,
            },
            EpochRun {
                first: 40,
                epoch: 6,
            },
        ],
        entries: vec![
            EntryLength {
                index: 23,
                length: 1,
            },
            EntryLength {
                index: 260,
                length: 2,
            },
        ],
        commit_index: 280,
        sent_at: LONG,
        jobs: Some(vec![7, 260]),
    }
}

fn leased_items(failures: &[(u32, u32)]) -> LeasedItems {
    let failures = failures.iter().map(|(item, attempts)| ItemFailures {
        item: *item,
        attempts: *attempts,
    });
    LeasedItems {
        job: name("lot-1"),
        items: vec![0, 25, 70_000],
        failures: failures.collect(),
    }
}

fn leased(failures: u32) -> LeasedItemHeader {
    LeasedItemHeader {
        job: name("lot-1"),
        route: text("route-1"),
        terms: terms(),
        index: 1,
        item: text("first"),
        tokens: 300,
        length: 3,
        failures,
        host_placed: None,
        tenant: None,
    }
}

#[test]
fn messages_between_replicas() {
    let mut fixtures = Fixtures::of("peer.txt");
    let mut check = |name: &str, message: PeerMessage, raw: &[u8]| {
        fixtures.check(
            name,
            Envelope {
                from: StoreId(LONG),
                to: StoreId(2),
                shard: 63,
                epoch: 17,
                message,
            },
            raw,
        );
    };
    check("append", PeerMessage::Append(append()), b"xyz");
    check(
        "append_of_nothing",
        PeerMessage::Append(Append::default()),
        b"",
    );
    check(
        "append_without_lots",
        PeerMessage::Append(Append {
            jobs: None,
            ..append()
        }),
        b"xyz",
    );
    check(
        "appended",
        PeerMessage::Appended {
            matched: 300,
            echo: LONG,
        },
        b"",
    );
    check(
        "diverged",
        PeerMessage::Diverged {
            log: log(),
            echo: LONG,
        },
        b"",
    );
    check("fenced", PeerMessage::Fenced, b"");
    check("collect", PeerMessage::NewEpoch, b"");
    check("collected", PeerMessage::EpochAck { log: log() }, b"");
    check(
        "collected_nothing",
        PeerMessage::EpochAck {
            log: EpochHistory::default(),
        },
        b"",
    );
    check("fetch", PeerMessage::Fetch { after: 21 }, b"");
    check("fetched", PeerMessage::Fetched(append()), b"xyz");
    fixtures.end();
}

#[test]
fn requests_of_dispatchers() {
    let mut fixtures = Fixtures::of("calls.txt");
    let mut check = |name: &str, call: StoreRequest, raw: &[u8]| fixtures.check(name, call, raw);
    let submit = Submit {
        epoch: 17,
        owner: LONG,
        max_queued_tokens: 100_000,
        job: job(),
    };
    check("submit", StoreRequest::Submit(submit), b"payload");
    let read = Read {
        job: name("lot-1"),
        start_after: 2,
        wait_ms: 1500,
        max_bytes: 1 << 20,
    };
    check("read", StoreRequest::Read(read), b"");
    check(
        "body",
        StoreRequest::Body(ItemName {
            job: name("lot-1"),
            item: text("first"),
        }),
        b"",
    );
    check("end", StoreRequest::End(name("lot-1")), b"");
    check(
        "lease",
        StoreRequest::Lease(Lease {
            owner: LONG,
            max_items: 32,
        }),
        b"",
    );
    let jobs = vec![leased_items(&[(25, 3), (0, 1)]), leased_items(&[])];
    check(
        "renew",
        StoreRequest::Renew(Renew { owner: LONG, jobs }),
        b"",
    );
    let record = |state| {
        StoreRequest::Record(Record {
            job: name("lot-1"),
            item: 25,
            state,
        })
    };
    check(
        "record_completed",
        record(ItemState::Completed),
        b"{\"text\":1}",
    );
    check(
        "record_unrecoverable",
        record(ItemState::Unrecoverable),
        b"",
    );
    check("release", StoreRequest::Release(LONG), b"");
    let release_items = ReleaseItems {
        owner: LONG,
        jobs: vec![leased_items(&[])],
    };
    check(
        "release_items",
        StoreRequest::ReleaseItems(release_items),
        b"",
    );
    let renew = StoreRequest::Renew(Renew {
        owner: LONG,
        jobs: vec![leased_items(&[])],
    });
    fixtures.check_earlier("earlier_renew_without_failures", renew);
    fixtures.end();
}

#[test]
fn responses_of_stores() {
    let mut fixtures = Fixtures::of("answers.txt");
    let mut check =
        |name: &str, answer: StoreResponse, raw: &[u8]| fixtures.check(name, answer, raw);
    check("not_in_charge", StoreResponse::NotPrimary, b"");
    check("unsure", StoreResponse::Indeterminate, b"");
    check("unknown", StoreResponse::NotFound, b"");
    check(
        "accepted_leased",
        StoreResponse::Accepted { leased: true },
        b"",
    );
    check("accepted", StoreResponse::Accepted { leased: false }, b"");
    check("quota_full", StoreResponse::QuotaExceeded, b"");
    check("conflict", StoreResponse::Conflict, b"");
    check("disk_full", StoreResponse::DiskFull, b"");
    let results = vec![
        PageResult {
            item: text("first"),
            state: ItemState::Completed,
            length: 2,
        },
        PageResult {
            item: text("second"),
            state: ItemState::Unrecoverable,
            length: 3,
        },
    ];
    check(
        "page",
        StoreResponse::Page(Page {
            total: 300,
            next: 2,
            results,
        }),
        b"{}[1]",
    );
    check("body", StoreResponse::Body, b"payload");
    check("ended", StoreResponse::Ended, b"");
    check(
        "leased",
        StoreResponse::Leased(vec![leased(4), leased(0)]),
        b"abcdef",
    );
    check("leased_nothing", StoreResponse::Leased(Vec::new()), b"");
    check(
        "renewed",
        StoreResponse::Renewed(RenewResult {
            lost: vec![leased_items(&[(25, 3)])],
            open: 40,
        }),
        b"",
    );
    check(
        "renewed_all",
        StoreResponse::Renewed(RenewResult::default()),
        b"",
    );
    check("recorded", StoreResponse::Recorded, b"");
    check("released", StoreResponse::Released, b"");
    fixtures.check_earlier(
        "earlier_leased_without_failures",
        StoreResponse::Leased(vec![leased(0)]),
    );
    fixtures.end();
}

#[test]
fn heartbeats_of_stores() {
    let mut fixtures = Fixtures::of("heartbeats.txt");
    let shards = vec![
        ShardReport {
            shard: 63,
            epoch: 17,
            active: true,
            caught_up: vec![StoreId(LONG), StoreId(2)],
        },
        ShardReport {
            shard: 0,
            epoch: 300,
            active: false,
            caught_up: Vec::new(),
        },
    ];
    let heartbeat = |shards, draining| StoreHeartbeat {
        id: StoreId(LONG),
        node_name: text("node-1"),
        address: text("10.0.0.1:7001"),
        zone: text("zone-b"),
        shards,
        placement: 19,
        draining,
        region: None,
        counts_toward_quorum: None,
    };
    fixtures.check("heartbeat", heartbeat(shards, false), b"");
    fixtures.check("heartbeat_leaving", heartbeat(Vec::new(), true), b"");
    fixtures.end();
}

#[test]
fn a_heartbeat_with_a_region() {
    let heartbeat = StoreHeartbeat {
        id: StoreId(LONG),
        node_name: text("node-1"),
        address: text("10.0.0.1:7001"),
        zone: text("zone-b"),
        shards: Vec::new(),
        placement: 19,
        draining: false,
        region: Some(text("region-1")),
        counts_toward_quorum: None,
    };
    let mut fixtures = Fixtures::of("failure_domains.txt");
    fixtures.check("heartbeat_with_region", heartbeat.clone(), b"");
    let uncounted = StoreHeartbeat {
        counts_toward_quorum: Some(false),
        ..heartbeat
    };
    fixtures.check("heartbeat_uncounted", uncounted, b"");
    fixtures.end();
}

#[test]
fn entries_of_a_log() {
    let mut fixtures = Fixtures::of("entries.txt");
    fixtures.check("begin", Entry::EpochStart, b"");
    fixtures.check("accepted", Entry::Accepted(job()), b"payload");
    fixtures.check("accepted_stripped", Entry::Accepted(job()), b"");
    let result = |state| Entry::Result {
        job: 260,
        item: 1,
        state,
    };
    fixtures.check(
        "result_completed",
        result(ItemState::Completed),
        b"{\"text\":1}",
    );
    fixtures.check(
        "result_unrecoverable",
        result(ItemState::Unrecoverable),
        b"",
    );
    fixtures.check("ended", Entry::Ended { job: 260 }, b"");
    let attempts_failed = Entry::AttemptsFailed {
        job: 260,
        item: 1,
        attempts: 2,
    };
    fixtures.check("attempts_failed", attempts_failed, b"");
    fixtures.check(
        "meta",
        ShardMeta {
            current_epoch: 10,
            log: log(),
            commit_index: 280,
        },
        b"",
    );
    fixtures.check("meta_of_nothing", ShardMeta::default(), b"");
    let headers = vec![
        (text("content-type"), text("application/json")),
        (text("x-a"), text("")),
    ];
    let payload = ItemPayload {
        path: text("/v1/completions"),
        headers,
    };
    fixtures.check("payload", payload.clone(), b"{\"prompt\":\"a\"}");
    fixtures.check("payload_of_nothing", ItemPayload::default(), b"");
    fixtures.end();

    let expected = Bytes::from(fixture::read("entries.txt")["payload"].clone());
    assert_eq!(payload.encode(b"{\"prompt\":\"a\"}"), expected);
    assert_eq!(
        ItemPayload::decode(&expected),
        Some((payload, Bytes::from_static(b"{\"prompt\":\"a\"}")))
    );
}

#[test]
fn messages_and_entries_of_tenants() {
    let mut fixtures = Fixtures::of("tenants.txt");
    let tenant = || Some(text("t-1"));
    let accepted = JobHeader {
        tenant: tenant(),
        ..job()
    };
    fixtures.check("accepted", Entry::Accepted(accepted), b"payload");
    for (name, tenant) in [("for_tenant", tenant()), ("for_no_tenant", None)] {
        let request = TenantRequest {
            tenant,
            request: StoreRequest::End(self::name("lot-1")),
        };
        fixtures.check(name, StoreRequest::ForTenant(Box::new(request)), b"");
    }
    fixtures.check("other_tenant", StoreResponse::OtherTenant, b"");
    let leased = LeasedItemHeader {
        tenant: tenant(),
        ..leased(4)
    };
    fixtures.check("leased", StoreResponse::Leased(vec![leased]), b"abc");
    fixtures.end();
}
