//! Bytes of the messages between schedulers. During an update schedulers of different versions exchange them, so that
//! no change of the source may change the bytes in `fixtures/words.txt`.

mod fixture;

use mintlb_scheduler::peer_message::{MAX_ENTRIES, PeerMessage};

const MESSAGES: &str = include_str!("fixtures/words.txt");

fn messages() -> Vec<(&'static str, PeerMessage)> {
    vec![
        (
            "nothing-held",
            PeerMessage {
                sent_at: 0.0,
                slots_held: vec![],
            },
        ),
        (
            "some-held",
            PeerMessage {
                sent_at: 1.5,
                slots_held: vec![(0, 0), (258, 1), (65535, 255)],
            },
        ),
        (
            "time-gone-round",
            PeerMessage {
                sent_at: 66.25,
                slots_held: vec![(7, 3)],
            },
        ),
        (
            "as-long-as-can-be",
            PeerMessage {
                sent_at: 60.0,
                slots_held: vec![(772, 5); MAX_ENTRIES],
            },
        ),
    ]
}

#[test]
fn messages_are_encoded_as_in_the_fixtures() {
    let written: Vec<_> = messages()
        .into_iter()
        .map(|(name, message)| (name, message.encode()))
        .collect();
    fixture::check(MESSAGES, &written);
}

#[test]
fn fixtures_are_decoded_as_the_same_messages() {
    let (messages, stored) = (messages(), fixture::read(MESSAGES));
    assert_eq!(messages.len(), stored.len());
    for ((name, message), (_, bytes)) in messages.into_iter().zip(stored) {
        let decoded = PeerMessage::decode(message.sent_at, &bytes)
            .unwrap_or_else(|| panic!("{name}: no message"));
        assert_eq!(decoded, message, "{name}");
        assert_eq!(decoded.encode(), bytes, "{name}: encoded again");
    }
}
