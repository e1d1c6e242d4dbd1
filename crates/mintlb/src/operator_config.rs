//! The operator's configuration: one TOML file with a table for each optional subsystem. A subsystem without a table is
//! off.

use mintlb_beanstalkd::table::Table;
use mintlb_rate_limit::config::Config as FleetConfig;
use serde::Deserialize;
use std::ops::Range;

/// The contents of the operator's configuration file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    /// The beanstalkd front end.
    pub beanstalkd: Option<Table>,
    /// The rate limits shared by all processes of the fleet.
    pub fleet: Option<FleetConfig>,
}

impl OperatorConfig {
    /// The settings that take effect only at a restart: all but the fleet's budgets.
    pub fn restart_only(&self) -> OperatorConfig {
        let mut restart_only = self.clone();
        restart_only
            .fleet
            .iter_mut()
            .for_each(|fleet| fleet.budgets.clear());
        restart_only
    }

    /// Reads and parses the file at `path`.
    pub fn read(path: &str) -> Result<OperatorConfig, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("{path} cannot be read: {e}"))?;
        OperatorConfig::parse(&text).map_err(|e| format!("{path}: {e}"))
    }

    /// Parses the file's text. An error names the line, the path of the field, and what was expected.
    pub fn parse(text: &str) -> Result<OperatorConfig, String> {
        let line = |span: Option<Range<usize>>| {
            let before = span.and_then(|span| text.get(..span.start));
            before.map_or_else(String::new, |before| {
                format!("line {}: ", before.matches('\n').count() + 1)
            })
        };
        let deserializer = toml::Deserializer::parse(text)
            .map_err(|e| format!("{}{}", line(e.span()), e.message()))?;
        serde_path_to_error::deserialize(deserializer).map_err(|e| {
            let (path, inner) = (e.path().to_string(), e.into_inner());
            format!("{}{path}: {}", line(inner.span()), inner.message())
        })
    }
}
