//! The program mintlb: a scheduler on sockets. The scheduling rules themselves are in the crate `mintlb-scheduler`.
//!
//! ```text
//!   clients ──> frontend ──Event──> reducer ──Action──> executor ──AttemptRequest──> endpoint ──> workers
//!                                  (scheduler)             └─────> list client ──> list service
//! ```
//!
//! The core (`mintlb-core`) knows no protocol, and the client-facing and worker-facing sides of a protocol
//! (`mintlb-http`) do not know each other. [`serve::serve`] connects them.
//!
//! To embed a scheduler, run it on a thread with a runtime of its own. It returns some time after
//! `ControlMessage::Stop`:
//!
//! ```no_run
//! use mintlb::configuration::Configuration;
//! use mintlb::{log, operator_config::OperatorConfig, serve::{ControlMessage, StartupPlan, serve}};
//! use tokio::sync::mpsc::UnboundedReceiver;
//!
//! fn scheduler(path: &str, control: UnboundedReceiver<ControlMessage>) -> Result<(), String> {
//!     let plan = StartupPlan::new(Configuration::read(path)?, OperatorConfig::default())?;
//!     let (log, log_guard) = log::to_stderr(plan.resource_limits.log_buffer_lines, false);
//!     let flush_timeout = plan.resource_limits.http.dial_timeout;
//!     let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
//!     let served = runtime.map_err(|e| e.to_string())?.block_on(serve(plan, log, control));
//!     log::flush(log_guard, flush_timeout);
//!     served
//! }
//! ```

pub mod cli;
pub mod configuration;
pub mod inherited_socket;
pub mod log;
pub mod log_stats;
pub mod membership_snapshot;
pub mod operator_config;
pub mod reload;
pub mod resource_limits;
pub mod serve;
pub mod siblings;
pub mod subsystems;
