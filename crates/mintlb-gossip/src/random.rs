//! A small random number generator, so that a node's choices follow from its seed alone.

use crate::codec::mix64;

/// A splitmix64 generator.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// A generator whose numbers follow from the seed.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// The next number.
    pub fn next_number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix64(self.0)
    }

    /// A number below `bound`; 0 if the bound is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.next_number() % bound.max(1) as u64) as usize
    }

    /// One of the items.
    pub fn pick<T: Copy>(&mut self, items: &[T]) -> Option<T> {
        (!items.is_empty()).then(|| items[self.below(items.len())])
    }

    /// Brings the items into a random order.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            items.swap(last, self.below(last + 1));
        }
    }
}
