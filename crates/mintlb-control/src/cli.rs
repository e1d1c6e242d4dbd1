//! The command line of `mintlb-control`.

use crate::controller::{self, ControllerError};
use crate::store::{self, StoreError};
use bpaf::{OptionParser, Parser};
use mintlb_common::settings::{NodeSettings, SettingsError};
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::ExitCode;

/// The environment variable that sets the level of the log.
const LOG_LEVEL_VARIABLE: &str = "MINTLB_LOG";
/// The level of the log without that variable.
const DEFAULT_LOG_LEVEL: &str = "info";
/// The exit code if the settings are missing or unsuitable.
const EXIT_SETTINGS: u8 = 2;
/// The exit code if the program can't be started or can't go on.
const EXIT_FAILED: u8 = 1;

/// What the program is called to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Run a controller.
    Controller,
    /// Run a store.
    Store,
    /// Validate the settings.
    Check,
}

/// The reason for which the program ends with an error.
#[derive(Debug, thiserror::Error)]
enum CliError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("M104 {}", joined(.0))]
    Unsuitable(Vec<UnsuitableSetting>),
    #[error(transparent)]
    Controller(#[from] ControllerError),
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl CliError {
    fn exit_code(&self) -> ExitCode {
        match self {
            CliError::Settings(_) | CliError::Unsuitable(_) => ExitCode::from(EXIT_SETTINGS),
            CliError::Controller(_) | CliError::Store(_) => ExitCode::from(EXIT_FAILED),
        }
    }
}

/// A field that keeps this program from serving, though the settings as a whole are well-formed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnsuitableSetting {
    /// A controller has no address for its HTTP API.
    #[error("listen_addresses.control_plane: is missing, though the role serves control")]
    NoControlAddress,
    /// A store has no data directory.
    #[error("data_directory: is missing, though the role serves storage")]
    NoDataDirectory,
    /// The data directory is no directory.
    #[error("data_directory: {} is no folder", .0.display())]
    NotADirectory(PathBuf),
    /// There are no seeds.
    #[error("seed_nodes: names nobody")]
    NoSeeds,
    /// More zones are to be tolerated as lost than the deployment can bear.
    #[error(
        "fault_tolerance.zones: to bear the loss of {tolerated}, {needed} zones are needed; zones lists {listed}"
    )]
    TooFewZones {
        /// The zones that may be lost.
        tolerated: usize,
        /// The zones that this takes.
        needed: usize,
        /// The zones of the settings.
        listed: usize,
    },
    /// The same for regions.
    #[error(
        "fault_tolerance.regions: to bear the loss of {tolerated}, {needed} regions are needed; zones lists {listed}"
    )]
    TooFewRegions {
        /// The regions that may be lost.
        tolerated: usize,
        /// The regions that this takes.
        needed: usize,
        /// The regions of the settings.
        listed: usize,
    },
}

fn joined(settings: &[UnsuitableSetting]) -> String {
    let texts: Vec<String> = settings.iter().map(ToString::to_string).collect();
    texts.join("; ")
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
    match run(verb) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mintlb-control: {error}");
            error.exit_code()
        }
    }
}

fn run(verb: Verb) -> Result<(), CliError> {
    let settings = NodeSettings::from_environment()?;
    match verb {
        Verb::Controller => {
            let _log = start_log();
            warn_of_too_few_domains(&settings);
            controller::run(settings)?;
        }
        Verb::Store => {
            let _log = start_log();
            warn_of_too_few_domains(&settings);
            store::run(settings)?;
        }
        Verb::Check => check(&settings)?,
    }
    Ok(())
}

/// Starts the log. It ends when the returned handle is dropped.
fn start_log() -> Option<impl Sized> {
    let level = std::env::var(LOG_LEVEL_VARIABLE).unwrap_or_else(|_| DEFAULT_LOG_LEVEL.to_string());
    mintlb_common::logging::start(&level)
        .inspect_err(|error| eprintln!("mintlb-control: no log: {error}"))
        .ok()
}

fn check(settings: &NodeSettings) -> Result<(), CliError> {
    let unsuitable = validate(settings);
    if !unsuitable.is_empty() {
        return Err(CliError::Unsuitable(unsuitable));
    }
    println!(
        "{}: settings of {} ({}) are right",
        settings.node_name, settings.role, settings.machine_class
    );
    Ok(())
}

/// The fields of well-formed settings that keep this program from serving.
pub fn validate(settings: &NodeSettings) -> Vec<UnsuitableSetting> {
    let serves = |service: &str| settings.serves.iter().any(|served| served == service);
    let mut unsuitable = Vec::new();
    if serves("control") && settings.listen_addresses.control_plane.is_none() {
        unsuitable.push(UnsuitableSetting::NoControlAddress);
    }
    if serves("storage") && settings.data_directory.is_none() {
        unsuitable.push(UnsuitableSetting::NoDataDirectory);
    }
    if let Some(directory) = settings
        .data_directory
        .as_ref()
        .filter(|directory| !directory.is_dir())
    {
        unsuitable.push(UnsuitableSetting::NotADirectory(directory.clone()));
    }
    if settings.seed_nodes.is_empty() {
        unsuitable.push(UnsuitableSetting::NoSeeds);
    }
    unsuitable.extend(too_few_domains(settings));
    unsuitable
}

/// The kinds of domains of which the deployment has too few to bear the tolerated losses.
fn too_few_domains(settings: &NodeSettings) -> Vec<UnsuitableSetting> {
    let tolerance = &settings.fault_tolerance;
    let zones: BTreeSet<&String> = settings.zones.keys().chain([&settings.zone]).collect();
    let regions: BTreeSet<&String> = settings.zones.values().chain([&settings.region]).collect();
    let mut unsuitable = Vec::new();
    if zones.len() < domains_needed(tolerance.zones) {
        unsuitable.push(UnsuitableSetting::TooFewZones {
            tolerated: tolerance.zones,
            needed: domains_needed(tolerance.zones),
            listed: zones.len(),
        });
    }
    if regions.len() < domains_needed(tolerance.regions) {
        unsuitable.push(UnsuitableSetting::TooFewRegions {
            tolerated: tolerance.regions,
            needed: domains_needed(tolerance.regions),
            listed: regions.len(),
        });
    }
    unsuitable
}

/// The domains of one kind that it takes for a quorum to be left, and to outlast the next loss, after
/// `tolerated` of them are lost.
fn domains_needed(tolerated: usize) -> usize {
    2 * tolerated + 1
}

/// The process runs all the same: it acknowledges only what outlasts the losses.
fn warn_of_too_few_domains(settings: &NodeSettings) {
    for setting in too_few_domains(settings) {
        log::warn!("settings: {setting}");
    }
}
