//! The placement duty and the retirement of stores; mirrors `controller/singleton/leader.rs` and `controller/singleton/retirement.rs`
//! around the product's planner.

use super::Controller;
use super::duties::TOLERANCE;
use super::tasks::{Ended, Purpose};
use crate::context::{Context, Out};
use crate::message::Told;
use crate::planted::Planted;
use crate::store::SHARDS;
use mintlb_batch::placement_planner::{
    DecommissionError, DecommissionStart, plan, start_decommission,
};
use mintlb_common::placement::{Placement, StoreId};
use mintlb_common::record::PLACEMENT;
use mintlb_control::controller::singleton::messages::RetirementStatus;
use mintlb_control::controller::singleton::retirement::progress;
use mintlb_register::change::Change;
use mintlb_register::state::ControlState;
use std::time::Duration;

/// After a cut or a pause the stores are listened to for so long before anything is said of them.
const LISTENS_FIRST: Duration = Duration::from_millis(900);
const CHANGE_WITHIN: Duration = Duration::from_millis(700);
const KEEP_UP_WITHIN: Duration = Duration::from_millis(200);
const RETIRE_READ_WITHIN: Duration = Duration::from_millis(400);
const RETIRE_CHANGE_WITHIN: Duration = Duration::from_millis(450);

impl Controller {
    /// Does the duties, one after the other, if they fall to this process.
    pub(super) fn do_duties(&mut self, context: &mut Context) {
        if !self.may_begin_duties(context) {
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
            true => self.read_once(context, KEEP_UP_WITHIN, Purpose::KeepUp),
            false => self.place_shards(context),
        }
    }

    /// Writes the next placement, if the planner has one.
    pub(super) fn place_shards(&mut self, context: &mut Context) {
        let chosen = self.register.chosen().filter(|_| self.has_duties(context));
        let Some(chosen) = chosen else {
            return self.remove_silent_replica(context);
        };
        let placement = chosen.state.placement.clone();
        let view = self.duties.store_view(context, &placement);
        let Some(mut next) = plan(&placement, &view, TOLERANCE) else {
            return self.remove_silent_replica(context);
        };
        next.shards.truncate(SHARDS as usize);
        if context.planted == Planted::PreviousNotRead {
            next.shards
                .iter_mut()
                .for_each(|shard| shard.previous.clear());
        }
        context.out.push(Out::Note(format!(
            "{} places {}",
            self.name,
            described(&next)
        )));
        self.change(
            context,
            Change::SetPlacement(next),
            CHANGE_WITHIN,
            Purpose::Place,
        );
    }

    /// A call on a retirement.
    pub(super) fn retire(&mut self, context: &mut Context, ask: u64, node: String, begin: bool) {
        let own = self.replica.identity().id;
        let hears = self
            .register
            .set()
            .is_some_and(|set| set.current_replica(own).is_some());
        if !hears || !self.is_in_contact(context) {
            return context.out.push(Out::Tell(ask, Told::Unavailable));
        }
        self.read(
            context,
            RETIRE_READ_WITHIN,
            Purpose::Retire { ask, node, begin },
        );
    }

    /// The newest placement for a call on a retirement was read.
    pub(super) fn retire_read(
        &mut self,
        context: &mut Context,
        (ask, node, begin): (u64, String, bool),
        state: Option<&ControlState>,
    ) {
        let Some(state) = state else {
            return context.out.push(Out::Tell(ask, Told::Unavailable));
        };
        let placement = &state.placement;
        let view = self.duties.store_view(context, placement);
        let has_listened = self.in_contact_for(context) >= LISTENS_FIRST;
        let told = match begin {
            true => match start_decommission(placement, &view, &node, TOLERANCE) {
                Ok(DecommissionStart::AlreadyStarted) => Told::Retiring { completed: false },
                Err(DecommissionError::UnknownNode) => Told::Refused,
                _ if !has_listened => Told::Unavailable,
                Err(DecommissionError::TooFewStores) => Told::Refused,
                Err(DecommissionError::StoreDraining) => Told::Unavailable,
                Ok(DecommissionStart::Planned(next)) => {
                    let change = Change::SetPlacement(next);
                    return self.change(
                        context,
                        change,
                        RETIRE_CHANGE_WITHIN,
                        Purpose::RetireOrder(ask),
                    );
                }
            },
            false => match progress(placement, &view, &node, TOLERANCE, has_listened) {
                RetirementStatus::Completed => Told::Retiring { completed: true },
                RetirementStatus::NotFound => Told::Refused,
                _ if context.planted == Planted::LeavingNotWaitedFor => {
                    Told::Retiring { completed: true }
                }
                RetirementStatus::Running => Told::Retiring { completed: false },
                _ => Told::Unavailable,
            },
        };
        context.out.push(Out::Tell(ask, told));
    }

    /// The order of a retirement has ended.
    pub(super) fn retire_ordered(&mut self, context: &mut Context, ask: u64, ended: Ended) {
        let ordered = matches!(ended, Ended::Changed(outcome) if outcome.change.is_applied());
        let told = if ordered {
            Told::Retiring { completed: false }
        } else {
            Told::Unavailable
        };
        context.out.push(Out::Tell(ask, told));
    }
}

fn described(placement: &Placement) -> String {
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
