//! The rig: several real processes of mintlb, stand-ins for all that they speak with, faults between them, and an audit
//! of what went over the wire. All of it is on loopback; `docs/rig.md` is its page.
//!
//! ```text
//!   clients ──> processes ──(ways that can be cut)──> workers
//!                   └──> list                  all that is seen ──> book ──> audit
//! ```

pub mod audit;
pub mod chance;
pub mod cli;
pub mod clients;
pub mod list;
pub mod play;
pub mod processes;
pub mod relay;
pub mod report;
pub mod sample;
pub mod scenario;
pub mod seen;
pub mod workers;
