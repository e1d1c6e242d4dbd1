//! Validation of a parsed configuration, up to the first violation.
//!
//! The rules are those of [`super::field_validators`]: the tests check that both accept the same
//! documents.

use super::tenant::{first_duplicate, keys_violation, limit_violation, name_violation};
use super::{Configuration, ConfigurationError, FieldViolation, Route};
use std::collections::HashSet;

/// A violated rule of a route: the field's name and the reason.
type RouteViolation = (&'static str, &'static str);

/// Checks all rules.
pub(super) fn check(configuration: &Configuration) -> Result<(), ConfigurationError> {
    let services: HashSet<&str> = configuration
        .service_list
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    let mut locations = HashSet::new();
    for (index, route) in configuration.route_list.iter().enumerate() {
        let location = (
            route.host_name.to_ascii_lowercase(),
            route.path_prefix.as_str(),
        );
        let is_unique = locations.insert(location);
        if let Some((field, reason)) = route_violation(route, is_unique, &services) {
            return Err(ConfigurationError::Invalid(FieldViolation {
                field: format!("route_list[{index}].{field}"),
                reason: reason.to_string(),
            }));
        }
    }
    match tenant_violation(configuration) {
        Some(violation) => Err(ConfigurationError::Invalid(violation)),
        None => Ok(()),
    }
}

fn tenant_violation(configuration: &Configuration) -> Option<FieldViolation> {
    let tenants = || configuration.tenant_list.iter().flatten();
    let violation = |index: usize, field: &str, reason: &str| FieldViolation {
        field: format!("tenant_list[{index}].{field}"),
        reason: reason.to_string(),
    };
    for (index, tenant) in tenants().enumerate() {
        let checks = [
            ("name", name_violation(&tenant.name)),
            ("api_keys", keys_violation(&tenant.api_keys)),
            ("rate_per_s", limit_violation(tenant.rate_per_s)),
            ("burst_limit", limit_violation(tenant.burst_limit)),
        ];
        for (field, reason) in checks {
            if let Some(reason) = reason {
                return Some(violation(index, field, reason));
            }
        }
    }
    let named = tenants().map(|tenant| (tenant.name.as_str(), Some(&tenant.api_keys)));
    let duplicate = first_duplicate(named)?;
    Some(violation(
        duplicate.index,
        duplicate.field,
        duplicate.reason,
    ))
}

fn route_violation(
    route: &Route,
    is_unique: bool,
    services: &HashSet<&str>,
) -> Option<RouteViolation> {
    if !is_unique {
        return Some(("path_prefix", "another route has this host and prefix"));
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Some(("path_prefix", "has to begin and end with a slash"));
    }
    if route.timeout_ms == Some(0) {
        return Some(("timeout_ms", "is 0"));
    }
    if route
        .targets()
        .any(|(service, _)| !services.contains(service))
    {
        return Some(("target_service", "there is no such service"));
    }
    if !has_valid_weights(route) {
        return Some(("traffic_split", "the weights sum to 0"));
    }
    None
}

/// Whether all weights are finite and not negative, and their sum is positive; a route without any
/// target has none.
fn has_valid_weights(route: &Route) -> bool {
    let is_valid = |weight: f64| weight.is_finite() && weight >= 0.0;
    let are_valid = route
        .traffic_split
        .iter()
        .all(|target| is_valid(target.weight));
    are_valid && route.targets().map(|(_, weight)| weight).sum::<f64>() > 0.0
}
