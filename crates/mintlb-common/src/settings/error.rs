//! The errors of loading the settings.

use super::{InternalPort, SETTINGS_VARIABLE};
use std::path::PathBuf;

/// The reason for which the settings can't be loaded. None of them goes away without a change to
/// the environment or file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The environment variable is not set.
    #[error("M101 the variable {SETTINGS_VARIABLE} is not set")]
    VariableNotSet,
    /// The file can't be read.
    #[error("M102 the settings file {path}: {cause}")]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// A field is missing or invalid.
    #[error("M103 the settings file {path}: {cause}")]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// The field, and what is wrong with it.
        cause: InvalidSettings,
    },
}

/// A missing or invalid field of the settings.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSettings {
    /// The text is not TOML, or a field is missing or of the wrong type.
    #[error(transparent)]
    Malformed(#[from] toml::de::Error),
    /// The range of internal ports is too small.
    #[error("internal_ports: {} ports are needed", InternalPort::COUNT)]
    TooFewInternalPorts,
    /// The interval between heartbeats is 0.
    #[error("heartbeat_ms: 0 is no time between heartbeats")]
    ZeroHeartbeatInterval,
    /// The name of the machine is empty.
    #[error("node_name: is empty")]
    EmptyNodeName,
}
