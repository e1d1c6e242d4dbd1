//! The history of applied configurations: what it tells of old ones, what it costs, and values of the first release,
//! which had another history.

use crate::support::cluster::Cluster;
use crate::support::{configuration, replica, replica_set};
use minicbor::{Decode, Encode, Encoder};
use mintlb_common::placement::Placement;
use mintlb_register::applied_history::{AppliedHistory, HistoryLookup, MAX_ENTRIES};
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::replica_set::ReplicaSet;
use mintlb_register::state::ControlState;

/// Two texts with the same FNV-1a hash of 64 bits.
const COLLIDING: (&str, &str) = ("7mohtcOFVz", "c1E51sSEyx");

/// The configuration with this version, on the version before.
pub fn numbered(version: u64) -> Change {
    configuration(version - 1, version, &format!("text {version}"))
}

/// A cluster of three to which versions 1 to `last` were applied.
pub fn after_changes(last: u64) -> Cluster {
    let mut cluster = Cluster::new(3);
    for version in 1..=last {
        assert_eq!(
            cluster.outcome(numbered(version)),
            Some(ChangeOutcome::Applied)
        );
    }
    cluster
}

#[test]
fn each_of_hundreds_of_configurations_is_acknowledged_again() {
    let mut cluster = after_changes(500);
    for version in 1..=500 {
        assert_eq!(
            cluster.outcome(numbered(version)),
            Some(ChangeOutcome::AlreadyApplied),
            "version {version}"
        );
        let another = configuration(version - 1, version, "another text");
        assert_eq!(
            cluster.outcome(another),
            Some(ChangeOutcome::StaleBase),
            "version {version}"
        );
    }
    assert_eq!(cluster.read().configuration_version, 500);
}

#[test]
fn a_configuration_older_than_the_history_is_neither_acknowledged_nor_rejected_as_stale() {
    let last = MAX_ENTRIES as u64 + 5;
    let mut cluster = after_changes(last);
    let newest = cluster.read();
    assert_eq!(
        newest.applied_history.as_ref().map(AppliedHistory::len),
        Some(MAX_ENTRIES)
    );
    for version in 1..=4 {
        assert_eq!(
            cluster.outcome(numbered(version)),
            Some(ChangeOutcome::HistoryCompacted),
            "version {version}"
        );
    }
    for version in [5, 6, 77, last - 1, last] {
        assert_eq!(
            cluster.outcome(numbered(version)),
            Some(ChangeOutcome::AlreadyApplied),
            "version {version}"
        );
    }
}

#[test]
fn the_history_costs_few_bytes_a_change() {
    let size = |changes| {
        let newest = after_changes(changes).read();
        minicbor::to_vec(newest).unwrap().len()
    };
    let sizes: Vec<usize> = [10, 100, 500].map(size).to_vec();
    println!("the value after 10, 100, 500 changes: {sizes:?} bytes");
    assert!(sizes[2] - sizes[0] <= 490 * 18, "{sizes:?}");
    const { assert!(MAX_ENTRIES * 26 < 128 << 10) };
}

/// A value as the first release has written it: six fields, of which the last one lists the latest configurations, each
/// with its version and a digest of 64 bits.
fn value_of_the_first_release() -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut encoder = Encoder::new(&mut bytes);
    encoder.array(6).unwrap().u64(40).unwrap();
    encoder.encode(replica_set((1..=3).map(replica))).unwrap();
    encoder.u64(9).unwrap().bytes(b"text 9").unwrap();
    encoder.encode(Placement::default()).unwrap();
    encoder.array(2).unwrap();
    for (version, digest) in [(8, 0x1234_5678_9abc_def0), (9, 0xfedc_ba98_7654_3210)] {
        encoder.array(2).unwrap();
        encoder.u64(version).unwrap().u64(digest).unwrap();
    }
    bytes
}

#[test]
fn a_value_of_the_first_release_is_read_and_claims_nothing_of_its_older_configurations() {
    let state: ControlState = minicbor::decode(&value_of_the_first_release()).unwrap();
    assert_eq!((state.revision, state.configuration_version), (40, 9));
    for (version, text, found) in [
        (9, "text 9", HistoryLookup::Applied),
        (9, "another", HistoryLookup::NotApplied),
        (8, "text 8", HistoryLookup::Compacted),
    ] {
        let lookup = state.lookup_configuration(version, text.as_bytes());
        assert_eq!(lookup, found, "{version}, {text}");
    }
    let mut cluster = Cluster::with_state(state);
    for (change, outcome) in [
        (numbered(8), ChangeOutcome::HistoryCompacted),
        (numbered(10), ChangeOutcome::Applied),
        (numbered(8), ChangeOutcome::HistoryCompacted),
        (numbered(9), ChangeOutcome::AlreadyApplied),
        (configuration(8, 9, "another"), ChangeOutcome::StaleBase),
    ] {
        let shown = format!("{change:?}");
        assert_eq!(cluster.outcome(change), Some(outcome), "{shown}");
    }
    let state = cluster.read();
    let again: ControlState = minicbor::decode(&minicbor::to_vec(&state).unwrap()).unwrap();
    assert_eq!(again, state);
}

/// The value as the first release reads and writes it.
#[derive(Encode, Decode)]
struct FirstReleaseState {
    #[n(0)]
    revision: u64,
    #[n(1)]
    replicas: ReplicaSet,
    #[n(2)]
    configuration_version: u64,
    #[cbor(n(3), with = "minicbor::bytes")]
    configuration: Vec<u8>,
    #[n(4)]
    placement: Placement,
    #[n(5)]
    history: Vec<(u64, u64)>,
}

#[test]
fn the_first_release_reads_the_value_and_what_it_writes_is_read_again() {
    let state = after_changes(30).read();
    let bytes = minicbor::to_vec(&state).unwrap();
    let mut first: FirstReleaseState = minicbor::decode(&bytes).unwrap();
    assert_eq!(
        (first.revision, first.configuration_version),
        (state.revision, 30)
    );
    assert_eq!(
        (first.configuration.as_slice(), first.history.len()),
        (b"text 30".as_slice(), 0)
    );
    (first.revision, first.configuration_version) = (state.revision + 1, 31);
    (first.configuration, first.history) = (b"text 31".to_vec(), vec![(31, 99)]);
    let written: ControlState = minicbor::decode(&minicbor::to_vec(&first).unwrap()).unwrap();
    assert_eq!(
        written.lookup_configuration(31, b"text 31"),
        HistoryLookup::Applied
    );
    assert_eq!(
        written.lookup_configuration(30, b"text 30"),
        HistoryLookup::Compacted,
        "it has lost the history"
    );
}

#[test]
fn texts_with_the_same_fnv_hash_are_distinguished() {
    // The first release compared configurations by this hash.
    let (one, other) = COLLIDING;
    let fnv_1a = |text: &str| {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
    };
    assert_eq!(fnv_1a(one), fnv_1a(other));
    let mut cluster = Cluster::new(3);
    assert_eq!(
        cluster.outcome(configuration(0, 4, one)),
        Some(ChangeOutcome::Applied)
    );
    assert_eq!(
        cluster.outcome(configuration(0, 4, other)),
        Some(ChangeOutcome::StaleBase)
    );
    cluster.outcome(configuration(4, 5, "next"));
    assert_eq!(
        cluster.outcome(configuration(0, 4, other)),
        Some(ChangeOutcome::StaleBase)
    );
    assert_eq!(
        cluster.outcome(configuration(0, 4, one)),
        Some(ChangeOutcome::AlreadyApplied)
    );
}
