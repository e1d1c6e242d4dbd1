//! Bytes of the operators' commands and the replies. Operators' scripts depend on them, so that no change of the
//! source may change the bytes in `fixtures/`.

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
fn commands_are_written_as_in_the_fixtures() {
    let text_of = |command: Command| {
        COMMANDS
            .iter()
            .find(|(_, known)| *known == command)
            .unwrap()
            .0
    };
    fixture::check(
        LINES,
        &NAMED.map(|(name, command)| (name, text_of(command).as_bytes().to_vec())),
    );
    assert_eq!(COMMANDS.len(), NAMED.len(), "a command without a fixture");
}

#[test]
fn fixtures_are_parsed_as_the_same_commands() {
    let stored = fixture::read(LINES);
    let read: Vec<_> = stored
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
