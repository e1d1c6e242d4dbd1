//! Encoding of the messages between schedulers.

use mintlb_scheduler::peer_message::{MAX_BYTES, MAX_ENTRIES, PeerMessage};

#[test]
fn messages_survive_encoding() {
    for (slots_held, sent, age) in [
        (vec![], 100.0, 0.0),
        (vec![(0, 0), (65535, 255)], 100.25, 0.02),
        // The two bytes of time wrap around between encoding and decoding.
        (vec![(7, 1)], 65.5, 0.1),
        (vec![(7, 1)], 1.7e9, 30.0),
        // The sender's clock is ahead.
        (vec![(7, 1)], 200.0, -3.0),
        (vec![(9, 2); MAX_ENTRIES], 100.0, 0.0),
    ] {
        let bytes = PeerMessage {
            sent_at: sent,
            slots_held: slots_held.clone(),
        }
        .encode();
        assert!(bytes.len() <= MAX_BYTES);
        let message = PeerMessage::decode(sent + age, &bytes).unwrap();
        assert!(
            (message.sent_at - sent).abs() < 0.002 && message.slots_held == slots_held,
            "{sent} {age}: {message:?}"
        );
    }
    let long = PeerMessage {
        sent_at: 1.0,
        slots_held: vec![(9, 2); MAX_ENTRIES + 9],
    }
    .encode();
    assert_eq!(
        PeerMessage::decode(1.0, &long).unwrap().slots_held.len(),
        MAX_ENTRIES
    );
}

#[test]
fn other_bytes_are_rejected() {
    for (bytes, why) in [
        (&[][..], "empty"),
        (&[1, 0], "truncated in the header"),
        (&[1, 0, 0, 9], "truncated in an entry"),
        (&[2, 0, 0, 0, 9, 1], "another first byte"),
        (b"GET /", "another protocol"),
        (&[1; 258], "too long"),
    ] {
        assert_eq!(PeerMessage::decode(1.0, bytes), None, "{why}");
    }
}
