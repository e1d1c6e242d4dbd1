//! The operator's calls on the retirement of stores. They are carried out by a controller that hears the stores; another
//! one passes them on.

use super::Controller;
use super::answers::{Answered, out_of_contact, refuse, unavailable};
use super::duty_messages::{DutyAnswer, DutyCall, RetireAnswer, RetireCall, encoded};
use super::retirement::{ANSWER_WITHIN, carry_out};
use axum::Router;
use axum::extract::{Path, State};
use axum::http::{StatusCode, header};
use axum::response::IntoResponse;
use axum::routing::get;
use mintlb_common::transport::Channel;
use std::sync::Arc;
use tokio::time::Instant;

/// The longest name of a machine.
const MOST_NAME_BYTES: usize = 256;

/// The calls.
pub fn routes() -> Router<Arc<Controller>> {
    Router::new().route("/v1/retire/{node}", get(progress).post(order))
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
    if !controller.is_in_contact() {
        return out_of_contact();
    }
    let call = RetireCall { node_name, begin };
    let answer = match controller.hears_stores() {
        true => carry_out(controller, &call).await,
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
    (
        [(header::CONTENT_TYPE, "application/json")],
        format!("{{\"state\":\"{state}\"}}"),
    )
        .into_response()
}

/// Passes a call on to the replicas, one after the other.
async fn pass_on(controller: &Arc<Controller>, call: &RetireCall) -> RetireAnswer {
    let deadline = Instant::now() + ANSWER_WITHIN;
    let set = controller.register.set().unwrap_or_default();
    let own = controller.transport.local_address();
    let addresses = set
        .current
        .iter()
        .filter_map(|replica| replica.address.parse().ok());
    let body = encoded(&DutyCall::Retire(call.clone()));
    for address in addresses.filter(|address| *address != own) {
        let left = deadline.saturating_duration_since(Instant::now());
        let answer = controller
            .transport
            .call(address, Channel::Control, body.clone(), left / 2)
            .await;
        if let Some(DutyAnswer::Retire(answer)) = answer
            .ok()
            .and_then(|answer| minicbor::decode(&answer).ok())
            && answer != RetireAnswer::Unavailable
        {
            return answer;
        }
    }
    RetireAnswer::Unavailable
}
