//! Parsing of commands: valid and invalid input, split at any byte.

use bytes::BytesMut;
use mintlb_beanstalkd::codec::{CommandReader, Item, MAX_LINE_BYTES, ProtocolError};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MAX_JOB_BYTES: usize = 100;

/// Parses the pieces one after another; returns the items, and the maximum number of bytes buffered in between.
fn parse(pieces: &[&[u8]]) -> (Vec<Item>, usize) {
    let (mut reader, mut bytes, mut items, mut max_buffered) = (
        CommandReader::new(MAX_JOB_BYTES),
        BytesMut::new(),
        Vec::new(),
        0,
    );
    for piece in pieces {
        bytes.extend_from_slice(piece);
        items.extend(std::iter::from_fn(|| reader.next(&mut bytes)));
        max_buffered = max_buffered.max(bytes.len());
    }
    (items, max_buffered)
}

/// Describes the items in short, for comparison.
fn describe(items: &[Item]) -> String {
    let descriptions = items.iter().map(|item| match item {
        Item::PutHeader(n) => format!("put header {n}"),
        Item::Command(command) => format!("{command:?}"),
        Item::ProtocolError(error) => format!("! {error:?}"),
    });
    descriptions.collect::<Vec<_>>().join("; ")
}

#[test]
fn input_gives_commands_or_errors() {
    let long_tube = format!("use {}\r\nstats\r\n", "x".repeat(201));
    let long_line = format!("use {}\r\nstats\r\n", "x".repeat(MAX_LINE_BYTES));
    let max_size_put = format!(
        "put 0 0 1 {MAX_JOB_BYTES}\r\n{}\r\n",
        "b".repeat(MAX_JOB_BYTES)
    );
    let oversized_put = format!(
        "put 0 0 1 {}\r\n{}\r\nstats\r\n",
        MAX_JOB_BYTES + 1,
        "b".repeat(MAX_JOB_BYTES + 1)
    );
    let cases: [(&str, &[u8], &str); 34] = [
        (
            "a put",
            b"put 1 2 3 2\r\nhi\r\n",
            "put header 2; Put(Put { priority: 1, delay: 2, ttr: 3, bytes: 2 }, b\"hi\")",
        ),
        (
            "a put with an empty body",
            b"put 0 0 1 0\r\n\r\n",
            "put header 0; Put(Put { priority: 0, delay: 0, ttr: 1, bytes: 0 }, b\"\")",
        ),
        (
            "a body that contains a command",
            b"put 0 0 1 7\r\nquit\r\nx\r\n",
            "put header 7; Put(Put { priority: 0, delay: 0, ttr: 1, bytes: 7 }, b\"quit\\r\\nx\")",
        ),
        (
            "a body without CR LF",
            b"put 0 0 1 2\r\nhi!!stats\r\n",
            "put header 2; ! ExpectedCrlf; Stats",
        ),
        (
            "a put without a length",
            b"put 0 0 1\r\n",
            "! UnknownBodyLength",
        ),
        (
            "a put with a negative length",
            b"put 0 0 1 -5\r\n",
            "! UnknownBodyLength",
        ),
        (
            "a priority past 32 bits",
            b"put 4294967296 0 1 2\r\n",
            "! UnknownBodyLength",
        ),
        (
            "a body of the maximum size",
            max_size_put.as_bytes(),
            &format!(
                "put header {MAX_JOB_BYTES}; Put(Put {{ priority: 0, delay: 0, ttr: 1, bytes: {MAX_JOB_BYTES} }}, b\"{}\")",
                "b".repeat(MAX_JOB_BYTES)
            ),
        ),
        (
            "a body above the maximum size",
            oversized_put.as_bytes(),
            "put header 0; ! JobTooBig; Stats",
        ),
        (
            "a body length of 2^64 - 1",
            b"put 0 0 1 18446744073709551615\r\nxx",
            "put header 0",
        ),
        ("use", b"use a-b+/;.$_()9\r\n", "Use(\"a-b+/;.$_()9\")"),
        (
            "a tube that begins with a hyphen",
            b"use -a\r\n",
            "! BadFormat",
        ),
        (
            "a tube with an invalid character",
            b"use a,b\r\n",
            "! BadFormat",
        ),
        (
            "a tube name of 201 bytes",
            long_tube.as_bytes(),
            "! BadFormat; Stats",
        ),
        (
            "an overlong line",
            long_line.as_bytes(),
            "! BadFormat; Stats",
        ),
        ("a missing argument", b"watch\r\n", "! BadFormat"),
        ("one argument too many", b"ignore a b\r\n", "! BadFormat"),
        ("a trailing space", b"reserve \r\n", "! BadFormat"),
        ("an unknown command", b"resurve\r\n", "! UnknownCommand"),
        ("an empty line", b"\r\n", "! UnknownCommand"),
        ("an uppercase command", b"RESERVE\r\n", "! UnknownCommand"),
        (
            "a line that ends with a bare LF",
            b"stats\nstats\r\n",
            "! BadFormat; Stats",
        ),
        ("invalid UTF-8", b"use \xff\r\n", "! BadFormat"),
        ("a number with a sign", b"delete +5\r\n", "! BadFormat"),
        (
            "a number that is not numeric",
            b"touch five\r\n",
            "! BadFormat",
        ),
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
            "other commands",
            b"pause-tube t 60\r\ndelete 1\r\ntouch 2\r\nquit\r\n",
            "PauseTube(\"t\", 60); Delete(1); Touch(2); Quit",
        ),
        ("an incomplete command", b"reserv", ""),
    ];
    for (case, bytes, expected) in cases {
        assert_eq!(describe(&parse(&[bytes]).0), expected, "{case}");
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(
            describe(&parse(&single).0),
            expected,
            "{case}, byte by byte"
        );
    }
}

