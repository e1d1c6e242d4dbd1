//! Seeded random numbers (xorshift64), so that each run can be repeated.

/// A generator.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// A generator with this state, which must not be 0.
    pub fn with_state(state: u64) -> Rng {
        Rng(state)
    }

    /// The next 64 bits.
    pub fn next_bits(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        (self.next_bits() >> 16) % limit.max(1)
    }
}
