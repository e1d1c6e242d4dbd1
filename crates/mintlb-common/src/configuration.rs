//! The operator's configuration: routes, services and limits, read whole and checked whole.
//!
//! A controller reads what an operator sends with [`Configuration::parse_from_operator`], which names all faults by the
//! paths of their fields (`schematic`). What a controller has taken is read with [`Configuration::parse`] alone, which
//! costs a third of that: every dispatcher reads every configuration.

mod validation;

use schematic::{Config, ConfigEnum};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use validation::{known_services, path_prefix, sides_with_weight, timeout, unique_places};

/// The operator's configuration.
#[derive(Clone, Config, Debug, Deserialize, PartialEq)]
#[config(allow_unknown_fields)]
pub struct Configuration {
    /// Rises with each configuration, in uneven steps.
    #[setting(required)]
    pub config_version: u64,
    /// All routes.
    #[setting(nested, validate = unique_places)]
    pub route_list: Vec<Route>,
    /// All services.
    #[setting(nested, validate = known_services)]
    pub service_list: Vec<Service>,
    /// Bounds of what clients may send.
    #[serde(default)]
    #[setting(nested)]
    pub limits: ClientLimits,
}

/// How requests of one host and path prefix are served.
#[derive(Clone, Config, Debug, Deserialize, PartialEq)]
#[config(allow_unknown_fields)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The `Host` of its requests.
    pub host_name: String,
    /// The beginning of its requests' paths; begins and ends with a slash.
    #[setting(validate = path_prefix)]
    pub path_prefix: String,
    /// What may be repeated, and how answers come.
    pub route_type: RouteType,
    /// The longest that a request is held, in ms; 0 is not allowed.
    #[serde(default)]
    #[setting(validate = timeout)]
    pub timeout_ms: Option<u64>,
    /// Within which an answer (of a stream its first event) earns its full worth, in ms.
    #[serde(default)]
    pub target_latency_ms: u64,
    /// Its rank; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// The one service that serves it, where it is not split.
    #[serde(default)]
    pub target_service: Option<String>,
    /// The services among which it is split.
    #[serde(default)]
    #[setting(nested, validate = sides_with_weight)]
    pub traffic_split: Vec<WeightedService>,
    /// The largest number of workers one try may be sent to.
    #[serde(default = "one_attempt")]
    #[setting(default = 1)]
    pub max_attempts: u32,
    /// Whether requests name their prompts' parts.
    #[serde(default)]
    pub session_affinity: bool,
    /// Whether a stream may go on at another worker.
    #[serde(default)]
    pub resumable: bool,
    /// Longest pause between events at which an answer is in time, in ms.
    #[serde(default)]
    #[serde(rename = "gap_aim_ms")]
    pub max_event_gap_ms: Option<f64>,
    /// For batch routes: so long after a lot was first sent all results are due, in ms.
    #[serde(default)]
    pub completion_target_ms: Option<u64>,
    /// For batch routes: so long after a lot was first sent an item may be given up, in s.
    #[serde(default)]
    pub retention_s: Option<f64>,
    /// For batch routes: tokens that may wait; 0 is no limit.
    #[serde(default)]
    pub max_queued_tokens: u64,
}

/// What may be repeated, and how answers come.
#[derive(Clone, ConfigEnum, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteType {
    /// A request may run more than once.
    Idempotent,
    /// A request runs once at most.
    #[default]
    NonIdempotent,
    /// The answer is a series of events.
    Streaming,
    /// Many requests, submitted together and run later.
    Batch,
}

/// One part of a split.
#[derive(Clone, Config, Debug, Deserialize, PartialEq)]
#[config(allow_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub target_service: String,
    /// Its share of the route's requests, against the sum of all weights.
    pub weight: f64,
}

/// A pool of workers.
#[derive(Clone, Config, Debug, Deserialize, PartialEq)]
#[config(allow_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The path of its workers' health check.
    #[serde(default)]
    pub health_check_path: Option<String>,
    /// Connections that a worker accepts from all callers together; 0 is no limit.
    #[serde(default)]
    pub max_connections: u32,
    /// What its workers' engines can do, where they generate tokens.
    #[serde(default)]
    #[setting(nested)]
    pub engine: Option<Engine>,
}

