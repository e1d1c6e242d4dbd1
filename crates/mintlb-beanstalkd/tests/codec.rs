//! Commands out of bytes, whichever way these come.

use bytes::BytesMut;
use mintlb_beanstalkd::codec::{Fault, Item, LINE, Reader};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MOST: usize = 100;

/// The items of these pieces, one after another, and the most bytes that were kept meanwhile.
fn read(pieces: &[&[u8]]) -> (Vec<Item>, usize) {
    let (mut reader, mut bytes, mut items, mut kept) =
        (Reader::new(MOST), BytesMut::new(), Vec::new(), 0);
    for piece in pieces {
        bytes.extend_from_slice(piece);
        items.extend(std::iter::from_fn(|| reader.next(&mut bytes)));
        kept = kept.max(bytes.len());
    }
    (items, kept)
}

/// In short: what came, without its parts.
fn words(items: &[Item]) -> String {
    let said = items.iter().map(|item| match item {
        Item::Coming(n) => format!("coming {n}"),
        Item::Command(command) => format!("{command:?}"),
        Item::Fault(fault) => format!("! {fault:?}"),
    });
    said.collect::<Vec<_>>().join("; ")
}

#[test]
fn bytes_are_commands_or_faults() {
    let long = format!("use {}\r\nstats\r\n", "x".repeat(201));
    let longer = format!("use {}\r\nstats\r\n", "x".repeat(LINE));
    let largest = format!("put 0 0 1 {MOST}\r\n{}\r\n", "b".repeat(MOST));
    let large = format!(
        "put 0 0 1 {}\r\n{}\r\nstats\r\n",
        MOST + 1,
        "b".repeat(MOST + 1)
    );
    let cases: [(&str, &[u8], &str); 34] = [
        (
            "a put",
            b"put 1 2 3 2\r\nhi\r\n",
            "coming 2; Put(Put { priority: 1, delay: 2, ttr: 3, bytes: 2 }, b\"hi\")",
        ),
        (
            "an empty one",
            b"put 0 0 1 0\r\n\r\n",
            "coming 0; Put(Put { priority: 0, delay: 0, ttr: 1, bytes: 0 }, b\"\")",
        ),
        (
            "its bytes may be commands",
            b"put 0 0 1 7\r\nquit\r\nx\r\n",
            "coming 7; Put(Put { priority: 0, delay: 0, ttr: 1, bytes: 7 }, b\"quit\\r\\nx\")",
        ),
        (
            "not followed by an end",
            b"put 0 0 1 2\r\nhi!!stats\r\n",
            "coming 2; ! ExpectedCrlf; Stats",
        ),
        ("without a length", b"put 0 0 1\r\n", "! Unframed"),
        ("of a length below none", b"put 0 0 1 -5\r\n", "! Unframed"),
        (
            "a priority past 32 bits",
            b"put 4294967296 0 1 2\r\n",
            "! Unframed",
        ),
        (
            "the largest",
            largest.as_bytes(),
            &format!(
                "coming {MOST}; Put(Put {{ priority: 0, delay: 0, ttr: 1, bytes: {MOST} }}, b\"{}\")",
                "b".repeat(MOST)
            ),
        ),
        (
            "too large",
            large.as_bytes(),
            "coming 0; ! JobTooBig; Stats",
        ),
        (
            "of absurd length",
            b"put 0 0 1 18446744073709551615\r\nxx",
            "coming 0",
        ),
        ("use", b"use a-b+/;.$_()9\r\n", "Use(\"a-b+/;.$_()9\")"),
        (
            "a tube that begins with a hyphen",
            b"use -a\r\n",
            "! BadFormat",
        ),
        ("of other letters", b"use a,b\r\n", "! BadFormat"),
        ("of too many", long.as_bytes(), "! BadFormat; Stats"),
        (
            "past the longest line",
            longer.as_bytes(),
            "! BadFormat; Stats",
        ),
        ("without one", b"watch\r\n", "! BadFormat"),
        ("with two", b"ignore a b\r\n", "! BadFormat"),
        ("with a space behind", b"reserve \r\n", "! BadFormat"),
        ("unknown", b"resurve\r\n", "! UnknownCommand"),
        ("nothing", b"\r\n", "! UnknownCommand"),
        ("of other case", b"RESERVE\r\n", "! UnknownCommand"),
        (
            "a line with half an end",
            b"stats\nstats\r\n",
            "! BadFormat; Stats",
        ),
        ("no text", b"use \xff\r\n", "! BadFormat"),
        ("a number with a sign", b"delete +5\r\n", "! BadFormat"),
        ("a number that is none", b"touch five\r\n", "! BadFormat"),
        (
            "release",
            b"release 7 8 9\r\n",
            "Release { id: 7, priority: 8, delay: 9 }",
        ),
        ("bury", b"bury 7 8\r\n", "Bury { id: 7, priority: 8 }"),
        (
            "reserves",
            b"reserve\r\nreserve-with-timeout 0\r\nreserve-job 3\r\n",
            "Reserve; ReserveWithTimeout(0); ReserveJob(3)",
        ),
        (
            "peeks",
            b"peek 1\r\npeek-ready\r\npeek-delayed\r\npeek-buried\r\n",
            "Peek(1); PeekReady; PeekDelayed; PeekBuried",
        ),
        ("kicks", b"kick 5\r\nkick-job 6\r\n", "Kick(5); KickJob(6)"),
        (
            "lists",
            b"list-tubes\r\nlist-tube-used\r\nlist-tubes-watched\r\n",
            "ListTubes; ListTubeUsed; ListTubesWatched",
        ),
        (
            "stats",
            b"stats\r\nstats-job 1\r\nstats-tube t\r\n",
            "Stats; StatsJob(1); StatsTube(\"t\")",
        ),
        (
            "the rest",
            b"pause-tube t 60\r\ndelete 1\r\ntouch 2\r\nquit\r\n",
            "PauseTube(\"t\", 60); Delete(1); Touch(2); Quit",
        ),
        ("half a command", b"reserv", ""),
    ];
    for (shown, bytes, expected) in cases {
        assert_eq!(words(&read(&[bytes]).0), expected, "{shown}");
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(words(&read(&single).0), expected, "{shown}, byte by byte");
    }
}

