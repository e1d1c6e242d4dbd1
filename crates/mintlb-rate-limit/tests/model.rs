//! The whole fleet in virtual time, with a clock of its own for each member, and an adversary between them: words are
//! lost, late, doubled and replayed, members are killed, stopped and started again. At each step what all believe to
//! hold together is summed up.
//!
//! `MINTLB_SEEDS=10000 cargo test --release -p mintlb-rate-limit --test model` plays as many histories.

use mintlb_rate_limit::lease::Lease;
use mintlb_rate_limit::ledger::Budget;
use mintlb_rate_limit::node::Node;
use mintlb_rate_limit::slip::{PLANTED, Slip};
use mintlb_rate_limit::word::{Amount, Id, Term, Word, of};
use mintlb_scheduler::util::Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const LEASE: f64 = 2.0;
const KEY: u64 = 7;

#[derive(Clone, Debug)]
enum What {
    Word {
        to: usize,
        from: (Id, u64),
        word: Word,
    },
    Tick(usize),
}

struct Due(u64, u64, What);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Member {
    node: Node,
    life: u64,
    /// Its clock: what it shows at 0, and how fast it runs.
    clock: (f64, f64),
    stopped: bool,
    /// The one tick that counts.
    armed: u64,
    /// What came while it was stopped.
    inbox: Vec<((Id, u64), Word)>,
    /// What it wants, in thousandths a second.
    want: u32,
}

/// How bad the history is.
#[derive(Clone, Copy)]
struct Weather {
    loss: f64,
    doubled: f64,
    /// Mean time on the way, and the share of words that take up to several leases.
    way: f64,
    old: f64,
    /// Kills, stops and cuts a second, over all members.
    kills: f64,
    stops: f64,
    cuts: f64,
    /// Files that give another whole.
    files: f64,
    drift: f64,
}

const QUIET: Weather = Weather {
    loss: 0.0,
    doubled: 0.0,
    way: 0.005,
    old: 0.0,
    kills: 0.0,
    stops: 0.0,
    cuts: 0.0,
    files: 0.0,
    drift: 0.0,
};

struct World {
    now: f64,
    chance: Rng,
    weather: Weather,
    lease: Lease,
    whole: Amount,
    /// The whole by each member's file, and by files that are gone and until when.
    files: Vec<Amount>,
    past: Vec<(f64, Amount)>,
    keepers: usize,
    /// So many of the first have no trouble.
    spared: usize,
    members: Vec<Option<Member>>,
    /// On which side of a cut each is; only those of one side hear one another. And those who only speak.
    sides: Vec<u8>,
    due: BinaryHeap<Reverse<Due>>,
    count: u64,
    words: u64,
    lives: u64,
    /// The most ever held together, as a part of the whole.
    worst: f64,
    held: (f64, f64),
}

fn id(i: usize) -> Id {
    i as Id + 1
}

impl World {
    fn new(seed: u64, n: usize, keepers: usize, whole: Amount, weather: Weather) -> World {
        let mut world = World {
            now: 0.0,
            chance: Rng::new(seed),
            weather,
            lease: Lease {
                seconds: LEASE,
                drift: 0.01,
            },
            whole,
            files: vec![whole; n],
            past: Vec::new(),
            keepers,
            spared: 0,
            members: (0..n).map(|_| None).collect(),
            sides: vec![0; n],
            due: BinaryHeap::new(),
            count: 0,
            words: 0,
            lives: seed << 20,
            worst: 0.0,
            held: (0.0, 0.0),
        };
        (0..n).for_each(|i| world.start(i));
        world
    }

    fn start(&mut self, i: usize) {
        self.lives += 1;
        let life = self.lives;
        let rate = 1.0 + self.weather.drift * (2.0 * self.chance.uniform() - 1.0);
        let clock = (1000.0 * self.chance.uniform(), rate);
        let keepers = (0..self.keepers).map(id).collect();
        let members = (0..self.members.len()).map(id).collect();
        let budgets = vec![Budget {
            key: KEY,
            whole: self.files[i],
        }];
        let now = clock.0 + clock.1 * self.now;
        let node = Node::new(
            now,
            (id(i), life),
            self.lease,
            budgets,
            members,
            keepers,
            life,
        );
        self.members[i] = Some(Member {
            node,
            life,
            clock,
            stopped: false,
            armed: 0,
            inbox: Vec::new(),
            want: self.whole.flow,
        });
        self.arm(i);
    }

    fn add(&mut self, wait: f64, what: What) {
        self.count += 1;
        let at = ((self.now + wait) * 1e9) as u64;
        self.due.push(Reverse(Due(at, self.count, what)));
    }

