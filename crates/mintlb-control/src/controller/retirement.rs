//! Carries out the operator's calls on the retirement of stores, at a controller that hears the stores.

use super::Controller;
use super::duty_messages::{RetireAnswer, RetireCall};
use mintlb_batch::placement_planner::{
    LIVE, Retirement, RetirementOrder, StoreView, order_retirement, retirement,
};
use mintlb_common::placement::Placement;
use mintlb_register::change::Change;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The operator calls another controller after a second.
pub const ANSWER_WITHIN: Duration = Duration::from_millis(850);
/// How long the newest placement may take to be read.
const READ_WITHIN: Duration = Duration::from_millis(400);
/// After a cut or a pause the stores are listened to for so long before anything is said of them: two periods of their
/// heartbeats.
const LISTENS_FIRST: Duration = Duration::from_millis(900);

/// Carries out a call by what this process knows of the stores.
pub async fn carry_out(controller: &Arc<Controller>, call: &RetireCall) -> RetireAnswer {
    let deadline = Instant::now() + ANSWER_WITHIN;
    let tolerance = controller.settings().fault_tolerance.machines;
    loop {
        if !controller.is_in_contact() {
            return RetireAnswer::Unavailable;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let Ok(chosen) = controller.register.read(left.min(READ_WITHIN)).await else {
            return RetireAnswer::Unavailable;
        };
        let placement = &chosen.state.placement;
        let view = controller.duties.store_view(placement);
        let has_listened = controller.in_contact_for() >= LISTENS_FIRST;
        if !call.begin {
            return progress(placement, &view, &call.node_name, tolerance, has_listened);
        }
        let next = match order_retirement(placement, &view, &call.node_name, tolerance) {
            RetirementOrder::AlreadyStarted => return RetireAnswer::Ordered,
            RetirementOrder::NotFound => return RetireAnswer::Unknown,
            _ if !has_listened => return RetireAnswer::Unavailable,
            RetirementOrder::TooFewStores => return RetireAnswer::TooFew,
            RetirementOrder::Unavailable => return RetireAnswer::Unavailable,
            RetirementOrder::Start(next) => next,
        };
        let left = deadline.saturating_duration_since(Instant::now());
        match controller
            .register
            .change(Change::SetPlacement(next), left)
            .await
        {
            Ok(outcome) if outcome.change.is_applied() => return RetireAnswer::Ordered,
            // The placement has changed in between.
            Ok(_) => (),
            Err(_) => return RetireAnswer::Unavailable,
        }
    }
}

/// How far a store is emptied, by the newest placement. Only what primaries said lately counts for its end, to a
/// process that has listened for long enough.
pub fn progress(
    placement: &Placement,
    view: &StoreView,
    node_name: &str,
    tolerance: usize,
    has_listened: bool,
) -> RetireAnswer {
    match retirement(placement, view, node_name, tolerance) {
        Some(Retirement::Completed) if has_listened && hears_primaries(placement, view) => {
            RetireAnswer::Completed
        }
        Some(Retirement::Completed) => RetireAnswer::Unavailable,
        Some(Retirement::Running) => RetireAnswer::Running,
        None => RetireAnswer::Unknown,
    }
}

fn hears_primaries(placement: &Placement, view: &StoreView) -> bool {
    let mut primaries = placement
        .shards
        .iter()
        .filter_map(|shard| shard.replicas.first());
    primaries.all(|primary| view.since_heartbeat(*primary) < LIVE)
}
