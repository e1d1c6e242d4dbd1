//! A mintlb scheduler on sockets, round the decisions of the crate `mintlb`.
//!
//! ```text
//!   clients ──> front ──Event──> reducer ──Act──> hands ──> worker client ──> workers
//!                                (decide)           └─────> list ──────────> discovery
//! ```
//!
//! What is read becomes an [`reducer::Event`]; [`reducer::Reducer`] alone changes state, on one thread, and
//! answers with [`reducer::Act`]s, which [`hands::Hands`] carries out. [`serve::serve`] joins the parts.
//!
//! To embed a scheduler, give it a thread with a runtime of its own; it ends some time after `Told::Stop`:
//!
//! ```no_run
//! use mintlb_node::{log, placement::Placement, serve::{Plan, Told, serve}};
//! use tokio::sync::mpsc::UnboundedReceiver;
//!
//! fn scheduler(path: &str, told: UnboundedReceiver<Told>) -> Result<(), String> {
//!     let plan = Plan::new(Placement::read(path)?)?;
//!     let (log, last_lines) = log::to_stderr(plan.limits.log_lines, false);
//!     let wait = plan.limits.dial;
//!     let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
//!     let served = runtime.map_err(|e| e.to_string())?.block_on(serve(plan, log, told));
//!     log::finish(last_lines, wait);
//!     served
//! }
//! ```

pub mod cli;
pub mod clock;
pub mod dial;
pub mod front;
pub mod hands;
pub mod last_byte;
pub mod limits;
pub mod lines;
pub mod list;
pub mod log;
pub mod placement;
pub mod places;
pub mod reducer;
pub mod seen;
pub mod serve;
pub mod worker;
