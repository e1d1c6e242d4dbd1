//! Chance: multiply-with-carry, so that one seed plays one script.

pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        let mut chance = Chance(((seed ^ 0x5bd1_e995_9d1b_8a3f) % 0xffff_da60_ffff_ffff) | 1);
        // Seeds that are close begin alike.
        for _ in 0..16 {
            chance.draw();
        }
        chance
    }

    /// From 0 up to 1.
    pub fn draw(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 0xffff_da61 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    /// A wait whose mean is this, as long as the next one is not due any sooner for the last.
    pub fn wait(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.draw()).ln()
    }
}
