//! Election of the coordinator: one voter at a time, by a lease that a majority of the voters has granted.
//!
//! Voters store nothing on disk. One that starts grants no vote until every vote that it may have granted in an earlier
//! incarnation has expired, as in PaxosLease (Trencseni, Gazso, Reinhardt 2012). Any two majorities share a voter, its
//! votes do not overlap in time, and a candidate regards a vote as expired before the voter does: so no two members
//! regard themselves as the coordinator at the same time.

use crate::lease::Lease;
use crate::message::{MemberId, Message, Term};
use std::collections::{BTreeMap, VecDeque};

/// The vote that one voter grants.
#[derive(Clone, Debug)]
pub struct Voter {
    lease: Lease,
    /// When this incarnation started: it knows of all votes granted since.
    started_at: f64,
    vote: Option<Vote>,
    /// The latest term that it has heard of.
    pub latest_term: Term,
    /// When this member, or an earlier incarnation of it, may last have been the coordinator.
    pub last_coordinated_at: f64,
}

/// The candidate and request that a vote was last granted to.
#[derive(Clone, Copy, Debug)]
struct Vote {
    term: Term,
    number: u64,
    until: f64,
    /// Whether the candidate is the coordinator already.
    is_coordinator: bool,
}

impl Voter {
    pub fn new(now: f64, lease: Lease) -> Voter {
        let lease = lease.vote_lease();
        Voter {
            lease,
            started_at: now,
            vote: None,
            latest_term: Term::default(),
            last_coordinated_at: now,
        }
    }

    /// Whether all votes of earlier incarnations have expired, so that it may grant one.
    pub fn may_vote(&self, now: f64) -> bool {
        crate::mutated!(SkipStartupWait) || now >= self.started_at + self.lease.grantor_seconds()
    }

    /// Whether its vote is granted to some candidate.
    pub fn has_voted(&self, now: f64) -> bool {
        self.vote.is_some_and(|vote| now < vote.until)
    }

    /// The term of the coordinator that has its vote. A candidate that is not the coordinator yet is not announced:
    /// members would wait for it in vain.
    pub fn known_coordinator(&self, now: f64) -> Option<Term> {
        self.vote
            .filter(|vote| now < vote.until && vote.is_coordinator)
            .map(|vote| vote.term)
    }

    /// Decides about a vote request, and returns the response. `coordinating` tells whether this voter itself is the
    /// coordinator.
    pub fn handle_request(
        &mut self,
        now: f64,
        (term, number): (Term, u64),
        is_coordinator: bool,
        coordinating: bool,
    ) -> Message {
        let has = |v: &Vote| (v.term.member, v.term.incarnation) == (term.member, term.incarnation);
        let vote = self.vote.filter(|vote| now < vote.until);
        // The candidate that has the vote may keep it, whatever terms others have proposed meanwhile.
        let granted = self.may_vote(now) && vote.as_ref().map_or(term >= self.latest_term, has);
        if granted {
            self.latest_term = self.latest_term.max(term);
            let number = self
                .vote
                .filter(has)
                .map_or(number, |vote| vote.number.max(number));
            self.vote = Some(Vote {
                term,
                number,
                until: now + self.lease.grantor_seconds(),
                is_coordinator,
            });
        }
        let idle = if coordinating {
            0.0
        } else {
            (now - self.last_coordinated_at).max(0.0)
        };
        let idle_ms = (idle * 1e3).min(f64::from(u32::MAX)) as u32;
        Message::VoteResponse {
            term,
            number,
            granted,
            idle_ms,
            latest_term: self.latest_term,
        }
    }

    /// Takes the vote back from a candidate, unless it was granted to a request with a number after `last`.
    pub fn release(&mut self, id: MemberId, incarnation: u64, last: u64) {
        let is_released =
            |v: &Vote| (v.term.member, v.term.incarnation) == (id, incarnation) && v.number <= last;
        if self.vote.as_ref().is_some_and(is_released) {
            self.vote = None;
        }
    }
}

/// A voter's candidacy for coordinator, and the lease that it holds once a majority has voted for it.
#[derive(Clone, Debug, Default)]
pub struct Candidacy {
    pub term: Term,
    /// The number of the last vote request.
    number: u64,
    /// Requests whose responses still count: their number, and when they were sent.
    pending: VecDeque<(u64, f64)>,
    /// When each voter's vote expires.
    votes: BTreeMap<MemberId, f64>,
    /// The responses to the last request: for how many seconds each voter has not been the coordinator.
    idle: BTreeMap<MemberId, f64>,
}

/// The largest number of requests whose responses still count.
const MAX_PENDING_REQUESTS: usize = 8;

impl Candidacy {
    /// Begins a new vote request, and returns its number, the same for all voters.
    pub fn next_request(&mut self, now: f64) -> u64 {
        self.number += 1;
        self.pending.push_back((self.number, now));
        if self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        self.idle.clear();
        self.number
    }

    /// Begins a candidacy in a new term. Votes of the former term no longer count.
    pub fn begin(&mut self, term: Term) {
        (self.term, self.votes) = (term, BTreeMap::new());
        self.pending.clear();
    }

    /// Records a response. Those in other terms, and so those to earlier incarnations, are ignored.
    pub fn handle_response(
        &mut self,
        voter: MemberId,
        lease: &Lease,
        (term, number): (Term, u64),
        granted: bool,
        idle_ms: u32,
    ) {
        if term != self.term && !crate::mutated!(AnyIncarnation) {
            return;
        }
        let Some((_, sent_at)) = self.pending.iter().find(|(known, _)| *known == number) else {
            return;
        };
        if number == self.number {
            self.idle
                .insert(voter, lease.min_elapsed(f64::from(idle_ms) / 1e3));
        }
        if granted {
            let until = sent_at + lease.vote_lease().seconds;
            let known = self.votes.entry(voter).or_insert(until);
            *known = known.max(until);
        }
    }

    /// The number of votes that have not expired.
    pub fn vote_count(&self, now: f64) -> usize {
        self.votes.values().filter(|until| now < **until).count()
    }

    /// Whether it has the votes of a majority of so many voters.
    pub fn has_majority(&self, now: f64, voters: usize) -> bool {
        2 * self.vote_count(now) > voters
    }

    /// For how many seconds surely no voter has been the coordinator; 0 unless all have responded to the last request.
    pub fn idle_seconds(&self, voters: usize) -> f64 {
        let all_responded = self.idle.len() >= voters;
        if all_responded {
            self.idle.values().copied().fold(f64::INFINITY, f64::min)
        } else {
            0.0
        }
    }

    /// Ends the candidacy. Returns the number up to which its requests are void.
    pub fn resign(&mut self) -> u64 {
        self.pending.clear();
        self.votes.clear();
        self.number
    }
}
