//! The routing table: maps host and path to a route, a service and a project type.
//!
//! A table is built from one configuration and swapped atomically, so that no request sees a mix of two.

use crate::tenants::{Access, AuthenticationError, TenantTable, TenantTerms};
use axum::http::HeaderMap;
use mintlb_common::configuration::{Configuration, Route, RouteType};
use mintlb_core::project_types::NamedProjectType;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A route's terms as its requests keep them, also when a later configuration changes them.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTerms {
    /// The route's name.
    pub name: String,
    /// Kind of the route: idempotence and form of its responses.
    pub route_type: RouteType,
    /// A stream may be resumed at another worker.
    pub resumable: bool,
    /// A request may run more than once.
    pub idempotent: bool,
    /// Limit of workers that a request may be sent to.
    pub max_attempts: u32,
    /// Time limit of a request, in seconds.
    pub timeout: f64,
    /// Latency target within which a response has its full value, in seconds.
    pub target: f64,
    /// Target of the gap between two events of a response, in seconds.
    pub gap: Option<f64>,
    /// Requests declare the segments of their prompts.
    pub session_affinity: bool,
    /// Requests need no key of a tenant.
    pub public_access: bool,
    /// The priority of requests whose tenant has none; 0 is the highest.
    pub priority: u32,
}

/// Where a request goes: its route's terms, the service drawn for it, and the project type of both.
#[derive(Clone, Debug)]
pub struct Target {
    /// The terms of its route.
    pub terms: Arc<RouteTerms>,
    /// The service's name.
    pub service: Arc<str>,
    /// The priority: its tenant's, or its route's.
    pub priority: u32,
    /// The number of the project type.
    pub project_type: usize,
}

/// All routes of one configuration.
#[derive(Debug)]
pub struct RoutingTable {
    /// The configuration that it was built from.
    pub configuration: Arc<Configuration>,
    /// Its tenants, if requests have to name theirs.
    pub tenants: Option<TenantTable>,
    hosts: FxHashMap<String, Vec<RouteEntry>>,
    /// Project types by route, service and priority.
    numbers: FxHashMap<(String, String, u32), usize>,
    services: FxHashMap<String, ServiceTerms>,
}

/// Limits of a service's workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTerms {
    /// Connections that a worker accepts from all callers together; 0 is no limit.
    pub max_connections: u32,
    /// Tokens that fit into a worker's memory, if it generates tokens.
    pub kv_cache_tokens: Option<u64>,
}

#[derive(Debug)]
struct RouteEntry {
    prefix: String,
    index: usize,
    terms: Arc<RouteTerms>,
    shares: Vec<Share>,
}

/// A service's share of a route.
#[derive(Debug)]
struct Share {
    /// Weights up to and with this one, over their sum.
    up_to: f64,
    service: Arc<str>,
    /// Project types by priority.
    types: Vec<(u32, usize)>,
}

impl Share {
    /// The project type of this priority, if a request may have it.
    fn project_type(&self, priority: u32) -> Option<usize> {
        let mut types = self.types.iter();
        let found = types.find(|(known, _)| *known == priority);
        found.map(|(_, number)| *number)
    }
}

/// The name of the project type of a route, a service and a priority, if that is not the route's own. It is unambiguous,
/// as service and priority follow the last `@`.
pub fn type_name(route: &Route, service: &str, priority: u32) -> String {
    match priority == route.priority {
        true => format!("{}@{service}", route.name),
        false => format!("{}@{service} {priority}", route.name),
    }
}

/// The priorities that requests of a route may have: its own, and those of the tenants that need a key for it.
pub fn priorities(configuration: &Configuration, route: &Route) -> BTreeSet<u32> {
    let tenants = configuration.tenant_list.iter().flatten();
    let tenants = tenants.filter(|_| !route.public_access);
    let priorities = tenants.filter_map(|tenant| tenant.priority);
    priorities.chain([route.priority]).collect()
}

/// Time limit of a request whose route has no `timeout_ms`, in seconds.
const DEFAULT_TIMEOUT: f64 = 60.0;

impl RouteTerms {
    fn new(route: &Route) -> RouteTerms {
        RouteTerms {
            name: route.name.clone(),
            route_type: route.route_type,
            resumable: route.resumable || route.route_type == RouteType::Batch,
            idempotent: route.is_idempotent(),
            max_attempts: route.max_attempts.max(1),
            timeout: route
                .timeout_ms
                .map_or(DEFAULT_TIMEOUT, |ms| ms as f64 / 1e3),
            target: route.target_latency_ms as f64 / 1e3,
            gap: route.max_event_gap_ms.map(|ms| ms / 1e3),
            session_affinity: route.session_affinity,
            public_access: route.public_access,
            priority: route.priority,
        }
    }
}

