//! TCP server for operators' commands: each connection sends one command line and gets one reply. The commands are
//! carried out elsewhere.

pub mod command;
pub mod server;
