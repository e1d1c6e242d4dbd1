//! A typed head followed by raw bytes. Bodies and texts travel and lie on disk as the raw part, so that a
//! store never decodes them: it cuts them out of what it received.

use bytes::{Bytes, BytesMut};
use minicbor::{Decode, Decoder, Encode};

/// The head as bytes, followed by the raw parts in order.
pub fn encode<H: Encode<()>>(head: &H, raw: &[&[u8]]) -> Bytes {
    let raw_length: usize = raw.iter().map(|chunk| chunk.len()).sum();
    let mut writer = Writer(BytesMut::with_capacity(256 + raw_length));
    // Writing into memory does not fail, and all heads are plain data.
    minicbor::encode(head, &mut writer).ok();
    raw.iter()
        .for_each(|chunk| writer.0.extend_from_slice(chunk));
    writer.0.freeze()
}

/// The head and the raw bytes behind it; `None` if there is no such head.
pub fn decode<H: for<'b> Decode<'b, ()>>(bytes: &Bytes) -> Option<(H, Bytes)> {
    let mut decoder = Decoder::new(bytes);
    let head = decoder.decode().ok()?;
    let position = decoder.position();
    Some((head, bytes.slice(position..)))
}

/// The head alone, out of a borrowed slice, and where the raw bytes begin.
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
