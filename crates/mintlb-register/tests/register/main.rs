//! Tests of the register by topic: single parts, changes before replicas that reply at once, and searches for violations
//! of its invariants in drawn, exhaustive and long runs.

mod support;

mod acceptor;
mod applied_history;
mod bootstrap;
mod configuration_changes;
mod configuration_retries;
mod domain_losses;
mod fault_scenarios;
mod membership_changes;
mod membership_losses;
mod message_orders;
mod quorum_read;
mod random_schedules;
