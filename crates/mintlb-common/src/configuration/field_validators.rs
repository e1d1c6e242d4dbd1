//! Validation of a submitted configuration with the validators of `schematic`, which report all
//! violations by the paths of their fields.
//!
//! Each validator is attached to its field in [`super::types`] and gets the value, the struct
//! around it, a context (none here) and a flag for the final merge (unused, as there is one source
//! only).

use super::api_key::ApiKeys;
use super::tenant::{
    PartialTenant, first_duplicate, keys_violation, limit_violation, name_violation,
};
use super::types::{PartialConfiguration, PartialRoute, PartialService, PartialWeightedService};
use super::{ConfigurationError, FieldViolation, from_json};
use schematic::{ConfigError, PartialConfig, Path, PathSegment, ValidateError, ValidateResult};
use std::collections::HashSet;

/// Checks all rules and reports all violations.
pub(super) fn check_all(json: &[u8]) -> Result<(), ConfigurationError> {
    let partial: PartialConfiguration = from_json(json)?;
    match partial.validate(&(), true) {
        Ok(()) => Ok(()),
        Err(ConfigError::Validator { error, .. }) => {
            let violations = error.errors.iter().map(to_violation).collect();
            Err(ConfigurationError::InvalidFields(violations))
        }
        Err(error) => Err(ConfigurationError::malformed(error)),
    }
}

fn to_violation(error: &ValidateError) -> FieldViolation {
    FieldViolation {
        field: error.path.to_string(),
        reason: error.message.clone(),
    }
}

/// No two routes share host and prefix.
pub(super) fn unique_locations(
    routes: &[PartialRoute],
    _: &PartialConfiguration,
    _: &(),
    _: bool,
) -> ValidateResult {
    let mut locations = HashSet::new();
    for (index, route) in routes.iter().enumerate() {
        let host = route.host_name.as_deref().unwrap_or_default();
        let prefix = route.path_prefix.as_deref().unwrap_or_default();
        if !locations.insert((host.to_ascii_lowercase(), prefix)) {
            let reason = "another route has this host and prefix";
            return Err(ValidateError::with_path(
                reason,
                element_path(index, "path_prefix"),
            ));
        }
    }
    Ok(())
}

/// Every service that a route names exists.
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
        .flat_map(target_services)
        .find(|name| !known.contains(name));
    match unknown {
        Some(name) => Err(ValidateError::new(format!(
            "a route names {name:?}, which is not there"
        ))),
        None => Ok(()),
    }
}

fn target_services(route: &PartialRoute) -> impl Iterator<Item = &str> {
    let split = route.traffic_split.iter().flatten();
    let single = route
        .target_service
        .as_deref()
        .filter(|_| split.clone().count() == 0);
    let split = split
        .clone()
        .filter_map(|target| target.target_service.as_deref());
    single.into_iter().chain(split)
}

/// A path prefix begins and ends with a slash.
pub(super) fn path_prefix(prefix: &str, _: &PartialRoute, _: &(), _: bool) -> ValidateResult {
    if prefix.starts_with('/') && prefix.ends_with('/') {
        Ok(())
    } else {
        Err(ValidateError::new("has to begin and end with a slash"))
    }
}

/// A timeout is above 0.
pub(super) fn positive_timeout(
    timeout_ms: &u64,
    _: &PartialRoute,
    _: &(),
    _: bool,
) -> ValidateResult {
    if *timeout_ms > 0 {
        Ok(())
    } else {
        Err(ValidateError::new("is 0"))
    }
}

/// The weights are finite and not negative, and their sum is positive.
pub(super) fn valid_weights(
    split: &[PartialWeightedService],
    _: &PartialRoute,
    _: &(),
    _: bool,
) -> ValidateResult {
    let weights = || split.iter().map(|target| target.weight.unwrap_or_default());
    if let Some(index) = weights().position(|weight| !weight.is_finite() || weight < 0.0) {
        return Err(ValidateError::with_path(
            "is no share",
            element_path(index, "weight"),
        ));
    }
    if split.is_empty() || weights().sum::<f64>() > 0.0 {
        Ok(())
    } else {
        Err(ValidateError::new("the weights sum to 0"))
    }
}

/// The name of a tenant can be sent as the value of a header.
pub(super) fn tenant_name(name: &str, _: &PartialTenant, _: &(), _: bool) -> ValidateResult {
    result_of(name_violation(name))
}

/// No key of a tenant is empty.
pub(super) fn tenant_keys(keys: &ApiKeys, _: &PartialTenant, _: &(), _: bool) -> ValidateResult {
    result_of(keys_violation(keys))
}

/// A rate or a burst of a tenant is a number of requests.
pub(super) fn tenant_limit(requests: &f64, _: &PartialTenant, _: &(), _: bool) -> ValidateResult {
    result_of(limit_violation(*requests))
}

/// No two tenants share a name or a key, and no tenant has a key twice.
pub(super) fn unique_tenants(
    tenants: &[PartialTenant],
    _: &PartialConfiguration,
    _: &(),
    _: bool,
) -> ValidateResult {
    let named = tenants.iter().map(|tenant| {
        let name = tenant.name.as_deref().unwrap_or_default();
        (name, tenant.api_keys.as_ref())
    });
    match first_duplicate(named) {
        Some(duplicate) => Err(ValidateError::with_path(
            duplicate.reason,
            element_path(duplicate.index, duplicate.field),
        )),
        None => Ok(()),
    }
}

fn result_of(violation: Option<&'static str>) -> ValidateResult {
    match violation {
        Some(reason) => Err(ValidateError::new(reason)),
        None => Ok(()),
    }
}

/// The path of a field of a list's element, relative to the list.
fn element_path(index: usize, field: &str) -> Path {
    Path::new(vec![
        PathSegment::Index(index),
        PathSegment::Key(field.to_string()),
    ])
}
