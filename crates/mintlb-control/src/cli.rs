//! The command line of `mintlb-control`.

use crate::controller::{self, ControllerError};
use crate::store::{self, StoreError};
use bpaf::{OptionParser, Parser};
use mintlb_common::settings::{NodeSettings, SettingsError};
use std::process::ExitCode;

/// The variable that sets the level of the log.
const LOG_VARIABLE: &str = "MINTLB_LOG";
/// Settings are missing or wrong.
const EXIT_SETTINGS: u8 = 2;
/// The program could not go on.
const EXIT_FAILED: u8 = 1;

/// What the program is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Be a controller.
    Controller,
    /// Be a store.
    Store,
    /// Read the settings and say what is wrong with them.
    Check,
}

/// Why the program ended with an error.
#[derive(Debug, thiserror::Error)]
enum CliError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("M104 {0}")]
    Unsuitable(String),
    #[error(transparent)]
    Controller(#[from] ControllerError),
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// The parser of the command line.
pub fn parser() -> OptionParser<Verb> {
    let verb = |verb: Verb, name: &'static str, help: &'static str| {
        bpaf::pure(verb)
            .to_options()
            .descr(help)
            .command(name)
            .help(help)
    };
    let controller = verb(
        Verb::Controller,
        "controller",
        "Take workers' and the operator's calls",
    );
    let store = verb(Verb::Store, "store", "Keep the lots");
    let check = verb(
        Verb::Check,
        "check",
        "Read the settings that MINTLB_BOOT names and say what is wrong",
    );
    bpaf::construct!([controller, store, check])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("The control plane of a mintlb serving tier. Settings: the file that MINTLB_BOOT names.")
}

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    let verb = parser().run();
    match run_command(verb) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("mintlb-control: {failure}");
            match failure {
                CliError::Settings(_) | CliError::Unsuitable(_) => ExitCode::from(EXIT_SETTINGS),
                _ => ExitCode::from(EXIT_FAILED),
            }
        }
    }
}

fn run_command(verb: Verb) -> Result<(), CliError> {
    let settings = NodeSettings::from_environment()?;
    if verb == Verb::Check {
        let problems = validate(&settings);
        if !problems.is_empty() {
            return Err(CliError::Unsuitable(problems.join("; ")));
        }
        println!(
            "{}: settings of {} ({}) are right",
            settings.node_name, settings.role, settings.machine_class
        );
        return Ok(());
    }
    let level = std::env::var(LOG_VARIABLE).unwrap_or_else(|_| "info".to_string());
    let log = mintlb_common::logging::start(&level);
    if let Err(error) = &log {
        eprintln!("mintlb-control: no log: {error}");
    }
    match verb {
        Verb::Controller => controller::run(settings)?,
        Verb::Store => store::run(settings)?,
        Verb::Check => (),
    }
    Ok(())
}

/// What in readable settings keeps this program from serving, each with its field.
pub fn validate(settings: &NodeSettings) -> Vec<String> {
    let serves = |service: &str| settings.serves.iter().any(|served| served == service);
    let mut problems = Vec::new();
    if serves("control") && settings.listen_addresses.control_plane.is_none() {
        problems.push(
            "listen_addresses.control_plane: is missing, though the role serves control"
                .to_string(),
        );
    }
    if serves("storage") && settings.data_directory.is_none() {
        problems.push("data_directory: is missing, though the role serves storage".to_string());
    }
    if let Some(folder) = settings
        .data_directory
        .as_ref()
        .filter(|folder| !folder.is_dir())
    {
        problems.push(format!("data_directory: {} is no folder", folder.display()));
    }
    if settings.seed_nodes.is_empty() {
        problems.push("seed_nodes: names nobody".to_string());
    }
    problems
}
