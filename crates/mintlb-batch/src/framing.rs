//! Framing of messages and log entries: a CBOR-encoded head followed by raw bytes.
//!
//! Payloads and result texts are sent and stored as the raw part, so that a store slices them out
//! of what it received and never copies or decodes them.

use bytes::{Bytes, BytesMut};
use minicbor::{Decode, Decoder, Encode};

/// Initial buffer capacity for a head, in bytes.
const HEAD_CAPACITY: usize = 256;

/// Encodes a head, followed by the raw chunks in order.
pub fn encode<H: Encode<()>>(head: &H, raw: &[&[u8]]) -> Bytes {
    let raw_length: usize = raw.iter().map(|chunk| chunk.len()).sum();
    let mut writer = Writer(BytesMut::with_capacity(HEAD_CAPACITY + raw_length));
    // Infallible: the writer grows, and heads are plain data without custom encoders.
    minicbor::encode(head, &mut writer).ok();
    raw.iter()
        .for_each(|chunk| writer.0.extend_from_slice(chunk));
    writer.0.freeze()
}

/// Decodes a head and slices off the raw bytes behind it; `None` if the head is malformed.
pub fn decode<H: for<'b> Decode<'b, ()>>(bytes: &Bytes) -> Option<(H, Bytes)> {
    let (head, raw_start) = decode_head(bytes)?;
    Some((head, bytes.slice(raw_start..)))
}

/// Decodes a head only, and returns the offset of the raw bytes; `None` if the head is malformed.
pub fn decode_head<H: for<'b> Decode<'b, ()>>(bytes: &[u8]) -> Option<(H, usize)> {
    let mut decoder = Decoder::new(bytes);
    let head = decoder.decode().ok()?;
    Some((head, decoder.position()))
}

struct Writer(BytesMut);

impl minicbor::encode::Write for Writer {
    type Error = std::convert::Infallible;

    fn write_all(&mut self, bytes: &[u8]) -> Result<(), Self::Error> {
        self.0.extend_from_slice(bytes);
        Ok(())
    }
}
