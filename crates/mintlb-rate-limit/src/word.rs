//! What processes tell one another, as plain types, and how it is written into one bounded datagram.

use serde::{Deserialize, Serialize};

/// A member, by its name: the same in every process, whatever else its file names.
pub type Id = u64;

/// The id of a name, and the key of a budget: FNV-1a, so that each process comes to the same without a word.
pub fn id(name: &str) -> Id {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}

/// A divider's time in office. A later one is greater; two are never alike, as no two lives of a process are.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term {
    pub number: u64,
    pub who: Id,
    pub life: u64,
}

/// How much of a budget, in thousandths: so many a second, and so many at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Amount {
    pub flow: u32,
    pub stock: u32,
}

/// One, as it is counted.
pub const ONE: u32 = 1000;

impl Amount {
    pub const NONE: Amount = Amount { flow: 0, stock: 0 };

    fn each(self, other: Amount, of: impl Fn(u32, u32) -> u32) -> Amount {
        Amount {
            flow: of(self.flow, other.flow),
            stock: of(self.stock, other.stock),
        }
    }
    pub fn max(self, other: Amount) -> Amount {
        self.each(other, u32::max)
    }
    pub fn min(self, other: Amount) -> Amount {
        self.each(other, u32::min)
    }
    pub fn plus(self, other: Amount) -> Amount {
        self.each(other, u32::saturating_add)
    }
    /// What is left, none at the least.
    pub fn less(self, other: Amount) -> Amount {
        self.each(other, u32::saturating_sub)
    }
    pub fn within(self, whole: Amount) -> bool {
        self.flow <= whole.flow && self.stock <= whole.stock
    }
}

/// Amounts by budget.
pub type Amounts = Vec<(u64, Amount)>;

pub fn of(amounts: &[(u64, Amount)], key: u64) -> Amount {
    amounts
        .iter()
        .find(|(known, _)| *known == key)
        .map_or(Amount::NONE, |(_, amount)| *amount)
}

/// What a member holds of a budget, and how much it would spend: thousandths a second, all that there is if it was
/// refused any.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Wanted {
    pub key: u64,
    pub holds: Amount,
    pub want: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Word {
    /// A keeper would divide, or divides and would go on, in this term.
    Ask {
        term: Term,
        number: u64,
        divides: bool,
    },
    /// To that ask in that term, so of that life: whether it has the vote; for how many milliseconds the voter has surely not divided; the latest term
    /// that it knows.
    Vote {
        term: Term,
        number: u64,
        granted: bool,
        idle: u32,
        top: Term,
    },
    /// The votes for asks up to this one are not needed.
    Free { number: u64 },
    /// What a member holds and wants. Of this term's answers it has taken those up to `accepted`, and takes no earlier.
    Want {
        term: Term,
        number: u64,
        accepted: u64,
        of: Vec<Wanted>,
    },
    /// What this life of the member may hold from then on, from when it asked that.
    Give {
        term: Term,
        life: u64,
        number: u64,
        of: Amounts,
    },
    /// Who is believed to divide.
    Lead { term: Term },
    /// This life holds nothing any more, and takes nothing.
    Bye,
}

/// A word on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Letter {
    /// The fleet's name, as an id.
    pub fleet: u64,
    pub from: Id,
    pub life: u64,
    pub to: Id,
    pub word: Word,
}

/// No datagram is longer, so that none is cut on its way.
pub const LONGEST: usize = 1200;
/// Budgets at the most, so that a word on all of them is no longer.
pub const MOST: usize = 16;
const FIRST: u8 = 0x6d;

impl Letter {
    pub fn write(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![FIRST]).ok()?;
        (bytes.len() <= LONGEST).then_some(bytes)
    }

    /// Nothing, if it is none: too long, another first byte, cut short, or with bytes left.
    pub fn read(bytes: &[u8]) -> Option<Letter> {
        let (first, rest) = bytes.split_first().filter(|_| bytes.len() <= LONGEST)?;
        let (letter, left) = postcard::take_from_bytes::<Letter>(rest).ok()?;
        let fits = match &letter.word {
            Word::Want { of, .. } => of.len() <= MOST,
            Word::Give { of, .. } => of.len() <= MOST,
            _ => true,
        };
        (*first == FIRST && left.is_empty() && fits).then_some(letter)
    }
}
