//! Retirement of stores at the operator's request, at a controller that receives the stores'
//! heartbeats.

use super::messages::{RetirementRequest, RetirementStatus};
use super::store_monitor::StoreMonitor;
use crate::controller::contact::monitor::ContactMonitor;
use crate::controller::register::RegisterClient;
use crate::controller::settings::SharedSettings;
use mintlb_batch::placement_planner::{
    ClusterSnapshot, DecommissionError, DecommissionStart, DecommissionStatus, LIVE_TIMEOUT,
    PlacementPolicy, decommission_status, start_decommission,
};
use mintlb_common::placement::Placement;
use mintlb_register::change::Change;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The time within which the operator has to be answered: after a second he calls another
/// controller.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(850);
/// The time that a read of the newest placement is given.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// The time in contact after which the stores' heartbeats count as complete again: two intervals of
/// them. Earlier, a partition or pause may have hidden some.
const MIN_CONTACT: Duration = Duration::from_millis(900);

/// Handles requests on the retirement of stores.
pub struct RetirementHandler {
    register: Arc<RegisterClient>,
    contact: Arc<ContactMonitor>,
    stores: Arc<StoreMonitor>,
    settings: Arc<SharedSettings>,
}

impl RetirementHandler {
    /// Decides by the newest placement and the stores' heartbeats.
    pub fn new(
        register: Arc<RegisterClient>,
        contact: Arc<ContactMonitor>,
        stores: Arc<StoreMonitor>,
        settings: Arc<SharedSettings>,
    ) -> RetirementHandler {
        RetirementHandler {
            register,
            contact,
            stores,
            settings,
        }
    }

    /// Handles a request within [`RESPONSE_TIMEOUT`]. A change that lost against another one is
    /// planned again.
    pub async fn handle(&self, request: &RetirementRequest) -> RetirementStatus {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let node_name = &request.node_name;
        loop {
            if !self.contact.is_in_contact() {
                return RetirementStatus::Unavailable;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(chosen) = self.register.read(remaining.min(READ_TIMEOUT)).await else {
                return RetirementStatus::Unavailable;
            };
            let placement = &chosen.state.placement;
            let policy = self.settings.placement_policy(&chosen.state.replicas);
            let snapshot = self.stores.snapshot(placement);
            let heartbeats_complete = self.contact.in_contact_for() >= MIN_CONTACT;
            if !request.begin {
                return progress(
                    placement,
                    &snapshot,
                    node_name,
                    &policy,
                    heartbeats_complete,
                );
            }
            let next = match start_decommission(placement, &snapshot, node_name, &policy) {
                Ok(DecommissionStart::AlreadyStarted) => return RetirementStatus::Ordered,
                Err(DecommissionError::UnknownNode) => return RetirementStatus::NotFound,
                _ if !heartbeats_complete => return RetirementStatus::Unavailable,
                Err(DecommissionError::TooFewStores) => return RetirementStatus::TooFewStores,
                Err(DecommissionError::StoreDraining) => return RetirementStatus::Unavailable,
                Ok(DecommissionStart::Planned(next)) => next,
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            let change = Change::SetPlacement(next);
            match self.register.change(change, remaining).await {
                Ok(outcome) if outcome.change.is_applied() => return RetirementStatus::Ordered,
                Ok(_) => (),
                Err(_) => return RetirementStatus::Unavailable,
            }
        }
    }
}

/// The progress of a retirement by the newest placement. Its completion counts only with recent
/// reports of all primaries, and at a process whose heartbeats are complete.
pub fn progress(
    placement: &Placement,
    snapshot: &ClusterSnapshot,
    node_name: &str,
    policy: &PlacementPolicy,
    heartbeats_complete: bool,
) -> RetirementStatus {
    match decommission_status(placement, snapshot, node_name, policy) {
        Some(DecommissionStatus::Decommissioned)
            if heartbeats_complete && all_primaries_live(placement, snapshot) =>
        {
            RetirementStatus::Completed
        }
        Some(DecommissionStatus::Decommissioned) => RetirementStatus::Unavailable,
        Some(DecommissionStatus::InProgress) => RetirementStatus::Running,
        None => RetirementStatus::NotFound,
    }
}

fn all_primaries_live(placement: &Placement, snapshot: &ClusterSnapshot) -> bool {
    let mut primaries = placement
        .shards
        .iter()
        .filter_map(|shard| shard.replicas.first());
    primaries.all(|primary| snapshot.since_heartbeat(*primary) < LIVE_TIMEOUT)
}
