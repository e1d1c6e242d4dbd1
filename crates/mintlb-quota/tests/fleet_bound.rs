//! Dispatchers and owners together, in virtual time: the bound of a tenant's limit under faults, and the fraction
//! of requests that is rejected without faults although the tenant keeps to its limit.

use mintlb_common::mix64::{SPLITMIX64_INCREMENT, mix64};
use mintlb_quota::inquiry::Inquiry;
use mintlb_quota::messages::{AdmitRequest, AdmitResponse, RateLimit};
use mintlb_quota::slice_counter::SliceCounter;
use mintlb_quota::slices::{Division, owners};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const DIVISION: Division = Division { slack: 20.0 };
const TENANT: &str = "acme";
/// Microseconds of virtual time.
type Time = u64;
const MILLISECOND: Time = 1000;
const SECOND: Time = 1_000_000;
/// The window of the bound, its overage and its slack.
const WINDOW: Time = 5 * SECOND;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// How long an owner continues to admit requests after its last contact with the others.
const MAX_TIME_WITHOUT_CONTACT: Time = 4 * SECOND;
/// How long a member must be silent before the others may remove it.
const UNRESPONSIVE_TIME: Time = 3 * SECOND;
/// How long a dispatcher waits for the answer of one owner.
const OWNER_TIMEOUT: Time = 100 * MILLISECOND;
/// The least number of members of a replica set that tolerates the loss of two.
const MIN_MEMBERS: usize = 5;
const TOLERATED_LOSSES: usize = 2;
const DISPATCHERS: usize = 60;

/// A pseudo-random number generator (SplitMix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(SPLITMIX64_INCREMENT);
        mix64(self.0)
    }

    /// From 0 to `end`, exclusive.
    fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }

    fn index(&mut self, length: usize) -> usize {
        self.below(length as u64) as usize
    }

    fn between(&mut self, least: Time, most: Time) -> Time {
        least + self.below(most - least + 1)
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Above 0, at most 1.
    fn unit(&mut self) -> f64 {
        ((self.next() >> 11) + 1) as f64 / (1_u64 << 53) as f64
    }

    fn exponential(&mut self, rate: f64) -> Time {
        (-self.unit().ln() / rate * SECOND as f64) as Time
    }
}

/// The members from a point in time. Owners in contact and dispatchers learn them after their delays.
struct Membership {
    since: Time,
    members: Vec<u64>,
}

struct Owner {
    id: u64,
    counter: SliceCounter,
    /// Until when it is down or frozen. What arrives meanwhile is lost if it is down, and waits if it is frozen.
    down_until: Time,
    frozen_until: Time,
    /// The origin of its clock.
    started_at: Time,
    /// From when until when it has no contact with the other owners.
    isolated: (Time, Time),
    /// How long after a change of the members it learns of it.
    delay: Time,
    /// A bit mask of the dispatchers that can't reach it, and until when.
    unreachable: (u64, Time),
}

struct Dispatcher {
    frozen_until: Time,
    members_delay: Time,
    /// How long after the second version of the limit is published it learns of it.
    limit_delay: Time,
}

struct Request {
    dispatcher: usize,
    limit: RateLimit,
    inquiry: Inquiry<u64>,
    /// The number of the question whose answer it waits for.
    question: usize,
    done: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Ask {
        owner: usize,
        request: usize,
        question: usize,
    },
    Answer {
        request: usize,
        question: usize,
        answer: Answer,
    },
    Timeout {
        request: usize,
        question: usize,
    },
    Restart {
        owner: usize,
        down: Time,
    },
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Admitted,
    Rejected { retry_after_ms: u32 },
    NotOwner,
}

/// The inputs of one run.
struct Scenario {
    limits: [RateLimit; 2],
    /// When the second limit is published.
    changed_at: Time,
    /// Requests per second, before and from `overload_at`, until `ends_at`.
    demand: [f64; 2],
    overload_at: Time,
    ends_at: Time,
}

struct Simulation {
    random: Random,
    scenario: Scenario,
    owners: Vec<Owner>,
    dispatchers: Vec<Dispatcher>,
    memberships: Vec<Membership>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    pushed: u64,
    requests: Vec<Request>,
    /// When dispatchers received the admission of a request.
    admissions: Vec<Time>,
    rejections: Vec<Time>,
}

