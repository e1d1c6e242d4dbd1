//! Look-ups in a configuration.

use super::{Configuration, Route, RouteType, Service};

impl Configuration {
    /// The route of a request, with its index: among the routes of the host, the one with the
    /// longest prefix of the path. The host's case and port are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<(usize, &Route)> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        self.route_list
            .iter()
            .enumerate()
            .filter(|(_, route)| route.matches(host, path))
            .max_by_key(|(_, route)| route.path_prefix.len())
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.service_list
            .iter()
            .find(|service| service.name == name)
    }
}

impl Route {
    /// The services that serve the route, each with its weight.
    pub fn targets(&self) -> impl Iterator<Item = (&str, f64)> {
        let single = self
            .target_service
            .as_deref()
            .filter(|_| self.traffic_split.is_empty())
            .map(|service| (service, 1.0));
        let split = self
            .traffic_split
            .iter()
            .map(|target| (target.target_service.as_str(), target.weight));
        single.into_iter().chain(split)
    }

    /// Whether a request may be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.route_type {
            RouteType::Idempotent | RouteType::Batch => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.resumable,
        }
    }

    fn matches(&self, host: &str, path: &str) -> bool {
        self.host_name.eq_ignore_ascii_case(host) && path.starts_with(&self.path_prefix)
    }
}
