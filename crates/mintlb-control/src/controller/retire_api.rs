//! The operator's calls on the retirement of stores. They are carried out by a controller that hears the stores; another
//! one passes them on.

use super::Controller;
use super::duties::{DutyAnswer, DutyCall, encoded};
use super::http::{Answered, refuse, unavailable};
use super::register::is_done;
use axum::Router;
use axum::extract::{Path, State};
use axum::http::{StatusCode, header};
use axum::response::IntoResponse;
use axum::routing::get;
use minicbor::{Decode, Encode};
use mintlb_lots::placement_planner::{Retirement, RetirementOrder, order_retirement, retirement};
use mintlb_register::change::Change;
use mintlb_tier::transport::Channel;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The operator calls another controller after a second.
const ANSWER_WITHIN: Duration = Duration::from_millis(850);
/// How long the newest placement may take to be read.
const READ_WITHIN: Duration = Duration::from_millis(400);
/// The longest name of a machine.
const MOST_NAME_BYTES: usize = 256;

/// The calls.
pub fn routes() -> Router<Arc<Controller>> {
    Router::new().route("/v1/retire/{node}", get(progress).post(order))
}

/// A call as it is passed on.
#[derive(Clone, Debug, Encode, Decode)]
pub struct RetireCall {
    /// The machine's name.
    #[n(0)]
    pub node_name: String,
    /// Begin, rather than tell how far it is.
    #[n(1)]
    pub begin: bool,
}

/// What the operator is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum RetireAnswer {
    /// The order stands.
    #[n(0)]
    Ordered,
    /// It is under way.
    #[n(1)]
    Running,
    /// The machine can be taken away.
    #[n(2)]
    Completed,
    /// There is no such store or no such order.
    #[n(3)]
    Unknown,
    /// Too few stores would be left.
    #[n(4)]
    TooFew,
    /// It can't be said now.
    #[n(5)]
    Unavailable,
}

/// `POST /v1/retire/NODE`: the store is to be emptied.
async fn order(State(controller): State<Arc<Controller>>, Path(node): Path<String>) -> Answered {
    call(&controller, node, true).await
}

/// `GET /v1/retire/NODE`: how far it is emptied.
async fn progress(State(controller): State<Arc<Controller>>, Path(node): Path<String>) -> Answered {
    call(&controller, node, false).await
}

async fn call(controller: &Arc<Controller>, node_name: String, begin: bool) -> Answered {
    if node_name.len() > MOST_NAME_BYTES {
        return refuse(StatusCode::NOT_FOUND, "M441 there is no such store");
    }
    let call = RetireCall { node_name, begin };
    let answer = match controller.hears_stores() {
        true => carry_out(controller, call.clone()).await,
        false => pass_on(controller, &call).await,
    };
    if begin {
        log::info!("retire: {}: {answer:?}", call.node_name);
    }
    match answer {
        RetireAnswer::Ordered => StatusCode::OK.into_response(),
        RetireAnswer::Running => state("running"),
        RetireAnswer::Completed => state("completed"),
        RetireAnswer::Unknown => refuse(StatusCode::NOT_FOUND, "M441 there is no such store"),
        RetireAnswer::TooFew => refuse(StatusCode::CONFLICT, "M442 too few stores would be left"),
        RetireAnswer::Unavailable => unavailable("M443 the placement can't be read or changed now"),
    }
}

fn state(state: &str) -> Answered {
    ([(header::CONTENT_TYPE, "application/json")], format!("{{\"state\":\"{state}\"}}")).into_response()
}

/// Carries out a call by what this process knows of the stores.
pub async fn carry_out(controller: &Arc<Controller>, call: RetireCall) -> RetireAnswer {
    let deadline = Instant::now() + ANSWER_WITHIN;
    let tolerance = controller.settings().fault_tolerance.machines;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let Ok(chosen) = controller.register.read(left.min(READ_WITHIN)).await else {
            return RetireAnswer::Unavailable;
        };
        let placement = &chosen.state.placement;
        let view = controller.duties.store_view(placement);
        if !call.begin {
            return match retirement(placement, &view, &call.node_name, tolerance) {
                Some(Retirement::Completed) => RetireAnswer::Completed,
                Some(Retirement::Running) => RetireAnswer::Running,
                None => RetireAnswer::Unknown,
            };
        }
        let next = match order_retirement(placement, &view, &call.node_name, tolerance) {
            RetirementOrder::Begin(next) => next,
            RetirementOrder::Begun => return RetireAnswer::Ordered,
            RetirementOrder::Unknown => return RetireAnswer::Unknown,
            RetirementOrder::TooFew => return RetireAnswer::TooFew,
        };
        let left = deadline.saturating_duration_since(Instant::now());
        match controller.register.change(Change::Placement(next), left).await {
            Ok(outcome) if is_done(outcome.answer) => return RetireAnswer::Ordered,
            // The placement has changed in between.
            Ok(_) => (),
            Err(_) => return RetireAnswer::Unavailable,
        }
    }
}

/// Passes a call on to the replicas, one after the other.
async fn pass_on(controller: &Arc<Controller>, call: &RetireCall) -> RetireAnswer {
    let deadline = Instant::now() + ANSWER_WITHIN;
    let set = controller.register.set().unwrap_or_default();
    let own = controller.transport.own_address();
    let addresses = set.current.iter().filter_map(|replica| replica.address.parse().ok());
    let body = encoded(&DutyCall::Retire(call.clone()));
    for address in addresses.filter(|address| *address != own) {
        let left = deadline.saturating_duration_since(Instant::now());
        let answer = controller.transport.call(address, Channel::Duties, body.clone(), left / 2).await;
        if let Some(DutyAnswer::Retire(answer)) =
            answer.ok().and_then(|answer| minicbor::decode(&answer).ok())
            && answer != RetireAnswer::Unavailable
        {
            return answer;
        }
    }
    RetireAnswer::Unavailable
}
