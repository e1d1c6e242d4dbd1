//! The controller: serves the HTTP API of workers and the operator, runs a replica of the register
//! where the machine has a disk, and competes for the singleton role, which one controller at a
//! time fills.
//!
//! - [`process`]: the process, from its start to its shutdown.
//! - [`startup`]: assembles a [`Controller`] and starts its tasks.
//! - [`register`]: the replicated register, its replica on this machine, and membership of the
//!   replica set.
//! - [`contact`]: liveness of the other controllers, contact with a quorum, election of the
//!   singleton leader.
//! - [`singleton`]: the work of the leader, and the protocol between controllers.
//! - [`workers`]: the workers that send their heartbeats to this controller.
//! - [`http`]: the HTTP API.
//! - [`settings`], [`settings_reload`]: the settings in force, and changes of their file.

pub mod contact;
pub mod error;
pub mod http;
pub mod process;
pub mod quota;
pub mod register;
pub mod settings;
pub mod settings_reload;
pub mod singleton;
pub mod startup;
pub mod workers;

pub use error::ControllerError;
pub use process::run;
pub use startup::{StartedController, start};

use http::HttpApi;
use mintlb_common::transport::Transport;
use mintlb_gossip::GossipService;
use register::RegisterClient;
use register::membership::Membership;
use settings::SharedSettings;
use std::sync::Arc;
use workers::service::WorkerService;

/// The parts of a controller that its process uses from the start to the shutdown. Each part holds
/// what it needs of the others.
pub struct Controller {
    /// The HTTP API.
    pub http: HttpApi,
    /// The records that this process and its peers publish.
    pub gossip: Arc<GossipService>,
    /// Access to the register.
    pub register: Arc<RegisterClient>,
    /// Membership of the local replica in the replica set.
    pub membership: Arc<Membership>,
    /// The workers that send their heartbeats here.
    pub workers: Arc<WorkerService>,
    settings: Arc<SharedSettings>,
    transport: Arc<Transport>,
}

impl Controller {
    /// Closes the disk, once all queued writes are synced. The replica gives no reply any more.
    pub fn close(&self) {
        if let Some(replica) = self.register.replica() {
            replica.close();
        }
    }
}
