//! Survey: prints how many of many scenarios fail, by invariant.

use mintlb_simulation::mutations::Mutation;
use mintlb_simulation::scenario::{Scenario, Tier};
use mintlb_simulation::shrink::{describe, shrink};
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
        let scenario = Scenario::draw(seed, tier);
        if let Some(violation) = play(&scenario, Mutation::None, false).violation {
            let what: String = violation
                .what
                .chars()
                .filter(|c| !c.is_ascii_digit())
                .take(50)
                .collect();
            kinds
                .entry(format!("{} {what}", violation.point))
                .or_default()
                .push((seed, scenario.commit_ms));
        }
    }
    for (kind, seeds) in &kinds {
        println!(
            "{kind}: {} {:?}",
            seeds.len(),
            &seeds[..seeds.len().min(12)]
        );
        let scenario = Scenario::draw(seeds[0].0, tier);
        let shrunk = shrink(&scenario, Mutation::None);
        let report = play(&shrunk, Mutation::None, true);
        let text = describe(&shrunk, &report);
        let lines: Vec<&str> = text.lines().collect();
        let tail = lines.len().saturating_sub(60);
        let faults = lines.iter().filter(|line| line.contains("  fault at"));
        faults.for_each(|line| println!("{line}"));
        lines[tail..].iter().for_each(|line| println!("{line}"));
    }
}
