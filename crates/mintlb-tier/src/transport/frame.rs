//! The frames on a connection, after its greetings.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// The longest message.
pub const MOST_BYTES: usize = 24 << 20;

/// Length, channel, kind and call number of a frame.
const HEAD: usize = 4 + 1 + 1 + 8;

/// What a frame is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A message that gets no answer.
    Notice = 0,
    /// A message that gets an answer.
    Request = 1,
    /// An answer.
    Answer = 2,
}

/// One message with its head.
#[derive(Debug)]
pub struct Frame {
    /// The number of its channel.
    pub channel: u8,
    /// What it is.
    pub kind: Kind,
    /// The number of the call that it is or answers; 0 for a notice.
    pub call: u64,
    /// The message.
    pub body: Bytes,
}

/// The bytes are no frame of this protocol.
#[derive(Debug)]
pub struct NoFrame;

/// Writes a frame.
pub fn put(out: &mut BytesMut, frame: &Frame) {
    out.put_u32(frame.body.len() as u32);
    out.put_u8(frame.channel);
    out.put_u8(frame.kind as u8);
    out.put_u64(frame.call);
    out.put_slice(&frame.body);
}

/// The next whole frame, if it is there.
pub fn take(bytes: &mut BytesMut) -> Result<Option<Frame>, NoFrame> {
    if bytes.len() < HEAD {
        return Ok(None);
    }
    let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    if length > MOST_BYTES {
        return Err(NoFrame);
    }
    if bytes.len() < HEAD + length {
        bytes.reserve(HEAD + length - bytes.len());
        return Ok(None);
    }
    let mut head = bytes.split_to(HEAD);
    head.advance(4);
    let channel = head.get_u8();
    let kind = match head.get_u8() {
        0 => Kind::Notice,
        1 => Kind::Request,
        2 => Kind::Answer,
        _ => return Err(NoFrame),
    };
    let call = head.get_u64();
    Ok(Some(Frame { channel, kind, call, body: bytes.split_to(length).freeze() }))
}
