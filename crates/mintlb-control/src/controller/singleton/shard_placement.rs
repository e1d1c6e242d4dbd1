//! Placement of the shards on the stores.

use super::CHANGE_TIMEOUT;
use super::store_monitor::StoreMonitor;
use crate::controller::register::RegisterClient;
use crate::controller::settings::SharedSettings;
use mintlb_batch::placement_planner::{Protection, plan, protection};
use mintlb_common::record::PLACEMENT;
use mintlb_gossip::GossipService;
use mintlb_register::change::Change;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The time that a read of the register by the leader is given.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// Writes placements to the register.
pub struct ShardPlacement {
    register: Arc<RegisterClient>,
    gossip: Arc<GossipService>,
    stores: Arc<StoreMonitor>,
    settings: Arc<SharedSettings>,
    /// The protection of the shards that was logged last.
    logged: Mutex<Protection>,
}

impl ShardPlacement {
    /// Plans by the stores' states and the configured fault tolerance.
    pub fn new(
        register: Arc<RegisterClient>,
        gossip: Arc<GossipService>,
        stores: Arc<StoreMonitor>,
        settings: Arc<SharedSettings>,
    ) -> ShardPlacement {
        ShardPlacement {
            register,
            gossip,
            stores,
            settings,
            logged: Mutex::default(),
        }
    }

    /// Reads the register if another controller has published a newer placement than the one known
    /// here.
    pub async fn refresh(&self) {
        let published = self
            .gossip
            .get(PLACEMENT)
            .map_or(0, |record| record.version);
        let known = self
            .register
            .chosen()
            .map_or(0, |chosen| chosen.state.placement.epoch);
        if published > known {
            // Without success the plan is based on an older placement, and the register rejects it.
            let deadline = Instant::now() + READ_TIMEOUT;
            self.register.read_once(deadline).await.ok();
        }
    }

    /// Writes the next placement, if the planner has one.
    pub async fn place_shards(&self) {
        let Some(chosen) = self.register.chosen() else {
            return;
        };
        let placement = &chosen.state.placement;
        let set = &chosen.state.replicas;
        let policy = self.settings.placement_policy(set);
        let is_first = placement.shards.is_empty();
        if is_first && !set.remains_durable_after(&policy.tolerance) {
            // Nothing can be lost yet; what is accepted under a placement has to find it again.
            return;
        }
        let snapshot = self.stores.snapshot(placement);
        let Some(next) = plan(placement, &snapshot, &policy) else {
            return self.log_protection(protection(placement, &snapshot, &policy));
        };
        let epoch = next.epoch;
        let change = Change::SetPlacement(next);
        match self.register.change(change, CHANGE_TIMEOUT).await {
            Ok(outcome) if outcome.change.is_applied() => {
                log::info!("singleton: placed the shards, placement epoch {epoch}");
            }
            Ok(outcome) => log::info!(
                "singleton: the register rejected placement epoch {epoch}: {:?}",
                outcome.change
            ),
            Err(error) => log::info!("singleton: placement epoch {epoch} is unconfirmed: {error}"),
        }
    }
    /// Logs how well the shards of a settled placement are protected, when that has changed.
    fn log_protection(&self, protection: Protection) {
        let mut logged = self.logged.lock();
        if *logged == protection {
            return;
        }
        *logged = protection;
        if protection.is_complete() {
            log::info!("singleton: all shards outlast the tolerated losses and go on after them");
            return;
        }
        log::warn!(
            "singleton: too few stores or domains: {} shards can't commit, {} would stop at a second loss, {} go by the number of replicas",
            protection.without_write_quorum,
            protection.stopped_by_second_loss,
            protection.without_rule
        );
    }
}
