//! Carries out the operator's calls on the retirement of stores, at a controller that hears the stores.

use crate::controller::Controller;
use crate::controller::singleton::messages::{RetirementRequest, RetirementStatus};
use mintlb_batch::placement_planner::{
    ClusterSnapshot, DecommissionStart, DecommissionStatus, LIVE_TIMEOUT, decommission_status,
    start_decommission,
};
use mintlb_common::placement::Placement;
use mintlb_register::change::Change;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The operator calls another controller after a second.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(850);
/// How long the newest placement may take to be read.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// After a cut or a pause the stores are listened to for so long before anything is said of them: two periods of their
/// heartbeats.
const MIN_CONTACT: Duration = Duration::from_millis(900);

/// Carries out a call by what this process knows of the stores.
pub async fn handle_retirement(
    controller: &Arc<Controller>,
    call: &RetirementRequest,
) -> RetirementStatus {
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    let tolerance = controller.settings().fault_tolerance.machines;
    loop {
        if !controller.is_in_contact() {
            return RetirementStatus::Unavailable;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let Ok(chosen) = controller.register.read(left.min(READ_TIMEOUT)).await else {
            return RetirementStatus::Unavailable;
        };
        let placement = &chosen.state.placement;
        let view = controller.singleton.store_view(placement);
        let has_current_heartbeats = controller.in_contact_for() >= MIN_CONTACT;
        if !call.begin {
            return progress(
                placement,
                &view,
                &call.node_name,
                tolerance,
                has_current_heartbeats,
            );
        }
        let next = match start_decommission(placement, &view, &call.node_name, tolerance) {
            DecommissionStart::AlreadyStarted => return RetirementStatus::Ordered,
            DecommissionStart::NotFound => return RetirementStatus::Unknown,
            _ if !has_current_heartbeats => return RetirementStatus::Unavailable,
            DecommissionStart::TooFewStores => return RetirementStatus::TooFew,
            DecommissionStart::Unavailable => return RetirementStatus::Unavailable,
            DecommissionStart::Start(next) => next,
        };
        let left = deadline.saturating_duration_since(Instant::now());
        match controller
            .register
            .change(Change::SetPlacement(next), left)
            .await
        {
            Ok(outcome) if outcome.change.is_applied() => return RetirementStatus::Ordered,
            // The placement has changed in between.
            Ok(_) => (),
            Err(_) => return RetirementStatus::Unavailable,
        }
    }
}

/// How far a store is emptied, by the newest placement. Only what primaries said lately counts for its end, to a
/// process that has listened for long enough.
pub fn progress(
    placement: &Placement,
    view: &ClusterSnapshot,
    node_name: &str,
    tolerance: usize,
    has_current_heartbeats: bool,
) -> RetirementStatus {
    match decommission_status(placement, view, node_name, tolerance) {
        Some(DecommissionStatus::Decommissioned)
            if has_current_heartbeats && all_primaries_live(placement, view) =>
        {
            RetirementStatus::Completed
        }
        Some(DecommissionStatus::Decommissioned) => RetirementStatus::Unavailable,
        Some(DecommissionStatus::InProgress) => RetirementStatus::Running,
        None => RetirementStatus::Unknown,
    }
}

fn all_primaries_live(placement: &Placement, view: &ClusterSnapshot) -> bool {
    let mut primaries = placement
        .shards
        .iter()
        .filter_map(|shard| shard.replicas.first());
    primaries.all(|primary| view.since_heartbeat(*primary) < LIVE_TIMEOUT)
}