impl Simulation {
    fn new(mut random: Random, scenario: Scenario, members: usize) -> Simulation {
        let ids: Vec<u64> = (0..members).map(|_| random.next()).collect();
        let owners = ids.iter().map(|id| Owner::new(*id, &mut random)).collect();
        let dispatchers = (0..DISPATCHERS)
            .map(|_| Dispatcher {
                frozen_until: 0,
                members_delay: random.below(2 * SECOND),
                limit_delay: random.below(2500 * MILLISECOND),
            })
            .collect();
        let first = Membership {
            since: 0,
            members: ids,
        };
        Simulation {
            random,
            scenario,
            owners,
            dispatchers,
            memberships: vec![first],
            events: BinaryHeap::new(),
            pushed: 0,
            requests: Vec::new(),
            admissions: Vec::new(),
            rejections: Vec::new(),
        }
    }

    /// Every fourth dispatcher learns of changes of the members only after `delay`, as if it had no contact either.
    fn delay_membership_updates(&mut self, delay: Time) {
        for dispatcher in self.dispatchers.iter_mut().step_by(4) {
            dispatcher.members_delay = delay;
        }
    }

    fn push(&mut self, time: Time, event: Event) {
        self.pushed += 1;
        self.events.push(Reverse((time, self.pushed, event)));
    }

    fn run(&mut self) {
        self.push(0, Event::Arrival);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrival => self.on_arrival(now),
                Event::Ask {
                    owner,
                    request,
                    question,
                } => self.on_ask(now, owner, request, question),
                Event::Answer {
                    request,
                    question,
                    answer,
                } => {
                    self.on_answer(now, request, question, answer);
                }
                Event::Timeout { request, question } => self.on_timeout(now, request, question),
                Event::Restart { owner, down } => {
                    let owner = &mut self.owners[owner];
                    owner.counter = SliceCounter::new(owner.id, DIVISION);
                    owner.started_at = now + down;
                    owner.down_until = now + down;
                }
            }
        }
        self.admissions.sort_unstable();
    }

    fn on_arrival(&mut self, now: Time) {
        let demand = self.scenario.demand[usize::from(now >= self.scenario.overload_at)];
        let next = now + self.random.exponential(demand);
        if next < self.scenario.ends_at {
            self.push(next, Event::Arrival);
        }
        let dispatcher = self.random.index(DISPATCHERS);
        let knows = now >= self.scenario.changed_at + self.dispatchers[dispatcher].limit_delay;
        let limit = self.scenario.limits[usize::from(knows)];
        let delay = self.dispatchers[dispatcher].members_delay;
        let members = members_at(&self.memberships, now.saturating_sub(delay));
        let slices = DIVISION.slice_count(&limit, members.len());
        let mut owners = owners(members, TENANT, slices);
        for index in (1..owners.len()).rev() {
            owners.swap(index, self.random.index(index + 1));
        }
        self.requests.push(Request {
            dispatcher,
            limit,
            inquiry: Inquiry::new(owners, &limit),
            question: 0,
            done: false,
        });
        self.ask_next(now, self.requests.len() - 1);
    }

    /// Asks the next owner, or rejects the request if there is none.
    fn ask_next(&mut self, now: Time, number: usize) {
        let request = &mut self.requests[number];
        request.question += 1;
        let question = request.question;
        let Some(id) = request.inquiry.next_owner() else {
            request.done = true;
            self.rejections.push(now);
            return;
        };
        let latency = self.latency();
        if let Some(owner) = self.owners.iter().position(|owner| owner.id == id) {
            self.push(
                now + latency,
                Event::Ask {
                    owner,
                    request: number,
                    question,
                },
            );
        }
        self.push(
            now + OWNER_TIMEOUT,
            Event::Timeout {
                request: number,
                question,
            },
        );
    }

    fn latency(&mut self) -> Time {
        match self.random.chance(0.01) {
            true => self.random.between(MILLISECOND, 60 * MILLISECOND),
            false => self.random.between(200, 2 * MILLISECOND),
        }
    }

    fn on_ask(&mut self, now: Time, number: usize, request: usize, question: usize) {
        let dispatcher = self.requests[request].dispatcher;
        let owner = &mut self.owners[number];
        let (unreachable, until) = owner.unreachable;
        if now < owner.down_until || (now < until && unreachable >> dispatcher & 1 == 1) {
            return;
        }
        if now < owner.frozen_until {
            let continues_at = owner.frozen_until;
            return self.push(
                continues_at,
                Event::Ask {
                    owner: number,
                    request,
                    question,
                },
            );
        }
        let answer = match owner.knows_until(now) {
            None => Answer::NotOwner,
            Some(known) => {
                let members = members_at(&self.memberships, known);
                let clock = Duration::from_micros(now - owner.started_at);
                owner.counter.set_members(members.iter().copied(), clock);
                let request = AdmitRequest {
                    tenant: TENANT.to_string(),
                    limit: self.requests[request].limit,
                };
                match owner.counter.admit(&request, clock) {
                    AdmitResponse::Admitted => Answer::Admitted,
                    AdmitResponse::Rejected { retry_after_ms } => {
                        Answer::Rejected { retry_after_ms }
                    }
                    AdmitResponse::NotOwner => Answer::NotOwner,
                }
            }
        };
        let latency = self.latency();
        self.push(
            now + latency,
            Event::Answer {
                request,
                question,
                answer,
            },
        );
    }

    fn on_answer(&mut self, now: Time, number: usize, question: usize, answer: Answer) {
        let continues_at = self.dispatchers[self.requests[number].dispatcher].frozen_until;
        if now < continues_at {
            return self.push(
                continues_at,
                Event::Answer {
                    request: number,
                    question,
                    answer,
                },
            );
        }
        let request = &mut self.requests[number];
        if request.done || request.question != question {
            return;
        }
        match answer {
            Answer::Admitted => {
                request.done = true;
                self.admissions.push(now);
            }
            Answer::Rejected { retry_after_ms } => {
                let retry_after = Duration::from_millis(retry_after_ms.into());
                request.inquiry.on_rejection(retry_after);
                self.ask_next(now, number);
            }
            Answer::NotOwner => self.ask_next(now, number),
        }
    }

    fn on_timeout(&mut self, now: Time, number: usize, question: usize) {
        let continues_at = self.dispatchers[self.requests[number].dispatcher].frozen_until;
        if now < continues_at {
            return self.push(
                continues_at,
                Event::Timeout {
                    request: number,
                    question,
                },
            );
        }
        let request = &self.requests[number];
        if !request.done && request.question == question {
            self.ask_next(now, number);
        }
    }

    /// The largest ratio of the admissions in a window to the bound, and the start of that window.
    fn worst_ratio(&self) -> (f64, Time) {
        let learned_by = self
            .dispatchers
            .iter()
            .map(|dispatcher| dispatcher.limit_delay)
            .max();
        let binds_at = self.scenario.changed_at + learned_by.unwrap_or(0) + OWNER_TIMEOUT;
        let mut worst = (0.0, 0);
        let mut end = 0;
        for (index, start) in self.admissions.iter().enumerate() {
            while end < self.admissions.len() && self.admissions[end] < start + WINDOW {
                end += 1;
            }
            let mut rate: f64 = 0.0;
            if *start < binds_at {
                rate = rate.max(self.scenario.limits[0].rate);
            }
            if start + WINDOW > self.scenario.changed_at {
                rate = rate.max(self.scenario.limits[1].rate);
            }
            let bound = (rate * 5.0 + rate) * (1.0 + OVERAGE) + SLACK;
            let ratio = (end - index) as f64 / bound;
            if ratio > worst.0 {
                worst = (ratio, *start);
            }
        }
        worst
    }
}

