//! A bijective mixing function for 64-bit numbers, used for stable hashes and distinct scattered ids.

/// The increment of SplitMix64: odd, so that adding it repeatedly passes through every 64-bit
/// number once before the first repeats.
pub const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// A bijection that spreads every input bit over all output bits: one step of SplitMix64 (Steele,
/// Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
///
/// The result is the same in every build: gossip exchanges hashes that are finished with it.
pub const fn mix64(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(SPLITMIX64_INCREMENT);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
