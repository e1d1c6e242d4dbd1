//! The operator's configuration: routes, services and limits.
//!
//! A configuration is parsed in one of two ways, which accept the same documents:
//!
//! - [`Configuration::parse`] reports the first violation. Every dispatcher parses every
//!   configuration, so it is the fast one.
//! - [`Configuration::parse_from_operator`] reports all violations by the paths of their fields,
//!   with the validators of `schematic`, at about three times the cost. Controllers use it for what
//!   an operator submits.

mod error;
mod field_validators;
mod lookup;
mod types;
mod validation;

pub use error::{ConfigurationError, FieldViolation};
pub use types::{ClientLimits, Configuration, Engine, Route, RouteType, Service, WeightedService};

impl Configuration {
    /// Parses and validates a configuration in JSON.
    ///
    /// # Errors
    ///
    /// [`ConfigurationError::Malformed`] if it is not JSON of the expected shape,
    /// [`ConfigurationError::Invalid`] with the first field that violates a rule.
    pub fn parse(json: &[u8]) -> Result<Configuration, ConfigurationError> {
        let configuration: Configuration =
            serde_json::from_slice(json).map_err(ConfigurationError::malformed)?;
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
