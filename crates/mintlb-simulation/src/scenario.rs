//! Scenarios: a seed, and faults drawn from it within the operators' fault model.
//!
//! The fault model: at most one of the machines that count (controllers and stores) is lost at a time. One is lost while
//! it is down, frozen, cut off or its disk stands still, and for [`CATCH_UP`] after that; a new one until so long
//! after its start. Only whole failures of power, or of all processes at once, are outside of it: disks stay then.
//! Nothing is held back for the state that the tier is in: no fault waits for a change of a set or a placement.

use crate::context::Time;
use crate::random::Random;
use std::time::Duration;

/// `catch_up_s`: how long a machine that is back still counts as lost.
pub const CATCH_UP: Duration = Duration::from_secs(5);
/// Faults begin at the earliest at this time: a new tier counts as caught up then.
const FIRST_FAULT: Time = Duration::from_secs(7);
/// Repeated power losses end at this time.
const POWER_LOSSES_END: Time = Duration::from_secs(20);
/// After this time nothing begins any more.
const LAST_FAULT: Time = Duration::from_secs(40);

/// How long a correlated loss waits for an acknowledgement.
pub const STRIKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Stores that a tier needs to take jobs while it bears one loss.
const MIN_STORES: usize = 2;

/// The machines of a tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tier {
    /// Controllers; they come first.
    pub controllers: usize,
    /// Stores; they follow.
    pub stores: usize,
    /// Dispatchers; they come last.
    pub dispatchers: usize,
}

impl Tier {
    /// How many machines there are.
    pub fn machines(&self) -> usize {
        self.controllers + self.stores + self.dispatchers
    }

    /// Those that count: a loss of one of them takes a part of the promise.
    pub fn counted(&self) -> usize {
        self.controllers + self.stores
    }
}

/// What happens to a machine, by its number.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The process ends and starts again after a while.
    Kill(usize, Duration),
    /// The same with the machine's power: what was not synced is lost.
    PowerLoss(usize, Duration),
    /// Power and disk are lost.
    Wipe(usize, Duration),
    /// Its disk takes nothing for a while.
    Stall(usize, Duration),
    /// It does not run for a while.
    Freeze(usize, Duration),
    /// Nothing goes to it or comes from it.
    CutOff(usize, Duration),
    /// Nothing comes to it.
    Deaf(usize, Duration),
    /// Nothing that it sends arrives.
    Mute(usize, Duration),
    /// It and one other don't reach each other.
    Apart(usize, usize, Duration),
    /// It is gone with its disk; another machine at another address starts after a while.
    Replace(usize, Duration),
    /// As the next call is acknowledged, or after a second, one machine loses power or its disk as well, or many
    /// lose power at once and keep their disks, or both; they start again after up to so long.
    CorrelatedLoss {
        /// The one.
        one: Option<usize>,
        /// Whether it loses its disk.
        wiped: bool,
        /// Which machines lose power.
        scope: LossScope,
        /// For up to so long.
        time: Duration,
    },
    /// It and a dispatcher reach each other and nobody else.
    Island(usize, usize, Duration),
    /// It and those others whose bits are set don't reach each other.
    Partial(usize, u64, Duration),
    /// It is retired on the operator's order, and taken away for good once that is called completed.
    Retire(usize),
    /// Its time of day is set back by so many ms.
    ClockBack(usize, u64),
    /// Messages are lost, duplicated or delayed for a while.
    NetworkFaults(NetworkFaults, Duration),
}

/// Which machines a correlated loss takes the power from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossScope {
    /// The one machine that it names.
    One,
    /// All that count.
    Counted,
    /// All, dispatchers too: nothing is left but what the disks hold.
    Everyone,
}

/// Message faults of the network, in percent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NetworkFaults {
    /// Messages that are lost.
    pub lost_percent: u32,
    /// Messages that are delivered twice.
    pub duplicated_percent: u32,
    /// Messages that are delayed by up to 300 ms, and so reordered.
    pub delayed_percent: u32,
}

/// A fault with its start time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    /// When it begins.
    pub at: Time,
    /// What it is.
    pub fault: Fault,
}

/// What a simulation runs: the machines and the faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// All that the world draws follows from it.
    pub seed: u64,
    /// The machines.
    pub tier: Tier,
    /// The longest that a disk takes for a commit, in ms.
    pub commit_ms: u64,
    /// The faults, in the order of their times.
    pub faults: Vec<TimedFault>,
    /// From now on nothing is wrong.
    pub calm_from: Time,
}

