//! Time of the process's monotonic clock.

use std::time::Duration;

/// A point in time, as the duration since the origin of the process's monotonic clock.
///
/// Timestamps of different processes must not be compared. The wall clock is used only where a
/// value is kept across processes, and such fields say "Unix time".
pub type Timestamp = Duration;
