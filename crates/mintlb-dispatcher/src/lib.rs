//! The data plane of the serving tier: forwards clients' requests and items of batch jobs to workers, through one reducer.
//!
//! ```text
//!   clients ──> downstream ──Event──> reducer ──Action──> executor ──AttemptRequest──> upstream ──> workers
//!                   ^               (scheduler) └ permits                                    │
//!                   └────────────────────────────── exchange <───────────────────────────────┘
//! ```
//!
//! Reducer and scheduler are the same as in `mintlb serve`. A project type stands for a route and a service of the
//! operator's configuration with a priority. Routes and workers are received as gossip records.
//!
//! - Without I/O: [`routing`], [`tenants`], [`scheduler_settings`], [`prefix_affinity`], [`event_stream`],
//!   [`response_parser`], [`load`], [`occupancy`].
//! - State of one request: [`exchange`]. Shared state: [`shared`] with [`workers`], updated by [`cluster_state`].
//! - Sockets: [`downstream`] with [`body`], [`readiness`], [`upstream`] with [`connection`], [`request`],
//!   [`response_reader`].
//! - Admission by tenants' rate limits: [`admission`], [`quota_client`], counted by [`admission_statistics`]; admission to
//!   workers: [`permits`]. Batch jobs: [`batch_executor`], [`batch`].
//! - Event loop: [`dispatcher`], started by [`mod@run`].

pub mod admission;
pub mod admission_statistics;
pub mod batch;
pub mod batch_executor;
pub mod body;
pub mod cluster_state;
pub mod connection;
pub mod dispatcher;
pub mod downstream;
pub mod error;
pub mod event_stream;
pub mod exchange;
pub mod load;
mod log_bridge;
pub mod occupancy;
pub mod permits;
pub mod prefix_affinity;
pub mod quota_client;
pub mod readiness;
pub mod request;
pub mod response_parser;
pub mod response_reader;
pub mod routing;
pub mod run;
pub mod scheduler_settings;
pub mod shared;
pub mod statistics;
pub mod tenants;
pub mod upstream;
pub mod workers;

pub use error::DispatchError;
pub use run::run;
