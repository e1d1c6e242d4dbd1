//! Seeded random generator (multiply-with-carry): the same seed yields the same sequence of events.

pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        let mut rng = Rng(((seed ^ 0x5bd1_e995_9d1b_8a3f) % 0xffff_da60_ffff_ffff) | 1);
        // Neighbouring seeds produce similar first values, which are skipped.
        for _ in 0..16 {
            rng.uniform();
        }
        rng
    }

    /// A uniformly distributed value in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 0xffff_da61 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    /// An exponentially distributed value with this mean: the time between two events of a Poisson process.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }
}
