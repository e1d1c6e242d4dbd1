//! Seeded random numbers.

pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, remaining: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % remaining.max(1)
    }

    pub fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
