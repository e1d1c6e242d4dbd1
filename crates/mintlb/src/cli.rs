//! The command line.

use crate::count::Counts;
use crate::log;
use crate::operator::Operator;
use crate::passed;
use crate::placement::Placement;
use crate::serve::{Plan, Told, serve};
use argh::FromArgs;
use mintlb_admin::command::FAILURE;
use mintlb_common::settings::NodeSettings;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// How long a door may take for a call before it is held for dead.
const PATIENCE: Duration = Duration::from_secs(3);

/// Dispatches work units to workers, by the max-pressure rule.
#[derive(FromArgs)]
struct Mintlb {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Serve(Serve),
    Dispatch(Dispatch),
    Check(Check),
    Count(Count),
    Call(Call),
    Version(Version),
}

/// Serves until SIGTERM; SIGHUP has it read its configuration again.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration; by default what ROUTER_CONFIG names
    #[argh(option)]
    config: Option<String>,
    /// the operator's own file; without it only what the configuration names is served
    #[argh(option)]
    operator: Option<String>,
    /// log each single failure, too
    #[argh(switch)]
    verbose: bool,
}

/// Serves as a dispatcher of the serving tier until SIGTERM; the settings are in the file that MINTLB_BOOT names.
#[derive(FromArgs)]
#[argh(subcommand, name = "dispatch")]
struct Dispatch {
    /// log each single send, too
    #[argh(switch)]
    verbose: bool,
}

/// Reads a configuration and says what would be served, or what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration; by default what ROUTER_CONFIG names
    #[argh(option)]
    config: Option<String>,
    /// the operator's own file
    #[argh(option)]
    operator: Option<String>,
}

/// Counts over many schedulers' logs, by second; they must have been written with --verbose.
#[derive(FromArgs)]
#[argh(subcommand, name = "count")]
struct Count {
    /// what `serve` wrote to standard error, a file a scheduler
    #[argh(positional)]
    logs: Vec<String>,
}

/// Calls a scheduler's operators' door and prints the answer: HEALTH, DUMP, LEAVE or JOIN.
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
struct Call {
    /// the call
    #[argh(positional)]
    call: String,
    /// the door's address; by default what ROUTER_OPS names
    #[argh(option)]
    ops: Option<String>,
}

/// Prints the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn path(given: Option<String>) -> Result<String, String> {
    let path = given.or_else(|| std::env::var("ROUTER_CONFIG").ok());
    path.ok_or_else(|| "no configuration: give --config FILE or set ROUTER_CONFIG".to_string())
}

/// From the configuration and the operator's file, at these paths, with the socket that was passed on.
fn plan(path: &str, operator: Option<&str>, passed: Option<TcpListener>) -> Result<Plan, String> {
    let read = operator
        .map(Operator::read)
        .transpose()?
        .unwrap_or_default();
    let both = operator.map_or_else(
        || path.to_string(),
        |operator| format!("{path} with {operator}"),
    );
    let mut placement = Placement::read(path)?;
    // The environment is each process's own, while two of them may share one file.
    if let Ok(ops) = std::env::var("ROUTER_OPS") {
        placement.ops = Some(
            ops.trim()
                .parse()
                .map_err(|e| format!("ROUTER_OPS: {ops:?}: {e}"))?,
        );
    }
    placement.passed = passed;
    Plan::new(placement, read).map_err(|e| format!("{both}: {e}"))
}

/// Turns signals into words to the scheduler. A SIGHUP that is not caught would end the program, and a bad
/// configuration must not: the one that holds stays.
fn follow_signals(
    path: String,
    operator: Option<String>,
) -> Result<UnboundedReceiver<Told>, String> {
    let on = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
    let (mut stop, mut interrupt) = (on(SignalKind::terminate())?, on(SignalKind::interrupt())?);
    let mut changed = on(SignalKind::hangup())?;
    let (tell, told) = unbounded_channel();
    tokio::spawn(async move {
        loop {
            let word = tokio::select! {
                _ = stop.recv() => Told::Stop,
                _ = interrupt.recv() => Told::Stop,
                _ = changed.recv() => match plan(&path, operator.as_deref(), None) {
                    Ok(plan) => Told::Changed(Box::new(plan.into())),
                    Err(why) => Told::Bad(why),
                },
            };
            if tell.send(word).is_err() {
                return;
            }
        }
    });
    Ok(told)
}

