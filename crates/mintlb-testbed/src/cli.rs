//! The command line.

use crate::runner::run_scenario;
use crate::scenario::Scenario;
use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs several real mintlb processes, injects faults, and audits the traffic.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Play(PlayCommand),
    Check(CheckCommand),
}

/// Runs a scenario. Exits with code 0 only if the audit finds no violation. The last line on standard output is the
/// verdict as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "play")]
struct PlayCommand {
    /// scenario file (TOML)
    #[argh(positional)]
    scenario: String,
    /// seed, instead of the one in the scenario
    #[argh(option)]
    seed: Option<u64>,
    /// directory for the report, and for configuration files and logs of the processes
    #[argh(option)]
    report: Option<PathBuf>,
    /// the mintlb program; default: mintlb in the directory of this program
    #[argh(option)]
    program: Option<PathBuf>,
}

/// Validates scenarios.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// scenario files (TOML)
    #[argh(positional)]
    scenarios: Vec<String>,
}

fn run(command: Command) -> Result<bool, String> {
    let PlayCommand {
        scenario,
        seed,
        report,
        program,
    } = match command {
        Command::Play(play) => play,
        Command::Check(CheckCommand { scenarios }) => {
            scenarios
                .iter()
                .try_for_each(|path| Scenario::read(path).map(drop))?;
            return Ok(true);
        }
    };
    let scenario = Scenario::read(&scenario)?;
    let seed = seed.unwrap_or(scenario.seed);
    let default_program = || {
        std::env::current_exe()
            .ok()
            .map(|own| own.with_file_name("mintlb"))
    };
    let program = program
        .or_else(default_program)
        .ok_or("cannot determine the path of mintlb; use --program FILE")?;
    let keep_files = report.is_some();
    let directory = report.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("mintlb-testbed-{}", std::process::id()))
    });
    let result = run_scenario(&scenario, seed, &program, &directory, keep_files, |line| {
        eprintln!("{line}")
    });
    let result = match result {
        Ok(result) => result,
        Err(error) => return Err(format!("{}: {error}", scenario.title)),
    };
    if keep_files {
        let path = directory.join("story.txt");
        let events = result
            .observations
            .events
            .iter()
            .map(|e| format!("{:.3} {}\n", e.at, e.description));
        let text: String = events.chain([result.violations.clone()]).collect();
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        let path = directory.join("report.html");
        let page = crate::report::page(&scenario, &result)?;
        std::fs::write(&path, page).map_err(|e| format!("{}: {e}", path.display()))?;
        let path = directory.join("spends.csv");
        let rows = scenario.budgets.iter().flat_map(|budget| {
            let attempts = crate::audit::spending_attempts(&result.observations, budget);
            attempts
                .into_iter()
                .map(|a| format!("{},{:.4},n{}\n", budget.name, a.received_by, a.process))
                .collect::<Vec<_>>()
        });
        let text: String = ["budget,second,process\n".to_string()]
            .into_iter()
            .chain(rows)
            .collect();
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    } else {
        std::fs::remove_dir_all(&directory).ok();
    }
    for (process, (datagrams, bytes)) in result
        .datagram_rates
        .iter()
        .enumerate()
        .filter(|(_, (datagrams, _))| *datagrams > 0.0)
    {
        eprintln!("n{process} sent {datagrams:.1} datagrams and {bytes:.0} bytes per second");
    }
    eprint!("{}", result.violations);
    let line = serde_json::to_string(&result.verdict).map_err(|e| e.to_string())?;
    println!("{line}");
    Ok(result.verdict.holds())
}

pub fn main() -> ExitCode {
    let Arguments { command } = argh::from_env();
    match run(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("mintlb-testbed: {error}");
            ExitCode::from(2)
        }
    }
}
