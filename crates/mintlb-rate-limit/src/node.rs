//! One member of the fleet. It holds shares; if it is a voter it also votes, and is the coordinator while it has the
//! votes of a majority. Takes messages and the time as inputs, and returns the messages to send.

use crate::lease::Lease;
use crate::lease_holder::LeaseHolder;
use crate::ledger::{Budget, Ledger};
use crate::message::{Amount, MemberId, Message, Term};
use crate::vote::{Candidacy, Voter};
use mintlb_scheduler::util::Rng;

pub struct Node {
    own_id: MemberId,
    incarnation: u64,
    lease: Lease,
    budgets: Vec<Budget>,
    /// All members that may request shares, according to this member's settings.
    members: Vec<MemberId>,
    /// The members that may be the coordinator, sorted by id.
    voters: Vec<MemberId>,
    /// The index of the voter that was last asked for the coordinator.
    voter_index: usize,
    rng: Rng,
    lease_holder: LeaseHolder,
    voter: Option<Voter>,
    candidacy: Candidacy,
    /// Present while this member is the coordinator.
    ledger: Option<Ledger>,
    /// When it next requests shares, when it last did, when it next renews its votes or ends its
    /// candidacy, and the earliest time of the next candidacy.
    next_request_at: f64,
    last_request_at: f64,
    renews_at: f64,
    candidate_after: f64,
    /// Whether the voters have been sent a request that names this member the coordinator.
    announced: bool,
    has_left: bool,
}

/// The time-out of a coordinator, as a fraction of a lease: one that has not answered for that long is taken for lost.
const COORDINATOR_TIMEOUT_LEASES: f64 = 0.25;

/// Messages to send, with their receivers.
pub type Outbox = Vec<(MemberId, Message)>;

