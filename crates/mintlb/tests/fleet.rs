//! Several processes with faults between them: runs of the scenarios in `rig/scenarios`, in parallel, each with its
//! audit.

use mintlb_testbed::audit::Verdict;
use mintlb_testbed::runner::run_scenario;
use mintlb_testbed::scenario::Scenario;
use std::path::Path;

/// Runs a scenario. Returns the audit's verdict and a description of each violation.
fn run(name: &str, seed: u64) -> (Verdict, String) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let path = root.join("rig/scenarios").join(name).with_extension("toml");
    let scenario = Scenario::read(path.to_str().unwrap()).unwrap();
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("{name}-{seed}-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_mintlb"));
    let result = run_scenario(&scenario, seed, program, &directory, false, |_| {}).unwrap();
    std::fs::remove_dir_all(directory).ok();
    (result.verdict, result.violations)
}

/// Each case: the scenario, whether its audit is expected to hold, and the least share of the budget that must be
/// used. All four rules hold in every scenario. The required shares are low, as the machine may be busy;
/// `docs/budgets.md` has the measured ones.
#[test]
fn scenarios() {
    let cases = [
        ("again-equal", true, 0.5),
        // A deliberate fault: each process has the whole budget, which only the audit can detect.
        ("again-alone", false, 1.5),
        ("again-leases", true, 0.6),
        ("split", true, 0.6),
        ("from-nothing", true, 0.6),
        ("storm", true, 0.4),
        ("whole", true, 0.5),
    ];
    let runs = cases.map(|(name, ..)| std::thread::spawn(move || run(name, 1)));
    for ((name, holds, min_used), run) in cases.into_iter().zip(runs) {
        let (verdict, violations) = run.join().unwrap();
        assert_eq!(verdict.holds(), holds, "{name}: {verdict:?}\n{violations}");
        assert!(verdict.used >= Some(min_used), "{name}: {verdict:?}");
        let without_over_budget = Verdict {
            over_budget: 0,
            ..verdict.clone()
        };
        assert!(
            without_over_budget.holds(),
            "{name}: {verdict:?}\n{violations}"
        );
        assert_eq!(
            violations.contains("budget again"),
            !holds,
            "{name}: {violations}"
        );
    }
}
