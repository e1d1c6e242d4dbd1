//! The schema of the configuration. Field names are the JSON keys, except where `#[serde(rename)]`
//! gives the key.

use super::field_validators::{
    known_services, path_prefix, positive_timeout, unique_locations, unique_tenants, valid_weights,
};
use super::tenant::Tenant;
use schematic::{Config, ConfigEnum};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The operator's configuration.
#[derive(Clone, Config, Debug, Deserialize, PartialEq)]
#[config(allow_unknown_fields)]
pub struct Configuration {
    /// Increases with each configuration, not necessarily by one.
    #[setting(required)]
    pub config_version: u64,
    /// All routes.
    #[setting(nested, validate = unique_locations)]
    pub route_list: Vec<Route>,
    /// All services.
    #[setting(nested, validate = known_services)]
    pub service_list: Vec<Service>,
    /// All tenants. If the list is there, even an empty one, requests have to carry a key of one of
    /// them, except on routes with `public_access`.
    #[serde(default)]
    #[setting(nested, validate = unique_tenants)]
    pub tenant_list: Option<Vec<Tenant>>,
    /// Limits on clients' requests and connections.
    #[serde(default)]
    #[setting(nested)]
    pub limits: ClientLimits,
}

/// How the requests of one host and path prefix are served.
#[derive(Clone, Config, Debug, Deserialize, PartialEq)]
#[config(allow_unknown_fields)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The `Host` of its requests.
    pub host_name: String,
    /// The prefix of its requests' paths; begins and ends with a slash.
    #[setting(validate = path_prefix)]
    pub path_prefix: String,
    /// Whether requests are idempotent, and the form of the responses.
    pub route_type: RouteType,
    /// Deadline of a request, in ms after its arrival; above 0.
    #[serde(default)]
    #[setting(validate = positive_timeout)]
    pub timeout_ms: Option<u64>,
    /// Latency target: a response (the first event of a stream) within this time has its full
    /// value, in ms.
    #[serde(default)]
    pub target_latency_ms: u64,
    /// The priority; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// The service that serves the route, unless `traffic_split` is given.
    #[serde(default)]
    pub target_service: Option<String>,
    /// The services among which the requests are split.
    #[serde(default)]
    #[setting(nested, validate = valid_weights)]
    pub traffic_split: Vec<WeightedService>,
    /// Maximum number of workers that one request may be sent to.
    #[serde(default = "one_attempt")]
    #[setting(default = 1)]
    pub max_attempts: u32,
    /// Whether its requests need no key of a tenant.
    #[serde(default)]
    pub public_access: bool,
    /// Whether requests name the prefixes of their prompts, for prefix-cache affinity.
    #[serde(default)]
    pub session_affinity: bool,
    /// Whether an interrupted stream may be continued by another worker.
    #[serde(default)]
    pub resumable: bool,
    /// Target for the longest time between two events of a stream, in ms.
    #[serde(default, rename = "gap_aim_ms")]
    pub max_event_gap_ms: Option<f64>,
    /// Batch routes: target for the completion of a job, in ms after its submission.
    #[serde(default)]
    pub completion_target_ms: Option<u64>,
    /// Batch routes: time after the submission of a job at which its unfinished items may be given
    /// up, in s.
    #[serde(default)]
    pub retention_s: Option<f64>,
    /// Batch routes: maximum number of queued tokens; 0 is unlimited.
    #[serde(default)]
    pub max_queued_tokens: u64,
}

/// Whether the requests of a route are idempotent, and the form of their responses.
#[derive(Clone, ConfigEnum, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteType {
    /// A request may be executed more than once.
    Idempotent,
    /// A request is executed at most once.
    #[default]
    NonIdempotent,
    /// The response is a stream of events.
    Streaming,
    /// Batch jobs: many requests submitted together and executed later.
    Batch,
}

/// A service with its weight in a traffic split.
#[derive(Clone, Config, Debug, Deserialize, PartialEq)]
#[config(allow_unknown_fields)]
pub struct WeightedService {
    /// The name of the service.
    pub target_service: String,
    /// The weight, relative to the sum of all weights of the split.
    pub weight: f64,
}

/// A pool of workers.
#[derive(Clone, Config, Debug, Deserialize, PartialEq)]
#[config(allow_unknown_fields)]
pub struct Service {
    /// The name of the service.
    pub name: String,
    /// The path of its workers' health check.
    #[serde(default)]
    pub health_check_path: Option<String>,
    /// Maximum number of connections that a worker accepts from all clients together; 0 is
    /// unlimited.
    #[serde(default)]
    pub max_connections: u32,
    /// The capacity of a worker's inference engine, if it generates tokens.
    #[serde(default)]
    #[setting(nested)]
    pub engine: Option<Engine>,
}

/// The capacity of a worker's inference engine.
#[derive(Clone, Config, Debug, Deserialize, PartialEq)]
#[config(allow_unknown_fields)]
pub struct Engine {
    /// Requests that are executed concurrently.
    pub capacity_slots: u32,
    /// Tokens that fit into the KV cache, of running requests and cached prefixes together.
    pub kv_cache_tokens: u64,
    /// Tokens per event of a stream.
    #[serde(default)]
    pub stride: Option<f64>,
}

/// Limits on clients' requests and connections.
#[derive(Clone, Config, Debug, Deserialize, PartialEq)]
#[config(allow_unknown_fields)]
#[serde(default)]
pub struct ClientLimits {
    /// Maximum length of a request's head, in bytes.
    #[setting(default = 16384)]
    pub max_header_bytes: usize,
    /// Maximum length of a request's body, in bytes.
    #[setting(default = 4194304)]
    pub max_body_bytes: usize,
    /// Time limit for receiving a request's head, in ms.
    #[setting(default = 3000)]
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed, in ms.
    #[setting(default = 15000)]
    pub idle_timeout_ms: u64,
}

impl ClientLimits {
    /// Time limit for receiving a request's head.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// Time after which an idle connection is closed.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}

fn one_attempt() -> u32 {
    1
}
