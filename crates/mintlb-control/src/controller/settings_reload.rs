//! Settings that have changed, with a signal or without one.

use crate::controller::Controller;
use mintlb_common::settings::{NodeSettings, SETTINGS_VARIABLE};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval};

/// How often the file's time is looked at.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file for the life of the process.
pub async fn run(controller: Arc<Controller>) {
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
        let signalled = tokio::select! { _ = hangup.recv() => true, _ = poll.tick() => false };
        let now = modified_at(&path);
        if signalled || now != last_modified {
            last_modified = now;
            read(&controller, &path);
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}

fn read(controller: &Controller, path: &Path) {
    match NodeSettings::read(path) {
        Ok(settings) => {
            let changed = changed_fields(&controller.settings(), &settings);
            if !changed.is_empty() {
                log::info!("settings: changed: {}", changed.join(", "));
                controller.replace_settings(settings);
            }
        }
        Err(error) => log::warn!("settings: not taken: {error}"),
    }
}

/// The names of the fields that differ. An address or a folder that differs takes effect at the next start.
pub fn changed_fields(old: &NodeSettings, new: &NodeSettings) -> Vec<&'static str> {
    let fields = [
        ("node_name", old.node_name != new.node_name),
        ("zone", old.zone != new.zone),
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
