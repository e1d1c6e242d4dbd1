//! The command line of `mintlb`.

use crate::configuration::Configuration;
use crate::inherited_socket;
use crate::log;
use crate::log_stats::LogStats;
use crate::operator_config::OperatorConfig;
use crate::serve::{ControlMessage, StartupPlan, serve};
use argh::FromArgs;
use mintlb_admin::command::FAILURE;
use mintlb_common::settings::NodeSettings;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// The time-out of each step of a command to an admin socket: connecting, reading and writing.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Dispatches requests to workers, by the max-pressure rule.
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

/// Runs a scheduler until SIGTERM. SIGHUP reloads the configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration file; by default the one that ROUTER_CONFIG names
    #[argh(option)]
    config: Option<String>,
    /// the operator's configuration file; without it all optional subsystems are off
    #[argh(option)]
    operator: Option<String>,
    /// log each request and each single failure, too
    #[argh(switch)]
    verbose: bool,
}

/// Runs a dispatcher of the serving tier until SIGTERM, with the settings file that MINTLB_BOOT names.
#[derive(FromArgs)]
#[argh(subcommand, name = "dispatch")]
struct Dispatch {
    /// log each single send, too
    #[argh(switch)]
    verbose: bool,
}

/// Validates a configuration and prints the resulting limits, or the first error in it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration file; by default the one that ROUTER_CONFIG names
    #[argh(option)]
    config: Option<String>,
    /// the operator's configuration file
    #[argh(option)]
    operator: Option<String>,
}

/// Prints per-second statistics over the logs of several schedulers, which must have run with --verbose.
#[derive(FromArgs)]
#[argh(subcommand, name = "count")]
struct Count {
    /// the standard error output of `mintlb serve`, one file for each scheduler
    #[argh(positional)]
    logs: Vec<String>,
}

/// Sends a command to a scheduler's admin socket and prints the reply: HEALTH, DUMP, LEAVE or JOIN.
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
struct Call {
    /// the command
    #[argh(positional)]
    call: String,
    /// the admin socket's address; by default the one that ROUTER_OPS names
    #[argh(option)]
    ops: Option<String>,
}

/// Prints the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn config_path(option: Option<String>) -> Result<String, String> {
    let path = option.or_else(|| std::env::var("ROUTER_CONFIG").ok());
    path.ok_or_else(|| "no configuration: give --config FILE or set ROUTER_CONFIG".to_string())
}

/// Reads and validates the configuration and the operator's file at these paths.
fn load(
    path: &str,
    operator_path: Option<&str>,
    inherited: Option<TcpListener>,
) -> Result<StartupPlan, String> {
    let operator = operator_path
        .map(OperatorConfig::read)
        .transpose()?
        .unwrap_or_default();
    let both_paths = operator_path.map_or_else(
        || path.to_string(),
        |operator_path| format!("{path} with {operator_path}"),
    );
    let mut configuration = Configuration::read(path)?;
    // Sibling processes may share one configuration file, but each needs an admin address of its own.
    if let Ok(ops) = std::env::var("ROUTER_OPS") {
        configuration.ops = Some(
            ops.trim()
                .parse()
                .map_err(|e| format!("ROUTER_OPS: {ops:?}: {e}"))?,
        );
    }
    configuration.inherited_socket = inherited;
    StartupPlan::new(configuration, operator).map_err(|e| format!("{both_paths}: {e}"))
}