    fn post(&mut self, i: usize, life: u64, out: Vec<(Id, Word)>) {
        for (to, word) in out {
            let to = to as usize - 1;
            self.words += 1;
            let w = self.weather;
            // A side of 9 hears nobody, and is heard.
            let cut = self.sides[to] == 9 || self.sides[i] != 9 && self.sides[i] != self.sides[to];
            if cut || self.chance.uniform() < w.loss {
                continue;
            }
            let copies = 1 + usize::from(self.chance.uniform() < w.doubled);
            for _ in 0..copies {
                let late = if self.chance.uniform() < w.old {
                    LEASE * 4.0 * self.chance.uniform()
                } else {
                    0.0
                };
                let wait = late - w.way * (1.0 - self.chance.uniform()).ln();
                self.add(
                    wait,
                    What::Word {
                        to,
                        from: (id(i), life),
                        word: word.clone(),
                    },
                );
            }
        }
    }

    /// Has a member hear and tick, by its own clock.
    fn run(&mut self, i: usize, words: Vec<((Id, u64), Word)>) {
        let Some(member) = self.members[i].as_mut() else {
            return;
        };
        let now = member.clock.0 + member.clock.1 * self.now;
        let mut out = Vec::new();
        words
            .into_iter()
            .for_each(|(from, word)| member.node.hear(now, from, word, &mut out));
        let wants = [(KEY, member.want)];
        if now >= member.node.due() {
            member.node.tick(now, &wants, &mut out);
        }
        let life = member.life;
        self.post(i, life, out);
        self.arm(i);
    }

    /// One tick is to come, when it is due.
    fn arm(&mut self, i: usize) {
        let Some(member) = self.members[i].as_mut() else {
            return;
        };
        let now = member.clock.0 + member.clock.1 * self.now;
        let wait = (member.node.due() - now).max(0.0) / member.clock.1 + 1e-6;
        self.add(wait, What::Tick(i));
        let count = self.count;
        self.members[i].iter_mut().for_each(|m| m.armed = count);
    }

    fn step(&mut self, until: f64) -> bool {
        let next = self
            .due
            .peek()
            .map(|Reverse(Due(at, ..))| *at as f64 / 1e9)
            .filter(|at| *at < until);
        let at = next.unwrap_or(until);
        // What was held in between, for the use; the parts change at events only, but for lapses.
        self.held.0 += f64::from(self.sum().flow) * (at - self.now).max(0.0);
        self.now = self.now.max(at);
        let Some(Reverse(Due(_, count, what))) = next.and_then(|_| self.due.pop()) else {
            return false;
        };
        match what {
            What::Word { to, from, word } => match &mut self.members[to] {
                Some(member) if member.stopped => member.inbox.push((from, word)),
                Some(_) => self.run(to, vec![(from, word)]),
                None => {}
            },
            What::Tick(i) => {
                if self.members[i]
                    .as_ref()
                    .is_some_and(|m| !m.stopped && m.armed == count)
                {
                    self.run(i, Vec::new());
                }
            }
        }
        self.look();
        true
    }

    fn sum(&self) -> Amount {
        self.members.iter().flatten().fold(Amount::NONE, |sum, m| {
            let (parts, _) = m.node.parts(m.clock.0 + m.clock.1 * self.now);
            sum.plus(of(parts, KEY))
        })
    }

    fn look(&mut self) {
        let (sum, settles) = (self.sum(), self.lease.outlasted() * 1.01);
        self.past.retain(|(until, _)| self.now < until + settles);
        let whole = self
            .files
            .iter()
            .chain(self.past.iter().map(|(_, whole)| whole));
        let whole = whole.fold(Amount::NONE, |most, whole| most.max(*whole));
        let part = |held: u32, whole: u32| f64::from(held) / f64::from(whole);
        self.worst = self
            .worst
            .max(part(sum.flow, whole.flow))
            .max(part(sum.stock, whole.stock));
    }

    /// A member's file gives another whole, of which it hears at once if it runs.
    fn retune(&mut self, i: usize) {
        let share = [1.0, 0.6, 0.3][(self.chance.uniform() * 3.0) as usize];
        let part = |of: u32| (f64::from(of) * share) as u32;
        let whole = Amount {
            flow: part(self.whole.flow),
            stock: part(self.whole.stock),
        };
        let old = std::mem::replace(&mut self.files[i], whole);
        self.past.push((self.now, old));
        if let Some(member) = self.members[i].as_mut().filter(|m| !m.stopped) {
            let now = member.clock.0 + member.clock.1 * self.now;
            member.node.retune(now, vec![Budget { key: KEY, whole }]);
        } else {
            // One that is stopped reads it when it goes on: until then its old file holds.
            self.files[i] = old;
            self.past.pop();
        }
    }

