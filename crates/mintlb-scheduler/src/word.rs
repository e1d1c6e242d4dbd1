//! What one scheduler tells the others: when, and how many slots it holds at some workers. Nothing is decided here.

const FIRST: u8 = 1;
const HEAD: usize = 3;
/// The bytes for one worker.
pub const ENTRY: usize = 3;
/// The longest message that is passed on.
pub const LONGEST: usize = 256;
/// So many workers fit into one.
pub const MOST: usize = (LONGEST - HEAD) / ENTRY;

#[derive(Debug, PartialEq)]
pub struct Word {
    /// By the sender's clock; it only orders what one sender told.
    pub sent: f64,
    /// Workers by key, and the sender's slots there.
    pub holds: Vec<(u16, u8)>,
}

impl Word {
    /// Past `MOST` workers nothing is written.
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = vec![FIRST];
        bytes.extend(ms(self.sent).to_be_bytes());
        for (key, slots) in self.holds.iter().take(MOST) {
            bytes.extend(key.to_be_bytes());
            bytes.push(*slots);
        }
        bytes
    }

    /// Nothing, if it is none of ours: another first byte, cut short, or too long.
    pub fn read(now: f64, bytes: &[u8]) -> Option<Word> {
        let (head, entries) = bytes.split_at_checked(HEAD)?;
        if head[0] != FIRST || entries.len() % ENTRY != 0 || bytes.len() > LONGEST {
            return None;
        }
        // Two bytes of time go round in a minute: it was, or will be, the nearest moment that has them.
        let age = ms(now).wrapping_sub(u16::from_be_bytes([head[1], head[2]])) as i16;
        let holds = entries
            .chunks_exact(ENTRY)
            .map(|e| (u16::from_be_bytes([e[0], e[1]]), e[2]));
        Some(Word {
            sent: now - f64::from(age) / 1000.0,
            holds: holds.collect(),
        })
    }
}

fn ms(time: f64) -> u16 {
    (time * 1000.0) as u64 as u16
}
