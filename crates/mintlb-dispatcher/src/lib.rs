//! The data plane of the serving tier: clients' requests and the items of lots, through one reducer, to workers.
//!
//! ```text
//!   clients ──> front ──Event──> reducer ──Act──> hands ──Order──> back ──> workers
//!                 ^              (decide)  └ permit                 │
//!                 └───────────────── exchange <─────────────────────┘
//! ```
//!
//! The reducer and the decisions are those of `mintlb serve`; a project type is a route and a service of the operator's
//! configuration. What has to be known of routes and workers comes as records by the overlay.
//!
//! Pure: [`routing`], [`tuning`], [`prompts`], [`events`], [`wire`]. State of one request: [`exchange`]. Shared by all:
//! [`shared`] with [`workers`]; filled by [`cluster_state`]. Sockets: [`front`] with [`body`], [`readiness`], [`back`] with
//! [`connection`], [`request`], [`answer`]. What may go where: [`permits`]. Lots: [`batch_executor`], [`batch`]. Joined by
//! [`dispatcher`], started by [`mod@run`].

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
pub mod permits;
pub mod prompts;
pub mod readiness;
pub mod request;
pub mod routing;
pub mod run;
pub mod shared;
pub mod tuning;
pub mod upstream;
pub mod wire;
pub mod workers;

pub use error::DispatchError;
pub use run::run;
