//! Several real processes and faults between them: plays of `rig/scenarios`, each with its audit, side by side.

use mintlb_testbed::audit::Verdict;
use mintlb_testbed::play::play;
use mintlb_testbed::scenario::Scenario;
use std::path::Path;

fn played(name: &str, seed: u64) -> (Verdict, String) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let path = root.join("rig/scenarios").join(name).with_extension("toml");
    let scenario = Scenario::read(path.to_str().unwrap()).unwrap();
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("{name}-{seed}-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_mintlb"));
    let played = play(&scenario, seed, program, &folder, false, |_| {}).unwrap();
    std::fs::remove_dir_all(folder).ok();
    (played.verdict, played.story)
}

/// Each scenario, whether its audit is to hold, and the least of the whole that is used where that is wanted. The four
/// rules hold in all of them. The bars for use are low, as the machine may be busy; `docs/budgets.md` has the figures.
#[test]
fn plays() {
    let cases = [
        ("again-equal", true, 0.5),
        // Planted: each process holds the whole, and only the audit can know.
        ("again-alone", false, 1.5),
        ("again-leases", true, 0.6),
        ("split", true, 0.6),
        ("from-nothing", true, 0.6),
        ("storm", true, 0.4),
        ("whole", true, 0.5),
    ];
    let plays = cases.map(|(name, ..)| std::thread::spawn(move || played(name, 1)));
    for ((name, holds, least_used), play) in cases.into_iter().zip(plays) {
        let (verdict, story) = play.join().unwrap();
        assert_eq!(verdict.holds(), holds, "{name}: {verdict:?}\n{story}");
        assert!(verdict.used >= Some(least_used), "{name}: {verdict:?}");
        let over = Verdict {
            over_budget: 0,
            ..verdict.clone()
        };
        assert!(over.holds(), "{name}: {verdict:?}\n{story}");
        assert_eq!(story.contains("budget again"), !holds, "{name}: {story}");
    }
}
