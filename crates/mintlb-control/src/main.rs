//! The program `mintlb-control`.
fn main() {}
