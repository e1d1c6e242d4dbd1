//! Who divides: one keeper at a time, by a lease that a majority of the keepers has voted. Pure.
//!
//! No keeper writes anything down. One that starts votes for nobody until each vote that it may have given in an earlier
//! life is over, as in PaxosLease (Trencseni, Gazso, Reinhardt 2012). Two majorities share a keeper, its votes do not
//! overlap, and each candidate's belief in one ends before the voter's: so no two keepers believe to divide at once.

use crate::lease::Lease;
use crate::word::{Id, Term, Word};
use std::collections::{BTreeMap, VecDeque};

/// The vote that one keeper has.
#[derive(Clone, Debug)]
pub struct Keeper {
    lease: Lease,
    /// Since when it knows whom it has voted for.
    began: f64,
    vote: Option<Given>,
    /// The latest term that it has heard of.
    pub top: Term,
    /// When it last may have divided, an earlier life of its own included.
    pub divided: f64,
}

#[derive(Clone, Copy, Debug)]
struct Given {
    term: Term,
    number: u64,
    until: f64,
    /// Who has it divides already.
    divides: bool,
}

impl Keeper {
    pub fn new(now: f64, lease: Lease) -> Keeper {
        let lease = lease.of_office();
        Keeper {
            lease,
            began: now,
            vote: None,
            top: Term::default(),
            divided: now,
        }
    }

    /// Whether it may vote at all.
    pub fn votes(&self, now: f64) -> bool {
        crate::slip!(Unwaiting) || now >= self.began + self.lease.outlasted()
    }

    /// Whether its vote is somebody's.
    pub fn has_voted(&self, now: f64) -> bool {
        self.vote.is_some_and(|vote| now < vote.until)
    }

    /// Who divides by its vote. A mere candidate is not made known: members would wait for it in vain.
    pub fn knows(&self, now: f64) -> Option<Term> {
        self.vote
            .filter(|vote| now < vote.until && vote.divides)
            .map(|vote| vote.term)
    }

    /// `dividing` if the voter itself does.
    pub fn ask(
        &mut self,
        now: f64,
        (term, number): (Term, u64),
        divides: bool,
        dividing: bool,
    ) -> Word {
        let of = |vote: &Given| (vote.term.who, vote.term.life) == (term.who, term.life);
        let vote = self.vote.filter(|vote| now < vote.until);
        // Who has it may keep it, whatever others have tried meanwhile.
        let granted = self.votes(now) && vote.as_ref().map_or(term >= self.top, of);
        if granted {
            self.top = self.top.max(term);
            let number = self
                .vote
                .filter(of)
                .map_or(number, |vote| vote.number.max(number));
            self.vote = Some(Given {
                term,
                number,
                until: now + self.lease.outlasted(),
                divides,
            });
        }
        let idle = if dividing {
            0.0
        } else {
            (now - self.divided).max(0.0)
        };
        let idle = (idle * 1e3).min(f64::from(u32::MAX)) as u32;
        Word::Vote {
            term,
            number,
            granted,
            idle,
            top: self.top,
        }
    }

    /// The vote is given back, unless a later ask has it.
    pub fn free(&mut self, who: Id, life: u64, number: u64) {
        let frees =
            |vote: &Given| (vote.term.who, vote.term.life) == (who, life) && vote.number <= number;
        if self.vote.as_ref().is_some_and(frees) {
            self.vote = None;
        }
    }
}

/// A keeper's try to divide, and its time in office.
#[derive(Clone, Debug, Default)]
pub struct Office {
    pub term: Term,
    /// The number of the last ask, and when each that still counts was asked.
    number: u64,
    asked: VecDeque<(u64, f64)>,
    /// Until when each keeper's vote is believed.
    votes: BTreeMap<Id, f64>,
    /// What the keepers said to the last ask: for how long each has not divided.
    idle: BTreeMap<Id, f64>,
}

/// Asks of which the answers still count.
const ASKS: usize = 8;

impl Office {
    /// Asks once more: the ask's number, with which each keeper is asked.
    pub fn ask(&mut self, now: f64) -> u64 {
        self.number += 1;
        self.asked.push_back((self.number, now));
        if self.asked.len() > ASKS {
            self.asked.pop_front();
        }
        self.idle.clear();
        self.number
    }

    /// A new try, in this term. What was voted before is not believed.
    pub fn stand(&mut self, term: Term) {
        (self.term, self.votes) = (term, BTreeMap::new());
        self.asked.clear();
    }

    /// A vote in this term. One that an earlier life was given is none of this one's.
    pub fn hear(
        &mut self,
        keeper: Id,
        lease: &Lease,
        (term, number): (Term, u64),
        granted: bool,
        idle: u32,
    ) {
        if term != self.term && !crate::slip!(AnyLife) {
            return;
        }
        let Some((_, asked)) = self.asked.iter().find(|(known, _)| *known == number) else {
            return;
        };
        if number == self.number {
            self.idle
                .insert(keeper, lease.surely(f64::from(idle) / 1e3));
        }
        if granted {
            let until = asked + lease.of_office().seconds;
            let known = self.votes.entry(keeper).or_insert(until);
            *known = known.max(until);
        }
    }

    /// How many votes hold.
    pub fn votes(&self, now: f64) -> usize {
        self.votes.values().filter(|until| now < **until).count()
    }

    /// Whether a majority of so many keepers holds.
    pub fn holds(&self, now: f64, keepers: usize) -> bool {
        2 * self.votes(now) > keepers
    }

    /// For how long surely nobody has divided, where all keepers have answered the last ask.
    pub fn idle(&self, keepers: usize) -> f64 {
        let all = self.idle.len() >= keepers;
        if all {
            self.idle.values().copied().fold(f64::INFINITY, f64::min)
        } else {
            0.0
        }
    }

    /// Gives up: the number up to which its asks are void.
    pub fn resign(&mut self) -> u64 {
        self.asked.clear();
        self.votes.clear();
        self.number
    }
}
