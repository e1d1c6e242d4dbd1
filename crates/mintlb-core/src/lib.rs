//! The protocol-independent core of a mintlb scheduler.
//!
//! ```text
//!   frontends ──Submission──> reducer ──Action──> executor ──AttemptRequest──> backends
//!                             (decide)
//! ```
//!
//! A frontend turns each client request into a [`work::Submission`] and waits for its single [`work::Answer`]. A
//! backend implements [`work::Endpoint`]: it takes a [`work::AttemptRequest`] and reports a
//! [`work::AttemptResult`]. Between them, only [`reducer::Reducer`] changes state, on one thread;
//! [`executor::ActionExecutor`] carries out the actions that it returns.

pub mod budget;
pub mod capacity;
pub mod clock;
pub mod dispatch_policy;
pub mod executor;
pub mod lifecycle;
pub mod membership;
pub mod metrics;
pub mod project_types;
pub mod reducer;
pub mod subsystem;
pub mod work;