impl RoutingTable {
    /// Builds the table; `types` are the project types as the reducer numbers them.
    pub fn new(configuration: Arc<Configuration>, types: &[NamedProjectType]) -> RoutingTable {
        let by_name: FxHashMap<&str, usize> =
            types.iter().map(|t| (t.name.as_str(), t.number)).collect();
        let mut hosts: FxHashMap<String, Vec<RouteEntry>> = FxHashMap::default();
        let mut numbers = FxHashMap::default();
        for (index, route) in configuration.route_list.iter().enumerate() {
            let sum: f64 = route.targets().map(|(_, weight)| weight).sum();
            let priorities = priorities(&configuration, route);
            let (mut so_far, mut shares) = (0.0, Vec::new());
            for (service, weight) in route.targets().filter(|(_, weight)| *weight > 0.0) {
                so_far += weight / sum;
                let numbered = priorities.iter().filter_map(|priority| {
                    let name = type_name(route, service, *priority);
                    Some((*priority, *by_name.get(name.as_str())?))
                });
                let types: Vec<(u32, usize)> = numbered.collect();
                if types.is_empty() {
                    continue;
                }
                for (priority, number) in &types {
                    let key = (route.name.clone(), service.to_string(), *priority);
                    numbers.insert(key, *number);
                }
                shares.push(Share {
                    up_to: so_far,
                    service: Arc::from(service),
                    types,
                });
            }
            let terms = Arc::new(RouteTerms::new(route));
            let entry = RouteEntry {
                prefix: route.path_prefix.clone(),
                index,
                terms,
                shares,
            };
            hosts
                .entry(route.host_name.to_ascii_lowercase())
                .or_default()
                .push(entry);
        }
        for entries in hosts.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.prefix.len()));
        }
        let services = configuration.service_list.iter().map(|service| {
            let kv_cache_tokens = service.engine.as_ref().map(|engine| engine.kv_cache_tokens);
            (
                service.name.clone(),
                ServiceTerms {
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
            numbers,
        }
    }

    /// Limits of this service's workers.
    pub fn service(&self, name: &str) -> ServiceTerms {
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
        entries.find(|entry| path.starts_with(&entry.prefix))
    }

    /// The tenant of a request; `None` if it needs none.
    ///
    /// # Errors
    ///
    /// If it needs a key and has none, or not one that is known.
    pub fn identify(
        &self,
        headers: &HeaderMap,
        access: Access,
    ) -> Result<Option<&Arc<TenantTerms>>, AuthenticationError> {
        match &self.tenants {
            Some(tenants) => tenants.identify(headers, access),
            None => Ok(None),
        }
    }

    /// Whether batch jobs of this host may have been submitted without a key.
    pub fn has_public_batch_route(&self, host: &str) -> bool {
        self.entries(host)
            .iter()
            .any(|entry| entry.terms.public_access && entry.terms.route_type == RouteType::Batch)
    }

    /// Index in the configuration's list, and terms, of the route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<(usize, &Arc<RouteTerms>)> {
        self.entry(host, path)
            .map(|entry| (entry.index, &entry.terms))
    }

    /// Where a request goes; `draw`, from 0 up to 1, picks one of the services that share the route. One that has no
    /// worker gives its share to those that have. `priority` is its tenant's, if that has one.
    pub fn target(
        &self,
        host: &str,
        path: &str,
        priority: Option<u32>,
        draw: f64,
        has_workers: impl Fn(&str) -> bool,
    ) -> Option<Target> {
        let entry = self.entry(host, path)?;
        let shares = &entry.shares;
        let drawn = shares
            .iter()
            .find(|share| draw < share.up_to)
            .or(shares.last())?;
        let others = || shares.iter().find(|share| has_workers(&share.service));
        let is_good = shares.len() == 1 || has_workers(&drawn.service);
        let share = if is_good {
            drawn
        } else {
            others().unwrap_or(drawn)
        };
        // A tenant of an earlier configuration may have a priority that no tenant has now.
        let own = entry.terms.priority;
        let wanted = priority.unwrap_or(own);
        let of = |priority| Some((priority, share.project_type(priority)?));
        let (priority, project_type) = of(wanted).or_else(|| of(own))?;
        Some(Target {
            terms: entry.terms.clone(),
            service: share.service.clone(),
            priority,
            project_type,
        })
    }

    /// The project type of a route, a service and a priority: that of another priority if this one is gone, or of another
    /// route to the service if the route is gone.
    pub fn type_of(&self, route: &str, service: &str, priority: u32) -> Option<usize> {
        let key = (route.to_string(), service.to_string(), priority);
        if let Some(number) = self.numbers.get(&key) {
            return Some(*number);
        }
        let to_service = self.numbers.iter().filter(|((_, to, _), _)| to == service);
        let is_of_route = |from: &str| from == route;
        to_service
            .max_by_key(|((from, _, priority), _)| (is_of_route(from), Reverse(*priority)))
            .map(|(_, number)| *number)
    }
}