impl Owner {
    fn new(id: u64, random: &mut Random) -> Owner {
        Owner {
            id,
            counter: SliceCounter::new(id, DIVISION),
            down_until: 0,
            frozen_until: 0,
            started_at: 0,
            isolated: (Time::MAX, Time::MAX),
            delay: random.below(SECOND),
            unreachable: (0, 0),
        }
    }

    /// The time up to which it knows changes of the members; none if its last contact is too long ago.
    fn knows_until(&self, now: Time) -> Option<Time> {
        let (from, until) = self.isolated;
        if now < from || now >= until {
            // Once in contact again it learns first what was published while it was isolated.
            let known = now.saturating_sub(self.delay);
            return Some(if now >= until {
                known.max(until)
            } else {
                known
            });
        }
        let without_contact = now - from;
        let restarted = self.started_at > from;
        (without_contact <= MAX_TIME_WITHOUT_CONTACT && !restarted)
            .then_some(from.saturating_sub(self.delay))
    }
}

fn members_at(memberships: &[Membership], known: Time) -> &[u64] {
    let newest = memberships
        .iter()
        .rev()
        .find(|membership| membership.since <= known);
    &newest.unwrap_or(&memberships[0]).members
}

/// Draws a run with the faults that the fleet must tolerate: at most two owners at a time that are down, isolated or
/// frozen.
fn draw_faults(seed: u64) -> Simulation {
    let mut random = Random(mix64(seed));
    // From 6 to 179 requests per second, often above 100, where the slack is the smallest part of the bound.
    let rate = match random.below(2) {
        0 => 6.0 * (179.0_f64 / 6.0).powf(random.unit()),
        _ => 100.0 + 79.0 * random.unit(),
    };
    let factor = match random.below(3) {
        0 => 1.0,
        1 => 0.2 + 0.8 * random.unit(),
        _ => 1.0 + 2.0 * random.unit(),
    };
    let limit = |version, rate| RateLimit {
        version,
        rate,
        burst: rate,
    };
    let limits = [limit(1, rate), limit(2, (rate * factor).min(179.0))];
    let scenario = Scenario {
        limits,
        changed_at: random.between(4 * SECOND, 14 * SECOND),
        demand: [rate * 0.3, rate * (1.0 + 2.0 * random.unit())],
        overload_at: random.between(5 * SECOND, 14 * SECOND),
        ends_at: 22 * SECOND,
    };
    // A loss has the largest effect in the smallest set.
    let most = if random.chance(0.5) { MIN_MEMBERS } else { 9 };
    let members = random.between(MIN_MEMBERS as u64, most as u64) as usize;
    let mut simulation = Simulation::new(random, scenario, members);
    simulation.delay_membership_updates(10 * SECOND);
    let mut losses_begin = 6 * SECOND;
    while losses_begin < 20 * SECOND {
        draw_losses(&mut simulation, losses_begin);
        losses_begin += simulation.random.between(10 * SECOND, 12 * SECOND);
    }
    for _ in 0..simulation.random.below(4) {
        let dispatcher = simulation.random.index(DISPATCHERS);
        simulation.dispatchers[dispatcher].frozen_until = simulation.random.between(0, 10 * SECOND);
    }
    simulation
}