impl Node {
    pub fn new(
        now: f64,
        (own_id, incarnation): (MemberId, u64),
        lease: Lease,
        budgets: Vec<Budget>,
        members: Vec<MemberId>,
        mut voters: Vec<MemberId>,
        seed: u64,
    ) -> Node {
        voters.sort_unstable();
        let voter = voters.contains(&own_id).then(|| Voter::new(now, lease));
        // Members with similar or equal seeds must not become candidates at the same time again and again.
        let mut rng = Rng::new(
            seed ^ (incarnation ^ own_id.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        );
        (0..4).for_each(|_| _ = rng.uniform());
        let voter_index = (rng.uniform() * voters.len() as f64) as usize;
        // Spreads the first requests of members that start at the same time.
        let next_request_at = now + rng.uniform() * lease.request_interval();
        let (lease_holder, candidacy) = (LeaseHolder::new(now, lease), Candidacy::default());
        let (ledger, renews_at, announced, has_left) = (None, f64::INFINITY, false, false);
        let candidate_after = now;
        Node {
            own_id,
            incarnation,
            lease,
            budgets,
            members,
            voters,
            voter_index,
            rng,
            lease_holder,
            voter,
            candidacy,
            ledger,
            next_request_at,
            last_request_at: now,
            renews_at,
            candidate_after,
            announced,
            has_left,
        }
    }

    /// The shares held now, by budget, and when they expire.
    pub fn shares(&self, now: f64) -> (&[(u64, Amount)], f64) {
        (self.lease_holder.shares(now), self.lease_holder.until)
    }

    /// Whether this member is the coordinator now.
    pub fn is_coordinator(&self, now: f64) -> bool {
        self.ledger.is_some() && self.candidacy.has_majority(now, self.voters.len())
    }

    pub fn term(&self) -> Term {
        self.lease_holder.term
    }

    /// When [`Node::tick`] must be called next, at the latest.
    pub fn next_tick_at(&self) -> f64 {
        if self.has_left {
            f64::INFINITY
        } else {
            self.next_request_at.min(self.renews_at)
        }
    }

    /// Whether the next tick requests shares, and so needs the current demands.
    pub fn is_request_due(&self, now: f64) -> bool {
        now >= self.next_request_at
    }

    /// Replaces the budgets that it grants when it is the coordinator.
    pub fn set_budgets(&mut self, now: f64, budgets: Vec<Budget>) {
        self.ledger
            .iter_mut()
            .for_each(|ledger| ledger.set_budgets(now, budgets.clone()));
        self.budgets = budgets;
    }

    /// Requests shares early, as something has changed, but at least a quarter of an interval after the last request.
    pub fn request_soon(&mut self, now: f64) {
        self.next_request_at = self
            .next_request_at
            .min((self.last_request_at + self.lease.request_interval() / 4.0).max(now));
    }

    /// Does what is due. `demands` holds the demand for each budget, in thousandths of a token per second.
    pub fn tick(&mut self, now: f64, demands: &[(u64, u32)], out: &mut Outbox) {
        if self.has_left {
            return;
        }
        self.renew_or_resign(now, out);
        if now >= self.next_request_at {
            // Jitter, so that members do not stay in step, whatever brought them into it.
            self.last_request_at = now;
            self.next_request_at =
                now + self.lease.request_interval() * (0.9 + 0.2 * self.rng.uniform());
            let to = self.request_target(now);
            let message = self.lease_holder.next_request(now, demands);
            self.send(now, to, message, out);
            self.become_candidate(now, out);
        }
    }

    /// Where it sends its request: to the coordinator that it knows, or once that has timed out to one voter after
    /// another.
    fn request_target(&mut self, now: f64) -> MemberId {
        let timed_out = now
            >= self.lease_holder.last_answer_at + COORDINATOR_TIMEOUT_LEASES * self.lease.seconds;
        if self.is_coordinator(now) || self.lease_holder.term.member != 0 && !timed_out {
            return self.lease_holder.term.member;
        }
        self.voter_index = (self.voter_index + 1) % self.voters.len();
        self.voters[self.voter_index]
    }

    /// Sends a message to another member; handles one to itself at once.
    fn send(&mut self, now: f64, to: MemberId, message: Message, out: &mut Outbox) {
        match to == self.own_id {
            true => self.receive(now, (self.own_id, self.incarnation), message, out),
            false => out.push((to, message)),
        }
    }

    fn request_votes(&mut self, now: f64, out: &mut Outbox) {
        let (term, number) = (self.candidacy.term, self.candidacy.next_request(now));
        self.renews_at = now + self.lease.vote_lease().seconds / 4.0;
        let is_coordinator = self.ledger.is_some();
        // Until former grants have expired, members that have not joined yet are notified, so that what they hold can
        // be renewed before it expires.
        let missing = self
            .ledger
            .as_ref()
            .filter(|ledger| !ledger.is_open(now))
            .map(|ledger| {
                let missing = self
                    .members
                    .iter()
                    .filter(|id| **id != self.own_id && !ledger.has_joined(**id));
                missing.copied().collect::<Vec<MemberId>>()
            });
        out.extend(
            missing
                .into_iter()
                .flatten()
                .map(|id| (id, Message::CoordinatorHint { term })),
        );
        for voter in self.voters.clone() {
            self.send(
                now,
                voter,
                Message::VoteRequest {
                    term,
                    number,
                    is_coordinator,
                },
                out,
            );
        }
    }

    /// Becomes a candidate if there seems to be no coordinator.
    fn become_candidate(&mut self, now: f64, out: &mut Outbox) {
        let Some(voter) = &self.voter else { return };
        let timed_out = now
            >= self.lease_holder.last_answer_at + COORDINATOR_TIMEOUT_LEASES * self.lease.seconds;
        let is_free = voter.may_vote(now) && !voter.has_voted(now);
        if self.renews_at.is_finite() || !timed_out || !is_free || now < self.candidate_after {
            return;
        }
        let number = voter
            .latest_term
            .max(self.lease_holder.term)
            .number
            .saturating_add(1);
        self.candidacy.begin(Term {
            number,
            member: self.own_id,
            incarnation: self.incarnation,
        });
        self.request_votes(now, out);
    }

    /// Renews the votes of a coordinator. Resigns if it has no majority, or if a candidacy did not get one in time.
    fn renew_or_resign(&mut self, now: f64, out: &mut Outbox) {
        let has_majority = self.candidacy.has_majority(now, self.voters.len());
        if self.ledger.is_some() && !has_majority {
            self.resign(now, out);
        } else if now >= self.renews_at {
            match self.ledger.is_some() {
                true => self.request_votes(now, out),
                false => self.resign(now, out),
            }
        }
    }

    fn resign(&mut self, now: f64, out: &mut Outbox) {
        if let Some(voter) = self.voter.as_mut().filter(|_| self.ledger.is_some()) {
            voter.last_coordinated_at = now;
        }
        let number = self.candidacy.resign();
        (self.ledger, self.renews_at, self.announced) = (None, f64::INFINITY, false);
        self.candidate_after = now + self.lease.seconds * (0.125 + 0.375 * self.rng.uniform());
        for voter in self.voters.clone() {
            self.send(now, voter, Message::ReleaseVote { number }, out);
        }
    }

    /// Handles a message from another member's incarnation.
    pub fn receive(
        &mut self,
        now: f64,
        (from, incarnation): (MemberId, u64),
        message: Message,
        out: &mut Outbox,
    ) {
        if self.has_left {
            return;
        }
        // While it had no majority another member may have been the coordinator: a late vote must not let the same term
        // go on.
        if self.ledger.is_some() && !self.candidacy.has_majority(now, self.voters.len()) {
            self.resign(now, out);
        }
        match message {
            Message::VoteRequest {
                term,
                number,
                is_coordinator,
            } => {
                let is_own_term = (term.member, term.incarnation) == (from, incarnation);
                let coordinating = self.ledger.is_some() && from != self.own_id;
                let Some(voter) = self.voter.as_mut().filter(|_| is_own_term) else {
                    return;
                };
                let response =
                    voter.handle_request(now, (term, number), is_coordinator, coordinating);
                self.send(now, from, response, out);
            }
            Message::VoteResponse {
                term,
                number,
                granted,
                idle_ms,
                latest_term,
            } => {
                if let Some(voter) = &mut self.voter {
                    voter.latest_term = voter.latest_term.max(latest_term);
                }
                if !self.voters.contains(&from) {
                    return;
                }
                self.candidacy
                    .handle_response(from, &self.lease, (term, number), granted, idle_ms);
                self.become_coordinator(now, out);
            }
            Message::ReleaseVote { number } => {
                self.voter
                    .iter_mut()
                    .for_each(|voter| voter.release(from, incarnation, number));
            }
            Message::ShareRequest {
                term,
                number,
                accepted,
                demands,
            } => self.handle_share_request(
                now,
                (from, incarnation),
                term,
                (number, accepted),
                &demands,
                out,
            ),
            Message::ShareGrant {
                term,
                incarnation,
                number,
                amounts,
            } => {
                // A grant to an earlier incarnation is not for this one, which uses the same request numbers.
                if term.member == from
                    && (incarnation == self.incarnation || crate::mutated!(AnyIncarnation))
                {
                    // A reduced share is confirmed soon, as others wait for that.
                    if self.lease_holder.accept(now, term, number, amounts) {
                        self.request_soon(now);
                    }
                }
            }
            Message::CoordinatorHint { term } => {
                if self.voters.contains(&term.member) && self.lease_holder.adopt_term(term) {
                    // The new coordinator should learn as soon as possible what is held.
                    self.next_request_at = now;
                    self.lease_holder.last_answer_at = now;
                }
            }
            Message::Leave => self
                .ledger
                .iter_mut()
                .for_each(|ledger| ledger.remove((from, incarnation))),
        }
    }

    /// Becomes the coordinator if it has a majority. No other member can be the coordinator meanwhile, so that the
    /// voters' reports how long they have not been it shorten the wait, also those that arrive later.
    fn become_coordinator(&mut self, now: f64, out: &mut Outbox) {
        let voters = self.voters.len();
        if !self.candidacy.has_majority(now, voters) {
            return;
        }
        if self.ledger.is_none() {
            let term = self.candidacy.term;
            self.ledger = Some(Ledger::new(now, term, self.lease, self.budgets.clone()));
            self.lease_holder.adopt_term(term);
            self.next_request_at = now;
        }
        let idle = self.candidacy.idle_seconds(voters);
        self.ledger
            .iter_mut()
            .for_each(|ledger| ledger.shorten_wait(now, idle));
        if !self.announced {
            // Another vote request tells the voters which coordinator to name to members.
            self.announced = true;
            self.request_votes(now, out);
        }
    }

    /// Grants shares if it is the coordinator; otherwise names the coordinator that it knows.
    fn handle_share_request(
        &mut self,
        now: f64,
        member: (MemberId, u64),
        term: Term,
        (number, accepted): (u64, u64),
        demands: &[crate::message::BudgetDemand],
        out: &mut Outbox,
    ) {
        if let Some(voter) = &mut self.voter {
            voter.latest_term = voter.latest_term.max(term);
        }
        let is_coordinator = self.is_coordinator(now);
        match self.ledger.as_mut().filter(|_| is_coordinator) {
            Some(ledger) if ledger.term == term => {
                let grants = ledger.handle_request(now, member, number, accepted, demands);
                if let Some(amounts) = grants {
                    self.send(
                        now,
                        member.0,
                        Message::ShareGrant {
                            term,
                            incarnation: member.1,
                            number,
                            amounts,
                        },
                        out,
                    );
                }
            }
            // The member knows a later term, and ignores earlier ones: only a term later still can reach it.
            Some(ledger) if term > ledger.term => self.resign(now, out),
            Some(ledger) => {
                let term = ledger.term;
                self.send(now, member.0, Message::CoordinatorHint { term }, out);
            }
            None => {
                let known = self
                    .voter
                    .as_ref()
                    .and_then(|voter| voter.known_coordinator(now));
                if let Some(term) = known.filter(|known| *known > term) {
                    self.send(now, member.0, Message::CoordinatorHint { term }, out);
                }
            }
        }
    }

    /// Ends this member: gives up its shares and its office, which are free at once for those who receive the messages.
    pub fn leave(&mut self, now: f64, out: &mut Outbox) {
        self.lease_holder.leave();
        let coordinator = self.lease_holder.term.member;
        if self.is_coordinator(now) {
            self.ledger
                .iter_mut()
                .for_each(|ledger| ledger.remove((self.own_id, self.incarnation)));
        } else if coordinator != 0 {
            out.push((coordinator, Message::Leave));
        }
        if self.voter.is_some() {
            self.resign(now, out);
        }
        self.has_left = true;
    }

    /// Converts a rate and burst from the settings, in tokens, to an amount.
    pub fn amount(rate: f64, burst: f64) -> Amount {
        let thousandths =
            |tokens: f64| (tokens * f64::from(crate::message::ONE_TOKEN_MILLI)) as u32;
        Amount {
            rate_milli: thousandths(rate),
            burst_milli: thousandths(burst),
        }
    }
}
