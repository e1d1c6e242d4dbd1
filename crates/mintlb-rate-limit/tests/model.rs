//! A model of the whole fleet in virtual time. Each member has a clock of its own; messages are lost, delayed,
//! duplicated and replayed, and members are killed, stopped and restarted. At each step the model adds up what all
//! members believe to hold.
//!
//! `MINTLB_SEEDS=10000 cargo test --release -p mintlb-rate-limit --test model` runs that many histories.

use mintlb_rate_limit::lease::Lease;
use mintlb_rate_limit::ledger::Budget;
use mintlb_rate_limit::message::{Amount, MemberId, Message, Term, amount_of};
use mintlb_rate_limit::mutation::{Mutation, PLANTED};
use mintlb_rate_limit::node::Node;
use mintlb_scheduler::util::Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const LEASE_SECONDS: f64 = 2.0;
const BUDGET_KEY: u64 = 7;

#[derive(Clone, Debug)]
enum Event {
    Message {
        to: usize,
        from: (MemberId, u64),
        message: Message,
    },
    Tick(usize),
}

/// An event with its time in nanoseconds, and a sequence number that orders events of the same time.
struct Scheduled(u64, u64, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Member {
    node: Node,
    incarnation: u64,
    /// What its clock shows at time 0, and how fast it runs.
    clock: (f64, f64),
    stopped: bool,
    /// The sequence number of its next tick. Ticks scheduled before that one are void.
    next_tick: u64,
    /// Messages that arrived while it was stopped.
    inbox: Vec<((MemberId, u64), Message)>,
    /// In thousandths of a token per second.
    demand: u32,
}

#[derive(Clone, Copy)]
struct Faults {
    /// The probabilities that a message is lost or duplicated.
    loss: f64,
    duplication: f64,
    /// The mean delay of a message in seconds, and the probability of an additional delay of up to several leases.
    mean_delay: f64,
    long_delay: f64,
    /// Kills, stops (or continuations) and network partitions per second, over all members.
    kills: f64,
    stops: f64,
    partitions: f64,
    /// Changes of a budget's total in a member's settings, per second.
    total_changes: f64,
    /// The largest relative error of a clock.
    drift: f64,
}

const NO_FAULTS: Faults = Faults {
    loss: 0.0,
    duplication: 0.0,
    mean_delay: 0.005,
    long_delay: 0.0,
    kills: 0.0,
    stops: 0.0,
    partitions: 0.0,
    total_changes: 0.0,
    drift: 0.0,
};

struct Simulation {
    now: f64,
    rng: Rng,
    faults: Faults,
    lease: Lease,
    total: Amount,
    /// The total in each member's settings, and those of former settings with the time until which they applied.
    totals: Vec<Amount>,
    former_totals: Vec<(f64, Amount)>,
    voters: usize,
    /// The first members, so many, have no faults.
    fault_free: usize,
    members: Vec<Option<Member>>,
    /// The side of a partition that each member is on. Messages pass only within a side; those from side 9 reach all
    /// members, and none reach it.
    sides: Vec<u8>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    messages: u64,
    last_incarnation: u64,
    /// The most ever held by all members together, as a fraction of the total.
    max_held: f64,
    /// The integral over time of the rate held by all members together. The second value is not used.
    held: (f64, f64),
}

/// The id of the member with this index.
fn id(i: usize) -> MemberId {
    i as MemberId + 1
}

impl Simulation {
    fn new(seed: u64, n: usize, voters: usize, total: Amount, faults: Faults) -> Simulation {
        let mut simulation = Simulation {
            now: 0.0,
            rng: Rng::new(seed),
            faults,
            lease: Lease {
                seconds: LEASE_SECONDS,
                drift: 0.01,
            },
            total,
            totals: vec![total; n],
            former_totals: Vec::new(),
            voters,
            fault_free: 0,
            members: (0..n).map(|_| None).collect(),
            sides: vec![0; n],
            queue: BinaryHeap::new(),
            sequence: 0,
            messages: 0,
            last_incarnation: seed << 20,
            max_held: 0.0,
            held: (0.0, 0.0),
        };
        (0..n).for_each(|i| simulation.start(i));
        simulation
    }

    fn start(&mut self, i: usize) {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let rate = 1.0 + self.faults.drift * (2.0 * self.rng.uniform() - 1.0);
        let clock = (1000.0 * self.rng.uniform(), rate);
        let voters = (0..self.voters).map(id).collect();
        let members = (0..self.members.len()).map(id).collect();
        let budgets = vec![Budget {
            key: BUDGET_KEY,
            total: self.totals[i],
        }];
        let now = clock.0 + clock.1 * self.now;
        let node = Node::new(
            now,
            (id(i), incarnation),
            self.lease,
            budgets,
            members,
            voters,
            incarnation,
        );
        self.members[i] = Some(Member {
            node,
            incarnation,
            clock,
            stopped: false,
            next_tick: 0,
            inbox: Vec::new(),
            demand: self.total.rate_milli,
        });
        self.schedule_tick(i);
    }

    fn schedule(&mut self, wait: f64, event: Event) {
        self.sequence += 1;
        let at = ((self.now + wait) * 1e9) as u64;
        self.queue
            .push(Reverse(Scheduled(at, self.sequence, event)));
    }

    fn send(&mut self, i: usize, incarnation: u64, out: Vec<(MemberId, Message)>) {
        for (to, message) in out {
            let to = to as usize - 1;
            self.messages += 1;
            let f = self.faults;
            let is_cut =
                self.sides[to] == 9 || self.sides[i] != 9 && self.sides[i] != self.sides[to];
            if is_cut || self.rng.uniform() < f.loss {
                continue;
            }
            let copies = 1 + usize::from(self.rng.uniform() < f.duplication);
            for _ in 0..copies {
                let long_delay = if self.rng.uniform() < f.long_delay {
                    LEASE_SECONDS * 4.0 * self.rng.uniform()
                } else {
                    0.0
                };
                let wait = long_delay - f.mean_delay * (1.0 - self.rng.uniform()).ln();
                self.schedule(
                    wait,
                    Event::Message {
                        to,
                        from: (id(i), incarnation),
                        message: message.clone(),
                    },
                );
            }
        }
    }

    /// Lets a member receive messages, and tick if that is due by its own clock.
    fn run(&mut self, i: usize, messages: Vec<((MemberId, u64), Message)>) {
        let Some(member) = self.members[i].as_mut() else {
            return;
        };
        let now = member.clock.0 + member.clock.1 * self.now;
        let mut out = Vec::new();
        messages
            .into_iter()
            .for_each(|(from, message)| member.node.receive(now, from, message, &mut out));
        let demands = [(BUDGET_KEY, member.demand)];
        if now >= member.node.next_tick_at() {
            member.node.tick(now, &demands, &mut out);
        }
        let incarnation = member.incarnation;
        self.send(i, incarnation, out);
        self.schedule_tick(i);
    }

    /// Schedules the member's next tick in place of the one scheduled before.
    fn schedule_tick(&mut self, i: usize) {
        let Some(member) = self.members[i].as_mut() else {
            return;
        };
        let now = member.clock.0 + member.clock.1 * self.now;
        let wait = (member.node.next_tick_at() - now).max(0.0) / member.clock.1 + 1e-6;
        self.schedule(wait, Event::Tick(i));
        let sequence = self.sequence;
        self.members[i]
            .iter_mut()
            .for_each(|m| m.next_tick = sequence);
    }

    /// Handles the next event. Returns false, with the time at `until`, if there is none before that.
    fn step(&mut self, until: f64) -> bool {
        let next = self
            .queue
            .peek()
            .map(|Reverse(Scheduled(at, ..))| *at as f64 / 1e9)
            .filter(|at| *at < until);
        let at = next.unwrap_or(until);
        // Shares change only at events, except when they expire: good enough for the average that is held.
        self.held.0 += f64::from(self.total_held().rate_milli) * (at - self.now).max(0.0);
        self.now = self.now.max(at);
        let Some(Reverse(Scheduled(_, sequence, event))) = next.and_then(|_| self.queue.pop())
        else {
            return false;
        };
        match event {
            Event::Message { to, from, message } => match &mut self.members[to] {
                Some(member) if member.stopped => member.inbox.push((from, message)),
                Some(_) => self.run(to, vec![(from, message)]),
                None => {}
            },
            Event::Tick(i) => {
                if self.members[i]
                    .as_ref()
                    .is_some_and(|m| !m.stopped && m.next_tick == sequence)
                {
                    self.run(i, Vec::new());
                }
            }
        }
        self.update_max_held();
        true
    }

    /// What all members together believe to hold.
    fn total_held(&self) -> Amount {
        self.members.iter().flatten().fold(Amount::NONE, |sum, m| {
            let (shares, _) = m.node.shares(m.clock.0 + m.clock.1 * self.now);
            sum.saturating_add(amount_of(shares, BUDGET_KEY))
        })
    }

    /// Compares what is held with the largest total in any member's settings, now or within the last lease.
    fn update_max_held(&mut self) {
        let (sum, settles) = (self.total_held(), self.lease.grantor_seconds() * 1.01);
        self.former_totals
            .retain(|(until, _)| self.now < until + settles);
        let total = self
            .totals
            .iter()
            .chain(self.former_totals.iter().map(|(_, total)| total));
        let total = total.fold(Amount::NONE, |most, total| most.max(*total));
        let fraction = |held: u32, total: u32| f64::from(held) / f64::from(total);
        self.max_held = self
            .max_held
            .max(fraction(sum.rate_milli, total.rate_milli))
            .max(fraction(sum.burst_milli, total.burst_milli));
    }

    /// Changes the total in a member's settings, which the member applies at once if it runs.
    fn change_total(&mut self, i: usize) {
        let fraction = [1.0, 0.6, 0.3][(self.rng.uniform() * 3.0) as usize];
        let scaled = |value: u32| (f64::from(value) * fraction) as u32;
        let total = Amount {
            rate_milli: scaled(self.total.rate_milli),
            burst_milli: scaled(self.total.burst_milli),
        };
        let old = std::mem::replace(&mut self.totals[i], total);
        self.former_totals.push((self.now, old));
        if let Some(member) = self.members[i].as_mut().filter(|m| !m.stopped) {
            let now = member.clock.0 + member.clock.1 * self.now;
            member.node.set_budgets(
                now,
                vec![Budget {
                    key: BUDGET_KEY,
                    total,
                }],
            );
        } else {
            // A stopped member would read them when it continues: its old settings apply until then.
            self.totals[i] = old;
            self.former_totals.pop();
        }
    }

    fn inject_fault(&mut self, i: usize) {
        let f = self.faults;
        let drawn = self.rng.uniform() * (f.kills + f.stops + f.partitions + f.total_changes);
        if drawn >= f.kills + f.stops + f.partitions {
            return self.change_total(i);
        }
        if drawn < self.faults.kills {
            match self.rng.uniform() < 0.7 || self.members[i].is_none() {
                // Restarts at once, without any state.
                true => self.start(i),
                false => self.members[i] = None,
            }
        } else if drawn < self.faults.kills + self.faults.stops {
            if let Some(member) = &mut self.members[i] {
                member.stopped = !member.stopped;
                if !member.stopped {
                    let inbox = std::mem::take(&mut member.inbox);
                    self.run(i, inbox);
                }
            }
        } else {
            let sides = 1.0 + 2.0 * self.rng.uniform();
            for side in self.sides.iter_mut() {
                *side = (self.rng.uniform() * sides) as u8;
            }
            if self.rng.uniform() < 0.3 {
                self.sides[i] = 9;
            }
        }
    }

    fn run_for(&mut self, seconds: f64) {
        let until = self.now + seconds;
        let rate = self.faults.kills
            + self.faults.stops
            + self.faults.partitions
            + self.faults.total_changes;
        loop {
            let wait = if rate > 0.0 {
                -(1.0 - self.rng.uniform()).ln() / rate
            } else {
                f64::INFINITY
            };
            let next = (self.now + wait).min(until);
            while self.step(next) {}
            if next >= until {
                return;
            }
            let candidates = (self.members.len() - self.fault_free) as f64;
            let i = self.fault_free + (self.rng.uniform() * candidates) as usize;
            self.inject_fault(i);
            if self.rng.uniform() < 0.5 {
                let i = (self.rng.uniform() * self.members.len() as f64) as usize;
                let demand = [0, self.total.rate_milli / 10, self.total.rate_milli]
                    [(self.rng.uniform() * 3.0) as usize];
                self.members[i].iter_mut().for_each(|m| m.demand = demand);
            }
            self.update_max_held();
        }
    }

    /// The fraction of the total rate that is held on average during the next `seconds`.
    fn mean_held(&mut self, seconds: f64) -> f64 {
        self.held.0 = 0.0;
        self.run_for(seconds);
        self.held.0 / seconds / f64::from(self.total.rate_milli)
    }
}

/// A fleet of random size with all kinds of faults, at random rates.
fn all_faults(seed: u64) -> Simulation {
    let mut rng = Rng::new(seed.wrapping_mul(0x9e37_79b9));
    let mut draw = |least: f64, most: f64| least + (most - least) * rng.uniform();
    let n = draw(3.0, 12.0) as usize;
    let voters = if n >= 5 && draw(0.0, 1.0) < 0.4 { 5 } else { 3 };
    let total = Amount {
        rate_milli: draw(500.0, 50_000.0) as u32,
        burst_milli: draw(1_000.0, 30_000.0) as u32,
    };
    let faults = Faults {
        loss: draw(0.0, 0.4),
        duplication: draw(0.0, 0.3),
        mean_delay: draw(0.001, 0.1),
        long_delay: draw(0.0, 0.1),
        kills: draw(0.0, 0.8),
        stops: draw(0.0, 0.8),
        partitions: draw(0.0, 0.4),
        total_changes: if seed.is_multiple_of(2) {
            0.0
        } else {
            draw(0.0, 0.5)
        },
        drift: 0.01,
    };
    Simulation::new(seed, n, voters, total, faults)
}

fn seeds() -> u64 {
    std::env::var("MINTLB_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(100)
}

/// Under any faults, all members together never believe to hold more than the total.
#[test]
fn shares_never_exceed_the_total() {
    let (mut max_held, mut held) = (0.0f64, 0.0);
    for seed in 0..seeds() {
        let mut simulation = all_faults(seed);
        held += simulation.mean_held(40.0);
        assert!(
            simulation.max_held <= 1.0,
            "seed {seed}: {} of the total held",
            simulation.max_held
        );
        max_held = max_held.max(simulation.max_held);
    }
    let mean = held / seeds() as f64;
    println!(
        "{} histories: at most {max_held:.4} of the total held, {mean:.3} on average",
        seeds()
    );
    // The check above would mean little if members hardly ever held anything.
    assert!(max_held > 0.99 && mean > 0.1, "{max_held} {mean}");
}

/// Two members, none of them a voter, restart again and again, and many messages are delayed for longer than an
/// incarnation lives.
fn frequent_restarts(seed: u64) -> Simulation {
    let total = Amount {
        rate_milli: 10_000,
        burst_milli: 10_000,
    };
    let faults = Faults {
        loss: 0.1,
        long_delay: 0.3,
        kills: 1.5,
        mean_delay: 0.02,
        ..NO_FAULTS
    };
    Simulation {
        fault_free: 3,
        ..Simulation::new(seed, 5, 3, total, faults)
    }
}

/// The model detects each mutation, and reports nothing for the same seed without it.
#[test]
fn mutations_are_detected() {
    type History = fn(u64) -> Simulation;
    let cases: [(Mutation, History); 4] = [
        (Mutation::LeaseFromReceipt, all_faults),
        (Mutation::SkipStartupWait, all_faults),
        (Mutation::AnyIncarnation, frequent_restarts),
        (Mutation::ApplyDuplicate, all_faults),
    ];
    for (mutation, history) in cases {
        let exceeds_total = |seed: &u64| {
            let mut simulation = history(*seed);
            simulation.run_for(40.0);
            simulation.max_held > 1.0
        };
        PLANTED.set(Some(mutation));
        let found = (0..1000).find(exceeds_total);
        PLANTED.set(None);
        println!("{mutation:?}: detected with seed {found:?}");
        assert!(
            found.is_some_and(|seed| !exceeds_total(&seed)),
            "{mutation:?}: {found:?}"
        );
    }
}

/// The demand is met without faults, after the loss of the coordinator, and after it moves to one member.
#[test]
fn demand_is_met() {
    let total = Amount {
        rate_milli: 100_000,
        burst_milli: 50_000,
    };
    for n in [3, 12, 40] {
        let mut simulation = Simulation::new(5, n, 3, total, NO_FAULTS);
        simulation.run_for(3.0);
        assert!(
            simulation.mean_held(3.0) > 0.98,
            "{n} members, without faults"
        );
        // The coordinator is killed and does not restart.
        let coordinator = |sim: &Simulation| {
            let is_coordinator = |m: &&Option<Member>| {
                m.as_ref()
                    .is_some_and(|m| m.node.is_coordinator(m.clock.0 + m.clock.1 * sim.now))
            };
            sim.members.iter().position(|m| is_coordinator(&m)).unwrap()
        };
        let at = coordinator(&simulation);
        simulation.members[at] = None;
        let (first, then) = (simulation.mean_held(3.0), simulation.mean_held(2.0));
        println!(
            "{n} members: {first:.3} held in the 3 s after the loss of the coordinator, then {then:.3}"
        );
        assert!(
            first > 0.6 && then > 0.98,
            "{n} members, after the loss of the coordinator: {first} {then}"
        );
        // Only one member has demand.
        simulation
            .members
            .iter_mut()
            .flatten()
            .for_each(|m| m.demand = 0);
        let at = coordinator(&simulation);
        simulation.members[at].as_mut().unwrap().demand = total.rate_milli;
        simulation.run_for(1.0);
        let m = simulation.members[at].as_ref().unwrap();
        let (shares, _) = m.node.shares(m.clock.0 + m.clock.1 * simulation.now);
        let share =
            f64::from(amount_of(shares, BUDGET_KEY).rate_milli) / f64::from(total.rate_milli);
        assert!(
            share > 0.95,
            "{n} members: the only one with demand holds {share} of the total"
        );
        assert!(simulation.max_held <= 1.0);
    }
}

/// If the burst has fewer tokens than there are members, all hold a share in turn.
#[test]
fn members_take_turns() {
    for (n, tokens) in [(5, 1), (40, 3)] {
        let total = Amount {
            rate_milli: 3_000,
            burst_milli: tokens * 1_000,
        };
        let mut simulation = Simulation::new(3, n, 3, total, NO_FAULTS);
        let mut had = vec![0.0; n];
        for _ in 0..n * 40 {
            simulation.run_for(0.2);
            for (i, m) in simulation.members.iter().enumerate() {
                let m = m.as_ref().unwrap();
                let (shares, _) = m.node.shares(m.clock.0 + m.clock.1 * simulation.now);
                had[i] += f64::from(amount_of(shares, BUDGET_KEY).burst_milli) / 1e3;
            }
        }
        let (least, most) = had
            .iter()
            .fold((f64::MAX, 0.0f64), |(a, b), x| (a.min(*x), b.max(*x)));
        println!("{n} members, {tokens} tokens: a member had {least:.0} to {most:.0}");
        assert!(least > 0.0 && most < 4.0 * least, "{n} members: {had:?}");
        assert!(simulation.max_held <= 1.0);
    }
}

/// A vote that arrives after the majority was lost must not extend the term: another member may have been the
/// coordinator in between.
#[test]
fn a_late_vote_does_not_extend_a_term() {
    let lease = Lease {
        seconds: LEASE_SECONDS,
        drift: 0.01,
    };
    for (delay, is_coordinator) in [(0.45, true), (0.55, false)] {
        let budgets = vec![Budget {
            key: BUDGET_KEY,
            total: Amount {
                rate_milli: 1000,
                burst_milli: 1000,
            },
        }];
        let voters: Vec<MemberId> = (0..3).map(id).collect();
        let mut node = Node::new(0.0, (id(0), 9), lease, budgets, voters.clone(), voters, 1);
        let (mut out, mut now) = (Vec::new(), 0.0);
        let vote_requests = |out: &[(MemberId, Message)]| {
            let request = |(to, message): &(MemberId, Message)| match message {
                Message::VoteRequest { term, number, .. } if *to == id(1) => Some((*term, *number)),
                _ => None,
            };
            out.iter().filter_map(request).collect::<Vec<(Term, u64)>>()
        };
        while vote_requests(&out).is_empty() {
            now = node.next_tick_at().max(now);
            node.tick(now, &[(BUDGET_KEY, 0)], &mut out);
            assert!(now < 5.0, "no candidacy within 5 s");
        }
        let vote = |(term, number): (Term, u64)| Message::VoteResponse {
            term,
            number,
            granted: true,
            idle_ms: 0,
            latest_term: term,
        };
        node.receive(
            now + 0.1,
            (id(1), 5),
            vote(vote_requests(&out)[0]),
            &mut out,
        );
        assert!(node.is_coordinator(now + 0.1) && vote_requests(&out).len() == 2);
        // The first vote was requested at `now` and the second at `now + 0.1`. The response to the latter is late.
        node.receive(
            now + delay,
            (id(1), 5),
            vote(vote_requests(&out)[1]),
            &mut out,
        );
        assert_eq!(
            node.is_coordinator(now + delay),
            is_coordinator,
            "response after {delay} s"
        );
    }
}