/// Up to two members restart, freeze or are isolated from the others, and some dispatchers may not reach them. A member
/// that is silent for long enough is removed, or replaced by a new one.
fn draw_losses(simulation: &mut Simulation, begins_at: Time) {
    let newest = simulation.memberships.last().expect("there is a first one");
    let mut members = newest.members.clone();
    let together = simulation.random.chance(0.25);
    let least = if together { TOLERATED_LOSSES } else { 1 };
    let lost = simulation
        .random
        .between(least as u64, TOLERATED_LOSSES as u64);
    if together && simulation.scenario.overload_at >= begins_at {
        simulation.scenario.overload_at = begins_at + UNRESPONSIVE_TIME;
    }
    let mut changes = Vec::new();
    for _ in 0..lost {
        let random = &mut simulation.random;
        let id = members[random.index(members.len())];
        // The worst cases are those in which all faults begin together.
        let spread = if together { 1 } else { 500 * MILLISECOND };
        let at = begins_at + random.below(spread);
        let number = simulation.owners.iter().position(|owner| owner.id == id);
        let number = number.expect("each member is an owner");
        let owner = &mut simulation.owners[number];
        if owner.isolated.0 < Time::MAX && owner.isolated.1 > begins_at {
            continue;
        }
        let least = if together {
            5 * SECOND
        } else {
            500 * MILLISECOND
        };
        let length = random.between(least, 9500 * MILLISECOND);
        if random.chance(0.3) {
            owner.unreachable = (random.next(), at + length);
        }
        match random.below(4) {
            0 if !together => {
                let down = random.below(2 * SECOND);
                simulation.push(
                    at,
                    Event::Restart {
                        owner: number,
                        down,
                    },
                );
                continue;
            }
            1 if !together => {
                owner.frozen_until = at + length;
                // It regains contact some time after it continues.
                owner.isolated = (at, at + length + random.below(300 * MILLISECOND));
            }
            _ => owner.isolated = (at, at + length),
        }
        let late = if together { 1 } else { SECOND };
        let removed_at = at + UNRESPONSIVE_TIME + random.below(late);
        if length > removed_at - at {
            changes.push((removed_at, id));
        }
    }
    changes.sort_unstable();
    for (since, id) in changes {
        if !members.contains(&id) {
            continue;
        }
        members.retain(|member| *member != id);
        if members.len() < MIN_MEMBERS || simulation.random.chance(0.5) {
            let joiner = simulation.random.next();
            let owner = Owner::new(joiner, &mut simulation.random);
            simulation.owners.push(owner);
            members.push(joiner);
        }
        simulation.memberships.push(Membership {
            since,
            members: members.clone(),
        });
    }
}

