//! What the programs of the serving tier share.
//!
//! - [`settings`]: the settings file of a process.
//! - [`configuration`]: the operator's configuration, parsed and validated.
//! - [`record`]: the versioned records that gossip replicates to every process.
//! - [`incarnation`]: the identity of one run of a process.
//! - [`placement`]: the assignment of shards to stores.
//! - [`quorum`]: failure domains, and quorums that outlast their loss.
//! - [`transport`]: framed messages between the tier's own processes.
//! - [`signals`]: the signals of the platform.
//! - [`logging`]: the log of a process.
//! - [`wall_clock`]: the time of day.
//! - [`mix64`](mod@mix64): a mixing function for stable hashes.

pub mod configuration;
pub mod incarnation;
pub mod logging;
pub mod mix64;
pub mod placement;
pub mod quorum;
pub mod record;
pub mod settings;
pub mod signals;
pub mod transport;
pub mod wall_clock;
