//! Shrinks a failing scenario: removes each fault without which it still fails.

use crate::mutations::Mutation;
use crate::scenario::Scenario;
use crate::world::{Report, play};
use std::fmt::Write;

/// The maximum of replays while a scenario is shrunk.
const MAX_REPLAYS: usize = 400;

/// A scenario that fails, with fewer faults if possible, of the same point.
pub fn shrink(scenario: &Scenario, mutation: Mutation) -> Scenario {
    let mut shrunk = scenario.clone();
    let point = |scenario: &Scenario| {
        play(scenario, mutation, false)
            .violation
            .map(|violation| violation.point)
    };
    let Some(failed) = point(&shrunk) else {
        return shrunk;
    };
    let mut plays = 0;
    loop {
        let before = shrunk.faults.len();
        for index in (0..before).rev() {
            let fewer = shrunk.without(index);
            plays += 1;
            if plays < MAX_REPLAYS && point(&fewer) == Some(failed) {
                shrunk = fewer;
            }
        }
        if shrunk.faults.len() == before || plays >= MAX_REPLAYS {
            return shrunk;
        }
    }
}

/// Describes a failing scenario: seed, faults, trace and violation.
pub fn describe(scenario: &Scenario, report: &Report) -> String {
    let mut text = format!("seed {} on {:?}\n", scenario.seed, scenario.tier);
    for timed in &scenario.faults {
        writeln!(text, "  fault at {:?}: {:?}", timed.at, timed.fault).ok();
    }
    for (at, line) in &report.trace {
        writeln!(text, "  {at:?} {line}").ok();
    }
    if let Some(violation) = &report.violation {
        writeln!(
            text,
            "{} at {:?}: {}",
            violation.point, violation.at, violation.what
        )
        .ok();
    }
    text
}
