//! Ballot numbers: the total order of the attempts to change the register.

use minicbor::{Decode, Encode};

/// The ballot number of one attempt (Lamport's proposal number), ordered by `counter`, then by `proposer`.
///
/// No two attempts share a ballot: each proposal has a random `proposer` and uses each counter at most once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Ballot {
    /// Number of the attempt. Zero is below all attempts.
    #[n(0)]
    pub counter: u64,
    /// Random identity of the proposal.
    #[n(1)]
    pub proposer: u64,
}

impl Ballot {
    /// The lowest ballot of `proposer` that is above all ballots with this ballot's counter.
    pub fn next(self, proposer: u64) -> Ballot {
        Ballot {
            counter: self.counter + 1,
            proposer,
        }
    }
}
