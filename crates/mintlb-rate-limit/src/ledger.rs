//! What the divider has given, and to whom it gives how much. Pure.
//!
//! The claim: all that lives, stopped and cut off processes included, believe together to hold no more than the whole.
//! Of each life of each member the ledger counts the most that it may believe: what it said that it holds, and every
//! answer that it may still take. A part is free for another only once its holder has said that it holds less, or when
//! all that it was ever given is over. A divider that begins gives nothing but what members bring along, which nobody
//! else can be given, until all that others may have given before is over.

use crate::lease::Lease;
use crate::word::{Amount, Amounts, Id, ONE, Term, Wanted, of};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A whole, by its key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub key: u64,
    pub whole: Amount,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// The last word of its that counted.
    number: u64,
    holds: Amounts,
    wants: Vec<(u64, u32)>,
    /// Answers that it may still take: number, until when, and what.
    given: VecDeque<(u64, f64, Amounts)>,
    /// All that it may hold is over by then.
    until: f64,
    /// When it was first given more than nothing of a budget, and when it was last told to have nothing.
    turns: BTreeMap<u64, (f64, f64)>,
}

impl Entry {
    /// The most that it may believe to hold.
    fn counted(&self, key: u64) -> Amount {
        let given = self.given.iter().map(|(_, _, amounts)| of(amounts, key));
        given.fold(of(&self.holds, key), Amount::max)
    }

    /// Since when an answer to it has not been confirmed.
    fn deaf_since(&self) -> Option<u64> {
        self.given.front().map(|(number, _, _)| *number)
    }
}

#[derive(Clone, Debug)]
pub struct Ledger {
    pub term: Term,
    lease: Lease,
    budgets: Vec<Budget>,
    /// What members brought along, by key; the whole is given only from `opens` on.
    brought: BTreeMap<u64, Amount>,
    opens: f64,
    /// The same for budgets that came while it divides.
    late: BTreeMap<u64, f64>,
    /// Who has brought its part along. Each life does so once.
    joined: BTreeSet<(Id, u64)>,
    entries: BTreeMap<(Id, u64), Entry>,
    /// What each is to have, and when that was worked out.
    targets: BTreeMap<(Id, u64), Amounts>,
    worked_out: f64,
}

/// Answers to one member that it may still take, at the most: it asks four times a round at the most.
const ANSWERS: usize = 64;
/// One that has not confirmed so many answers hears nothing: parts would be wasted on it.
const DEAF: u64 = 4;
/// Where too few can hold a part at once, each keeps it for so many rounds at least.
const TURN: f64 = 4.0;
/// And for so many times what it takes to fill its burst, as a part begins empty.
const FILLED: f64 = 8.0;

impl Ledger {
    /// Of a divider that takes office now.
    pub fn new(now: f64, term: Term, lease: Lease, budgets: Vec<Budget>) -> Ledger {
        let wait = if crate::slip!(Unwaiting) {
            0.0
        } else {
            lease.outlasted()
        };
        let (brought, late, joined, entries, targets) = Default::default();
        let (opens, worked_out) = (now + wait, f64::NEG_INFINITY);
        Ledger {
            term,
            lease,
            budgets,
            brought,
            opens,
            late,
            joined,
            entries,
            targets,
            worked_out,
        }
    }

    /// Surely nobody else has divided in the last so many seconds, this divider's own time apart.
    pub fn has_been_idle(&mut self, now: f64, idle: f64) {
        self.opens = self.opens.min(now - idle + self.lease.outlasted());
    }

    /// From now on these are the wholes. What is held beyond a smaller one is given back as it is asked for again, and
    /// nobody gets more meanwhile. Of a budget that is new here somebody may hold a part by an earlier file.
    pub fn retune(&mut self, now: f64, budgets: Vec<Budget>) {
        for new in budgets
            .iter()
            .filter(|new| self.budgets.iter().all(|old| old.key != new.key))
        {
            self.late.insert(new.key, now + self.lease.outlasted());
        }
        (self.budgets, self.worked_out) = (budgets, f64::NEG_INFINITY);
    }

    /// Whether the whole may be given.
    pub fn is_open(&self, now: f64) -> bool {
        now >= self.opens
    }

    /// Whether a life of this member's has come.
    pub fn has_joined(&self, who: Id) -> bool {
        self.joined
            .range((who, 0)..=(who, u64::MAX))
            .next()
            .is_some()
    }

    /// What may be given altogether now.
    fn pool(&self, now: f64, budget: &Budget) -> Amount {
        if self.late.get(&budget.key).is_some_and(|opens| now < *opens) {
            return Amount::NONE;
        }
        match now >= self.opens {
            true => budget.whole,
            false => self
                .brought
                .get(&budget.key)
                .copied()
                .unwrap_or_default()
                .min(budget.whole),
        }
    }

