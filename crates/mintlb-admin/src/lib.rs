//! The operators' door: one line to a connection, one answer. It knows what can be asked, and nothing of who answers.

pub mod command;
pub mod server;
