//! The routing table: maps a request's host and path to a route, a service and a project type.
//!
//! A table is built from one configuration and replaced atomically, so that no request sees a mix of two configurations.

use crate::tenants::{Access, AuthenticationError, TenantSettings, TenantTable};
use axum::http::HeaderMap;
use mintlb_common::configuration::{Configuration, Route, RouteId, RouteType, escaped};
use mintlb_core::project_types::NamedProjectType;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Settings of a route. A request keeps those that were in force when it was read, also when a later configuration
/// changes them.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSettings {
    /// The route's identity. Its name is none: other routes may have the same.
    pub id: RouteId,
    /// What log lines call the route: its name, followed by its identity if other routes have the same name.
    pub label: String,
    /// Determines whether requests are idempotent and whether their responses are streams.
    pub route_type: RouteType,
    /// Whether a broken stream may be resumed at another worker, after the last event that the client has.
    pub resumable: bool,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum number of workers that one request may be sent to.
    pub max_attempts: u32,
    /// Maximum duration of a request in seconds.
    pub timeout: f64,
    /// Latency target in seconds; 0 if the route has none.
    pub target_latency: f64,
    /// Target for the time between two events of a stream, in seconds.
    pub max_event_gap: Option<f64>,
    /// Whether requests with a long prompt prefer a worker that is likely to have its prefix cached.
    pub session_affinity: bool,
    /// Whether requests are accepted without a tenant's key.
    pub public_access: bool,
    /// Priority of requests whose tenant sets none; 0 is the highest.
    pub priority: u32,
}

/// The routing decision for one request.
#[derive(Clone, Debug)]
pub struct RouteTarget {
    /// The settings of the route that matches it.
    pub route: Arc<RouteSettings>,
    /// Name of the service, chosen at random by the route's traffic split.
    pub service: Arc<str>,
    /// The tenant's priority, or the route's if the tenant has none.
    pub priority: u32,
    /// Number of the project type, by which the scheduler weighs the request.
    pub project_type: usize,
}

/// All routes of one configuration.
#[derive(Debug)]
pub struct RoutingTable {
    /// The configuration that the table was built from.
    pub configuration: Arc<Configuration>,
    /// The tenants; `None` if the configuration has no tenant list, so that no request needs a key.
    pub tenants: Option<TenantTable>,
    hosts: FxHashMap<String, Vec<RouteEntry>>,
    /// Numbers of project types by route, service and priority.
    project_types: FxHashMap<(RouteId, String, u32), usize>,
    services: FxHashMap<String, WorkerLimits>,
}

/// Limits of each worker of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerLimits {
    /// Maximum number of connections that a worker accepts from all callers together; 0 means no limit.
    pub max_connections: u32,
    /// Capacity of a worker's KV cache in tokens; `None` if the service runs no language model.
    pub kv_cache_tokens: Option<u64>,
}

#[derive(Debug)]
struct RouteEntry {
    path_prefix: String,
    index: usize,
    settings: Arc<RouteSettings>,
    shares: Vec<ServiceShare>,
}

/// A service's share of a route's traffic.
#[derive(Debug)]
struct ServiceShare {
    /// Sum of the weights up to and including this one, over the sum of all weights.
    cumulative_weight: f64,
    service: Arc<str>,
    /// Numbers of project types by priority.
    types: Vec<(u32, usize)>,
}

impl ServiceShare {
    /// The project type for this priority; `None` if no request of the route has it.
    fn project_type(&self, priority: u32) -> Option<usize> {
        let mut types = self.types.iter();
        let found = types.find(|(known, _)| *known == priority);
        found.map(|(_, number)| *number)
    }
}

/// The name of the project type of a route, a service and a priority: `ROUTE@SERVICE`, followed by the priority unless it
/// is the route's own. The route stands there by its identity. The name is unambiguous, as `@` and space are escaped in its
/// parts.
pub fn project_type_name(route: &Route, service: &str, priority: u32) -> String {
    let (id, service) = (route.id(), escaped(service, &[]));
    match priority == route.priority {
        true => format!("{id}@{service}"),
        false => format!("{id}@{service} {priority}"),
    }
}