#[test]
fn no_window_exceeds_the_bound_under_faults() {
    const SEEDS: u64 = 300;
    let mut worst = (0.0, 0, 0);
    let mut violations = Vec::new();
    let mut changes = 0;
    for seed in 0..SEEDS {
        let mut simulation = draw_faults(seed);
        simulation.run();
        changes += simulation.memberships.len() - 1;
        let (ratio, start) = simulation.worst_ratio();
        if ratio > worst.0 {
            worst = (ratio, seed, start);
        }
        if ratio > 1.0 {
            let limits = simulation.scenario.limits.map(|limit| limit.rate.round());
            let members = simulation.memberships[0].members.len();
            violations.push(format!(
                "seed {seed}: {ratio:.3} of the bound from {start} us, rates {limits:?}, {members} members"
            ));
        }
    }
    println!(
        "worst ratio to the bound: {:.3} (seed {}, window from {} us); {changes} changes of members in {SEEDS} seeds",
        worst.0, worst.1, worst.2
    );
    assert!(changes >= 100, "only {changes} changes of members");
    assert!(
        violations.is_empty(),
        "{} seeds:\n{}",
        violations.len(),
        violations.join("\n")
    );
}

/// The worst case: two owners are isolated from the others, but not from the dispatchers; two new members, which learn
/// of it at once, replace them as early as possible; and the tenant, nearly idle before, then sends three times its
/// rate.
#[test]
fn two_owners_that_continue_after_their_replacement_keep_the_bound() {
    let mut violations = Vec::new();
    for members in [MIN_MEMBERS, 8, 9] {
        for rate in [6.0, 20.0, 60.0, 120.0, 179.0] {
            let limit = RateLimit {
                version: 1,
                rate,
                burst: rate,
            };
            let isolated_at = 10 * SECOND;
            let removed_at = isolated_at + UNRESPONSIVE_TIME;
            let scenario = Scenario {
                limits: [limit; 2],
                changed_at: 0,
                demand: [rate * 0.1, rate * 3.0],
                overload_at: removed_at,
                ends_at: 20 * SECOND,
            };
            let mut simulation = Simulation::new(Random(mix64(rate as u64)), scenario, members);
            simulation.delay_membership_updates(10 * SECOND);
            let mut set = simulation.memberships[0].members.clone();
            for (index, member) in set.iter_mut().enumerate().take(TOLERATED_LOSSES) {
                simulation.owners[index].isolated = (isolated_at, isolated_at + 7 * SECOND);
                let mut joiner = Owner::new(simulation.random.next(), &mut simulation.random);
                joiner.delay = 0;
                *member = joiner.id;
                simulation.owners.push(joiner);
            }
            simulation.memberships.push(Membership {
                since: removed_at,
                members: set,
            });
            simulation.push(removed_at, Event::Arrival);
            simulation.run();
            let in_overload = simulation.admissions.iter().filter(|at| **at >= removed_at);
            assert!(
                in_overload.count() as f64 >= rate,
                "too few admissions in the overload"
            );
            let (ratio, start) = simulation.worst_ratio();
            println!("{members} members, rate {rate}: {ratio:.3} of the bound from {start} us");
            if ratio > 1.0 {
                violations.push((members, rate, ratio));
            }
        }
    }
    assert!(
        violations.is_empty(),
        "members, rate, ratio to the bound: {violations:?}"
    );
}

/// The fraction of requests that are rejected, of a tenant that sends 0.63 of its rate.
fn rejected_fraction(rate: f64, members: usize, seed: u64) -> f64 {
    const WARM_UP: Time = 20 * SECOND;
    let limit = RateLimit {
        version: 1,
        rate,
        burst: rate,
    };
    let demand = 0.63 * rate;
    let requests = 12_000.0;
    let scenario = Scenario {
        limits: [limit; 2],
        changed_at: 0,
        demand: [demand; 2],
        overload_at: 0,
        ends_at: WARM_UP + (requests / demand) as Time * SECOND,
    };
    let mut simulation = Simulation::new(Random(mix64(seed)), scenario, members);
    simulation.run();
    let count = |times: &[Time]| times.iter().filter(|time| **time >= WARM_UP).count() as f64;
    let rejected = count(&simulation.rejections);
    rejected / (rejected + count(&simulation.admissions))
}

#[test]
fn a_tenant_below_its_rate_is_hardly_ever_rejected_without_faults() {
    let mut violations = Vec::new();
    for rate in [6.0, 10.0, 15.0, 25.0, 60.0, 179.0] {
        for members in [5, 7, 8, 9] {
            let fraction = rejected_fraction(rate, members, rate as u64 * 16 + members as u64);
            println!(
                "rate {rate}, {members} members: {:.3}% rejected",
                fraction * 100.0
            );
            if fraction >= 0.01 {
                violations.push((rate, members, fraction));
            }
        }
    }
    assert!(
        violations.is_empty(),
        "rate, members, fraction rejected: {violations:?}"
    );
}
