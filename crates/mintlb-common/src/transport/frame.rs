//! The frames on a connection, after its greetings.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// The longest message.
pub const MAX_MESSAGE_BYTES: usize = 24 << 20;

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

/// Reads frames from a connection.
pub struct Frames {
    read: OwnedReadHalf,
    bytes: BytesMut,
}

impl Frames {
    /// Of this connection, whose greetings are over.
    pub fn new(read: OwnedReadHalf) -> Frames {
        Frames {
            read,
            bytes: BytesMut::with_capacity(4 << 10),
        }
    }

    /// The next frame; none when the connection has ended.
    pub async fn next(&mut self) -> Result<Option<Frame>, NoFrame> {
        loop {
            if let Some(frame) = take(&mut self.bytes)? {
                return Ok(Some(frame));
            }
            if self.bytes.is_empty() && self.bytes.capacity() > 256 << 10 {
                self.bytes = BytesMut::with_capacity(4 << 10);
            }
            if !self
                .read
                .read_buf(&mut self.bytes)
                .await
                .is_ok_and(|read| read > 0)
            {
                return Ok(None);
            }
        }
    }
}

/// The next whole frame, if it is there.
fn take(bytes: &mut BytesMut) -> Result<Option<Frame>, NoFrame> {
    if bytes.len() < HEAD {
        return Ok(None);
    }
    let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    if length > MAX_MESSAGE_BYTES {
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
    Ok(Some(Frame {
        channel,
        kind,
        call,
        body: bytes.split_to(length).freeze(),
    }))
}
