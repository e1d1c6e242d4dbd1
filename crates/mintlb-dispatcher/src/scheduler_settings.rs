//! Derives the scheduler's settings from a configuration: a project type for each route, service and priority, with its
//! latency target, deadline and weight. Without I/O.

use crate::routing::{priorities, project_type_name};
use mintlb_common::configuration::{Configuration, Route, RouteType};
use mintlb_scheduler::decide::RetryPolicy;
use mintlb_scheduler::settings::ReloadableSettings;
use mintlb_scheduler::{Costs, Idempotency, ProjectType};
use std::collections::{HashMap, HashSet};

/// Value of a response after the latency target, relative to one within it.
const LATE_RESPONSE_VALUE: f64 = 0.3;
/// Ratio of the weights of two adjacent priorities.
const PRIORITY_WEIGHT_RATIO: f64 = 4.0;
/// Lower priorities (greater numbers) than this have the same weight as this one.
const LOWEST_WEIGHTED_PRIORITY: u32 = 8;
/// Weight of a batch item, relative to a live request of the same priority.
const BATCH_WEIGHT: f64 = 1.0 / 16.0;
/// Maximum number of attempts of one request, including those that reached no worker. The route's `max_attempts`, which
/// [`crate::permits`] enforces, limits how many workers a request may reach.
const MAX_ATTEMPTS: usize = 8;
/// Maximum `Retry-After` in seconds that clients respect.
const MAX_RETRY_AFTER: f64 = 1.0;
/// Cost of an attempt at a worker in another zone, in the scheduler's points.
const CROSS_ZONE_COST: f64 = 0.02;
/// Latency target in seconds of a route without one.
const DEFAULT_TARGET_LATENCY: f64 = 1.0;
/// Minimum deadline of a batch item in seconds.
const ITEM_TIME_LIMIT: f64 = 120.0;

/// Ids of services at the scheduler. An id stays the same while the process runs.
#[derive(Debug, Default)]
pub struct ServiceIds(HashMap<String, u16>);

impl ServiceIds {
    /// The id of a service; assigns the next one to a new service.
    pub fn id(&mut self, service: &str) -> u16 {
        if let Some(id) = self.0.get(service) {
            return *id;
        }
        let id = self.0.len() as u16;
        self.0.insert(service.to_string(), id);
        id
    }
}

/// The project types of a configuration with their names: one for each route, service and priority of its requests.
pub fn project_types(
    configuration: &Configuration,
    services: &mut ServiceIds,
) -> Vec<(String, ProjectType)> {
    let (mut types, mut names) = (Vec::new(), HashSet::new());
    for route in &configuration.route_list {
        let priorities = priorities(configuration, route);
        for (service, _) in route.targets().filter(|(_, weight)| *weight > 0.0) {
            let service_id = services.id(service);
            for priority in &priorities {
                let name = project_type_name(route, service, *priority);
                if names.insert(name.clone()) {
                    types.push((name, project_type(route, service_id, *priority)));
                }
            }
        }
    }
    types
}

fn project_type(route: &Route, service_id: u16, priority: u32) -> ProjectType {
    let is_batch = route.route_type == RouteType::Batch;
    let weight = PRIORITY_WEIGHT_RATIO
        .powi((LOWEST_WEIGHTED_PRIORITY - priority.min(LOWEST_WEIGHTED_PRIORITY)) as i32);
    let seconds = |ms: u64| ms as f64 / 1e3;
    let target = Some(route.target_latency_ms)
        .filter(|ms| *ms > 0)
        .map_or(DEFAULT_TARGET_LATENCY, seconds);
    let (latency_target, hard_limit) = match is_batch {
        true => {
            let completion_target = route
                .completion_target_ms
                .map_or(ITEM_TIME_LIMIT / 4.0, seconds);
            (
                completion_target,
                ITEM_TIME_LIMIT.max(2.0 * completion_target),
            )
        }
        false => (target, route.timeout_ms.map_or(4.0 * target, seconds)),
    };
    ProjectType {
        credit: weight * if is_batch { BATCH_WEIGHT } else { 1.0 },
        late_credit: LATE_RESPONSE_VALUE,
        promised_turnaround: latency_target,
        turnaround_stretch: 1.0,
        hard_limit,
        idempotency: if route.is_idempotent() {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        },
        machine_kind: Some(service_id),
    }
}

/// The scheduler's settings that apply to all project types.
pub fn reloadable_settings() -> ReloadableSettings {
    ReloadableSettings {
        retry_policy: retry_policy(),
        excess_credit: 1.0,
        max_retry_after: MAX_RETRY_AFTER,
        costs: costs(),
    }
}

/// The retry policy: one attempt at a time, up to `MAX_ATTEMPTS`.
pub fn retry_policy() -> RetryPolicy {
    RetryPolicy {
        parallel_attempts: false,
        may_cancel: true,
        max_attempts: MAX_ATTEMPTS,
    }
}

/// Costs of attempts, in the scheduler's points.
pub fn costs() -> Costs {
    Costs {
        cross_zone: CROSS_ZONE_COST,
        peer_message: None,
    }
}

/// Maximum `Retry-After` in seconds that clients respect.
pub fn max_retry_after() -> f64 {
    MAX_RETRY_AFTER
}