/// The priorities that requests of a route may have: the route's own and, unless the route is public, those of the
/// tenants.
pub fn priorities(configuration: &Configuration, route: &Route) -> BTreeSet<u32> {
    let tenants = configuration.tenant_list.iter().flatten();
    let tenants = tenants.filter(|_| !route.public_access);
    let priorities = tenants.filter_map(|tenant| tenant.priority);
    priorities.chain([route.priority]).collect()
}

/// Maximum duration in seconds of a request whose route has no `timeout_ms`.
const DEFAULT_TIMEOUT: f64 = 60.0;

impl RouteSettings {
    fn new(route: &Route, is_name_unique: bool) -> RouteSettings {
        let id = route.id();
        RouteSettings {
            label: match is_name_unique {
                true => route.name.clone(),
                false => format!("{} ({id})", route.name),
            },
            id,
            route_type: route.route_type,
            resumable: route.resumable || route.route_type == RouteType::Batch,
            idempotent: route.is_idempotent(),
            max_attempts: route.max_attempts.max(1),
            timeout: route
                .timeout_ms
                .map_or(DEFAULT_TIMEOUT, |ms| ms as f64 / 1e3),
            target_latency: route.target_latency_ms as f64 / 1e3,
            max_event_gap: route.max_event_gap_ms.map(|ms| ms / 1e3),
            session_affinity: route.session_affinity,
            public_access: route.public_access,
            priority: route.priority,
        }
    }
}

