//! Shard placement and the retirement of stores; mirrors `controller/singleton/leader.rs` and `controller/singleton/retirement.rs`
//! around the product's planner.

use super::Controller;
use super::singleton::TOLERANCE;
use super::tasks::{Ended, Purpose};
use crate::context::{Context, Out};
use crate::message::ClientResponse;
use crate::mutations::Mutation;
use crate::store::SHARDS;
use mintlb_batch::placement_planner::{
    DecommissionError, DecommissionStart, PlacementPolicy, plan, start_decommission,
};
use mintlb_common::placement::{Placement, StoreId};
use mintlb_common::record::PLACEMENT;
use mintlb_control::controller::singleton::messages::RetirementStatus;
use mintlb_control::controller::singleton::retirement::progress;
use mintlb_register::change::Change;
use mintlb_register::state::ControlState;
use std::time::Duration;

/// How long heartbeats are collected after a cut or a pause before the stores are judged.
const STABILIZATION_DELAY: Duration = Duration::from_millis(900);
const CHANGE_TIMEOUT: Duration = Duration::from_millis(700);
const REFRESH_TIMEOUT: Duration = Duration::from_millis(200);
const RETIREMENT_READ_TIMEOUT: Duration = Duration::from_millis(400);
const RETIREMENT_CHANGE_TIMEOUT: Duration = Duration::from_millis(450);

/// What placements have to bear.
const POLICY: PlacementPolicy = PlacementPolicy {
    tolerance: TOLERANCE,
    supports_quorum_rules: true,
};

impl Controller {
    /// Runs the singleton tasks one after the other if this process is the leader.
    pub(super) fn run_singleton_work(&mut self, context: &mut Context) {
        if !self.try_begin_singleton_work(context) {
            return;
        }
        let published = self
            .gossip
            .get(PLACEMENT)
            .map_or(0, |record| record.version);
        let known = self
            .register
            .chosen()
            .map_or(0, |chosen| chosen.state.placement.epoch);
        match published > known {
            true => self.read_once(context, REFRESH_TIMEOUT, Purpose::RefreshPlacement),
            false => self.place_shards(context),
        }
    }

    /// Writes the next placement, if the planner has one.
    pub(super) fn place_shards(&mut self, context: &mut Context) {
        let chosen = self.register.chosen().filter(|_| self.is_leader(context));
        let Some(chosen) = chosen else {
            return self.remove_unresponsive_replica(context);
        };
        let placement = chosen.state.placement.clone();
        let view = self.singleton.store_snapshot(context, &placement);
        let Some(mut next) = plan(&placement, &view, &POLICY) else {
            return self.remove_unresponsive_replica(context);
        };
        next.shards.truncate(SHARDS as usize);
        if context.mutation == Mutation::PreviousReplicasNotRead {
            next.shards
                .iter_mut()
                .for_each(|shard| shard.previous.clear());
        }
        context.out.push(Out::Note(format!(
            "{} places {}",
            self.name,
            describe(&next)
        )));
        self.change(
            context,
            Change::SetPlacement(next),
            CHANGE_TIMEOUT,
            Purpose::PlaceShards,
        );
    }

    /// A call on a retirement.
    pub(super) fn retire(
        &mut self,
        context: &mut Context,
        request_id: u64,
        node: String,
        begin: bool,
    ) {
        let own = self.replica.identity().id;
        let hears = self
            .register
            .set()
            .is_some_and(|set| set.current_replica(own).is_some());
        if !hears || !self.is_in_contact(context) {
            return context
                .out
                .push(Out::Respond(request_id, ClientResponse::Unavailable));
        }
        self.read(
            context,
            RETIREMENT_READ_TIMEOUT,
            Purpose::Retire {
                request_id,
                node,
                begin,
            },
        );
    }

    /// The newest placement for a call on a retirement was read.
    pub(super) fn retire_read(
        &mut self,
        context: &mut Context,
        (request_id, node, begin): (u64, String, bool),
        state: Option<&ControlState>,
    ) {
        let Some(state) = state else {
            return context
                .out
                .push(Out::Respond(request_id, ClientResponse::Unavailable));
        };
        let placement = &state.placement;
        let view = self.singleton.store_snapshot(context, placement);
        let has_listened = self.in_contact_for(context) >= STABILIZATION_DELAY;
        let response = match begin {
            true => match start_decommission(placement, &view, &node, &POLICY) {
                Ok(DecommissionStart::AlreadyStarted) => {
                    ClientResponse::Retiring { completed: false }
                }
                Err(DecommissionError::UnknownNode) => ClientResponse::Refused,
                _ if !has_listened => ClientResponse::Unavailable,
                Err(DecommissionError::TooFewStores) => ClientResponse::Refused,
                Err(DecommissionError::StoreDraining) => ClientResponse::Unavailable,
                Ok(DecommissionStart::Planned(next)) => {
                    let change = Change::SetPlacement(next);
                    return self.change(
                        context,
                        change,
                        RETIREMENT_CHANGE_TIMEOUT,
                        Purpose::RetireOrder(request_id),
                    );
                }
            },
            false => match progress(placement, &view, &node, &POLICY, has_listened) {
                RetirementStatus::Completed => ClientResponse::Retiring { completed: true },
                RetirementStatus::NotFound => ClientResponse::Refused,
                _ if context.mutation == Mutation::DecommissionNotAwaited => {
                    ClientResponse::Retiring { completed: true }
                }
                RetirementStatus::Running => ClientResponse::Retiring { completed: false },
                _ => ClientResponse::Unavailable,
            },
        };
        context.out.push(Out::Respond(request_id, response));
    }

    /// The order of a retirement has ended.
    pub(super) fn retire_ordered(&mut self, context: &mut Context, request_id: u64, ended: Ended) {
        let ordered = matches!(ended, Ended::Changed(outcome) if outcome.change.is_applied());
        let response = if ordered {
            ClientResponse::Retiring { completed: false }
        } else {
            ClientResponse::Unavailable
        };
        context.out.push(Out::Respond(request_id, response));
    }
}

fn describe(placement: &Placement) -> String {
    let numbers = |ids: &[StoreId]| ids.iter().map(|id| id.0).collect::<Vec<_>>();
    let shard = |shard: &mintlb_common::placement::ShardAssignment| {
        format!(
            "{}: {:?} from {:?}",
            shard.epoch,
            numbers(&shard.replicas),
            numbers(&shard.previous)
        )
    };
    let shards: Vec<String> = placement.shards.iter().map(shard).collect();
    format!("{} [{}]", placement.epoch, shards.join("; "))
}
