//! Reload of the settings file after a change, upon SIGHUP or without it.

use super::settings::SharedSettings;
use super::workers::service::WorkerService;
use mintlb_common::settings::{NodeSettings, SETTINGS_VARIABLE};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval};

/// The interval between two looks at the file's modification time.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Applies changes of the settings file.
pub struct SettingsReload {
    settings: Arc<SharedSettings>,
    workers: Arc<WorkerService>,
}

impl SettingsReload {
    /// `workers` get the new heartbeat timeout; everything else reads `settings` as needed.
    pub fn new(settings: Arc<SharedSettings>, workers: Arc<WorkerService>) -> SettingsReload {
        SettingsReload { settings, workers }
    }

    /// Watches the settings file until it is aborted.
    pub async fn run(self) {
        let Some(path) = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from) else {
            return;
        };
        let Ok(mut hangup) = signal(SignalKind::hangup()) else {
            return;
        };
        let mut poll = interval(POLL_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_modified = modified_at(&path);
        loop {
            let signalled = tokio::select! {
                _ = hangup.recv() => true,
                _ = poll.tick() => false,
            };
            let modified = modified_at(&path);
            if signalled || modified != last_modified {
                last_modified = modified;
                self.reload(&path);
            }
        }
    }

    fn reload(&self, path: &Path) {
        let settings = match NodeSettings::read(path) {
            Ok(settings) => settings,
            Err(error) => return log::warn!("settings: rejected the changed file: {error}"),
        };
        let changed = changed_fields(&self.settings.get(), &settings);
        if !changed.is_empty() {
            log::info!("settings: applied changes of {}", changed.join(", "));
            self.workers
                .set_heartbeat_timeout(settings.heartbeat_timeout());
            self.settings.replace(settings);
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}

/// The names of the fields that differ. Some of them take effect at the next start, and say so.
fn changed_fields(old: &NodeSettings, new: &NodeSettings) -> Vec<&'static str> {
    let fields = [
        ("node_name", old.node_name != new.node_name),
        ("zone (at the next start)", old.zone != new.zone),
        ("region (at the next start)", old.region != new.region),
        (
            "counts_toward_quorum (at the next start)",
            old.counts_toward_quorum != new.counts_toward_quorum,
        ),
        ("seed_nodes", old.seed_nodes != new.seed_nodes),
        ("first_start", old.first_start != new.first_start),
        ("heartbeat_ms", old.heartbeat_ms != new.heartbeat_ms),
        (
            "fault_tolerance",
            old.fault_tolerance != new.fault_tolerance,
        ),
        ("bounds", old.bounds != new.bounds),
        ("limits", old.limits != new.limits),
        ("zones", old.zones != new.zones),
        (
            "listen_addresses (at the next start)",
            old.listen_addresses != new.listen_addresses,
        ),
        (
            "internal_ports (at the next start)",
            old.internal_ports != new.internal_ports,
        ),
        (
            "data_directory (at the next start)",
            old.data_directory != new.data_directory,
        ),
    ];
    fields
        .into_iter()
        .filter(|(_, differs)| *differs)
        .map(|(name, _)| name)
        .collect()
}