impl Scenario {
    /// A scenario drawn from its seed.
    pub fn draw(seed: u64, tier: Tier) -> Scenario {
        let mut random = Random::new(seed ^ 0x5eed);
        let last = FIRST_FAULT + random.time(2_000, (LAST_FAULT - FIRST_FAULT).as_millis() as u64);
        let others = others(&mut random, tier, last);
        let mut faults = losses(&mut random, tier, last, &others);
        faults.extend(others);
        faults.sort_by_key(|timed| timed.at);
        let calm_from = faults.iter().map(TimedFault::end).max().unwrap_or(last);
        let commit_ms = [2, 8, 30, 80][random.below(4)];
        Scenario {
            seed,
            tier,
            commit_ms,
            faults,
            calm_from,
        }
    }

    /// A scenario of power losses of single machines whose disks stay, any number at any time: nothing that was synced
    /// may depend on the fault model.
    pub fn draw_power_losses(seed: u64, tier: Tier) -> Scenario {
        let mut random = Random::new(seed ^ 0xbad);
        let mut faults = Vec::new();
        let mut at = FIRST_FAULT;
        while at < POWER_LOSSES_END {
            at += random.time(1, 700);
            let fault = Fault::PowerLoss(random.below(tier.counted()), random.time(3, 60));
            faults.push(TimedFault { at, fault });
            if random.with_probability(5) {
                faults.push(TimedFault {
                    at,
                    fault: Fault::NetworkFaults(
                        draw_network_faults(&mut random),
                        random.time(200, 900),
                    ),
                });
            }
        }
        let commit_ms = [2, 8, 30, 80][random.below(4)];
        let calm_from = faults.iter().map(TimedFault::end).max().unwrap_or(at);
        Scenario {
            seed,
            tier,
            commit_ms,
            faults,
            calm_from,
        }
    }

    /// A scenario in which all machines lose power at once, dispatchers too, again and again, each time right after an
    /// acknowledgement. Each time one disk is lost at most, and what that one held has been caught up with before.
    pub fn draw_total_power_losses(seed: u64, tier: Tier) -> Scenario {
        let mut random = Random::new(seed ^ 0xdead);
        let mut faults = Vec::new();
        let mut at = FIRST_FAULT;
        while at < POWER_LOSSES_END {
            at += random.time(0, 1000);
            let machine = random.below(tier.counted());
            let fault = Fault::CorrelatedLoss {
                one: Some(machine),
                wiped: random.with_probability(70),
                scope: LossScope::Everyone,
                time: random.time(50, 1500),
            };
            let timed = TimedFault { at, fault };
            at = timed.end() + CATCH_UP;
            faults.push(timed);
        }
        let commit_ms = [2, 8, 30, 80][random.below(4)];
        let calm_from = faults.iter().map(TimedFault::end).max().unwrap_or(at);
        Scenario {
            seed,
            tier,
            commit_ms,
            faults,
            calm_from,
        }
    }

    /// The scenario without one of its faults.
    pub fn without(&self, index: usize) -> Scenario {
        let mut fewer = self.clone();
        fewer.faults.remove(index);
        fewer
    }
}

impl TimedFault {
    /// When nothing more of it is felt.
    pub fn end(&self) -> Time {
        self.at + self.fault.lasts()
    }
}

impl Fault {
    /// How long it lasts.
    pub fn lasts(&self) -> Duration {
        match self {
            Fault::Kill(_, time)
            | Fault::PowerLoss(_, time)
            | Fault::Wipe(_, time)
            | Fault::Stall(_, time)
            | Fault::Freeze(_, time)
            | Fault::CutOff(_, time)
            | Fault::Deaf(_, time)
            | Fault::Mute(_, time)
            | Fault::Apart(_, _, time)
            | Fault::Replace(_, time)
            | Fault::Island(_, _, time)
            | Fault::Partial(_, _, time)
            | Fault::NetworkFaults(_, time) => *time,
            Fault::CorrelatedLoss { time, .. } => *time + STRIKE_TIMEOUT,
            Fault::ClockBack(..) | Fault::Retire(_) => Duration::ZERO,
        }
    }
}

