//! A machine of the model: it outlives its processes.

use super::Event;
use crate::context::Time;
use crate::process::{Disk, Process, Role};
use std::net::SocketAddr;

/// A machine.
pub struct Machine {
    /// What it is for.
    pub role: Role,
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Which start of a process runs on it, among all starts of the model.
    pub incarnation: u64,
    /// The process.
    pub process: Option<Process>,
    /// Its disk, while no process has it.
    pub disk: Disk,
    /// Whether it stands still.
    pub frozen: bool,
    /// Events that are delivered once it is unfrozen.
    pub deferred_events: Vec<Event>,
    /// Until then its disk takes nothing.
    pub stalled_until: Time,
    /// How far its time of day is behind, in ms.
    pub clock_behind: u64,
    /// `first_start` of its settings.
    pub first_start: bool,
    /// When a link to or from it was last cut or restored.
    pub cut_at: Option<Time>,
    /// It was removed for good.
    pub removed: bool,
    /// When a fault of its own last began or ended.
    pub disturbed_at: Time,
}

impl Machine {
    /// A machine whose process has yet to start.
    pub fn new(role: Role, name: String, address: SocketAddr, disk: Disk) -> Machine {
        Machine {
            role,
            name,
            address,
            incarnation: 0,
            process: None,
            disk,
            frozen: false,
            deferred_events: Vec::new(),
            stalled_until: Time::ZERO,
            clock_behind: 0,
            first_start: true,
            cut_at: None,
            removed: false,
            disturbed_at: Time::ZERO,
        }
    }

    /// Whether it runs.
    pub fn is_running(&self) -> bool {
        self.process.is_some() && !self.frozen
    }

    /// Whether this incarnation of it runs.
    pub fn runs(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation && self.process.is_some()
    }
}
