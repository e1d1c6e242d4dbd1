//! Unsigned LEB128: integers in groups of seven bits, the lowest group first.

/// Bits of the integer in each byte.
const GROUP_BITS: u32 = 7;
/// Mask of the integer's bits in a byte.
const GROUP_MASK: u8 = 0x7f;
/// Set in each byte but the last.
const CONTINUATION: u8 = 0x80;

/// A decoded integer.
pub(crate) struct Decoded {
    /// The integer.
    pub(crate) value: u64,
    /// Offset of the first byte behind it.
    pub(crate) end: usize,
}

/// Appends `value` to `bytes`.
pub(crate) fn encode(bytes: &mut Vec<u8>, mut value: u64) {
    loop {
        let group = value as u8 & GROUP_MASK;
        value >>= GROUP_BITS;
        if value == 0 {
            return bytes.push(group);
        }
        bytes.push(group | CONTINUATION);
    }
}

/// Decodes the integer at `start`. `None` if it is cut off or does not fit into 64 bits.
pub(crate) fn decode(bytes: &[u8], start: usize) -> Option<Decoded> {
    let mut value = 0;
    for (index, byte) in bytes.get(start..)?.iter().enumerate() {
        let shift = GROUP_BITS * u32::try_from(index).ok()?;
        value |= u64::from(byte & GROUP_MASK).checked_shl(shift)?;
        if byte & CONTINUATION == 0 {
            let end = start + index + 1;
            return Some(Decoded { value, end });
        }
    }
    None
}
