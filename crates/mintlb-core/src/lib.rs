//! The core of a mintlb scheduler, which knows no protocol.
//!
//! ```text
//!   fronts ──Arrival──> reducer ──Act──> hands ──Order──> backs
//!                       (decide)
//! ```
//!
//! A front turns what its clients hand in into an [`work::Submission`] and waits for the one [`work::Answer`]. A back is
//! reached through [`work::Endpoint`]: it takes an [`work::AllocationRequest`] and tells the [`work::AllocationResult`]. What lies between,
//! [`reducer::Reducer`], alone changes state, on one thread; [`executor::ActionExecutor`] carries out what it asks for.

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
