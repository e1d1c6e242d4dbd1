//! Tenants of the configuration in force: which one a request belongs to, by its key.
//!
//! Keys are compared by digest only, and are not forwarded.

use axum::http::header::AUTHORIZATION;
use axum::http::{HeaderMap, HeaderValue};
use mintlb_common::configuration::{ApiKeyDigest, Configuration, Tenant};
use mintlb_quota::messages::RateLimit;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Names the tenant of a request to its worker. What a client sends under this name is removed.
pub const TENANT: &str = "mintlb-tenant";
/// The scheme of `Authorization`.
const SCHEME: &[u8] = b"bearer";

/// A tenant as its requests keep it, also when a later configuration changes it.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantTerms {
    /// Its name.
    pub name: String,
    /// The priority of its requests, in place of their route's.
    pub priority: Option<u32>,
    /// Its limit over all dispatchers together, if it has one.
    pub limit: Option<RateLimit>,
}

/// Why a request is not accepted. The client gets the text with a 401.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthenticationError {
    /// It has no key.
    #[error("M424 Authorization: a key is needed, as Bearer KEY")]
    Missing,
    /// The header is given twice or has another form.
    #[error("M425 Authorization: has to be given once, as Bearer KEY")]
    Malformed,
    /// No tenant has this key.
    #[error("M426 Authorization: no tenant has this key")]
    Unknown,
}

/// Whether requests need a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// They do.
    Protected,
    /// Their route is public. A key that is known tells their tenant all the same.
    Public,
}

impl Access {
    /// Of a route with this `public_access`.
    pub fn of(public_access: bool) -> Access {
        match public_access {
            true => Access::Public,
            false => Access::Protected,
        }
    }
}

/// The tenants of one configuration by the digests of their keys.
#[derive(Debug)]
pub struct TenantTable {
    by_key: FxHashMap<ApiKeyDigest, Arc<TenantTerms>>,
    by_name: FxHashMap<String, Arc<TenantTerms>>,
}

impl TenantTable {
    /// The tenants of a configuration; `None` if it has no list of them, so that no key is needed.
    pub fn new(configuration: &Configuration) -> Option<TenantTable> {
        let tenants = configuration.tenant_list.as_ref()?;
        let (mut by_key, mut by_name) = (FxHashMap::default(), FxHashMap::default());
        for tenant in tenants {
            let terms = Arc::new(TenantTerms::new(tenant, configuration.config_version));
            by_key.extend(tenant.api_keys.iter().map(|key| (*key, terms.clone())));
            by_name.insert(tenant.name.clone(), terms);
        }
        Some(TenantTable { by_key, by_name })
    }

    /// The tenant of this name.
    pub fn named(&self, name: &str) -> Option<&Arc<TenantTerms>> {
        self.by_name.get(name)
    }

    /// The tenant of a request; `None` for one without a known key on a public route.
    ///
    /// # Errors
    ///
    /// If the request needs a key and has none, or not one that is known.
    pub fn identify(
        &self,
        headers: &HeaderMap,
        access: Access,
    ) -> Result<Option<&Arc<TenantTerms>>, AuthenticationError> {
        let known = key(headers).and_then(|key| {
            let digest = ApiKeyDigest::of(key);
            self.by_key.get(&digest).ok_or(AuthenticationError::Unknown)
        });
        match access {
            Access::Protected => known.map(Some),
            Access::Public => Ok(known.ok()),
        }
    }
}

impl TenantTerms {
    fn new(tenant: &Tenant, version: u64) -> TenantTerms {
        let limit = (tenant.rate_per_s > 0.0).then_some(RateLimit {
            version,
            rate: tenant.rate_per_s,
            burst: tenant.burst_limit,
        });
        TenantTerms {
            name: tenant.name.clone(),
            priority: tenant.priority,
            limit,
        }
    }
}

/// Replaces the client's credentials by the name of its tenant. Without tenants, in the configuration by which it was
/// identified, it has no credentials: its headers stay as they are.
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

/// The key that a request carries.
fn key(headers: &HeaderMap) -> Result<&[u8], AuthenticationError> {
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
