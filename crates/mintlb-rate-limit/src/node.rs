//! One member: it holds parts, and where it is a keeper it votes, and divides while it has a majority. Pure: words and a
//! clock go in, words come out.

use crate::holder::Holder;
use crate::lease::Lease;
use crate::ledger::{Budget, Ledger};
use crate::vote::{Keeper, Office};
use crate::word::{Amount, Id, Term, Word};
use mintlb_scheduler::util::Rng;

pub struct Node {
    me: Id,
    life: u64,
    lease: Lease,
    budgets: Vec<Budget>,
    /// All that may ask it for parts, as far as its file names them.
    members: Vec<Id>,
    /// Those who may divide, in the order of their ids, and the turn of who is asked for the divider next.
    keepers: Vec<Id>,
    turn: usize,
    chance: Rng,
    holder: Holder,
    keeper: Option<Keeper>,
    office: Office,
    ledger: Option<Ledger>,
    /// When it asks for its parts next, for votes next, and when it may stand at the earliest.
    asks: f64,
    asked: f64,
    renews: f64,
    stands: f64,
    /// The keepers have been asked since it divides.
    told: bool,
    left: bool,
}

/// Silent for this part of a lease, the divider is asked for at the keepers.
const SILENT: f64 = 0.25;

pub type Out = Vec<(Id, Word)>;

