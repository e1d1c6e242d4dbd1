//! The shares that one member holds, according to the grants that it accepted.

use crate::lease::Lease;
use crate::message::{Amounts, BudgetDemand, Message, Term, amount_of};
use std::collections::VecDeque;

#[derive(Clone, Debug)]
pub struct LeaseHolder {
    lease: Lease,
    /// The latest known term. It neither sends requests in an earlier one nor accepts grants of it.
    pub term: Term,
    /// The number of the last request.
    number: u64,
    /// The number of the last grant that was accepted.
    accepted: u64,
    /// Requests whose grants may still be accepted: their number, and when they were sent.
    pending: VecDeque<(u64, f64)>,
    /// The budgets in the last request.
    keys: Vec<u64>,
    shares: Amounts,
    /// When the shares expire.
    pub until: f64,
    /// When a grant was last accepted or a new coordinator was named; at first the start of this process.
    pub last_answer_at: f64,
}

/// The largest number of requests whose grants may still be accepted.
const MAX_PENDING_REQUESTS: usize = 16;

impl LeaseHolder {
    pub fn new(now: f64, lease: Lease) -> LeaseHolder {
        let (term, pending, keys, shares) = Default::default();
        LeaseHolder {
            lease,
            term,
            number: 0,
            accepted: 0,
            pending,
            keys,
            shares,
            until: f64::NEG_INFINITY,
            last_answer_at: now,
        }
    }

    /// The shares held now; none once they have expired.
    pub fn shares(&self, now: f64) -> &[(u64, crate::message::Amount)] {
        if now < self.until { &self.shares } else { &[] }
    }

    /// Adopts a term if it is later than the known one. Returns whether it is.
    pub fn adopt_term(&mut self, term: Term) -> bool {
        let is_later = term > self.term;
        if is_later {
            self.term = term;
            // No grant of the former term is accepted any more: what the new coordinator is told must stay true.
            self.pending.clear();
        }
        is_later
    }

    /// The next request, with the demand for each budget.
    pub fn next_request(&mut self, now: f64, demands: &[(u64, u32)]) -> Message {
        self.number += 1;
        self.pending.push_back((self.number, now));
        if self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        // The coordinator would not learn of the share of a budget that is not requested any more: give it up.
        self.shares
            .retain(|(key, _)| demands.iter().any(|(requested, _)| requested == key));
        self.keys = demands.iter().map(|(key, _)| *key).collect();
        let shares: Amounts = self.shares(now).to_vec();
        let demands = demands.iter().map(|(key, demand)| BudgetDemand {
            key: *key,
            held: amount_of(&shares, *key),
            demand_milli: *demand,
        });
        let demands = demands.collect();
        Message::ShareRequest {
            term: self.term,
            number: self.number,
            accepted: self.accepted,
            demands,
        }
    }

    /// Accepts a grant unless it is a duplicate, out of date or of another term. Its lease counts from when the request
    /// was sent. Returns whether it is less of some budget than was held.
    pub fn accept(&mut self, now: f64, term: Term, number: u64, mut amounts: Amounts) -> bool {
        amounts.retain(|(key, _)| self.keys.contains(key));
        let Some((_, sent_at)) = self
            .pending
            .iter()
            .find(|(pending, _)| *pending == number)
            .copied()
        else {
            return false;
        };
        let from = if crate::mutated!(LeaseFromReceipt) {
            now
        } else {
            sent_at
        };
        if crate::mutated!(ApplyDuplicate) && term == self.term && number == self.accepted {
            let held = |key| amount_of(&self.shares, key);
            self.shares = amounts
                .iter()
                .map(|(key, more)| (*key, held(*key).saturating_add(*more)))
                .collect();
            return false;
        }
        if term != self.term || number <= self.accepted || now >= from + self.lease.seconds {
            return false;
        }
        let mut held = self.shares(now).iter();
        let is_less = held.any(|(key, held)| !held.is_within(amount_of(&amounts, *key)));
        (self.accepted, self.shares, self.until) = (number, amounts, from + self.lease.seconds);
        self.last_answer_at = now;
        self.pending
            .retain(|(pending, _)| *pending > number || crate::mutated!(ApplyDuplicate));
        is_less
    }

    /// Gives up all shares, and accepts no grant any more.
    pub fn leave(&mut self) {
        (self.shares, self.until) = (Amounts::new(), f64::NEG_INFINITY);
        self.pending.clear();
    }
}
