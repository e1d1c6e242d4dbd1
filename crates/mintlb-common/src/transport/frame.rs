//! Frames: the unit of transfer on a connection after its handshake.
//!
//! A frame is a header of [`HEADER_BYTES`] (body length, channel, kind, call number; integers in
//! big-endian order) followed by the body.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// Maximum length of a message, in bytes. A longer one makes the receiver close the connection.
pub const MAX_MESSAGE_BYTES: usize = 24 << 20;

/// Length of a frame's header: body length, channel, kind and call number.
const HEADER_BYTES: usize = 4 + 1 + 1 + 8;
/// Capacity of a read buffer that holds no large message, in bytes.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// An empty read buffer above this capacity is replaced by a small one, so that a single large
/// message does not pin its memory for the life of the connection.
const MAX_RETAINED_BUFFER_BYTES: usize = 256 << 10;

/// The role of a frame in the exchange. The discriminants are on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A one-way message.
    Notification = 0,
    /// A message that is answered by a response.
    Request = 1,
    /// The response to a request.
    Response = 2,
}

impl FrameKind {
    fn from_byte(byte: u8) -> Option<FrameKind> {
        match byte {
            0 => Some(FrameKind::Notification),
            1 => Some(FrameKind::Request),
            2 => Some(FrameKind::Response),
            _ => None,
        }
    }
}

/// A message with its header.
#[derive(Debug)]
pub struct Frame {
    /// The channel number, see [`super::Channel`].
    pub channel: u8,
    /// The role of the frame.
    pub kind: FrameKind,
    /// The call number that a request opens and its response repeats; 0 for a notification.
    pub call: u64,
    /// The encoded message.
    pub body: Bytes,
}

/// The received bytes are not a frame of this protocol.
#[derive(Debug, thiserror::Error)]
#[error("malformed frame")]
pub struct MalformedFrame;

impl Frame {
    /// Appends the encoded frame to `out`.
    pub fn encode_into(&self, out: &mut BytesMut) {
        out.put_u32(self.body.len() as u32);
        out.put_u8(self.channel);
        out.put_u8(self.kind as u8);
        out.put_u64(self.call);
        out.put_slice(&self.body);
    }

    /// Splits the next frame off `buffer`; `None` while it is incomplete.
    fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, MalformedFrame> {
        if buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let body_bytes = (&buffer[..]).get_u32() as usize;
        if body_bytes > MAX_MESSAGE_BYTES {
            return Err(MalformedFrame);
        }
        let frame_bytes = HEADER_BYTES + body_bytes;
        if buffer.len() < frame_bytes {
            buffer.reserve(frame_bytes - buffer.len());
            return Ok(None);
        }
        let mut header = buffer.split_to(HEADER_BYTES);
        header.advance(size_of::<u32>());
        Ok(Some(Frame {
            channel: header.get_u8(),
            kind: FrameKind::from_byte(header.get_u8()).ok_or(MalformedFrame)?,
            call: header.get_u64(),
            body: buffer.split_to(body_bytes).freeze(),
        }))
    }
}

/// Reads frames from the receiving half of a connection.
pub struct FrameReader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
}

impl FrameReader {
    /// Reads from a connection whose handshake is complete.
    pub fn new(stream: OwnedReadHalf) -> FrameReader {
        FrameReader {
            stream,
            buffer: BytesMut::with_capacity(READ_BUFFER_BYTES),
        }
    }

    /// The next frame; `None` once the connection has ended.
    pub async fn next_frame(&mut self) -> Result<Option<Frame>, MalformedFrame> {
        loop {
            if let Some(frame) = Frame::decode(&mut self.buffer)? {
                return Ok(Some(frame));
            }
            if self.buffer.is_empty() && self.buffer.capacity() > MAX_RETAINED_BUFFER_BYTES {
                self.buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
            }
            let read = self.stream.read_buf(&mut self.buffer).await;
            if !matches!(read, Ok(1..)) {
                return Ok(None);
            }
        }
    }
}
