//! What one member holds, by what it was answered. Pure.

use crate::lease::Lease;
use crate::word::{Amounts, Term, Wanted, Word, of};
use std::collections::VecDeque;

#[derive(Clone, Debug)]
pub struct Holder {
    lease: Lease,
    /// The latest term that it has heard of; it speaks to nobody of an earlier one again.
    pub term: Term,
    number: u64,
    accepted: u64,
    /// When it asked what, as far as the answer still counts.
    asked: VecDeque<(u64, f64)>,
    /// The budgets that it asks for.
    keys: Vec<u64>,
    parts: Amounts,
    pub until: f64,
    /// When it last was answered.
    pub answered: f64,
}

/// Questions whose answers still count, at the most.
const ASKED: usize = 16;

impl Holder {
    pub fn new(now: f64, lease: Lease) -> Holder {
        let (term, asked, keys, parts) = Default::default();
        Holder {
            lease,
            term,
            number: 0,
            accepted: 0,
            asked,
            keys,
            parts,
            until: f64::NEG_INFINITY,
            answered: now,
        }
    }

    /// What it holds now.
    pub fn parts(&self, now: f64) -> &[(u64, crate::word::Amount)] {
        if now < self.until { &self.parts } else { &[] }
    }

    /// There is this term. Whether it is news.
    pub fn follow(&mut self, term: Term) -> bool {
        let news = term > self.term;
        if news {
            self.term = term;
            // Answers of the term before are not taken any more: what is told to the new divider must stay true.
            self.asked.clear();
        }
        news
    }

    /// The question that is due now; `wants` by budget.
    pub fn ask(&mut self, now: f64, wants: &[(u64, u32)]) -> Word {
        self.number += 1;
        self.asked.push_back((self.number, now));
        if self.asked.len() > ASKED {
            self.asked.pop_front();
        }
        // A part of a budget that is not asked for any more would be told of to nobody: it is given up.
        self.parts
            .retain(|(key, _)| wants.iter().any(|(wanted, _)| wanted == key));
        self.keys = wants.iter().map(|(key, _)| *key).collect();
        let parts: Amounts = self.parts(now).to_vec();
        let wanted = wants.iter().map(|(key, want)| Wanted {
            key: *key,
            holds: of(&parts, *key),
            want: *want,
        });
        let of = wanted.collect();
        Word::Want {
            term: self.term,
            number: self.number,
            accepted: self.accepted,
            of,
        }
    }

    /// An answer: from then on it holds that, counted from when it asked. Whether that is less of something than before.
    pub fn take(&mut self, now: f64, term: Term, number: u64, mut amounts: Amounts) -> bool {
        amounts.retain(|(key, _)| self.keys.contains(key));
        let Some((_, asked)) = self
            .asked
            .iter()
            .find(|(known, _)| *known == number)
            .copied()
        else {
            return false;
        };
        let from = if crate::slip!(FromReceipt) {
            now
        } else {
            asked
        };
        if crate::slip!(Doubled) && term == self.term && number == self.accepted {
            let held = |key| of(&self.parts, key);
            self.parts = amounts
                .iter()
                .map(|(key, more)| (*key, held(*key).plus(*more)))
                .collect();
            return false;
        }
        if term != self.term || number <= self.accepted || now >= from + self.lease.seconds {
            return false;
        }
        let mut held = self.parts(now).iter();
        let less = held.any(|(key, held)| !held.within(of(&amounts, *key)));
        (self.accepted, self.parts, self.until) = (number, amounts, from + self.lease.seconds);
        self.answered = now;
        self.asked
            .retain(|(known, _)| *known > number || crate::slip!(Doubled));
        less
    }

    /// It holds nothing any more, and takes nothing.
    pub fn leave(&mut self) {
        (self.parts, self.until) = (Amounts::new(), f64::NEG_INFINITY);
        self.asked.clear();
    }
}
