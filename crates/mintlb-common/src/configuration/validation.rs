//! All faults of a configuration by the paths of their fields, with the validators of `schematic`.

use super::{
    ConfigurationError, PartialConfiguration, PartialRoute, PartialService, PartialWeightedService,
};
use schematic::{ConfigError, PartialConfig, Path, PathSegment, ValidateError, ValidateResult};
use std::collections::HashSet;

/// Looks for all faults.
pub(super) fn find(json: &[u8]) -> Result<(), ConfigurationError> {
    let partial: PartialConfiguration = serde_json::from_slice(json)
        .map_err(|error| ConfigurationError::Unreadable(error.to_string()))?;
    match partial.validate(&(), true) {
        Ok(()) => Ok(()),
        Err(ConfigError::Validator { error, .. }) => {
            let named = |fault: &ValidateError| format!("{}: {}", fault.path, fault.message);
            Err(ConfigurationError::InvalidFields {
                violations: error.errors.iter().map(named).collect(),
            })
        }
        Err(error) => Err(ConfigurationError::Unreadable(error.to_string())),
    }
}

/// No two routes share host and prefix.
pub(super) fn unique_places(
    routes: &[PartialRoute],
    _: &PartialConfiguration,
    _: &(),
    _: bool,
) -> ValidateResult {
    let mut places = HashSet::new();
    for (i, route) in routes.iter().enumerate() {
        let host = route
            .host_name
            .as_deref()
            .unwrap_or_default()
            .to_ascii_lowercase();
        if !places.insert((host, route.path_prefix.as_deref().unwrap_or_default())) {
            let reason = "another route has this host and prefix";
            return Err(ValidateError::with_path(reason, at(i, "path_prefix")));
        }
    }
    Ok(())
}

/// Every service that a route names is there.
pub(super) fn known_services(
    services: &[PartialService],
    configuration: &PartialConfiguration,
    _: &(),
    _: bool,
) -> ValidateResult {
    let known: HashSet<&str> = services
        .iter()
        .filter_map(|service| service.name.as_deref())
        .collect();
    let routes = configuration.route_list.iter().flatten();
    let unknown = routes
        .flat_map(named_services)
        .find(|name| !known.contains(name));
    match unknown {
        Some(name) => Err(ValidateError::new(format!(
            "a route names {name:?}, which is not there"
        ))),
        None => Ok(()),
    }
}

fn named_services(route: &PartialRoute) -> impl Iterator<Item = &str> {
    let split = route.traffic_split.iter().flatten();
    let single = route
        .target_service
        .as_deref()
        .filter(|_| route.traffic_split.iter().flatten().count() == 0);
    single
        .into_iter()
        .chain(split.filter_map(|part| part.target_service.as_deref()))
}

/// A prefix begins and ends with a slash.
pub(super) fn path_prefix(prefix: &str, _: &PartialRoute, _: &(), _: bool) -> ValidateResult {
    match prefix.starts_with('/') && prefix.ends_with('/') {
        true => Ok(()),
        false => Err(ValidateError::new("has to begin and end with a slash")),
    }
}

/// A timeout is above 0.
pub(super) fn timeout(timeout_ms: &u64, _: &PartialRoute, _: &(), _: bool) -> ValidateResult {
    if *timeout_ms == 0 {
        Err(ValidateError::new("is 0"))
    } else {
        Ok(())
    }
}

/// The weights are numbers from 0 and do not sum to 0.
pub(super) fn sides_with_weight(
    split: &[PartialWeightedService],
    _: &PartialRoute,
    _: &(),
    _: bool,
) -> ValidateResult {
    let weights = || split.iter().map(|part| part.weight.unwrap_or_default());
    if let Some(i) = weights().position(|weight| !weight.is_finite() || weight < 0.0) {
        return Err(ValidateError::with_path("is no share", at(i, "weight")));
    }
    match split.is_empty() || weights().sum::<f64>() > 0.0 {
        true => Ok(()),
        false => Err(ValidateError::new("the weights sum to 0")),
    }
}

fn at(index: usize, field: &str) -> Path {
    Path::new(vec![
        PathSegment::Index(index),
        PathSegment::Key(field.to_string()),
    ])
}
