//! The coordinator's record of what it has granted, and its decision how much each member gets.
//!
//! Invariant: all processes together, including those that are stopped or cut off, believe that they hold at most the
//! total of each budget. For each incarnation of each member the ledger counts the most that it may believe to hold:
//! what it reported, and every grant that it may still accept. A share becomes free for others only once its holder has
//! reported that it holds less, or once all grants to it have expired. Until all grants of former coordinators have
//! expired, a new coordinator grants only what members report to hold from them: no one else can hold that.

use crate::lease::Lease;
use crate::message::{Amount, Amounts, BudgetDemand, MemberId, ONE_TOKEN_MILLI, Term, amount_of};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A budget and its total over the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub key: u64,
    pub total: Amount,
}

/// What is known of one incarnation of a member.
#[derive(Clone, Debug, Default)]
struct Entry {
    /// The number of the last request that was processed.
    number: u64,
    held: Amounts,
    /// By budget, in thousandths of a token per second.
    demands: Vec<(u64, u32)>,
    /// Grants that it may still accept: their request's number, when they expire, and their amounts.
    unacked: VecDeque<(u64, f64, Amounts)>,
    /// When all that it may hold has expired.
    expires_at: f64,
    /// By budget: when its last turn began, that is, it was granted something while it held nothing, and when it ended.
    turns: BTreeMap<u64, (f64, f64)>,
}

impl Entry {
    /// The most that it may believe to hold.
    fn max_held(&self, key: u64) -> Amount {
        let granted = self
            .unacked
            .iter()
            .map(|(_, _, amounts)| amount_of(amounts, key));
        granted.fold(amount_of(&self.held, key), Amount::max)
    }

    /// The number of the oldest request whose grant is not acknowledged.
    fn first_unacked(&self) -> Option<u64> {
        self.unacked.front().map(|(number, _, _)| *number)
    }
}

#[derive(Clone, Debug)]
pub struct Ledger {
    pub term: Term,
    lease: Lease,
    budgets: Vec<Budget>,
    /// What members reported to hold from former coordinators, by budget. No more than that is granted before
    /// `opens_at`.
    carried_over: BTreeMap<u64, Amount>,
    opens_at: f64,
    /// The same for budgets that were added during the term: nothing of them is granted before.
    new_budgets_open_at: BTreeMap<u64, f64>,
    /// The incarnations that have reported what they hold. Each counts once in `carried_over`.
    joined: BTreeSet<(MemberId, u64)>,
    entries: BTreeMap<(MemberId, u64), Entry>,
    /// The shares that members should have, and when they were computed.
    targets: BTreeMap<(MemberId, u64), Amounts>,
    targets_updated_at: f64,
}

/// The largest number of unacknowledged grants to a member. It sends at most four requests per interval.
const MAX_UNACKED_GRANTS: usize = 64;
/// A member that has not acknowledged a grant after this many more requests seems to receive none, so that a share
/// would be wasted on it.
const MAX_ACK_LAG: u64 = 4;
/// Where too few members can hold a share at once, each keeps it for at least this many request intervals,
const MIN_TURN_INTERVALS: f64 = 4.0;
/// and for this many times what it takes to fill its burst, as a share begins without tokens.
const MIN_TURN_BURST_FILLS: f64 = 8.0;

impl Ledger {
    /// The ledger of a coordinator whose term begins now.
    pub fn new(now: f64, term: Term, lease: Lease, budgets: Vec<Budget>) -> Ledger {
        let wait = if crate::mutated!(SkipStartupWait) {
            0.0
        } else {
            lease.grantor_seconds()
        };
        let (carried_over, new_budgets_open_at, joined, entries, targets) = Default::default();
        let (opens_at, targets_updated_at) = (now + wait, f64::NEG_INFINITY);
        Ledger {
            term,
            lease,
            budgets,
            carried_over,
            opens_at,
            new_budgets_open_at,
            joined,
            entries,
            targets,
            targets_updated_at,
        }
    }

    /// Shortens the wait for former grants: apart from this coordinator, surely none was active in the last `idle`
    /// seconds.
    pub fn shorten_wait(&mut self, now: f64, idle: f64) {
        self.opens_at = self.opens_at.min(now - idle + self.lease.grantor_seconds());
    }

