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
    pub life: u64,
    /// The process.
    pub process: Option<Process>,
    /// Its disk, while no process has it.
    pub disk: Disk,
    /// Whether it stands still.
    pub frozen: bool,
    /// What comes when it goes on.
    pub held: Vec<Event>,
    /// Until then its disk takes nothing.
    pub stalled_until: Time,
    /// How far its time of day is behind, in ms.
    pub clock_behind: u64,
    /// `first_start` of its settings.
    pub first_start: bool,
    /// When a way to or from it was last cut or joined.
    pub cut_at: Option<Time>,
    /// It was taken away for good.
    pub gone: bool,
    /// When trouble of its own last began or ended.
    pub touched: Time,
}

impl Machine {
    /// A machine whose process has yet to start.
    pub fn new(role: Role, name: String, address: SocketAddr, disk: Disk) -> Machine {
        Machine {
            role,
            name,
            address,
            life: 0,
            process: None,
            disk,
            frozen: false,
            held: Vec::new(),
            stalled_until: Time::ZERO,
            clock_behind: 0,
            first_start: true,
            cut_at: None,
            gone: false,
            touched: Time::ZERO,
        }
    }

    /// Whether it runs.
    pub fn is_well(&self) -> bool {
        self.process.is_some() && !self.frozen
    }

    /// Whether this life of it runs.
    pub fn runs(&self, life: u64) -> bool {
        self.life == life && self.process.is_some()
    }
}
