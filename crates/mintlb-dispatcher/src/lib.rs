//! The data plane of the serving tier: clients' requests and items of batch jobs, through one reducer, to workers.
//!
//! ```text
//!   clients ──> downstream ──Event──> reducer ──Act──> hands ──Order──> upstream ──> workers
//!                   ^               (scheduler) └ permit                   │
//!                   └─────────────────── exchange <────────────────────────┘
//! ```
//!
//! Reducer and scheduler are those of `mintlb serve`; a project type is a route and a service of the operator's
//! configuration with a priority. Routes and workers are known from gossip records.
//!
//! - Pure: [`routing`], [`tenants`], [`tuning`], [`prompts`], [`events`], [`wire`], [`load`].
//! - State of one request: [`exchange`]. Shared state: [`shared`] with [`workers`], updated by [`cluster_state`].
//! - Sockets: [`downstream`] with [`body`], [`readiness`], [`upstream`] with [`connection`], [`request`], [`answer`].
//! - Admission by tenants' rate limits: [`admission`], [`quota_client`], counted by [`admission_statistics`]; to workers:
//!   [`permits`]. Batch jobs: [`batch_executor`], [`batch`].
//! - Event loop: [`dispatcher`], started by [`mod@run`].

pub mod admission;
pub mod admission_statistics;
pub mod answer;
pub mod batch;
pub mod batch_executor;
pub mod body;
pub mod cluster_state;
pub mod connection;
pub mod dispatcher;
pub mod downstream;
pub mod error;
pub mod events;
pub mod exchange;
pub mod load;
mod log_bridge;
pub mod occupancy;
pub mod permits;
pub mod prompts;
pub mod quota_client;
pub mod readiness;
pub mod request;
pub mod routing;
pub mod run;
pub mod shared;
pub mod statistics;
pub mod tenants;
pub mod tuning;
pub mod upstream;
pub mod wire;
pub mod workers;

pub use error::DispatchError;
pub use run::run;