    /// Replaces the budgets. What members hold beyond a smaller total is given back with their next requests, and no
    /// one gets more meanwhile. Shares of a budget that is new here may still be held under earlier settings.
    pub fn set_budgets(&mut self, now: f64, budgets: Vec<Budget>) {
        for new in budgets
            .iter()
            .filter(|new| self.budgets.iter().all(|old| old.key != new.key))
        {
            self.new_budgets_open_at
                .insert(new.key, now + self.lease.grantor_seconds());
        }
        (self.budgets, self.targets_updated_at) = (budgets, f64::NEG_INFINITY);
    }

    /// Whether the totals may be granted, as the grants of former coordinators have expired.
    pub fn is_open(&self, now: f64) -> bool {
        now >= self.opens_at
    }

    /// Whether an incarnation of this member has reported what it holds.
    pub fn has_joined(&self, member: MemberId) -> bool {
        self.joined
            .range((member, 0)..=(member, u64::MAX))
            .next()
            .is_some()
    }

    /// What may be granted to all members together now.
    fn grantable(&self, now: f64, budget: &Budget) -> Amount {
        if self
            .new_budgets_open_at
            .get(&budget.key)
            .is_some_and(|opens_at| now < *opens_at)
        {
            return Amount::NONE;
        }
        match now >= self.opens_at {
            true => budget.total,
            false => self
                .carried_over
                .get(&budget.key)
                .copied()
                .unwrap_or_default()
                .min(budget.total),
        }
    }

    /// Processes a member's request and returns what it is granted; `None` if the request is a duplicate, is older than
    /// one already processed, or finds too many grants unacknowledged.
    pub fn handle_request(
        &mut self,
        now: f64,
        member: (MemberId, u64),
        number: u64,
        accepted: u64,
        demands: &[BudgetDemand],
    ) -> Option<Amounts> {
        self.entries.retain(|_, entry| now < entry.expires_at);
        let entry = self.entries.entry(member).or_default();
        if number <= entry.number {
            return None;
        }
        entry.number = number;
        entry
            .unacked
            .retain(|(number, until, _)| *number > accepted && now < *until);
        // A member that sends more requests than any should gets grants again once the earlier ones have expired.
        if entry.unacked.len() >= MAX_UNACKED_GRANTS {
            return None;
        }
        entry.held = demands.iter().map(|d| (d.key, d.held)).collect();
        entry.demands = demands.iter().map(|d| (d.key, d.demand_milli)).collect();
        // Whatever the member holds, it requested before now.
        entry.expires_at = now + self.lease.grantor_seconds();
        // Once the totals may be granted, `joined` is not needed; clearing it keeps it from growing with each restart.
        if now >= self.opens_at {
            self.joined.clear();
        } else if self.joined.insert(member) {
            for demand in demands {
                let carried_over = self.carried_over.entry(demand.key).or_default();
                *carried_over = carried_over.saturating_add(demand.held);
            }
        }
        if now >= self.targets_updated_at + self.lease.request_interval() / 2.0
            || !self.targets.contains_key(&member)
        {
            self.update_targets(now);
        }
        let targets = self.targets.get(&member).cloned().unwrap_or_default();
        let mut grants = Amounts::new();
        for budget in &self.budgets {
            let others = self.entries.iter().filter(|(other, _)| **other != member);
            let others = others.fold(Amount::NONE, |sum, (_, entry)| {
                sum.saturating_add(entry.max_held(budget.key))
            });
            let grant = amount_of(&targets, budget.key)
                .min(self.grantable(now, budget).saturating_sub(others));
            // With a burst below one token nothing could be spent.
            grants.push((
                budget.key,
                if grant.burst_milli < ONE_TOKEN_MILLI {
                    Amount::NONE
                } else {
                    grant
                },
            ));
        }
        let entry = self.entries.get_mut(&member)?;
        for (key, grant) in &grants {
            let had = amount_of(&entry.held, *key) != Amount::NONE;
            let turn = entry
                .turns
                .entry(*key)
                .or_insert((f64::NEG_INFINITY, f64::NEG_INFINITY));
            match *grant != Amount::NONE {
                true if !had => turn.0 = now,
                false if had => turn.1 = now,
                _ => {}
            }
        }
        entry
            .unacked
            .push_back((number, now + self.lease.grantor_seconds(), grants.clone()));
        Some(grants)
    }

