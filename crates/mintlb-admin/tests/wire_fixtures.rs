//! The operators' calls and their answers, as bytes. Operators' scripts go by them, so that a change of the source, such as
//! a renaming, must leave them as they are in `fixtures/`.

#[path = "../../mintlb-scheduler/tests/fixture/mod.rs"]
mod fixture;

use mintlb_admin::command::{COMMANDS, Command, Reply};

const LINES: &str = include_str!("fixtures/calls.txt");
const REPLIES: &str = include_str!("fixtures/replies.txt");

const NAMED: [(&str, Command); 4] = [
    ("health", Command::Health),
    ("dump", Command::Dump),
    ("leave", Command::Leave),
    ("join", Command::Join),
];

#[test]
fn calls_are_written_as_in_the_fixtures() {
    let word = |call: Command| COMMANDS.iter().find(|(_, known)| *known == call).unwrap().0;
    fixture::check(
        LINES,
        &NAMED.map(|(name, call)| (name, word(call).as_bytes().to_vec())),
    );
    assert_eq!(COMMANDS.len(), NAMED.len(), "a call without a fixture");
}

#[test]
fn the_fixtures_are_read_as_the_same_calls() {
    let held = fixture::read(LINES);
    let read: Vec<_> = held
        .iter()
        .map(|(name, line)| (*name, Command::parse(line).unwrap()))
        .collect();
    assert_eq!(read, NAMED);
}

#[test]
fn replies_are_written_as_in_the_fixtures() {
    let text = |reply: Reply| reply.text().into_bytes();
    let refused = |line: &[u8]| text(Reply::Failure(Command::parse(line).unwrap_err()));
    fixture::check(
        REPLIES,
        &[
            ("success", text(Reply::Success("it is so".into()))),
            ("failure", text(Reply::Failure("it is not so".into()))),
            (
                "figures",
                text(Reply::Metrics("some.figure=1\nother.figure=0.5\n".into())),
            ),
            ("no-figures", text(Reply::Metrics(String::new()))),
            ("empty-call", refused(b" ")),
            ("unknown-call", refused(b"what \"else\"")),
            ("no-text", refused(&[b'D', 0xff])),
        ],
    );
}