    /// A member's question, and what it is answered. One that is doubled, or older than one heard, is not answered.
    pub fn want(
        &mut self,
        now: f64,
        who: (Id, u64),
        number: u64,
        accepted: u64,
        wanted: &[Wanted],
    ) -> Option<Amounts> {
        self.entries.retain(|_, entry| now < entry.until);
        let entry = self.entries.entry(who).or_default();
        if number <= entry.number {
            return None;
        }
        entry.number = number;
        entry
            .given
            .retain(|(number, until, _)| *number > accepted && now < *until);
        // One that asks faster than any member does is answered again when its answers are over.
        if entry.given.len() >= ANSWERS {
            return None;
        }
        entry.holds = wanted.iter().map(|w| (w.key, w.holds)).collect();
        entry.wants = wanted.iter().map(|w| (w.key, w.want)).collect();
        // Whatever it holds it asked for before now.
        entry.until = now + self.lease.outlasted();
        // Once the whole is open, who brought what along matters no more, and lives come and go without end.
        if now >= self.opens {
            self.joined.clear();
        } else if self.joined.insert(who) {
            for w in wanted {
                let brought = self.brought.entry(w.key).or_default();
                *brought = brought.plus(w.holds);
            }
        }
        if now >= self.worked_out + self.lease.round() / 2.0 || !self.targets.contains_key(&who) {
            self.work_out(now);
        }
        let targets = self.targets.get(&who).cloned().unwrap_or_default();
        let mut gives = Amounts::new();
        for budget in &self.budgets {
            let others = self.entries.iter().filter(|(other, _)| **other != who);
            let others = others.fold(Amount::NONE, |sum, (_, entry)| {
                sum.plus(entry.counted(budget.key))
            });
            let give = of(&targets, budget.key).min(self.pool(now, budget).less(others));
            // Less than one at once can't be spent.
            gives.push((
                budget.key,
                if give.stock < ONE { Amount::NONE } else { give },
            ));
        }
        let entry = self.entries.get_mut(&who)?;
        for (key, give) in &gives {
            let had = of(&entry.holds, *key) != Amount::NONE;
            let turn = entry
                .turns
                .entry(*key)
                .or_insert((f64::NEG_INFINITY, f64::NEG_INFINITY));
            match *give != Amount::NONE {
                true if !had => turn.0 = now,
                false if had => turn.1 = now,
                _ => {}
            }
        }
        entry
            .given
            .push_back((number, now + self.lease.outlasted(), gives.clone()));
        Some(gives)
    }

    /// It has said that this life holds nothing and takes nothing any more.
    pub fn bye(&mut self, who: (Id, u64)) {
        // Its earlier words may come again; it has joined all the same.
        self.joined.insert(who);
        self.entries.remove(&who);
        self.worked_out = f64::NEG_INFINITY;
    }

    /// Fair parts of what is wanted, and of what is left an equal part for each.
    fn work_out(&mut self, now: f64) {
        self.worked_out = now;
        self.targets = self
            .entries
            .keys()
            .map(|who| (*who, Amounts::new()))
            .collect();
        for budget in &self.budgets {
            let shares = self.shares(now, budget);
            for (who, share) in shares {
                // A third of three is one, whatever fractions leave.
                let part = |whole: u32| (f64::from(whole) * share + 1e-6) as u32;
                let amount = Amount {
                    flow: part(budget.whole.flow),
                    stock: part(budget.whole.stock),
                };
                self.targets
                    .entry(who)
                    .or_default()
                    .push((budget.key, amount));
            }
        }
    }

    fn shares(&self, now: f64, budget: &Budget) -> Vec<((Id, u64), f64)> {
        // Less than this part of the whole is less than one at once.
        let least = (f64::from(ONE) / f64::from(budget.whole.stock.max(1))).min(1.0);
        let places = (budget.whole.stock / ONE).max(1) as usize;
        let whole = f64::from(budget.whole.flow.max(1));
        let hears = |entry: &Entry| entry.deaf_since().is_none_or(|n| entry.number < n + DEAF);
        let heard: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| hears(entry))
            .collect();
        let want = |entry: &Entry| {
            let want = entry
                .wants
                .iter()
                .find(|(key, _)| *key == budget.key)
                .map_or(0, |(_, want)| *want);
            (f64::from(want) / whole).min(1.0)
        };
        let mut wanting: Vec<_> = heard
            .iter()
            .filter(|(_, entry)| want(entry) > 0.0)
            .collect();
        // Where not all can have one at once, who has one keeps it for its turn, then who went longest without.
        let turn = TURN * self.lease.round()
            + FILLED * f64::from(budget.whole.stock.min(ONE)) / f64::from(budget.whole.flow.max(1));
        if wanting.len() > places {
            wanting.sort_by(|(a, x), (b, y)| {
                let rank = |entry: &Entry| {
                    let has = entry.counted(budget.key) != Amount::NONE;
                    let never = (f64::NEG_INFINITY, f64::NEG_INFINITY);
                    let (began, ended) = entry.turns.get(&budget.key).copied().unwrap_or(never);
                    let keeps = has && ended < began && now < began + turn;
                    // One whose turn is over comes after all that wait.
                    (!keeps, has && !keeps, ended)
                };
                let ((a0, a1, a2), (b0, b1, b2)) = (rank(x), rank(y));
                (a0, a1)
                    .cmp(&(b0, b1))
                    .then(a2.total_cmp(&b2))
                    .then(a.cmp(b))
            });
            wanting.truncate(places);
        }
        // Filled evenly from below: each gets what it wants, or as much as all others that get less than they want.
        wanting.sort_by(|(a, x), (b, y)| want(x).total_cmp(&want(y)).then(a.cmp(b)));
        let (mut left, mut among) = (1.0, wanting.len());
        let mut shares: BTreeMap<(Id, u64), f64> = BTreeMap::new();
        for (who, entry) in wanting {
            let share = want(entry).max(least).min(left / among as f64);
            shares.insert(**who, share);
            (left, among) = (left - share, among - 1);
        }
        let (n, spare) = (heard.len().max(1) as f64, left.max(0.0));
        for (who, _) in &heard {
            let share = shares.entry(**who).or_default();
            if *share > 0.0 || spare / n >= least {
                *share += spare / n;
            }
        }
        shares.into_iter().collect()
    }
}
