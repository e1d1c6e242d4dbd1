//! Tenants of a configuration, and authentication of requests by a tenant's key.
//!
//! Only digests of keys are compared, and keys are not forwarded to workers.

use axum::http::header::AUTHORIZATION;
use axum::http::{HeaderMap, HeaderValue};
use mintlb_common::configuration::{ApiKeyDigest, Configuration, Tenant};
use mintlb_quota::messages::RateLimit;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Header that names a request's tenant to its worker. A header of this name from the client is removed.
pub const TENANT: &str = "mintlb-tenant";
/// Authentication scheme in the `Authorization` header.
const SCHEME: &[u8] = b"bearer";

/// Settings of a tenant. A request keeps those that were in force when it was read, also when a later configuration
/// changes them.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// The tenant's name.
    pub name: String,
    /// Priority of the tenant's requests, which replaces that of their route.
    pub priority: Option<u32>,
    /// Rate limit over all dispatchers together; `None` if requests are not limited.
    pub limit: Option<RateLimit>,
}

/// Why a request is not authenticated. The client gets the text with a 401.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthenticationError {
    /// The request has no key.
    #[error("M424 Authorization: a key is needed, as Bearer KEY")]
    Missing,
    /// The header is not a single one of the form `Bearer KEY`.
    #[error("M425 Authorization: has to be given once, as Bearer KEY")]
    Malformed,
    /// No tenant has this key.
    #[error("M426 Authorization: no tenant has this key")]
    Unknown,
}

/// Whether requests of a route need a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Requests need the key of a tenant.
    Protected,
    /// Requests need no key. A request with a known key still belongs to the key's tenant.
    Public,
}

impl Access {
    /// The access of a route with this `public_access` setting.
    pub fn of(public_access: bool) -> Access {
        match public_access {
            true => Access::Public,
            false => Access::Protected,
        }
    }
}

/// The tenants of one configuration, by the digests of their keys and by name.
#[derive(Debug)]
pub struct TenantTable {
    by_key: FxHashMap<ApiKeyDigest, Arc<TenantSettings>>,
    by_name: FxHashMap<String, Arc<TenantSettings>>,
}

impl TenantTable {
    /// Builds the table of a configuration; `None` if it has no tenant list, so that no request needs a key.
    pub fn new(configuration: &Configuration) -> Option<TenantTable> {
        let tenants = configuration.tenant_list.as_ref()?;
        let (mut by_key, mut by_name) = (FxHashMap::default(), FxHashMap::default());
        for tenant in tenants {
            let settings = Arc::new(TenantSettings::new(tenant, configuration.config_version));
            by_key.extend(tenant.api_keys.iter().map(|key| (*key, settings.clone())));
            by_name.insert(tenant.name.clone(), settings);
        }
        Some(TenantTable { by_key, by_name })
    }

    /// The tenant of this name.
    pub fn get(&self, name: &str) -> Option<&Arc<TenantSettings>> {
        self.by_name.get(name)
    }

    /// The tenant of a request; `None` for one without a known key on a public route.
    ///
    /// # Errors
    ///
    /// If the request needs a key and has none, or an unknown one.
    pub fn identify(
        &self,
        headers: &HeaderMap,
        access: Access,
    ) -> Result<Option<&Arc<TenantSettings>>, AuthenticationError> {
        let known = bearer_key(headers).and_then(|key| {
            let digest = ApiKeyDigest::of(key);
            self.by_key.get(&digest).ok_or(AuthenticationError::Unknown)
        });
        match access {
            Access::Protected => known.map(Some),
            Access::Public => Ok(known.ok()),
        }
    }
}

impl TenantSettings {
    fn new(tenant: &Tenant, version: u64) -> TenantSettings {
        let limit = (tenant.rate_per_s > 0.0).then_some(RateLimit {
            version,
            rate: tenant.rate_per_s,
            burst: tenant.burst_limit,
        });
        TenantSettings {
            name: tenant.name.clone(),
            priority: tenant.priority,
            limit,
        }
    }
}

/// Replaces the client's credentials by the name of its tenant. Leaves the headers as they are if the configuration by
/// which the request was authenticated has no tenants, as the headers then are no credentials for the dispatcher.
pub fn replace_credentials(headers: &mut HeaderMap, has_tenants: bool, tenant: Option<&str>) {
    if !has_tenants && tenant.is_none() {
        return;
    }
    headers.remove(AUTHORIZATION);
    headers.remove(TENANT);
    if let Some(name) = tenant.and_then(|name| HeaderValue::from_str(name).ok()) {
        headers.insert(TENANT, name);
    }
}

/// The key in a request's `Authorization` header.
fn bearer_key(headers: &HeaderMap) -> Result<&[u8], AuthenticationError> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().ok_or(AuthenticationError::Missing)?;
    if values.next().is_some() {
        return Err(AuthenticationError::Malformed);
    }
    let (scheme, key) = value
        .as_bytes()
        .split_at_checked(SCHEME.len())
        .ok_or(AuthenticationError::Malformed)?;
    let key = key.strip_prefix(b" ").map(<[u8]>::trim_ascii);
    match key {
        Some(key) if scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty() => Ok(key),
        _ => Err(AuthenticationError::Malformed),
    }
}
