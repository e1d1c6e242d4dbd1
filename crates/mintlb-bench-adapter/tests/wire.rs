//! The adapter as the bench runs it: frames on standard input, replies on standard output or an error message.

use std::io::Write;
use std::process::{Command, Stdio};

fn batch(events: &[&[u8]], tail: &[u8]) -> Vec<u8> {
    let mut records = Vec::new();
    for event in events {
        records.extend_from_slice(event);
        records.resize(records.len().next_multiple_of(48), 0);
    }
    let length = (4 + records.len() + tail.len()) as u32;
    let count = events.len() as u32;
    let head = [
        &1u32.to_be_bytes()[..],
        &0f64.to_be_bytes(),
        &length.to_be_bytes(),
        &count.to_be_bytes(),
    ]
    .concat();
    [&head, &records, tail].concat()
}

#[test]
fn frames_get_replies_or_error_messages() {
    let power_on = |n: u32| {
        [
            &[26, 0, 3][..],
            &7u64.to_be_bytes(),
            &[0; 4],
            &n.to_be_bytes(),
        ]
        .concat()
    };
    let missing_settings = b"balancers=3\nsurprise=1\n";
    let invalid_settings = b"balancers=many\n";
    let empty_reply = [0, 0, 0, 1, 0, 0, 0, 4, 0, 0, 0, 0];
    let cases: [(&str, Vec<u8>, &[u8], &str); 9] = [
        ("end of input", vec![], &[], ""),
        ("an empty batch", batch(&[], &[]), &empty_reply, ""),
        (
            "truncated header",
            vec![0; 9],
            &[],
            "truncated frame: the header ends after 9 of 16 bytes",
        ),
        (
            "truncated body",
            batch(&[&[20, 0, 0]], &[])[..40].to_vec(),
            &[],
            "batch 1: truncated frame",
        ),
        (
            "unknown event code",
            batch(&[&[99, 0, 3]], &[]),
            &[],
            "event 0: event code 99 for scheduler 3",
        ),
        (
            "missing setting",
            batch(&[&power_on(23)], missing_settings),
            &[],
            "the setting rules.cold_from is missing",
        ),
        (
            "invalid setting",
            batch(&[&power_on(15)], invalid_settings),
            &[],
            "the setting balancers=many cannot be read",
        ),
        (
            "range outside the tail",
            batch(&[&power_on(99)], invalid_settings),
            &[],
            "lie outside the tail",
        ),
        (
            "stop of a scheduler that does not run",
            batch(&[&[20, 0, 3]], &[]),
            &empty_reply,
            "",
        ),
    ];
    for (case, input, reply, message) in cases {
        let mut adapter = Command::new(env!("CARGO_BIN_EXE_mintlb-bench-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        adapter.stdin.take().unwrap().write_all(&input).unwrap();
        let out = adapter.wait_with_output().unwrap();
        let error = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.stdout, reply, "{case}");
        assert_eq!(out.status.success(), message.is_empty(), "{case}: {error}");
        assert!(
            error.contains(message) && !error.contains("panic"),
            "{case}: {error}"
        );
    }
}