/// Losses of machines that count, each after the one before has been caught up with.
fn losses(random: &mut Random, tier: Tier, last: Time, others: &[TimedFault]) -> Vec<TimedFault> {
    let mut faults = Vec::new();
    let mut at = FIRST_FAULT + random.time(0, 4000);
    while at < last {
        let fault = draw_loss(random, tier);
        let timed = TimedFault { at, fault };
        // Often right after the promise allows it.
        let pause = if random.with_probability(60) {
            random.time(0, 300)
        } else {
            random.time(0, 5000)
        };
        let from = timed.at;
        at = timed.end() + CATCH_UP + pause;
        // While the network is bad every machine counts as slowed, and so as lost: nothing is caught up with.
        for bad in others
            .iter()
            .filter(|other| matches!(other.fault, Fault::NetworkFaults(..)))
        {
            if bad.at < at && bad.end() > from {
                at += bad.fault.lasts();
            }
        }
        faults.push(timed);
    }
    faults
}

fn draw_loss(random: &mut Random, tier: Tier) -> Fault {
    let machine = random.below(tier.counted());
    let short = if random.with_probability(40) {
        random.time(3, 60)
    } else {
        random.time(50, 1500)
    };
    let long = if random.with_probability(60) {
        random.time(300, 6000)
    } else {
        random.time(6000, 20_000)
    };
    match random.below(100) {
        0..=8 => Fault::Kill(machine, short),
        9..=17 => Fault::PowerLoss(machine, short),
        18..=33 => Fault::Wipe(machine, short),
        34..=49 => {
            let wiped = random.with_probability(60);
            let scope = match random.with_probability(50) {
                true => LossScope::Counted,
                false => LossScope::One,
            };
            Fault::CorrelatedLoss {
                one: Some(machine),
                wiped,
                scope,
                time: short,
            }
        }
        50..=54 => Fault::Stall(machine, random.time(200, 4000)),
        55..=60 => Fault::Freeze(machine, long),
        61..=62 => Fault::Island(
            machine,
            tier.counted() + random.below(tier.dispatchers),
            long,
        ),
        63..=66 => Fault::CutOff(machine, long),
        67..=69 => Fault::Deaf(machine, long),
        70..=72 => Fault::Mute(machine, long),
        73..=75 => Fault::Partial(machine, random.number(), long),
        76 => Fault::Apart(machine, random.below(tier.machines()), long),
        77..=88 => Fault::Replace(machine, random.time(50, 4000)),
        _ => Fault::CorrelatedLoss {
            one: None,
            wiped: false,
            scope: LossScope::Counted,
            time: short,
        },
    }
}

/// What takes nothing of the promise: dispatchers, clocks, the network.
fn others(random: &mut Random, tier: Tier, last: Time) -> Vec<TimedFault> {
    let span = (last - FIRST_FAULT).as_millis() as u64;
    let mut faults = Vec::new();
    for _ in 0..random.below(5) {
        let at = FIRST_FAULT + random.time(0, span);
        let long = random.time(200, 6000);
        let dispatcher = tier.counted() + random.below(tier.dispatchers);
        let fault = match random.below(10) {
            0..=1 if tier.dispatchers > 0 => Fault::Kill(dispatcher, long),
            2 if tier.dispatchers > 0 => Fault::Freeze(dispatcher, long),
            3 if tier.dispatchers > 0 => Fault::CutOff(dispatcher, long),
            4 if tier.dispatchers > 0 => Fault::Partial(dispatcher, random.number(), long),
            5..=6 => Fault::ClockBack(
                random.below(tier.machines()),
                1000 * (1 + random.below(600) as u64),
            ),
            _ => Fault::NetworkFaults(draw_network_faults(random), random.time(500, 4000)),
        };
        faults.push(TimedFault { at, fault });
    }
    // More stores than are needed at least: one may go.
    if tier.stores > MIN_STORES && random.with_probability(60) {
        let store = tier.controllers + random.below(tier.stores);
        faults.push(TimedFault {
            at: FIRST_FAULT + random.time(0, span),
            fault: Fault::Retire(store),
        });
    }
    faults
}

fn draw_network_faults(random: &mut Random) -> NetworkFaults {
    NetworkFaults {
        lost_percent: random.below(15) as u32,
        duplicated_percent: random.below(10) as u32,
        delayed_percent: random.below(30) as u32,
    }
}