impl Node {
    pub fn new(
        now: f64,
        (me, life): (Id, u64),
        lease: Lease,
        budgets: Vec<Budget>,
        members: Vec<Id>,
        mut keepers: Vec<Id>,
        seed: u64,
    ) -> Node {
        keepers.sort_unstable();
        let keeper = keepers.contains(&me).then(|| Keeper::new(now, lease));
        // Members whose seeds are close, or the same, must not stand together again and again.
        let mut chance =
            Rng::new(seed ^ (life ^ me.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        (0..4).for_each(|_| _ = chance.uniform());
        let turn = (chance.uniform() * keepers.len() as f64) as usize;
        // Those who start together do not ask together.
        let asks = now + chance.uniform() * lease.round();
        let (holder, office) = (Holder::new(now, lease), Office::default());
        let (ledger, renews, told, left) = (None, f64::INFINITY, false, false);
        let stands = now;
        Node {
            me,
            life,
            lease,
            budgets,
            members,
            keepers,
            turn,
            chance,
            holder,
            keeper,
            office,
            ledger,
            asks,
            asked: now,
            renews,
            stands,
            told,
            left,
        }
    }

    /// What it may spend now, by budget, and until when.
    pub fn parts(&self, now: f64) -> (&[(u64, Amount)], f64) {
        (self.holder.parts(now), self.holder.until)
    }

    /// Whether it divides now.
    pub fn divides(&self, now: f64) -> bool {
        self.ledger.is_some() && self.office.holds(now, self.keepers.len())
    }

    pub fn term(&self) -> Term {
        self.holder.term
    }

    /// When `tick` is to be called next at the latest.
    pub fn due(&self) -> f64 {
        if self.left {
            f64::INFINITY
        } else {
            self.asks.min(self.renews)
        }
    }

    /// Whether the next tick asks for parts, so that what is wanted is to be known.
    pub fn asks(&self, now: f64) -> bool {
        now >= self.asks
    }

    /// From now on these are the wholes, should it divide.
    pub fn retune(&mut self, now: f64, budgets: Vec<Budget>) {
        self.ledger
            .iter_mut()
            .for_each(|ledger| ledger.retune(now, budgets.clone()));
        self.budgets = budgets;
    }

    /// Something has changed that the divider is to hear of soon, but not with every change.
    pub fn hurry(&mut self, now: f64) {
        self.asks = self
            .asks
            .min((self.asked + self.lease.round() / 4.0).max(now));
    }

    /// What time brings. `wants` tells of each budget how much would be spent.
    pub fn tick(&mut self, now: f64, wants: &[(u64, u32)], out: &mut Out) {
        if self.left {
            return;
        }
        self.keep_office(now, out);
        if now >= self.asks {
            // Not in step with the others, whatever brought them into it.
            self.asked = now;
            self.asks = now + self.lease.round() * (0.9 + 0.2 * self.chance.uniform());
            let to = self.divider(now);
            let word = self.holder.ask(now, wants);
            self.send(now, to, word, out);
            self.stand(now, out);
        }
    }

    /// Whom it asks: the divider that it knows, or while that is silent one keeper after the other.
    fn divider(&mut self, now: f64) -> Id {
        let silent = now >= self.holder.answered + SILENT * self.lease.seconds;
        if self.divides(now) || self.holder.term.who != 0 && !silent {
            return self.holder.term.who;
        }
        self.turn = (self.turn + 1) % self.keepers.len();
        self.keepers[self.turn]
    }

    /// To another, or to itself at once.
    fn send(&mut self, now: f64, to: Id, word: Word, out: &mut Out) {
        match to == self.me {
            true => self.hear(now, (self.me, self.life), word, out),
            false => out.push((to, word)),
        }
    }

    fn ask_votes(&mut self, now: f64, out: &mut Out) {
        let (term, number) = (self.office.term, self.office.ask(now));
        self.renews = now + self.lease.of_office().seconds / 4.0;
        let divides = self.ledger.is_some();
        // Until all that was given before is over, whoever has not come yet is called: what it brings need not lapse.
        let missing = self
            .ledger
            .as_ref()
            .filter(|ledger| !ledger.is_open(now))
            .map(|ledger| {
                let missing = self
                    .members
                    .iter()
                    .filter(|id| **id != self.me && !ledger.has_joined(**id));
                missing.copied().collect::<Vec<Id>>()
            });
        out.extend(
            missing
                .into_iter()
                .flatten()
                .map(|id| (id, Word::Lead { term })),
        );
        for keeper in self.keepers.clone() {
            self.send(
                now,
                keeper,
                Word::Ask {
                    term,
                    number,
                    divides,
                },
                out,
            );
        }
    }

    /// Stands for divider, where there seems to be none.
    fn stand(&mut self, now: f64, out: &mut Out) {
        let Some(keeper) = &self.keeper else { return };
        let silent = now >= self.holder.answered + SILENT * self.lease.seconds;
        let free = keeper.votes(now) && !keeper.has_voted(now);
        if self.renews.is_finite() || !silent || !free || now < self.stands {
            return;
        }
        let number = keeper.top.max(self.holder.term).number.saturating_add(1);
        self.office.stand(Term {
            number,
            who: self.me,
            life: self.life,
        });
        self.ask_votes(now, out);
    }

    /// Renews its votes while it divides, and gives up where it has no majority.
    fn keep_office(&mut self, now: f64, out: &mut Out) {
        let holds = self.office.holds(now, self.keepers.len());
        if self.ledger.is_some() && !holds {
            self.resign(now, out);
        } else if now >= self.renews {
            match self.ledger.is_some() {
                true => self.ask_votes(now, out),
                false => self.resign(now, out),
            }
        }
    }

    fn resign(&mut self, now: f64, out: &mut Out) {
        if let Some(keeper) = self.keeper.as_mut().filter(|_| self.ledger.is_some()) {
            keeper.divided = now;
        }
        let number = self.office.resign();
        (self.ledger, self.renews, self.told) = (None, f64::INFINITY, false);
        self.stands = now + self.lease.seconds * (0.125 + 0.375 * self.chance.uniform());
        for keeper in self.keepers.clone() {
            self.send(now, keeper, Word::Free { number }, out);
        }
    }

    /// A word of another's life.
    pub fn hear(&mut self, now: f64, (from, life): (Id, u64), word: Word, out: &mut Out) {
        if self.left {
            return;
        }
        // Once without a majority another may have divided: a vote that comes late must not let the same term go on.
        if self.ledger.is_some() && !self.office.holds(now, self.keepers.len()) {
            self.resign(now, out);
        }
        match word {
            Word::Ask {
                term,
                number,
                divides,
            } => {
                let own = (term.who, term.life) == (from, life);
                let dividing = self.ledger.is_some() && from != self.me;
                let Some(keeper) = self.keeper.as_mut().filter(|_| own) else {
                    return;
                };
                let vote = keeper.ask(now, (term, number), divides, dividing);
                self.send(now, from, vote, out);
            }
            Word::Vote {
                term,
                number,
                granted,
                idle,
                top,
            } => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.top = keeper.top.max(top);
                }
                if !self.keepers.contains(&from) {
                    return;
                }
                self.office
                    .hear(from, &self.lease, (term, number), granted, idle);
                self.take_office(now, out);
            }
            Word::Free { number } => {
                self.keeper
                    .iter_mut()
                    .for_each(|keeper| keeper.free(from, life, number));
            }
            Word::Want {
                term,
                number,
                accepted,
                of,
            } => self.wanted(now, (from, life), term, (number, accepted), &of, out),
            Word::Give {
                term,
                life,
                number,
                of,
            } => {
                // What an earlier life was given is not this one's, whose numbers are the same ones.
                if term.who == from && (life == self.life || crate::slip!(AnyLife)) {
                    // Who is told to hold less says that it does at once: others wait for that.
                    if self.holder.take(now, term, number, of) {
                        self.hurry(now);
                    }
                }
            }
            Word::Lead { term } => {
                if self.keepers.contains(&term.who) && self.holder.follow(term) {
                    // The new divider is to know what is held as soon as can be.
                    self.asks = now;
                    self.holder.answered = now;
                }
            }
            Word::Bye => self
                .ledger
                .iter_mut()
                .for_each(|ledger| ledger.bye((from, life))),
        }
    }

