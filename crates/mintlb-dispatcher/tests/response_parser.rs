//! Parsing of workers' responses, valid and invalid, for any chunking of the bytes.

use arbtest::arbtest;
use bytes::BytesMut;
use mintlb_dispatcher::response_parser::{BodyReader, Framing, ResponseHead};
use std::time::Duration;

fn head(text: &str) -> ResponseHead {
    ResponseHead::take(&mut BytesMut::from(text))
        .unwrap()
        .unwrap()
}

#[test]
fn chunked_body_is_decoded_for_any_chunking_of_the_bytes() {
    arbtest(|u| {
        let (mut sent, mut wire) = (Vec::new(), Vec::new());
        for _ in 0..u.int_in_range(0..=6)? {
            let data: Vec<u8> = (0..u.int_in_range(1..=40)?)
                .map(|_| u.arbitrary())
                .collect::<Result<_, _>>()?;
            wire.extend(
                format!("{:X};ext=1\r\n", data.len())
                    .bytes()
                    .chain(data.iter().copied()),
            );
            wire.extend(b"\r\n");
            sent.extend(data);
        }
        wire.extend(b"0\r\nTrailer: x\r\n\r\n");
        let surplus = u.int_in_range(0..=3)?;
        wire.extend(vec![b'!'; surplus]);
        let (mut body, mut buffer, mut read) = (
            BodyReader::new(Framing::Chunked),
            BytesMut::new(),
            Vec::new(),
        );
        let mut rest = &wire[..];
        while !rest.is_empty() {
            let (chunk, others) = rest.split_at(u.int_in_range(1..=rest.len())?);
            buffer.extend_from_slice(chunk);
            rest = others;
            while let Some(chunk) = body.take(&mut buffer).unwrap() {
                read.extend(chunk);
            }
        }
        assert!(body.is_done());
        assert_eq!(
            (read, buffer.len()),
            (sent, surplus),
            "bytes after the body were consumed"
        );
        Ok(())
    });
}

#[test]
fn body_with_a_length_ends_after_it() {
    let mut buffer = BytesMut::from("abcdefHTTP/1.1");
    let mut body = BodyReader::new(Framing::Length(6));
    assert_eq!(body.take(&mut buffer).unwrap().unwrap(), "abcdef");
    assert!(body.is_done());
    assert_eq!(body.take(&mut buffer).unwrap(), None);
    assert!(BodyReader::new(Framing::Length(0)).is_done());
    assert!(!BodyReader::new(Framing::UntilClose).is_done());
}

#[test]
fn invalid_chunks_are_rejected() {
    for wire in [
        "x\r\n",
        "\r\n",
        "3\r\nabcd\r\n",
        "3\r\nabc!\r\n",
        "3\nabc\r\n",
        "-1\r\n",
        &"1".repeat(5000),
    ] {
        let (mut buffer, mut body) = (BytesMut::from(wire), BodyReader::new(Framing::Chunked));
        let end = loop {
            match body.take(&mut buffer) {
                Ok(Some(_)) => {}
                other => break other,
            }
        };
        assert!(end.is_err(), "{wire:?} gave {end:?}");
        assert!(!body.is_done());
    }
}

#[test]
fn valid_heads_are_parsed() {
    let read = head("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: max=3, timeout=7\r\n\r\n");
    assert_eq!(read.framing, Framing::Length(5));
    assert!(read.keeps_alive);
    assert_eq!(read.declared_idle_timeout(), Some(Duration::from_secs(7)));
    let read =
        head("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nConnection: x, Close\r\n\r\n");
    assert_eq!((read.framing, read.keeps_alive), (Framing::Chunked, false));
    let read = head("HTTP/1.1 200 OK\r\n\r\n");
    assert_eq!(
        (read.framing, read.keeps_alive),
        (Framing::UntilClose, false)
    );
    assert!(!head("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n").keeps_alive);
    assert_eq!(head("HTTP/1.1 204 No\r\n\r\n").framing, Framing::Length(0));
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    assert_eq!(
        head(interim).status,
        200,
        "an interim response was not skipped"
    );
    assert!(
        ResponseHead::take(&mut BytesMut::from("HTTP/1.1 200 OK\r\nA: b\r\n"))
            .unwrap()
            .is_none()
    );
}

#[test]
fn invalid_heads_are_rejected() {
    for text in [
        "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n",
        "HTTP/1.1 101 Other\r\n\r\n",
    ] {
        assert!(
            ResponseHead::take(&mut BytesMut::from(text)).is_err(),
            "{text:?}"
        );
    }
    let long = format!("HTTP/1.1 200 OK\r\nA: {}", "b".repeat(40_000));
    assert!(ResponseHead::take(&mut BytesMut::from(&long[..])).is_err());
}
