//! End-to-end test bed: runs several real mintlb processes against simulated clients, workers and a simulated list
//! service, injects faults between them, and audits the traffic that was observed. Everything runs on loopback;
//! `docs/rig.md` describes its use.
//!
//! ```text
//!   clients ──> processes ──(links that can be cut)──> workers
//!                   └──> list service      all observations ──> recorder ──> audit
//! ```

pub mod audit;
pub mod cli;
pub mod clients;
pub mod list_service;
pub mod observations;
pub mod processes;
pub mod relay;
pub mod report;
pub mod rng;
pub mod runner;
pub mod sample;
pub mod scenario;
pub mod workers;