    fn trouble(&mut self, i: usize) {
        let w = self.weather;
        let drawn = self.chance.uniform() * (w.kills + w.stops + w.cuts + w.files);
        if drawn >= w.kills + w.stops + w.cuts {
            return self.retune(i);
        }
        if drawn < self.weather.kills {
            match self.chance.uniform() < 0.7 || self.members[i].is_none() {
                // Back at once, knowing nothing.
                true => self.start(i),
                false => self.members[i] = None,
            }
        } else if drawn < self.weather.kills + self.weather.stops {
            if let Some(member) = &mut self.members[i] {
                member.stopped = !member.stopped;
                if !member.stopped {
                    let inbox = std::mem::take(&mut member.inbox);
                    self.run(i, inbox);
                }
            }
        } else {
            let sides = 1.0 + 2.0 * self.chance.uniform();
            for side in self.sides.iter_mut() {
                *side = (self.chance.uniform() * sides) as u8;
            }
            if self.chance.uniform() < 0.3 {
                self.sides[i] = 9;
            }
        }
    }

    fn play(&mut self, seconds: f64) {
        let until = self.now + seconds;
        let rate = self.weather.kills + self.weather.stops + self.weather.cuts + self.weather.files;
        loop {
            let wait = if rate > 0.0 {
                -(1.0 - self.chance.uniform()).ln() / rate
            } else {
                f64::INFINITY
            };
            let next = (self.now + wait).min(until);
            while self.step(next) {}
            if next >= until {
                return;
            }
            let among = (self.members.len() - self.spared) as f64;
            let i = self.spared + (self.chance.uniform() * among) as usize;
            self.trouble(i);
            if self.chance.uniform() < 0.5 {
                let i = (self.chance.uniform() * self.members.len() as f64) as usize;
                let want = [0, self.whole.flow / 10, self.whole.flow]
                    [(self.chance.uniform() * 3.0) as usize];
                self.members[i].iter_mut().for_each(|m| m.want = want);
            }
            self.look();
        }
    }

    /// The part of the whole that is held on average in the next so many seconds.
    fn used(&mut self, seconds: f64) -> f64 {
        self.held.0 = 0.0;
        self.play(seconds);
        self.held.0 / seconds / f64::from(self.whole.flow)
    }
}

fn storm(seed: u64) -> World {
    let mut chance = Rng::new(seed.wrapping_mul(0x9e37_79b9));
    let mut draw = |least: f64, most: f64| least + (most - least) * chance.uniform();
    let n = draw(3.0, 12.0) as usize;
    let keepers = if n >= 5 && draw(0.0, 1.0) < 0.4 { 5 } else { 3 };
    let whole = Amount {
        flow: draw(500.0, 50_000.0) as u32,
        stock: draw(1_000.0, 30_000.0) as u32,
    };
    let weather = Weather {
        loss: draw(0.0, 0.4),
        doubled: draw(0.0, 0.3),
        way: draw(0.001, 0.1),
        old: draw(0.0, 0.1),
        kills: draw(0.0, 0.8),
        stops: draw(0.0, 0.8),
        cuts: draw(0.0, 0.4),
        files: if seed.is_multiple_of(2) {
            0.0
        } else {
            draw(0.0, 0.5)
        },
        drift: 0.01,
    };
    World::new(seed, n, keepers, whole, weather)
}

