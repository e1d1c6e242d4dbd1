//! Loading and validation of the settings.

use super::{InternalPort, InvalidSettings, NodeSettings, SETTINGS_VARIABLE, SettingsError};
use std::path::Path;

impl NodeSettings {
    /// Loads the file that the environment variable [`SETTINGS_VARIABLE`] names.
    ///
    /// # Errors
    ///
    /// If the variable is not set, the file can't be read, or a field is missing or invalid.
    pub fn from_environment() -> Result<NodeSettings, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::VariableNotSet)?;
        NodeSettings::read(Path::new(&path))
    }

    /// Loads a file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or a field is missing or invalid.
    pub fn read(path: &Path) -> Result<NodeSettings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
            path: path.to_owned(),
            cause,
        })?;
        NodeSettings::parse(&text).map_err(|cause| SettingsError::Invalid {
            path: path.to_owned(),
            cause,
        })
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// If a field is missing or invalid.
    pub fn parse(text: &str) -> Result<NodeSettings, InvalidSettings> {
        let settings: NodeSettings = toml::from_str(text)?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), InvalidSettings> {
        let [first_port, last_port] = self.internal_ports;
        if last_port < first_port.saturating_add(InternalPort::COUNT - 1) {
            return Err(InvalidSettings::TooFewInternalPorts);
        }
        if self.heartbeat_ms == 0 {
            return Err(InvalidSettings::ZeroHeartbeatInterval);
        }
        if self.node_name.is_empty() {
            return Err(InvalidSettings::EmptyNodeName);
        }
        Ok(())
    }
}
