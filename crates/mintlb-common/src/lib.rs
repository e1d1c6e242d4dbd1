//! What both programs of the serving tier share.
//!
//! - [`settings`]: the settings file of a process.
//! - [`configuration`]: the operator's configuration, read and checked.
//! - [`record`]: the versioned records that the overlay brings to every process.
//! - [`incarnation`]: the identity of one life of a process.
//! - [`placement`]: which stores hold which shard.
//! - [`signals`]: the platform's signals.
//! - [`transport`]: framed messages between the tier's own processes.
//! - [`logging`]: the log of a process.

pub mod configuration;
pub mod incarnation;
pub mod logging;
pub mod placement;
pub mod record;
pub mod settings;
pub mod signals;
pub mod transport;
