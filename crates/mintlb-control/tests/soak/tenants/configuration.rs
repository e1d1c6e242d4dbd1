//! The configurations of a run: tenants with their keys and limits, and when each was in force.

use crate::operator::{HOST, IDEMPOTENT_PREFIX};
use crate::workers::{BATCH_PREFIX, KEY_MARKER, SERVICE};
use serde_json::json;
use std::collections::HashSet;
use std::time::Duration;
use tokio::time::Instant;

/// A change is in force everywhere this long after its acknowledgement.
pub const SPREAD_TIME: Duration = Duration::from_millis(2500);
/// Names and rates of the tenants. The burst equals the rate, the priority is the position.
pub const TENANTS: [(&str, u32); 4] = [("violet", 20), ("amber", 60), ("slate", 5), ("greedy", 10)];
/// The first tenants submit batch jobs. Each keeps its first key throughout.
pub const JOB_TENANTS: usize = 2;
/// The tenant that is far over its limit in a part of the run.
pub const GREEDY: usize = 3;

/// A tenant of a configuration.
#[derive(Clone, Debug)]
pub struct TenantSettings {
    pub name: &'static str,
    pub rate: u32,
    pub keys: Vec<String>,
}

/// The tenants of a configuration.
#[derive(Clone, Debug)]
pub struct TenantList(pub Vec<TenantSettings>);

impl TenantList {
    /// The tenants that a run begins with.
    pub fn first(seed: u64) -> TenantList {
        let tenants = TENANTS.iter().map(|(name, rate)| TenantSettings {
            name,
            rate: *rate,
            keys: vec![new_key(seed, name, 0), new_key(seed, name, 1)],
        });
        TenantList(tenants.collect())
    }

    /// The tenant that has a key.
    pub fn holder(&self, key: &str) -> Option<&'static str> {
        let mut tenants = self.0.iter();
        let holder = tenants.find(|tenant| tenant.keys.iter().any(|known| known == key));
        holder.map(|tenant| tenant.name)
    }

    /// The rate of a tenant.
    fn rate(&self, name: &str) -> u32 {
        let tenant = self.0.iter().find(|tenant| tenant.name == name);
        tenant.map_or(0, |tenant| tenant.rate)
    }

    /// The text of the configuration with these tenants.
    pub fn text(&self, version: u64) -> String {
        let route = |name: &str, prefix: &str, kind: &str| {
            json!({
                "name": name, "host_name": HOST, "path_prefix": prefix, "route_type": kind,
                "timeout_ms": 5000, "target_latency_ms": 500, "target_service": SERVICE,
                "max_attempts": 3, "completion_target_ms": 10000, "retention_s": 600,
            })
        };
        let tenants = self.0.iter().enumerate().map(|(priority, tenant)| {
            json!({
                "name": tenant.name, "api_keys": tenant.keys, "priority": priority,
                "rate_per_s": tenant.rate, "burst_limit": tenant.rate,
            })
        });
        json!({
            "config_version": version,
            "route_list": [
                route("live", IDEMPOTENT_PREFIX, "idempotent"),
                route("batch", BATCH_PREFIX, "batch"),
            ],
            "service_list": [{
                "name": SERVICE, "health_check_path": "/health", "max_connections": 200,
                "protocol": "h1", "tls_config": false,
            }],
            "tenant_list": tenants.collect::<Vec<_>>(),
        })
        .to_string()
    }
}

/// A key that no other call with these numbers gives.
pub fn new_key(seed: u64, tenant: &str, number: usize) -> String {
    format!("{KEY_MARKER}-{seed}-{tenant}-{number}")
}

/// A configuration that was sent.
pub struct Version {
    pub tenants: TenantList,
    /// What it changes.
    pub change: String,
    pub sent: Instant,
    pub acknowledged: Option<Instant>,
}

/// All configurations in their order. Each is sent after the one before was acknowledged.
#[derive(Default)]
pub struct History {
    pub versions: Vec<Version>,
    /// All keys that any configuration had.
    pub keys: Vec<String>,
}

impl History {
    /// Notes a configuration that is about to be sent.
    pub fn on_sent(&mut self, tenants: TenantList, change: String) {
        for key in tenants.0.iter().flat_map(|tenant| &tenant.keys) {
            if !self.keys.contains(key) {
                self.keys.push(key.clone());
            }
        }
        self.versions.push(Version {
            tenants,
            change,
            sent: Instant::now(),
            acknowledged: None,
        });
    }

    /// The newest configuration that was acknowledged.
    pub fn newest(&self) -> &TenantList {
        let mut versions = self.versions.iter().rev();
        let newest = versions.find(|version| version.acknowledged.is_some());
        &newest.expect("one is acknowledged").tenants
    }

    /// The configurations that were in force or being changed at any time from `from` to `to`.
    fn in_force(&self, from: Instant, to: Instant) -> impl Iterator<Item = &TenantList> {
        let is_superseded = move |position: usize| {
            let mut later = self.versions[position + 1..].iter();
            later.any(|version| version.acknowledged.is_some_and(|at| at < from))
        };
        let versions = self.versions.iter().enumerate();
        versions
            .filter(move |(position, version)| version.sent <= to && !is_superseded(*position))
            .map(|(_, version)| &version.tenants)
    }

    /// The tenants that had a key at any time from `from` to `to`; `None` is among them if nobody
    /// had it at some time.
    pub fn holders(
        &self,
        key: Option<&str>,
        from: Instant,
        to: Instant,
    ) -> HashSet<Option<&'static str>> {
        let lists = self.in_force(from, to);
        lists
            .map(|tenants| key.and_then(|key| tenants.holder(key)))
            .collect()
    }

    /// The highest rate of a tenant at any time from `from` to `to`.
    pub fn highest_rate(&self, tenant: &str, from: Instant, to: Instant) -> u32 {
        let lists = self.in_force(from, to);
        lists.map(|tenants| tenants.rate(tenant)).max().unwrap_or(0)
    }
}