/// The body of a refused job is skipped and not parsed as commands; the next command is parsed.
#[test]
fn body_of_refused_job_is_skipped() {
    let mut reader = CommandReader::new(MAX_JOB_BYTES);
    let mut bytes = BytesMut::from(&b"put 0 0 1 6\r\nquit\r\n\r\nstats\r\n"[..]);
    assert_eq!(reader.next(&mut bytes), Some(Item::PutHeader(6)));
    reader.refuse(ProtocolError::OutOfMemory);
    let rest: Vec<Item> = std::iter::from_fn(|| reader.next(&mut bytes)).collect();
    assert_eq!(describe(&rest), "! OutOfMemory; Stats");
}

/// Bytes that are often near to commands.
fn arbitrary_input() -> impl Strategy<Value = Vec<u8>> {
    let part = prop_oneof![
        vec(any::<u8>(), 0..40),
        "(put|use|watch|ignore|delete|release|bury|kick|reserve|touch)( [0-9a-z-]{0,12}){0,5}(\r\n)?"
            .prop_map(String::into_bytes),
        (0usize..140, 0usize..140).prop_map(|(stated_bytes, sent_bytes)| {
            let mut put = format!("put 0 0 1 {stated_bytes}\r\n").into_bytes();
            put.extend(std::iter::repeat_n(b'\r', sent_bytes));
            put.extend_from_slice(b"\r\n");
            put
        }),
    ];
    vec(part, 0..12).prop_map(|parts| parts.concat())
}

#[test]
fn splitting_the_input_does_not_change_the_commands() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(
        Config {
            cases: 4000,
            failure_persistence: None,
            ..Config::default()
        },
        rng,
    );
    let input = (arbitrary_input(), vec(any::<prop::sample::Index>(), 0..20));
    let checked = runner.run(&input, |(bytes, cuts)| {
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts
            .windows(2)
            .map(|pair| &bytes[pair[0]..pair[1]])
            .collect();
        let (whole, (split, max_buffered)) = (parse(&[&bytes]).0, parse(&pieces));
        prop_assert_eq!(&whole, &split);
        let longest = pieces.iter().map(|piece| piece.len()).max().unwrap_or(0);
        prop_assert!(
            max_buffered < MAX_LINE_BYTES.max(MAX_JOB_BYTES + 2) + longest,
            "{} bytes are buffered",
            max_buffered
        );
        Ok(())
    });
    checked.unwrap();
}
