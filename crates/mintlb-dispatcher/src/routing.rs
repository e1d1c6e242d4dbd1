//! The routing table: maps host and path to a route, a service and a project type.
//!
//! A table is built from one configuration and swapped atomically, so that no request sees a mix of two.

use mintlb_common::configuration::{Configuration, Route, RouteType};
use mintlb_core::types::Named;
use rustc_hash::FxHashMap;
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
}

/// Where a request goes: its route's terms, the service drawn for it, and the project type of both.
#[derive(Clone, Debug)]
pub struct Target {
    /// The terms of its route.
    pub terms: Arc<RouteTerms>,
    /// The service's name.
    pub service: Arc<str>,
    /// The number of the project type.
    pub project_type: usize,
}

/// All routes of one configuration.
#[derive(Debug)]
pub struct RoutingTable {
    /// The configuration that it was built from.
    pub configuration: Arc<Configuration>,
    hosts: FxHashMap<String, Vec<RouteEntry>>,
    /// Project types by route and service.
    numbers: FxHashMap<(String, String), usize>,
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
    /// Weights up to and with this one, over their sum.
    shares: Vec<(f64, Arc<str>, usize)>,
}

/// The name of the project type of a route and a service. It is unambiguous, as the service follows the last `@`.
pub fn type_name(route: &str, service: &str) -> String {
    format!("{route}@{service}")
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
        }
    }
}

impl RoutingTable {
    /// Builds the table; `types` are the project types as the reducer numbers them.
    pub fn new(configuration: Arc<Configuration>, types: &[Named]) -> RoutingTable {
        let by_name: FxHashMap<&str, usize> =
            types.iter().map(|t| (t.name.as_str(), t.number)).collect();
        let mut hosts: FxHashMap<String, Vec<RouteEntry>> = FxHashMap::default();
        let mut numbers = FxHashMap::default();
        for (index, route) in configuration.route_list.iter().enumerate() {
            let sum: f64 = route.targets().map(|(_, weight)| weight).sum();
            let (mut so_far, mut shares) = (0.0, Vec::new());
            for (service, weight) in route.targets().filter(|(_, weight)| *weight > 0.0) {
                so_far += weight / sum;
                let Some(number) = by_name.get(type_name(&route.name, service).as_str()) else {
                    continue;
                };
                numbers.insert((route.name.clone(), service.to_string()), *number);
                shares.push((so_far, Arc::from(service), *number));
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
            configuration,
            hosts,
            numbers,
        }
    }

    /// Limits of this service's workers.
    pub fn service(&self, name: &str) -> ServiceTerms {
        self.services.get(name).copied().unwrap_or_default()
    }

    fn entry(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let entries = self
            .hosts
            .get(name)
            .or_else(|| self.hosts.get(&name.to_ascii_lowercase()))?;
        entries.iter().find(|entry| path.starts_with(&entry.prefix))
    }

    /// Index in the configuration's list, and terms, of the route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<(usize, &Arc<RouteTerms>)> {
        self.entry(host, path)
            .map(|entry| (entry.index, &entry.terms))
    }

    /// Where a request goes; `draw`, from 0 up to 1, picks one of the services that share the route. One that has no
    /// worker gives its share to those that have.
    pub fn target(
        &self,
        host: &str,
        path: &str,
        draw: f64,
        has_workers: impl Fn(&str) -> bool,
    ) -> Option<Target> {
        let entry = self.entry(host, path)?;
        let drawn = entry
            .shares
            .iter()
            .find(|(up_to, ..)| draw < *up_to)
            .or(entry.shares.last())?;
        let others = || {
            entry
                .shares
                .iter()
                .find(|(_, service, _)| has_workers(service))
        };
        let is_good = entry.shares.len() == 1 || has_workers(&drawn.1);
        let share = if is_good {
            drawn
        } else {
            others().unwrap_or(drawn)
        };
        Some(Target {
            terms: entry.terms.clone(),
            service: share.1.clone(),
            project_type: share.2,
        })
    }

    /// The project type of a route and a service: that of this route, or of another route to the service if this one is
    /// gone.
    pub fn type_of(&self, route: &str, service: &str) -> Option<usize> {
        let own = self.numbers.get(&(route.to_string(), service.to_string()));
        own.or_else(|| {
            self.numbers
                .iter()
                .find(|((_, to), _)| to == service)
                .map(|(_, number)| number)
        })
        .copied()
    }
}
