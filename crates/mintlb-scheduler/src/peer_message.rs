//! What one scheduler tells the others: when, and how many slots it holds at some workers. Nothing is decided here.

const FIRST: u8 = 1;
const HEAD: usize = 3;
/// The bytes for one worker.
pub const ENTRY_BYTES: usize = 3;
/// The longest message that is passed on.
pub const MAX_BYTES: usize = 256;
/// So many workers fit into one.
pub const MAX_ENTRIES: usize = (MAX_BYTES - HEAD) / ENTRY_BYTES;

#[derive(Debug, PartialEq)]
pub struct PeerMessage {
    /// By the sender's clock; it only orders what one sender told.
    pub sent_at: f64,
    /// Workers by key, and the sender's slots there.
    pub slots_held: Vec<(u16, u8)>,
}

impl PeerMessage {
    /// Past `MOST` workers nothing is written.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FIRST];
        bytes.extend(ms(self.sent_at).to_be_bytes());
        for (key, slots) in self.slots_held.iter().take(MAX_ENTRIES) {
            bytes.extend(key.to_be_bytes());
            bytes.push(*slots);
        }
        bytes
    }

    /// Nothing, if it is none of ours: another first byte, cut short, or too long.
    pub fn decode(now: f64, bytes: &[u8]) -> Option<PeerMessage> {
        let (head, entries) = bytes.split_at_checked(HEAD)?;
        if head[0] != FIRST || entries.len() % ENTRY_BYTES != 0 || bytes.len() > MAX_BYTES {
            return None;
        }
        // Two bytes of time go round in a minute: it was, or will be, the nearest moment that has them.
        let age = ms(now).wrapping_sub(u16::from_be_bytes([head[1], head[2]])) as i16;
        let slots_held = entries
            .chunks_exact(ENTRY_BYTES)
            .map(|e| (u16::from_be_bytes([e[0], e[1]]), e[2]));
        Some(PeerMessage {
            sent_at: now - f64::from(age) / 1000.0,
            slots_held: slots_held.collect(),
        })
    }
}

fn ms(time: f64) -> u16 {
    (time * 1000.0) as u64 as u16
}