/// What a worker's engine can do.
#[derive(Clone, Config, Debug, Deserialize, PartialEq)]
#[config(allow_unknown_fields)]
pub struct Engine {
    /// Requests that run at once.
    pub capacity_slots: u32,
    /// Tokens that fit into its memory, running and cached together.
    pub kv_cache_tokens: u64,
    /// Tokens between two events of a stream.
    #[serde(default)]
    pub stride: Option<f64>,
}

/// Bounds of what clients may send, and how long they may take or stay idle.
#[derive(Clone, Config, Debug, Deserialize, PartialEq)]
#[config(allow_unknown_fields)]
#[serde(default)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    #[setting(default = 16384)]
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    #[setting(default = 4194304)]
    pub max_body_bytes: usize,
    /// Within which a request's head comes, in ms.
    #[setting(default = 3000)]
    pub header_timeout_ms: u64,
    /// How long a connection may be idle, in ms.
    #[setting(default = 15000)]
    pub idle_timeout_ms: u64,
}

fn one_attempt() -> u32 {
    1
}

/// Why a configuration can't be taken. The operator gets the text with a 400.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigurationError {
    /// It is no JSON of this shape.
    #[error("M201 the configuration can't be read: {0}")]
    Unreadable(String),
    /// A field is wrong.
    #[error("M202 {field}: {reason}")]
    Invalid {
        /// The path of the field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// Several fields are wrong.
    #[error("M203 {}", violations.join("; "))]
    InvalidFields {
        /// Each field's path and what is wrong with it.
        violations: Vec<String>,
    },
}

impl Configuration {
    /// Reads and checks a configuration as the operator sends it.
    pub fn parse(json: &[u8]) -> Result<Configuration, ConfigurationError> {
        let configuration: Configuration = serde_json::from_slice(json)
            .map_err(|e| ConfigurationError::Unreadable(e.to_string()))?;
        configuration.check()?;
        Ok(configuration)
    }

    /// Reads and checks a configuration as the operator sends it; an error names every fault that is found. What is
    /// read here is read by [`Configuration::parse`] as well.
    pub fn parse_from_operator(json: &[u8]) -> Result<Configuration, ConfigurationError> {
        validation::find(json)?;
        Configuration::parse(json)
    }

    fn check(&self) -> Result<(), ConfigurationError> {
        let services: HashSet<&str> = self
            .service_list
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        let mut places = HashSet::new();
        for (i, route) in self.route_list.iter().enumerate() {
            let invalid = |field: &str, reason: &str| ConfigurationError::Invalid {
                field: format!("route_list[{i}].{field}"),
                reason: reason.to_string(),
            };
            if !places.insert((
                route.host_name.to_ascii_lowercase(),
                route.path_prefix.as_str(),
            )) {
                return Err(invalid(
                    "path_prefix",
                    "another route has this host and prefix",
                ));
            }
            if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
                return Err(invalid("path_prefix", "has to begin and end with a slash"));
            }
            if route.timeout_ms == Some(0) {
                return Err(invalid("timeout_ms", "is 0"));
            }
            if route
                .targets()
                .any(|(service, _)| !services.contains(service))
            {
                return Err(invalid("target_service", "there is no such service"));
            }
            let bad_weight = route
                .traffic_split
                .iter()
                .any(|part| !part.weight.is_finite() || part.weight < 0.0);
            if bad_weight || route.targets().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
                return Err(invalid("traffic_split", "the weights sum to 0"));
            }
        }
        Ok(())
    }

    /// The route of a request: of those of its host the one with the longest prefix that begins its path.
    pub fn route(&self, host: &str, path: &str) -> Option<(usize, &Route)> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let fits = |route: &&Route| {
            route.host_name.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix)
        };
        let fitting = self
            .route_list
            .iter()
            .enumerate()
            .filter(|(_, route)| fits(route));
        fitting.max_by_key(|(_, route)| route.path_prefix.len())
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.service_list
            .iter()
            .find(|service| service.name == name)
    }
}

impl Route {
    /// The services that serve it, each with its weight.
    pub fn targets(&self) -> impl Iterator<Item = (&str, f64)> {
        let single = self
            .target_service
            .as_deref()
            .filter(|_| self.traffic_split.is_empty());
        let split = self
            .traffic_split
            .iter()
            .map(|part| (part.target_service.as_str(), part.weight));
        single
            .map(|service| (service, 1.0))
            .into_iter()
            .chain(split)
    }

    /// Whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.route_type {
            RouteType::Idempotent | RouteType::Batch => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.resumable,
        }
    }
}
