//! The errors of parsing a configuration. The operator gets their texts with status 400.

use std::fmt::Display;

/// The reason for which a configuration is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigurationError {
    /// It is not JSON of the expected shape.
    #[error("M201 the configuration can't be read: {reason}")]
    Malformed {
        /// The parser's message, with its position in the document.
        reason: String,
    },
    /// A field violates a rule; others may, too.
    #[error("M202 {0}")]
    Invalid(FieldViolation),
    /// All fields that violate a rule.
    #[error("M203 {}", joined(.0))]
    InvalidFields(Vec<FieldViolation>),
}

/// A field of the configuration that violates a rule.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct FieldViolation {
    /// The path of the field, like `route_list[0].timeout_ms`.
    pub field: String,
    /// The rule that it violates.
    pub reason: String,
}

impl ConfigurationError {
    pub(super) fn malformed(error: impl Display) -> ConfigurationError {
        ConfigurationError::Malformed {
            reason: error.to_string(),
        }
    }
}

fn joined(violations: &[FieldViolation]) -> String {
    let texts: Vec<String> = violations.iter().map(FieldViolation::to_string).collect();
    texts.join("; ")
}