/// A job that there is no room for goes nowhere, and what follows it is read all the same.
#[test]
fn what_is_refused_is_passed_over() {
    let mut reader = Reader::new(MOST);
    let mut bytes = BytesMut::from(&b"put 0 0 1 6\r\nquit\r\n\r\nstats\r\n"[..]);
    assert_eq!(reader.next(&mut bytes), Some(Item::Coming(6)));
    reader.refuse(Fault::OutOfMemory);
    let rest: Vec<Item> = std::iter::from_fn(|| reader.next(&mut bytes)).collect();
    assert_eq!(words(&rest), "! OutOfMemory; Stats");
}

/// Bytes that are often near to commands.
fn noise() -> impl Strategy<Value = Vec<u8>> {
    let part = prop_oneof![
        vec(any::<u8>(), 0..40),
        "(put|use|watch|ignore|delete|release|bury|kick|reserve|touch)( [0-9a-z-]{0,12}){0,5}(\r\n)?"
            .prop_map(String::into_bytes),
        (0usize..140, 0usize..140).prop_map(|(said, sent)| {
            let mut put = format!("put 0 0 1 {said}\r\n").into_bytes();
            put.extend(std::iter::repeat_n(b'\r', sent));
            put.extend_from_slice(b"\r\n");
            put
        }),
    ];
    vec(part, 0..12).prop_map(|parts| parts.concat())
}

#[test]
fn the_same_bytes_are_the_same_commands_however_they_are_split() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(
        Config {
            cases: 4000,
            failure_persistence: None,
            ..Config::default()
        },
        rng,
    );
    let input = (noise(), vec(any::<prop::sample::Index>(), 0..20));
    let checked = runner.run(&input, |(bytes, cuts)| {
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts
            .windows(2)
            .map(|pair| &bytes[pair[0]..pair[1]])
            .collect();
        let (whole, (split, kept)) = (read(&[&bytes]).0, read(&pieces));
        prop_assert_eq!(&whole, &split);
        let longest = pieces.iter().map(|piece| piece.len()).max().unwrap_or(0);
        prop_assert!(
            kept < LINE.max(MOST + 2) + longest,
            "{} bytes are kept",
            kept
        );
        Ok(())
    });
    checked.unwrap();
}
