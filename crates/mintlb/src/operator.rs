//! The operator's own file: one TOML file, a table for each subsystem. What it does not name costs nothing.

use mintlb_beanstalkd::table::Table;
use mintlb_rate_limit::config::Config as FleetConfig;
use serde::Deserialize;
use std::ops::Range;

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    pub beanstalkd: Option<Table>,
    pub fleet: Option<FleetConfig>,
}

impl Operator {
    /// Without what may change while it serves.
    pub fn lasting(&self) -> Operator {
        let mut lasting = self.clone();
        lasting
            .fleet
            .iter_mut()
            .for_each(|fleet| fleet.budgets.clear());
        lasting
    }

    pub fn read(path: &str) -> Result<Operator, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("{path} cannot be read: {e}"))?;
        Operator::parse(&text).map_err(|e| format!("{path}: {e}"))
    }

    /// An error names the field by its path, the line, and what would be right.
    pub fn parse(text: &str) -> Result<Operator, String> {
        let line = |span: Option<Range<usize>>| {
            let before = span.and_then(|span| text.get(..span.start));
            before.map_or_else(String::new, |before| {
                format!("line {}: ", before.matches('\n').count() + 1)
            })
        };
        let read = toml::Deserializer::parse(text)
            .map_err(|e| format!("{}{}", line(e.span()), e.message()))?;
        serde_path_to_error::deserialize(read).map_err(|e| {
            let (path, inner) = (e.path().to_string(), e.into_inner());
            format!("{}{path}: {}", line(inner.span()), inner.message())
        })
    }
}
