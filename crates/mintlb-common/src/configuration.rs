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
mod route_id;
mod tenant;
mod types;
mod validation;

pub use api_key::{ApiKeyDigest, ApiKeys};
pub use error::{ConfigurationError, FieldViolation};
pub use route_id::{RouteId, escaped};
pub use tenant::Tenant;
pub use types::{ClientLimits, Configuration, Engine, Route, RouteType, Service, WeightedService};

use serde::de::DeserializeOwned;

/// The path of the tenants in a document.
const TENANTS: &str = "tenant_list";

/// Parses JSON; an error names the field.
fn from_json<T: DeserializeOwned>(json: &[u8]) -> Result<T, ConfigurationError> {
    let mut deserializer = serde_json::Deserializer::from_slice(json);
    let parsed = serde_path_to_error::deserialize(&mut deserializer).map_err(malformed)?;
    deserializer.end().map_err(ConfigurationError::malformed)?;
    Ok(parsed)
}

/// The parser quotes values, and a value of a tenant may have been meant as a key.
fn malformed(error: serde_path_to_error::Error<serde_json::Error>) -> ConfigurationError {
    let path = error.path().to_string();
    match path.starts_with(TENANTS) && error.inner().is_data() {
        true => ConfigurationError::malformed(format!("{path}: is missing or has another type")),
        false => ConfigurationError::malformed(error),
    }
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
