//! The operator's configuration: routes, services and limits.
//!
//! A configuration is parsed in one of two ways, which accept the same documents:
//!
//! - [`Configuration::parse`] reports the first violation. Every dispatcher parses every
//!   configuration, so it is the fast one.
//! - [`Configuration::parse_from_operator`] reports all violations by the paths of their fields,
//!   with the validators of `schematic`, at about three times the cost. Controllers use it for what
//!   an operator submits.

mod api_key;
mod error;
mod field_validators;
mod lookup;
mod tenant;
mod types;
mod validation;

pub use api_key::{ApiKeyDigest, ApiKeys};
pub use error::{ConfigurationError, FieldViolation};
pub use tenant::Tenant;
pub use types::{ClientLimits, Configuration, Engine, Route, RouteType, Service, WeightedService};

use serde::de::DeserializeOwned;

/// Parses JSON; an error names the field.
fn from_json<T: DeserializeOwned>(json: &[u8]) -> Result<T, ConfigurationError> {
    let mut deserializer = serde_json::Deserializer::from_slice(json);
    let parsed = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(ConfigurationError::malformed)?;
    deserializer.end().map_err(ConfigurationError::malformed)?;
    Ok(parsed)
}

impl Configuration {
    /// Parses and validates a configuration in JSON.
    ///
    /// # Errors
    ///
    /// [`ConfigurationError::Malformed`] if it is not JSON of the expected shape,
    /// [`ConfigurationError::Invalid`] with the first field that violates a rule.
    pub fn parse(json: &[u8]) -> Result<Configuration, ConfigurationError> {
        let configuration: Configuration = from_json(json)?;
        validation::check(&configuration)?;
        Ok(configuration)
    }

    /// Parses and validates a configuration that an operator submits.
    ///
    /// # Errors
    ///
    /// [`ConfigurationError::Malformed`] if it is not JSON of the expected shape,
    /// [`ConfigurationError::InvalidFields`] with all fields that violate a rule.
    pub fn parse_from_operator(json: &[u8]) -> Result<Configuration, ConfigurationError> {
        field_validators::check_all(json)?;
        Configuration::parse(json)
    }
}
