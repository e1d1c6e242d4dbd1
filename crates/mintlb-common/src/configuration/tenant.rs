//! The tenants of a configuration: their keys, priority and rate limit, and the rules for them.

use super::api_key::{ApiKeyDigest, ApiKeys};
use super::field_validators::{tenant_keys, tenant_limit, tenant_name};
use schematic::Config;
use serde::Deserialize;
use std::collections::HashSet;

/// The longest name of a tenant, in bytes: it is sent with each of its requests.
const MAX_NAME_BYTES: usize = 256;
/// The largest rate or burst, in requests: beyond it a limit limits nothing.
const MAX_REQUESTS: f64 = 1e9;

/// A customer whose clients identify themselves by one of its keys.
#[derive(Clone, Config, Debug, Deserialize, PartialEq)]
#[config(allow_unknown_fields)]
pub struct Tenant {
    /// The name that workers get in `Mintlb-Tenant`.
    #[setting(validate = tenant_name)]
    pub name: String,
    /// Digests of its keys.
    #[serde(default)]
    #[setting(validate = tenant_keys)]
    pub api_keys: ApiKeys,
    /// The priority of its requests, in place of their route's; 0 is the highest.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Requests a second over all dispatchers together; 0 is unlimited.
    #[serde(default)]
    #[setting(validate = tenant_limit)]
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once.
    #[serde(default)]
    #[setting(validate = tenant_limit)]
    pub burst_limit: f64,
}

/// Why a tenant's name is invalid.
pub(super) fn name_violation(name: &str) -> Option<&'static str> {
    let is_printable = name.bytes().all(|byte| matches!(byte, b' '..=b'~'));
    let is_trimmed = name.trim_matches(' ') == name;
    let is_name = !name.is_empty() && name.len() <= MAX_NAME_BYTES && is_printable && is_trimmed;
    (!is_name).then_some("has to be 1 to 256 printable ASCII characters, without a space at an end")
}

/// Why a tenant's keys are invalid, whatever other tenants have.
pub(super) fn keys_violation(keys: &ApiKeys) -> Option<&'static str> {
    let empty = ApiKeyDigest::of(b"");
    keys.iter()
        .any(|key| *key == empty)
        .then_some("a key is empty")
}

/// Why a rate or a burst is invalid.
pub(super) fn limit_violation(requests: f64) -> Option<&'static str> {
    let is_limit = (0.0..=MAX_REQUESTS).contains(&requests);
    (!is_limit).then_some("has to be from 0 to 1e9")
}

/// A name or key of a list of tenants that is there twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Duplicate {
    /// Index of the tenant in the list that has it again.
    pub(super) index: usize,
    /// The field, relative to the tenant.
    pub(super) field: &'static str,
    /// The rule.
    pub(super) reason: &'static str,
}

/// The first name or key that is there twice, among all tenants of a list.
pub(super) fn first_duplicate<'a>(
    tenants: impl Iterator<Item = (&'a str, Option<&'a ApiKeys>)>,
) -> Option<Duplicate> {
    let (mut names, mut digests) = (HashSet::new(), HashSet::new());
    tenants.enumerate().find_map(|(index, (name, keys))| {
        let duplicate = |field, reason| Duplicate {
            index,
            field,
            reason,
        };
        if !names.insert(name) {
            return Some(duplicate("name", "another tenant has this name"));
        }
        let mut keys = keys.into_iter().flat_map(ApiKeys::iter);
        let is_new = keys.all(|key| digests.insert(*key));
        (!is_new).then(|| duplicate("api_keys", "a key is given twice"))
    })
}
