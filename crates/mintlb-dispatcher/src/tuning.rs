//! The scheduler's settings from a configuration: a project type for each route and service, and their terms.
//!
//! Pure.

use crate::routing::{priorities, type_name};
use mintlb_common::configuration::{Configuration, Route, RouteType};
use mintlb_scheduler::decide::RetryPolicy;
use mintlb_scheduler::settings::ReloadableSettings;
use mintlb_scheduler::{Costs, Idempotency, ProjectType};
use std::collections::{HashMap, HashSet};

/// The share of its value that a response after the latency target still has.
const LATE_VALUE: f64 = 0.3;
/// Ratio of the weights of two adjacent priority ranks.
const RANK_WEIGHT: f64 = 4.0;
/// Ranks beyond this weigh as much as it.
const MAX_RANK: u32 = 8;
/// The weight of batch items, relative to a request of the same rank.
const BATCH_WEIGHT: f64 = 1.0 / 16.0;
/// Limit of attempts of one request, those that reached no worker included. How many workers a request may reach is its
/// route's `max_attempts`, which [`crate::permits`] enforces.
const MAX_SENDS: usize = 8;
/// Limit of `Retry-After` that clients respect, in seconds.
const COME_BACK: f64 = 1.0;
/// Cost of an attempt in another zone, in points.
const CROSSING: f64 = 0.02;
/// A request without a target has this one, in s.
const USUAL_TARGET: f64 = 1.0;
/// Time limit of a batch item, in seconds.
const MAX_ITEM_TIME: f64 = 120.0;

/// Numbers of services, the same for as long as the process lasts.
#[derive(Debug, Default)]
pub struct ServiceNumbers(HashMap<String, u16>);

impl ServiceNumbers {
    /// The number of this service.
    pub fn of(&mut self, service: &str) -> u16 {
        if let Some(number) = self.0.get(service) {
            return *number;
        }
        let number = self.0.len() as u16;
        self.0.insert(service.to_string(), number);
        number
    }
}

/// One project type for each route, service and priority of its requests, by name.
pub fn project_types(
    configuration: &Configuration,
    services: &mut ServiceNumbers,
) -> Vec<(String, ProjectType)> {
    let (mut types, mut named) = (Vec::new(), HashSet::new());
    for route in &configuration.route_list {
        let priorities = priorities(configuration, route);
        for (service, _) in route.targets().filter(|(_, weight)| *weight > 0.0) {
            let kind = services.of(service);
            for priority in &priorities {
                let name = type_name(route, service, *priority);
                if named.insert(name.clone()) {
                    types.push((name, project_type(route, kind, *priority)));
                }
            }
        }
    }
    types
}

fn project_type(route: &Route, kind: u16, priority: u32) -> ProjectType {
    let batch = route.route_type == RouteType::Batch;
    let rank = RANK_WEIGHT.powi((MAX_RANK - priority.min(MAX_RANK)) as i32);
    let seconds = |ms: u64| ms as f64 / 1e3;
    let target = Some(route.target_latency_ms)
        .filter(|ms| *ms > 0)
        .map_or(USUAL_TARGET, seconds);
    let (latency_target, hard_limit) = match batch {
        true => {
            let due = route
                .completion_target_ms
                .map_or(MAX_ITEM_TIME / 4.0, seconds);
            (due, MAX_ITEM_TIME.max(2.0 * due))
        }
        false => (target, route.timeout_ms.map_or(4.0 * target, seconds)),
    };
    ProjectType {
        credit: rank * if batch { BATCH_WEIGHT } else { 1.0 },
        late_credit: LATE_VALUE,
        promised_turnaround: latency_target,
        turnaround_stretch: 1.0,
        hard_limit,
        idempotency: if route.is_idempotent() {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        },
        machine_kind: Some(kind),
    }
}

/// The terms under which requests of all routes are sent.
pub fn terms() -> ReloadableSettings {
    ReloadableSettings {
        retry_policy: repeats(),
        excess_credit: 1.0,
        max_retry_after: COME_BACK,
        costs: costs(),
    }
}

/// Retry policy: one attempt at a time, within the scheduler's own limit.
pub fn repeats() -> RetryPolicy {
    RetryPolicy {
        parallel_attempts: false,
        may_cancel: true,
        max_allocations: MAX_SENDS,
    }
}

/// Costs in points.
pub fn costs() -> Costs {
    Costs {
        cross_zone: CROSSING,
        peer_message: None,
    }
}

/// Limit of `Retry-After` that clients respect, in seconds.
pub fn come_back() -> f64 {
    COME_BACK
}
