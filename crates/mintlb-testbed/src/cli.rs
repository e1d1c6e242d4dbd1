//! The command line.

use crate::play::play;
use crate::scenario::Scenario;
use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;

/// Plays several real processes of mintlb with faults between them, and audits what went over the wire.
#[derive(FromArgs)]
struct Rig {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Play(Play),
    Check(Check),
}

/// Plays a scenario; exit code 0 only where the audit holds. The last line on standard output is its verdict as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "play")]
struct Play {
    /// the scenario, a TOML file
    #[argh(positional)]
    scenario: String,
    /// in place of the scenario's own
    #[argh(option)]
    seed: Option<u64>,
    /// a folder for the report, the processes' files and their logs
    #[argh(option)]
    report: Option<PathBuf>,
    /// the program; by default the mintlb beside this one
    #[argh(option)]
    program: Option<PathBuf>,
}

/// Reads scenarios and says what is wrong with them.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the scenarios, TOML files
    #[argh(positional)]
    scenarios: Vec<String>,
}

fn run(verb: Verb) -> Result<bool, String> {
    let Play {
        scenario,
        seed,
        report,
        program,
    } = match verb {
        Verb::Play(play) => play,
        Verb::Check(Check { scenarios }) => {
            scenarios
                .iter()
                .try_for_each(|path| Scenario::read(path).map(drop))?;
            return Ok(true);
        }
    };
    let scenario = Scenario::read(&scenario)?;
    let seed = seed.unwrap_or(scenario.seed);
    let beside = || {
        std::env::current_exe()
            .ok()
            .map(|own| own.with_file_name("mintlb"))
    };
    let program = program
        .or_else(beside)
        .ok_or("no program: give --program FILE")?;
    let kept = report.is_some();
    let folder = report.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("mintlb-testbed-{}", std::process::id()))
    });
    let played = play(&scenario, seed, &program, &folder, kept, |line| {
        eprintln!("{line}")
    });
    let played = match played {
        Ok(played) => played,
        Err(why) => return Err(format!("{}: {why}", scenario.title)),
    };
    if kept {
        let path = folder.join("story.txt");
        let marks = played
            .seen
            .marks
            .iter()
            .map(|m| format!("{:.3} {}\n", m.at, m.what));
        let text: String = marks.chain([played.story.clone()]).collect();
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        let path = folder.join("report.html");
        let page = crate::report::page(&scenario, &played)?;
        std::fs::write(&path, page).map_err(|e| format!("{}: {e}", path.display()))?;
        let path = folder.join("spends.csv");
        let spends = scenario.budgets.iter().flat_map(|budget| {
            let all = crate::audit::spends(&played.seen, budget);
            all.into_iter()
                .map(|s| format!("{},{:.4},n{}\n", budget.name, s.by, s.process))
                .collect::<Vec<_>>()
        });
        let text: String = ["budget,second,process\n".to_string()]
            .into_iter()
            .chain(spends)
            .collect();
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    } else {
        std::fs::remove_dir_all(&folder).ok();
    }
    for (process, (words, bytes)) in played
        .words
        .iter()
        .enumerate()
        .filter(|(_, (words, _))| *words > 0.0)
    {
        eprintln!("n{process} sent {words:.1} words and {bytes:.0} bytes a second");
    }
    eprint!("{}", played.story);
    let line = serde_json::to_string(&played.verdict).map_err(|e| e.to_string())?;
    println!("{line}");
    Ok(played.verdict.holds())
}

pub fn main() -> ExitCode {
    let Rig { verb } = argh::from_env();
    match run(verb) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("mintlb-testbed: {why}");
            ExitCode::from(2)
        }
    }
}