impl RoutingTable {
    /// Builds the table; `types` are the project types with the numbers that the reducer assigned.
    pub fn new(configuration: Arc<Configuration>, types: &[NamedProjectType]) -> RoutingTable {
        let by_name: FxHashMap<&str, usize> =
            types.iter().map(|t| (t.name.as_str(), t.number)).collect();
        let mut hosts: FxHashMap<String, Vec<RouteEntry>> = FxHashMap::default();
        let mut project_types = FxHashMap::default();
        let mut routes_by_name: FxHashMap<&str, usize> = FxHashMap::default();
        for route in &configuration.route_list {
            *routes_by_name.entry(&route.name).or_default() += 1;
        }
        for (index, route) in configuration.route_list.iter().enumerate() {
            let sum: f64 = route.targets().map(|(_, weight)| weight).sum();
            let priorities = priorities(&configuration, route);
            let (mut weight_so_far, mut shares) = (0.0, Vec::new());
            for (service, weight) in route.targets().filter(|(_, weight)| *weight > 0.0) {
                weight_so_far += weight / sum;
                let numbered = priorities.iter().filter_map(|priority| {
                    let name = project_type_name(route, service, *priority);
                    Some((*priority, *by_name.get(name.as_str())?))
                });
                let types: Vec<(u32, usize)> = numbered.collect();
                if types.is_empty() {
                    continue;
                }
                for (priority, number) in &types {
                    let key = (route.id(), service.to_string(), *priority);
                    project_types.insert(key, *number);
                }
                shares.push(ServiceShare {
                    cumulative_weight: weight_so_far,
                    service: Arc::from(service),
                    types,
                });
            }
            let is_name_unique = routes_by_name[route.name.as_str()] == 1;
            let settings = Arc::new(RouteSettings::new(route, is_name_unique));
            let entry = RouteEntry {
                path_prefix: route.path_prefix.clone(),
                index,
                settings,
                shares,
            };
            hosts
                .entry(route.host_name.to_ascii_lowercase())
                .or_default()
                .push(entry);
        }
        for entries in hosts.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.path_prefix.len()));
        }
        let services = configuration.service_list.iter().map(|service| {
            let kv_cache_tokens = service.engine.as_ref().map(|engine| engine.kv_cache_tokens);
            (
                service.name.clone(),
                WorkerLimits {
                    max_connections: service.max_connections,
                    kv_cache_tokens,
                },
            )
        });
        RoutingTable {
            services: services.collect(),
            tenants: TenantTable::new(&configuration),
            configuration,
            hosts,
            project_types,
        }
    }

    /// Limits of each worker of this service; no limits if the service is unknown.
    pub fn service(&self, name: &str) -> WorkerLimits {
        self.services.get(name).copied().unwrap_or_default()
    }

    fn entries(&self, host: &str) -> &[RouteEntry] {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let entries = self.hosts.get(name);
        entries
            .or_else(|| self.hosts.get(&name.to_ascii_lowercase()))
            .map_or(&[], Vec::as_slice)
    }

    fn entry(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let mut entries = self.entries(host).iter();
        entries.find(|entry| path.starts_with(&entry.path_prefix))
    }

    /// The tenant of a request; `None` if there are no tenants, or for a request without a known key on a public route.
    ///
    /// # Errors
    ///
    /// If the request needs a key and has none, or an unknown one.
    pub fn identify(
        &self,
        headers: &HeaderMap,
        access: Access,
    ) -> Result<Option<&Arc<TenantSettings>>, AuthenticationError> {
        match &self.tenants {
            Some(tenants) => tenants.identify(headers, access),
            None => Ok(None),
        }
    }

    /// Whether the host has a public batch route, so that its batch jobs may have been submitted without a key.
    pub fn has_public_batch_route(&self, host: &str) -> bool {
        self.entries(host).iter().any(|entry| {
            entry.settings.public_access && entry.settings.route_type == RouteType::Batch
        })
    }

    /// The route of a request, by the longest matching path prefix: its index in the configuration's `route_list`, and its
    /// settings.
    pub fn route(&self, host: &str, path: &str) -> Option<(usize, &Arc<RouteSettings>)> {
        self.entry(host, path)
            .map(|entry| (entry.index, &entry.settings))
    }

    /// The routing decision for a request. `draw`, a random number from 0 up to 1, selects one of the services that share
    /// the route; if that has no worker, the first service with workers is taken. `priority` is the tenant's, if it has
    /// one.
    pub fn target(
        &self,
        host: &str,
        path: &str,
        priority: Option<u32>,
        draw: f64,
        has_workers: impl Fn(&str) -> bool,
    ) -> Option<RouteTarget> {
        let entry = self.entry(host, path)?;
        let shares = &entry.shares;
        let drawn = shares
            .iter()
            .find(|share| draw < share.cumulative_weight)
            .or(shares.last())?;
        let others = || shares.iter().find(|share| has_workers(&share.service));
        let is_usable = shares.len() == 1 || has_workers(&drawn.service);
        let share = if is_usable {
            drawn
        } else {
            others().unwrap_or(drawn)
        };
        // The tenant may come from an earlier configuration and have a priority that no tenant of this one has.
        let route_priority = entry.settings.priority;
        let wanted = priority.unwrap_or(route_priority);
        let with_priority = |priority| Some((priority, share.project_type(priority)?));
        let (priority, project_type) =
            with_priority(wanted).or_else(|| with_priority(route_priority))?;
        Some(RouteTarget {
            route: entry.settings.clone(),
            service: share.service.clone(),
            priority,
            project_type,
        })
    }

    /// The project type for the retry of a request. If the configuration no longer has this priority, another one of the
    /// route is taken; if it no longer has the route, one of another route to the service.
    pub fn project_type(&self, route: &RouteId, service: &str, priority: u32) -> Option<usize> {
        let key = (route.clone(), service.to_string(), priority);
        if let Some(number) = self.project_types.get(&key) {
            return Some(*number);
        }
        let to_service = self
            .project_types
            .iter()
            .filter(|((_, to, _), _)| to == service);
        let is_of_route = |from: &RouteId| from == route;
        to_service
            .max_by_key(|((from, _, priority), _)| (is_of_route(from), Reverse(*priority)))
            .map(|(_, number)| *number)
    }
}
