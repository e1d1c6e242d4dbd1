//! The time limits and quotas of the tier's guarantees.

use serde::Deserialize;
use std::time::Duration;

/// Longest time for which the status of a batch job is kept, whatever the settings say, in s.
const MAX_STATUS_RETENTION_S: f64 = 1e9;

/// The time limits and quotas of the tier's guarantees, as far as its processes depend on them. A
/// key ends with the unit of its value; field names are the TOML keys, except where
/// `#[serde(rename)]` gives the key.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Bounds {
    /// Time without faults after which guarantees with a time limit apply, in ms.
    #[serde(rename = "contact_ms")]
    pub stabilization_ms: u64,
    /// Time limit for acknowledging the operator's requests, in ms.
    pub ack_ms: u64,
    /// Time for which a draining worker still serves after the acknowledgement, in ms.
    pub drain_ms: u64,
    /// Time between SIGTERM and SIGKILL, in s.
    pub grace_period_s: f64,
    /// Time limit for an acknowledged configuration to be in force in all processes, in ms.
    pub config_apply_ms: u64,
    /// Time limit for forwarding an event of a stream, in ms.
    #[serde(rename = "pass_ms")]
    pub event_forwarding_ms: u64,
    /// Time after its submission for which the status of a batch job can be read, in s.
    #[serde(rename = "status_s")]
    pub status_retention_s: f64,
    /// Time limit for stopping the items of a cancelled or expired batch job, in ms.
    pub cancel_ms: u64,
    /// Time limit for an accepted batch job to be known to all dispatchers, in ms.
    #[serde(rename = "settle_ms")]
    pub batch_visibility_ms: u64,
    /// Fraction by which queued tokens may exceed `max_queued_tokens`, and a tenant's requests in a
    /// window its limit.
    pub quota_overage: f64,
    /// Requests by which a tenant may exceed its limit in a window, beside `quota_overage`.
    pub quota_slack: f64,
    /// Time limit for a recovered machine to catch up, in s.
    pub catch_up_s: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            stabilization_ms: 3000,
            ack_ms: 4000,
            drain_ms: 2000,
            grace_period_s: 8.0,
            config_apply_ms: 2000,
            event_forwarding_ms: 120,
            status_retention_s: 120.0,
            cancel_ms: 3000,
            batch_visibility_ms: 1000,
            quota_overage: 0.1,
            quota_slack: 20.0,
            catch_up_s: 5.0,
        }
    }
}

impl Bounds {
    /// Time after its submission for which the status of a batch job can be read.
    ///
    /// # Panics
    ///
    /// If the setting is not a number.
    pub fn status_retention(&self) -> Duration {
        Duration::from_secs_f64(self.status_retention_s.clamp(0.0, MAX_STATUS_RETENTION_S))
    }
}