/// Starts a task that turns signals into control messages. SIGHUP is handled even if the new configuration is invalid:
/// unhandled it would end the program, while the current configuration is to stay in use.
fn handle_signals(
    path: String,
    operator_path: Option<String>,
) -> Result<UnboundedReceiver<ControlMessage>, String> {
    let stream = |kind| signal(kind).map_err(|e| format!("can't handle signals: {e}"));
    let (mut terminate, mut interrupt) = (
        stream(SignalKind::terminate())?,
        stream(SignalKind::interrupt())?,
    );
    let mut hangup = stream(SignalKind::hangup())?;
    let (sender, receiver) = unbounded_channel();
    tokio::spawn(async move {
        loop {
            let message = tokio::select! {
                _ = terminate.recv() => ControlMessage::Stop,
                _ = interrupt.recv() => ControlMessage::Stop,
                _ = hangup.recv() => match load(&path, operator_path.as_deref(), None) {
                    Ok(plan) => ControlMessage::Reload(Box::new(plan.into())),
                    Err(why) => ControlMessage::InvalidConfiguration(why),
                },
            };
            if sender.send(message).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

fn run(verb: Verb) -> Result<(), String> {
    match verb {
        Verb::Serve(Serve {
            config,
            operator,
            verbose,
        }) => {
            let path = config_path(config)?;
            let inherited = std::env::var(inherited_socket::ENV_VAR).ok();
            let inherited = inherited
                .map(|value| inherited_socket::listener(&value))
                .transpose()?;
            let plan = load(&path, operator.as_deref(), inherited)?;
            let (log, log_guard) = log::to_stderr(plan.resource_limits.log_buffer_lines, verbose);
            let flush_timeout = plan.resource_limits.http.dial_timeout;
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let served = runtime
                .map_err(|e| format!("can't start the async runtime: {e}"))?
                .block_on(async {
                    let control = handle_signals(path, operator)?;
                    serve(plan, log, control).await
                });
            log::flush(log_guard, flush_timeout);
            served
        }
        Verb::Dispatch(Dispatch { verbose }) => run_dispatcher(verbose),
        Verb::Check(Check { config, operator }) => {
            let plan = load(&config_path(config)?, operator.as_deref(), None)?;
            let Configuration {
                name,
                listen,
                discovery,
                known_workers,
                ..
            } = &plan.configuration;
            let workers = known_workers.as_ref().map_or(0, |k| k.workers.len());
            let types: Vec<&str> = plan.types.iter().map(|(name, _)| name.as_str()).collect();
            let types = types.join(", ");
            print(format_args!(
                "{name} would listen on {listen} and watch the list service at {discovery}\n\
                 project types: {types}\nworkers known: {workers}\n{:#?}\n",
                plan.resource_limits
            ))?;
            print(format_args!("{}", plan.subsystems))
        }
        Verb::Count(Count { logs }) => {
            let mut stats = LogStats::default();
            for path in &logs {
                let bytes =
                    std::fs::read(path).map_err(|e| format!("{path} cannot be read: {e}"))?;
                stats.read(String::from_utf8_lossy(&bytes).lines());
            }
            if stats.is_empty() {
                return Err(
                    "no allocations in these logs: serve logs them only with --verbose".to_string(),
                );
            }
            print(format_args!("{stats}"))
        }
        Verb::Call(Call { call, ops }) => {
            let ops = ops.or_else(|| std::env::var("ROUTER_OPS").ok());
            let ops = ops.ok_or("no admin socket: give --ops ADDRESS or set ROUTER_OPS")?;
            let reply = send_command(&ops, &call).map_err(|e| format!("{ops}: {e}"))?;
            print(format_args!("{reply}"))?;
            match reply.starts_with(FAILURE) {
                true => Err(format!("{ops}: {call} failed")),
                false => Ok(()),
            }
        }
        Verb::Version(Version {}) => print(format_args!("mintlb {}\n", env!("CARGO_PKG_VERSION"))),
    }
}

fn run_dispatcher(verbose: bool) -> Result<(), String> {
    let settings = NodeSettings::from_environment().map_err(|e| e.to_string())?;
    let level = if verbose { "debug" } else { "info" };
    let _log =
        mintlb_common::logging::start(level).map_err(|e| format!("can't start logging: {e}"))?;
    mintlb_dispatcher::run(settings).map_err(|e| e.to_string())
}

/// Sends a command to the admin socket at `address` and returns the reply.
fn send_command(address: &str, command: &str) -> std::io::Result<String> {
    let address = address
        .parse()
        .map_err(|e| std::io::Error::new(ErrorKind::InvalidInput, e))?;
    let mut stream = TcpStream::connect_timeout(&address, ADMIN_TIMEOUT)?;
    stream.set_read_timeout(Some(ADMIN_TIMEOUT))?;
    stream.set_write_timeout(Some(ADMIN_TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    Ok(reply)
}

/// Prints to standard output. A closed pipe is no error, as the reader may stop early.
fn print(text: std::fmt::Arguments) -> Result<(), String> {
    match std::io::stdout().write_fmt(text) {
        Err(e) if e.kind() != ErrorKind::BrokenPipe => Err(format!("can't write to stdout: {e}")),
        _ => Ok(()),
    }
}

/// Parses the arguments of the command line and runs the command. An error is printed to standard error.
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