    /// Removes an incarnation that has announced that it holds nothing and will accept no grant.
    pub fn remove(&mut self, member: (MemberId, u64)) {
        // Its earlier requests may arrive again, and must not count as carried over.
        self.joined.insert(member);
        self.entries.remove(&member);
        self.targets_updated_at = f64::NEG_INFINITY;
    }

    /// Computes the target of each member from its share of each budget.
    fn update_targets(&mut self, now: f64) {
        self.targets_updated_at = now;
        self.targets = self
            .entries
            .keys()
            .map(|member| (*member, Amounts::new()))
            .collect();
        for budget in &self.budgets {
            let shares = self.compute_shares(now, budget);
            for (member, share) in shares {
                // The small addition keeps rounding errors from reducing, say, a third of three tokens to less than
                // one.
                let scaled = |total: u32| (f64::from(total) * share + 1e-6) as u32;
                let amount = Amount {
                    rate_milli: scaled(budget.total.rate_milli),
                    burst_milli: scaled(budget.total.burst_milli),
                };
                self.targets
                    .entry(member)
                    .or_default()
                    .push((budget.key, amount));
            }
        }
    }

    /// The share of the total for each member, from 0 to 1: max-min fair shares of the demands, and what is left in
    /// equal parts.
    fn compute_shares(&self, now: f64, budget: &Budget) -> Vec<((MemberId, u64), f64)> {
        // A smaller share of the total has a burst below one token.
        let min_share =
            (f64::from(ONE_TOKEN_MILLI) / f64::from(budget.total.burst_milli.max(1))).min(1.0);
        let max_holders = (budget.total.burst_milli / ONE_TOKEN_MILLI).max(1) as usize;
        let total_rate = f64::from(budget.total.rate_milli.max(1));
        let is_live = |e: &Entry| e.first_unacked().is_none_or(|n| e.number < n + MAX_ACK_LAG);
        let live: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_live(entry))
            .collect();
        let demand = |entry: &Entry| {
            let demand = entry
                .demands
                .iter()
                .find(|(key, _)| *key == budget.key)
                .map_or(0, |(_, demand)| *demand);
            (f64::from(demand) / total_rate).min(1.0)
        };
        let mut demanding: Vec<_> = live
            .iter()
            .filter(|(_, entry)| demand(entry) > 0.0)
            .collect();
        // If there is not one token for each, those whose turn lasts keep their share, then those who have been without
        // one for longest get it.
        let turn = MIN_TURN_INTERVALS * self.lease.request_interval()
            + MIN_TURN_BURST_FILLS * f64::from(budget.total.burst_milli.min(ONE_TOKEN_MILLI))
                / f64::from(budget.total.rate_milli.max(1));
        if demanding.len() > max_holders {
            demanding.sort_by(|(a, x), (b, y)| {
                let rank = |entry: &Entry| {
                    let has = entry.max_held(budget.key) != Amount::NONE;
                    let never = (f64::NEG_INFINITY, f64::NEG_INFINITY);
                    let (began, ended) = entry.turns.get(&budget.key).copied().unwrap_or(never);
                    let keeps = has && ended < began && now < began + turn;
                    // A member whose turn is over comes after all that wait.
                    (!keeps, has && !keeps, ended)
                };
                let ((a0, a1, a2), (b0, b1, b2)) = (rank(x), rank(y));
                (a0, a1)
                    .cmp(&(b0, b1))
                    .then(a2.total_cmp(&b2))
                    .then(a.cmp(b))
            });
            demanding.truncate(max_holders);
        }
        // Max-min fairness, in order of demand: each gets its demand, or an equal part of what is left if that is less.
        demanding.sort_by(|(a, x), (b, y)| demand(x).total_cmp(&demand(y)).then(a.cmp(b)));
        let (mut left, mut members_left) = (1.0, demanding.len());
        let mut shares: BTreeMap<(MemberId, u64), f64> = BTreeMap::new();
        for (member, entry) in demanding {
            let share = demand(entry).max(min_share).min(left / members_left as f64);
            shares.insert(**member, share);
            (left, members_left) = (left - share, members_left - 1);
        }
        let (n, spare) = (live.len().max(1) as f64, left.max(0.0));
        for (member, _) in &live {
            let share = shares.entry(**member).or_default();
            if *share > 0.0 || spare / n >= min_share {
                *share += spare / n;
            }
        }
        shares.into_iter().collect()
    }
}