fn seeds() -> u64 {
    std::env::var("MINTLB_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(100)
}

/// Whatever happens, all together never believe to hold more than the whole.
#[test]
fn never_more_than_the_whole() {
    let (mut worst, mut held) = (0.0f64, 0.0);
    for seed in 0..seeds() {
        let mut world = storm(seed);
        held += world.used(40.0);
        assert!(
            world.worst <= 1.0,
            "seed {seed}: {} of the whole",
            world.worst
        );
        worst = worst.max(world.worst);
    }
    let mean = held / seeds() as f64;
    println!(
        "{} histories, the most held {worst:.4}, on average {mean:.3}",
        seeds()
    );
    // It is no proof if nothing is ever held.
    assert!(worst > 0.99 && mean > 0.1, "{worst} {mean}");
}

/// Two members that are killed and started again all the time beside keepers that are not, and words that are late by as
/// long as they live.
fn flapping(seed: u64) -> World {
    let whole = Amount {
        flow: 10_000,
        stock: 10_000,
    };
    let weather = Weather {
        loss: 0.1,
        old: 0.3,
        kills: 1.5,
        way: 0.02,
        ..QUIET
    };
    World {
        spared: 3,
        ..World::new(seed, 5, 3, whole, weather)
    }
}

/// The model finds each slip that is planted, and nothing where none is.
#[test]
fn slips_are_found() {
    type History = fn(u64) -> World;
    let cases: [(Slip, History); 4] = [
        (Slip::FromReceipt, storm),
        (Slip::Unwaiting, storm),
        (Slip::AnyLife, flapping),
        (Slip::Doubled, storm),
    ];
    for (slip, history) in cases {
        let breaches = |seed: &u64| {
            let mut world = history(*seed);
            world.play(40.0);
            world.worst > 1.0
        };
        PLANTED.set(Some(slip));
        let found = (0..1000).find(breaches);
        PLANTED.set(None);
        println!("{slip:?}: found by seed {found:?}");
        assert!(
            found.is_some_and(|seed| !breaches(&seed)),
            "{slip:?}: {found:?}"
        );
    }
}

/// In quiet, and after each kind of trouble, what is wanted is held.
#[test]
fn what_is_wanted_is_held() {
    let whole = Amount {
        flow: 100_000,
        stock: 50_000,
    };
    for n in [3, 12, 40] {
        let mut world = World::new(5, n, 3, whole, QUIET);
        world.play(3.0);
        assert!(world.used(3.0) > 0.98, "{n} in quiet");
        // A divider that is killed, and is not back.
        let divider = |world: &World| {
            let divides = |m: &&Option<Member>| {
                m.as_ref()
                    .is_some_and(|m| m.node.divides(m.clock.0 + m.clock.1 * world.now))
            };
            world.members.iter().position(|m| divides(&m)).unwrap()
        };
        let at = divider(&world);
        world.members[at] = None;
        let (first, then) = (world.used(3.0), world.used(2.0));
        println!("{n}: {first:.3} in the 3 s after the divider's death, then {then:.3}");
        assert!(
            first > 0.6 && then > 0.98,
            "{n} after a divider's death: {first} {then}"
        );
        // All demand at one.
        world.members.iter_mut().flatten().for_each(|m| m.want = 0);
        let at = divider(&world);
        world.members[at].as_mut().unwrap().want = whole.flow;
        world.play(1.0);
        let m = world.members[at].as_ref().unwrap();
        let (parts, _) = m.node.parts(m.clock.0 + m.clock.1 * world.now);
        let part = f64::from(of(parts, KEY).flow) / f64::from(whole.flow);
        assert!(part > 0.95, "{n}: {part} of the whole where all is wanted");
        assert!(world.worst <= 1.0);
    }
}

/// Fewer places than members: each has its turn.
#[test]
fn each_in_turn() {
    for (n, places) in [(5, 1), (40, 3)] {
        let whole = Amount {
            flow: 3_000,
            stock: places * 1_000,
        };
        let mut world = World::new(3, n, 3, whole, QUIET);
        let mut had = vec![0.0; n];
        for _ in 0..n * 40 {
            world.play(0.2);
            for (i, m) in world.members.iter().enumerate() {
                let m = m.as_ref().unwrap();
                let (parts, _) = m.node.parts(m.clock.0 + m.clock.1 * world.now);
                had[i] += f64::from(of(parts, KEY).stock) / 1e3;
            }
        }
        let (least, most) = had
            .iter()
            .fold((f64::MAX, 0.0f64), |(a, b), x| (a.min(*x), b.max(*x)));
        println!("{n} members, {places} places: {least:.0} to {most:.0}");
        assert!(least > 0.0 && most < 4.0 * least, "{n} members: {had:?}");
        assert!(world.worst <= 1.0);
    }
}

/// A vote that comes after the majority was lost does not let the term go on: another may have divided in between.
#[test]
fn a_late_vote_saves_no_term() {
    let lease = Lease {
        seconds: LEASE,
        drift: 0.01,
    };
    for (late, divides) in [(0.45, true), (0.55, false)] {
        let budgets = vec![Budget {
            key: KEY,
            whole: Amount {
                flow: 1000,
                stock: 1000,
            },
        }];
        let keepers: Vec<Id> = (0..3).map(id).collect();
        let mut node = Node::new(0.0, (id(0), 9), lease, budgets, keepers.clone(), keepers, 1);
        let (mut out, mut now) = (Vec::new(), 0.0);
        let asks = |out: &[(Id, Word)]| {
            let asked = |(to, word): &(Id, Word)| match word {
                Word::Ask { term, number, .. } if *to == id(1) => Some((*term, *number)),
                _ => None,
            };
            out.iter().filter_map(asked).collect::<Vec<(Term, u64)>>()
        };
        while asks(&out).is_empty() {
            now = node.due().max(now);
            node.tick(now, &[(KEY, 0)], &mut out);
            assert!(now < 5.0, "it does not stand");
        }
        let vote = |(term, number): (Term, u64)| Word::Vote {
            term,
            number,
            granted: true,
            idle: 0,
            top: term,
        };
        node.hear(now + 0.1, (id(1), 5), vote(asks(&out)[0]), &mut out);
        assert!(node.divides(now + 0.1) && asks(&out).len() == 2);
        // Its office was asked for at `now`, and once more at `now + 0.1`: that answer comes late.
        node.hear(now + late, (id(1), 5), vote(asks(&out)[1]), &mut out);
        assert_eq!(node.divides(now + late), divides, "{late}");
    }
}
