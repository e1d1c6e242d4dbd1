//! The HTTP API of the workers and the operator.
//!
//! - [`server`]: connections and their limits.
//! - [`configuration_api`], [`instance_api`], [`retirement_api`]: the calls.
//! - [`responses`]: what they have in common.

pub mod configuration_api;
pub mod instance_api;
pub mod responses;
pub mod retirement_api;
pub mod server;

use super::Controller;
use axum::Router;

/// The routes of all calls.
pub fn router(controller: &Controller) -> Router {
    configuration_api::routes(controller.configuration_api())
        .merge(instance_api::routes(controller.workers.clone()))
        .merge(retirement_api::routes(controller.retirement_api()))
}
