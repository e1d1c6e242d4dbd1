//! Message from one scheduler to the others: how many slots it holds at some workers. It is a header (a format tag and
//! the send time in 2 bytes) and entries of a peer key (2 bytes) and a slot count (1 byte); integers are big-endian.

/// First byte of a message.
const FORMAT_TAG: u8 = 1;
const HEADER_BYTES: usize = 3;
/// Bytes of the entry of one worker.
pub const ENTRY_BYTES: usize = 3;
/// Longest message that hosts pass on.
pub const MAX_BYTES: usize = 256;
/// Entries that fit into one message.
pub const MAX_ENTRIES: usize = (MAX_BYTES - HEADER_BYTES) / ENTRY_BYTES;

/// A report of slots held.
#[derive(Debug, PartialEq)]
pub struct PeerMessage {
    /// Seconds of the sender's clock; orders the messages of one sender.
    pub sent_at: f64,
    /// The sender's slots by the worker's peer key.
    pub slots_held: Vec<(u16, u8)>,
}

impl PeerMessage {
    /// The message as bytes; entries beyond `MAX_ENTRIES` are left out.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT_TAG];
        bytes.extend(timestamp(self.sent_at).to_be_bytes());
        for (key, slots) in self.slots_held.iter().take(MAX_ENTRIES) {
            bytes.extend(key.to_be_bytes());
            bytes.push(*slots);
        }
        bytes
    }

    /// Reads a message received at `now`; `None` if its first byte is another, or it is truncated or too long.
    pub fn decode(now: f64, bytes: &[u8]) -> Option<PeerMessage> {
        let (header, entries) = bytes.split_at_checked(HEADER_BYTES)?;
        if header[0] != FORMAT_TAG || entries.len() % ENTRY_BYTES != 0 || bytes.len() > MAX_BYTES {
            return None;
        }
        // The two bytes of the send time wrap around every 65.5 s: the nearest time, past or future, is meant.
        let age = timestamp(now).wrapping_sub(u16::from_be_bytes([header[1], header[2]])) as i16;
        let slots_held = entries
            .chunks_exact(ENTRY_BYTES)
            .map(|e| (u16::from_be_bytes([e[0], e[1]]), e[2]));
        Some(PeerMessage {
            sent_at: now - f64::from(age) / 1000.0,
            slots_held: slots_held.collect(),
        })
    }
}

/// The low 16 bits of the time in milliseconds.
fn timestamp(time: f64) -> u16 {
    (time * 1000.0) as u64 as u16
}
