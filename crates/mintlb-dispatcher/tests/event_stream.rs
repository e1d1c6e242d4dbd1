//! Parsing of server-sent events for any chunking of the bytes, and checks of their order.

use arbtest::arbtest;
use bytes::Bytes;
use mintlb_dispatcher::event_stream::{
    EventParser, StreamError, event_data, event_id, split_events,
};

fn event(id: u64) -> String {
    format!("id: {id}\nevent: token\ndata: text {id}\n\n")
}

fn stream(ids: impl Iterator<Item = u64>) -> String {
    ids.map(event).collect()
}

#[test]
fn complete_events_are_returned_in_order_for_any_chunking() {
    arbtest(|u| {
        let count: u64 = u.int_in_range(0..=12)?;
        let after: Option<u64> = if u.arbitrary()? {
            Some(u.int_in_range(0..=20)?)
        } else {
            None
        };
        let first = after.map_or(1, |after| after + 1);
        // A worker may repeat events that the client already has.
        let repeated = after.map_or(0, |after| after.min(u.int_in_range(0..=3).unwrap_or(0)));
        let sent = stream(first - repeated..first + count);
        let mut parser = EventParser::resuming_after(after);
        let (mut rest, mut returned) = (Bytes::from(sent), Vec::new());
        while !rest.is_empty() {
            let length = u.int_in_range(1..=rest.len())?;
            let complete = parser.parse(rest.split_to(length)).unwrap();
            assert!(
                complete.is_empty() || complete.ends_with(b"\n\n"),
                "an incomplete event was returned"
            );
            returned.extend_from_slice(&complete);
        }
        assert_eq!(
            String::from_utf8(returned).unwrap(),
            stream(first..first + count)
        );
        assert_eq!(
            parser.last_id(),
            if count > 0 {
                Some(first + count - 1)
            } else {
                after
            }
        );
        Ok(())
    });
}

#[test]
fn gap_or_disorder_of_event_ids_is_rejected() {
    let take = |after, ids: &[u64]| {
        EventParser::resuming_after(after).parse(stream(ids.iter().copied()).into())
    };
    assert_eq!(take(Some(4), &[6]), Err(StreamError::MissingEvents));
    assert_eq!(take(Some(4), &[4, 6]), Err(StreamError::MissingEvents));
    assert_eq!(take(None, &[1, 2, 2]), Err(StreamError::OutOfOrder));
    assert_eq!(take(None, &[3, 1]), Err(StreamError::OutOfOrder));
    assert_eq!(
        take(Some(4), &[5, 4]),
        Err(StreamError::OutOfOrder),
        "event 4 after event 5 of the same attempt"
    );
}

#[test]
fn events_without_id_are_returned() {
    let mut parser = EventParser::resuming_after(Some(2));
    let bytes = format!(
        ": still here\n\n{}{}versions: 2\n{}",
        event(1),
        event(2),
        event(3)
    );
    let returned = parser.parse(bytes.into()).unwrap();
    assert_eq!(
        returned,
        format!(": still here\n\nversions: 2\n{}", event(3))
    );
    assert_eq!(parser.last_id(), Some(3));
}

#[test]
fn final_event_without_a_blank_line_is_retained() {
    let mut parser = EventParser::resuming_after(None);
    assert_eq!(
        parser
            .parse("id: 1\ndata: a\n\nid: 2\ndata: b".into())
            .unwrap(),
        "id: 1\ndata: a\n\n"
    );
    assert_eq!(parser.into_partial(), "id: 2\ndata: b");
}

#[test]
fn event_ids_and_data_are_parsed() {
    let event = b"id:7\r\ndata: one\r\ndata:two\r\n\r\n";
    assert_eq!(
        (event_id(event), event_data(event)),
        (Some(7), b"one\ntwo".to_vec())
    );
    assert_eq!(event_id(b"data: id: 3\n\n"), None);
    let events: Vec<Bytes> = split_events(stream(1..4).into()).collect();
    assert_eq!(events, [event_text(1), event_text(2), event_text(3)]);
}

fn event_text(id: u64) -> Bytes {
    event(id).into()
}
