//! Parsing and ordering of server-sent events for any chunking of the bytes.

use arbtest::arbtest;
use bytes::Bytes;
use mintlb_dispatcher::events::{EventReader, StreamError, event_data, event_id, split_events};

fn event(id: u64) -> String {
    format!("id: {id}\nevent: token\ndata: text {id}\n\n")
}

fn run(ids: impl Iterator<Item = u64>) -> String {
    ids.map(event).collect()
}

#[test]
fn complete_events_pass_in_order_for_any_chunking() {
    arbtest(|u| {
        let count: u64 = u.int_in_range(0..=12)?;
        let after: Option<u64> = if u.arbitrary()? {
            Some(u.int_in_range(0..=20)?)
        } else {
            None
        };
        let first = after.map_or(1, |after| after + 1);
        // A worker may repeat events that the client has.
        let repeated = after.map_or(0, |after| after.min(u.int_in_range(0..=3).unwrap_or(0)));
        let all = run(first - repeated..first + count);
        let mut reader = EventReader::after(after);
        let (mut rest, mut passed) = (Bytes::from(all), Vec::new());
        while !rest.is_empty() {
            let length = u.int_in_range(1..=rest.len())?;
            let complete = reader.take(rest.split_to(length)).unwrap();
            assert!(
                complete.is_empty() || complete.ends_with(b"\n\n"),
                "only whole events pass"
            );
            passed.extend_from_slice(&complete);
        }
        assert_eq!(
            String::from_utf8(passed).unwrap(),
            run(first..first + count)
        );
        assert_eq!(
            reader.last(),
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
fn a_gap_or_disorder_of_event_ids_is_rejected() {
    let take = |after, ids: &[u64]| EventReader::after(after).take(run(ids.iter().copied()).into());
    assert_eq!(take(Some(4), &[6]), Err(StreamError::Gap));
    assert_eq!(take(Some(4), &[4, 6]), Err(StreamError::Gap));
    assert_eq!(take(None, &[1, 2, 2]), Err(StreamError::Disorder));
    assert_eq!(take(None, &[3, 1]), Err(StreamError::Disorder));
    assert_eq!(
        take(Some(4), &[5, 4]),
        Err(StreamError::Disorder),
        "it had begun to go on"
    );
}

#[test]
fn what_has_no_id_passes() {
    let mut reader = EventReader::after(Some(2));
    let bytes = format!(
        ": still here\n\n{}{}versions: 2\n{}",
        event(1),
        event(2),
        event(3)
    );
    let passed = reader.take(bytes.into()).unwrap();
    assert_eq!(passed, format!(": still here\n\nversions: 2\n{}", event(3)));
    assert_eq!(reader.last(), Some(3));
}

#[test]
fn a_final_event_without_a_separator_is_retained() {
    let mut reader = EventReader::after(None);
    assert_eq!(
        reader
            .take("id: 1\ndata: a\n\nid: 2\ndata: b".into())
            .unwrap(),
        "id: 1\ndata: a\n\n"
    );
    assert_eq!(reader.into_rest(), "id: 2\ndata: b");
}

#[test]
fn ids_and_data_are_read() {
    let event = b"id:7\r\ndata: one\r\ndata:two\r\n\r\n";
    assert_eq!(
        (event_id(event), event_data(event)),
        (Some(7), b"one\ntwo".to_vec())
    );
    assert_eq!(event_id(b"data: id: 3\n\n"), None);
    let events: Vec<Bytes> = split_events(run(1..4).into()).collect();
    assert_eq!(events, [event_text(1), event_text(2), event_text(3)]);
}

fn event_text(id: u64) -> Bytes {
    event(id).into()
}
