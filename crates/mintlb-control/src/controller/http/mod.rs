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

use super::workers::service::WorkerService;
use axum::Router;
use configuration_api::ConfigurationApi;
use retirement_api::RetirementApi;
use std::sync::Arc;

/// The calls, with what each kind needs.
pub struct HttpApi {
    /// The operator's calls on the configuration.
    pub configuration: ConfigurationApi,
    /// The operator's calls on the retirement of stores.
    pub retirement: RetirementApi,
    /// Handles the workers' calls.
    pub workers: Arc<WorkerService>,
}

impl HttpApi {
    /// The routes of all calls.
    pub fn router(&self) -> Router {
        configuration_api::routes(self.configuration.clone())
            .merge(instance_api::routes(self.workers.clone()))
            .merge(retirement_api::routes(self.retirement.clone()))
    }
}
