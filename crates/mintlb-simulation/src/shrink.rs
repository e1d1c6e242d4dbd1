//! Takes from a history that fails each fault without which it still fails.

use crate::history::History;
use crate::planted::Planted;
use crate::world::{Report, play};
use std::fmt::Write;

/// Plays of one history's shrinking at most.
const MOST_PLAYS: usize = 400;

/// A history that fails, with fewer faults if possible, of the same point.
pub fn shrink(history: &History, planted: Planted) -> History {
    let mut shrunk = history.clone();
    let point = |history: &History| {
        play(history, planted, false)
            .violation
            .map(|violation| violation.point)
    };
    let Some(failed) = point(&shrunk) else {
        return shrunk;
    };
    let mut plays = 0;
    loop {
        let before = shrunk.faults.len();
        for place in (0..before).rev() {
            let fewer = shrunk.without(place);
            plays += 1;
            if plays < MOST_PLAYS && point(&fewer) == Some(failed) {
                shrunk = fewer;
            }
        }
        if shrunk.faults.len() == before || plays >= MOST_PLAYS {
            return shrunk;
        }
    }
}

/// What a person needs to look into a failing history.
pub fn described(history: &History, report: &Report) -> String {
    let mut text = format!("seed {} on {:?}\n", history.seed, history.tier);
    for timed in &history.faults {
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
