//! HTTP/1.1 for a mintlb scheduler: the frontend for clients, the backend for workers, and the client of the list
//! service.

pub mod connection_slots;
pub mod dial;
pub mod error_chain;
pub mod frontend;
pub mod last_byte;
pub mod limits;
pub mod line_reader;
pub mod list_service;
pub mod sniffer;
pub mod socket;
pub mod worker;