    /// With a majority it divides from now on. While it does nobody else has, so what all keepers say of how long they
    /// have not shortens the wait, also later.
    fn take_office(&mut self, now: f64, out: &mut Out) {
        let keepers = self.keepers.len();
        if !self.office.holds(now, keepers) {
            return;
        }
        if self.ledger.is_none() {
            let term = self.office.term;
            self.ledger = Some(Ledger::new(now, term, self.lease, self.budgets.clone()));
            self.holder.follow(term);
            self.asks = now;
        }
        let idle = self.office.idle(keepers);
        self.ledger
            .iter_mut()
            .for_each(|ledger| ledger.has_been_idle(now, idle));
        if !self.told {
            // The keepers are to know whom to send members to.
            self.told = true;
            self.ask_votes(now, out);
        }
    }

    /// A member asks. Who does not divide says who is believed to.
    fn wanted(
        &mut self,
        now: f64,
        who: (Id, u64),
        term: Term,
        (number, accepted): (u64, u64),
        of: &[crate::word::Wanted],
        out: &mut Out,
    ) {
        if let Some(keeper) = &mut self.keeper {
            keeper.top = keeper.top.max(term);
        }
        let divides = self.divides(now);
        match self.ledger.as_mut().filter(|_| divides) {
            Some(ledger) if ledger.term == term => {
                let gives = ledger.want(now, who, number, accepted, of);
                if let Some(of) = gives {
                    self.send(
                        now,
                        who.0,
                        Word::Give {
                            term,
                            life: who.1,
                            number,
                            of,
                        },
                        out,
                    );
                }
            }
            // It knows of a later term than mine: mine must be later still, or it would never hear me.
            Some(ledger) if term > ledger.term => self.resign(now, out),
            Some(ledger) => {
                let term = ledger.term;
                self.send(now, who.0, Word::Lead { term }, out);
            }
            None => {
                let known = self.keeper.as_ref().and_then(|keeper| keeper.knows(now));
                if let Some(term) = known.filter(|known| *known > term) {
                    self.send(now, who.0, Word::Lead { term }, out);
                }
            }
        }
    }

    /// It ends: what it holds, and its office, are free at once for those who hear of it.
    pub fn leave(&mut self, now: f64, out: &mut Out) {
        self.holder.leave();
        let divider = self.holder.term.who;
        if self.divides(now) {
            self.ledger
                .iter_mut()
                .for_each(|ledger| ledger.bye((self.me, self.life)));
        } else if divider != 0 {
            out.push((divider, Word::Bye));
        }
        if self.keeper.is_some() {
            self.resign(now, out);
        }
        self.left = true;
    }

    /// The amounts that the file gives, as they are counted.
    pub fn whole(rate: f64, burst: f64) -> Amount {
        let thousandths = |value: f64| (value * f64::from(crate::word::ONE)) as u32;
        Amount {
            flow: thousandths(rate),
            stock: thousandths(burst),
        }
    }
}
