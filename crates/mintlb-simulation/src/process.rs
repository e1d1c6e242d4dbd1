//! The processes of the model, by role.

use crate::context::{Context, Timer};
use crate::controller::Controller;
use crate::controller::vote::VoteDisk;
use crate::dispatcher::Dispatcher;
use crate::gossip::Gossip;
use crate::message::{ClientRequest, Packet};
use crate::random::Random;
use crate::store::Store;
use crate::store::disk::StoreDisk;
use std::net::SocketAddr;

/// What a machine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes operators' calls and holds a replica of the register.
    Controller,
    /// It keeps jobs.
    Store,
    /// It serves clients.
    Dispatcher,
}

/// What outlives a process.
#[derive(Clone, Debug)]
pub enum Disk {
    /// A controller's.
    Vote(VoteDisk),
    /// A store's.
    Batch(StoreDisk),
    /// None.
    None,
}

/// A process.
pub enum Process {
    /// A controller.
    Controller(Box<Controller>),
    /// A store.
    Store(Box<Store>),
    /// A dispatcher.
    Dispatcher(Box<Dispatcher>),
}

impl Process {
    /// What it knows by the overlay.
    pub fn gossip(&self) -> &Gossip {
        match self {
            Process::Controller(controller) => controller.gossip(),
            Process::Store(store) => store.gossip(),
            Process::Dispatcher(dispatcher) => dispatcher.gossip(),
        }
    }

    /// A message came.
    pub fn packet(&mut self, context: &mut Context, packet: Packet) {
        match self {
            Process::Controller(controller) => controller.packet(context, packet),
            Process::Store(store) => store.packet(context, packet),
            Process::Dispatcher(dispatcher) => dispatcher.packet(context, packet),
        }
    }

    /// A timer ran out.
    pub fn timer(&mut self, context: &mut Context, timer: Timer) {
        match self {
            Process::Controller(controller) => controller.timer(context, timer),
            Process::Store(store) => store.timer(context, timer),
            Process::Dispatcher(dispatcher) => dispatcher.timer(context, timer),
        }
    }

    /// A call's receiver can't be reached.
    pub fn call_lost(&mut self, context: &mut Context, id: u64) {
        match self {
            Process::Controller(controller) => controller.call_lost(context, id),
            Process::Dispatcher(dispatcher) => dispatcher.call_lost(context, id),
            Process::Store(_) => (),
        }
    }

    /// A process can't be reached.
    pub fn unreachable(&mut self, context: &mut Context, peer: SocketAddr) {
        match self {
            Process::Controller(controller) => controller.unreachable(context, peer),
            Process::Store(store) => store.unreachable(context, peer),
            Process::Dispatcher(dispatcher) => dispatcher.unreachable(context, peer),
        }
    }

    /// A call from outside the tier.
    pub fn on_client_request(&mut self, context: &mut Context, id: u64, request: ClientRequest) {
        match self {
            Process::Controller(controller) => controller.on_client_request(context, id, request),
            Process::Dispatcher(dispatcher) => dispatcher.on_client_request(context, id, request),
            Process::Store(_) => (),
        }
    }

    /// The process ends; what its disk holds.
    pub fn crash(self, random: &mut Random) -> Disk {
        match self {
            Process::Controller(controller) => Disk::Vote(controller.crash(random)),
            Process::Store(store) => Disk::Batch(store.crash(random)),
            Process::Dispatcher(_) => Disk::None,
        }
    }
}
