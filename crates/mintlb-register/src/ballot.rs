//! The order of attempts to change the register.

use minicbor::{Decode, Encode};

/// One attempt. No two attempts have the same ballot: `proposer` is drawn at random for each proposal, and a proposal
/// never uses a counter twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Ballot {
    /// Compared first.
    #[n(0)]
    pub counter: u64,
    /// Who attempts.
    #[n(1)]
    pub proposer: u64,
}

impl Ballot {
    /// The first ballot of a proposer that is above this one.
    pub fn next(self, proposer: u64) -> Ballot {
        Ballot {
            counter: self.counter + 1,
            proposer,
        }
    }
}
