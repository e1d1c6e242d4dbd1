//! How many of many histories fail, by point; prints only.

use mintlb_simulation::history::{History, Tier};
use mintlb_simulation::planted::Planted;
use mintlb_simulation::shrink::{described, shrink};
use mintlb_simulation::world::play;
use std::collections::BTreeMap;
use std::env;

#[test]
#[ignore = "prints what fails; takes as long as MINTLB_MODEL_HISTORIES says"]
fn survey() {
    let number = |name: &str| {
        env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    let (from, count) = (
        number("MINTLB_MODEL_FROM").unwrap_or(0),
        number("MINTLB_MODEL_HISTORIES").unwrap_or(1000),
    );
    let stores = number("MINTLB_MODEL_STORES").unwrap_or(0) as usize;
    let tier = Tier {
        controllers: 3,
        stores,
        dispatchers: 2,
    };
    let mut kinds: BTreeMap<String, Vec<(u64, u64)>> = BTreeMap::new();
    for seed in from..from + count {
        let history = History::draw(seed, tier);
        if let Some(violation) = play(&history, Planted::None, false).violation {
            let what: String = violation
                .what
                .chars()
                .filter(|c| !c.is_ascii_digit())
                .take(50)
                .collect();
            kinds
                .entry(format!("{} {what}", violation.point))
                .or_default()
                .push((seed, history.commit_ms));
        }
    }
    for (kind, seeds) in &kinds {
        println!(
            "{kind}: {} {:?}",
            seeds.len(),
            &seeds[..seeds.len().min(12)]
        );
        let history = History::draw(seeds[0].0, tier);
        let shrunk = shrink(&history, Planted::None);
        let report = play(&shrunk, Planted::None, true);
        let text = described(&shrunk, &report);
        let lines: Vec<&str> = text.lines().collect();
        let tail = lines.len().saturating_sub(60);
        let faults = lines.iter().filter(|line| line.contains("  fault at"));
        faults.for_each(|line| println!("{line}"));
        lines[tail..].iter().for_each(|line| println!("{line}"));
    }
}
