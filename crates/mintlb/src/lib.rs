//! The program mintlb: a scheduler on sockets, round the decisions of the crate `mintlb`.
//!
//! ```text
//!   clients ──> front ──Event──> reducer ──Act──> hands ──Order──> back ──> workers
//!                                (decide)           └─────> list ──> discovery
//! ```
//!
//! The core (`mintlb-core`) knows no protocol; fronts and backs (`mintlb-http`) know nothing of each
//! other. Here [`serve::serve`] joins them.
//!
//! To embed a scheduler, give it a thread with a runtime of its own; it ends some time after `Told::Stop`:
//!
//! ```no_run
//! use mintlb::{log, operator::Operator, placement::Placement, serve::{Plan, Told, serve}};
//! use tokio::sync::mpsc::UnboundedReceiver;
//!
//! fn scheduler(path: &str, told: UnboundedReceiver<Told>) -> Result<(), String> {
//!     let plan = Plan::new(Placement::read(path)?, Operator::default())?;
//!     let (log, last_lines) = log::to_stderr(plan.grants.log_lines, false);
//!     let wait = plan.grants.http.dial;
//!     let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
//!     let served = runtime.map_err(|e| e.to_string())?.block_on(serve(plan, log, told));
//!     log::finish(last_lines, wait);
//!     served
//! }
//! ```

pub mod change;
pub mod cli;
pub mod count;
pub mod grants;
pub mod join;
pub mod kin;
pub mod log;
pub mod operator;
pub mod passed;
pub mod placement;
pub mod record;
pub mod serve;