fn run(verb: Verb) -> Result<(), String> {
    match verb {
        Verb::Serve(Serve {
            config,
            operator,
            verbose,
        }) => {
            let path = path(config)?;
            let passed = std::env::var(passed::VARIABLE).ok();
            let passed = passed.map(|value| passed::listener(&value)).transpose()?;
            let plan = plan(&path, operator.as_deref(), passed)?;
            let (log, last_lines) = log::to_stderr(plan.grants.log_lines, verbose);
            let wait = plan.grants.http.dial_timeout;
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let served = runtime
                .map_err(|e| format!("no runtime: {e}"))?
                .block_on(async {
                    let told = follow_signals(path, operator)?;
                    serve(plan, log, told).await
                });
            log::finish(last_lines, wait);
            served
        }
        Verb::Dispatch(Dispatch { verbose }) => dispatch(verbose),
        Verb::Check(Check { config, operator }) => {
            let plan = plan(&path(config)?, operator.as_deref(), None)?;
            let Placement {
                name,
                listen,
                discovery,
                known,
                ..
            } = &plan.placement;
            let workers = known.as_ref().map_or(0, |k| k.workers.len());
            let types: Vec<&str> = plan.types.iter().map(|(name, _)| name.as_str()).collect();
            let types = types.join(", ");
            print(format_args!(
                "{name} would listen on {listen} and ask {discovery} for the list\n\
                 project types: {types}\nworkers known: {workers}\n{:#?}\n",
                plan.grants
            ))?;
            print(format_args!("{}", plan.plans))
        }
        Verb::Count(Count { logs }) => {
            let mut counts = Counts::default();
            for path in &logs {
                let bytes =
                    std::fs::read(path).map_err(|e| format!("{path} cannot be read: {e}"))?;
                counts.read(String::from_utf8_lossy(&bytes).lines());
            }
            if counts.is_empty() {
                return Err(
                    "no allocation in these logs: serve writes them with --verbose".to_string(),
                );
            }
            print(format_args!("{counts}"))
        }
        Verb::Call(Call { call, ops }) => {
            let ops = ops.or_else(|| std::env::var("ROUTER_OPS").ok());
            let ops = ops.ok_or("no door: give --ops ADDRESS or set ROUTER_OPS")?;
            let answer = ask(&ops, &call).map_err(|e| format!("{ops}: {e}"))?;
            print(format_args!("{answer}"))?;
            match answer.starts_with(FAILURE) {
                true => Err(format!("{ops}: {call} failed")),
                false => Ok(()),
            }
        }
        Verb::Version(Version {}) => print(format_args!("mintlb {}\n", env!("CARGO_PKG_VERSION"))),
    }
}

/// A dispatcher of the serving tier.
fn dispatch(verbose: bool) -> Result<(), String> {
    let settings = NodeSettings::from_environment().map_err(|e| e.to_string())?;
    let level = if verbose { "debug" } else { "info" };
    let _log = mintlb_common::logging::start(level).map_err(|e| format!("no log: {e}"))?;
    mintlb_dispatcher::run(settings).map_err(|e| e.to_string())
}

/// What a door answers within the time that it has for that.
fn ask(at: &str, call: &str) -> std::io::Result<String> {
    let at = at
        .parse()
        .map_err(|e| std::io::Error::new(ErrorKind::InvalidInput, e))?;
    let mut door = TcpStream::connect_timeout(&at, PATIENCE)?;
    door.set_read_timeout(Some(PATIENCE))?;
    door.set_write_timeout(Some(PATIENCE))?;
    door.write_all(format!("{call}\n").as_bytes())?;
    let mut answer = String::new();
    door.read_to_string(&mut answer)?;
    Ok(answer)
}

/// A reader that has seen enough is no fault.
fn print(text: std::fmt::Arguments) -> Result<(), String> {
    match std::io::stdout().write_fmt(text) {
        Err(e) if e.kind() != ErrorKind::BrokenPipe => Err(format!("nothing can be printed: {e}")),
        _ => Ok(()),
    }
}

pub fn main() -> ExitCode {
    let Mintlb { verb } = argh::from_env();
    match run(verb) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("mintlb: {why}");
            ExitCode::FAILURE
        }
    }
}
