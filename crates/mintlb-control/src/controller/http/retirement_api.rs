//! The operator's calls on the retirement of stores. They are carried out by a controller that hears the stores; another
//! one passes them on.

use crate::controller::Controller;
use crate::controller::http::responses::{Response, error_response, out_of_contact, unavailable};
use crate::controller::singleton::messages::{
    RetirementRequest, RetirementStatus, SingletonRequest, SingletonResponse, encoded,
};
use crate::controller::singleton::retirement::{RESPONSE_TIMEOUT, handle_retirement};
use axum::Router;
use axum::extract::{Path, State};
use axum::http::{StatusCode, header};
use axum::response::IntoResponse;
use axum::routing::get;
use mintlb_common::transport::Channel;
use std::sync::Arc;
use tokio::time::Instant;

/// The longest name of a machine.
const MAX_NODE_NAME_BYTES: usize = 256;

/// The calls.
pub fn routes() -> Router<Arc<Controller>> {
    Router::new().route("/v1/retire/{node}", get(progress).post(order))
}

/// `POST /v1/retire/NODE`: the store is to be emptied.
async fn order(State(controller): State<Arc<Controller>>, Path(node): Path<String>) -> Response {
    call(&controller, node, true).await
}

/// `GET /v1/retire/NODE`: how far it is emptied.
async fn progress(State(controller): State<Arc<Controller>>, Path(node): Path<String>) -> Response {
    call(&controller, node, false).await
}

async fn call(controller: &Arc<Controller>, node_name: String, begin: bool) -> Response {
    if node_name.len() > MAX_NODE_NAME_BYTES {
        return error_response(StatusCode::NOT_FOUND, "M441 there is no such store");
    }
    if !controller.is_in_contact() {
        return out_of_contact();
    }
    let call = RetirementRequest { node_name, begin };
    let answer = match controller.receives_store_heartbeats() {
        true => handle_retirement(controller, &call).await,
        false => forward(controller, &call).await,
    };
    if begin {
        log::info!("retire: {}: {answer:?}", call.node_name);
    }
    match answer {
        RetirementStatus::Ordered => StatusCode::OK.into_response(),
        RetirementStatus::Running => state("running"),
        RetirementStatus::Completed => state("completed"),
        RetirementStatus::Unknown => {
            error_response(StatusCode::NOT_FOUND, "M441 there is no such store")
        }
        RetirementStatus::TooFew => {
            error_response(StatusCode::CONFLICT, "M442 too few stores would be left")
        }
        RetirementStatus::Unavailable => {
            unavailable("M443 the placement can't be read or changed now")
        }
    }
}

fn state(state: &str) -> Response {
    (
        [(header::CONTENT_TYPE, "application/json")],
        format!("{{\"state\":\"{state}\"}}"),
    )
        .into_response()
}

/// Passes a call on to the replicas, one after the other.
async fn forward(controller: &Arc<Controller>, call: &RetirementRequest) -> RetirementStatus {
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    let set = controller.register.set().unwrap_or_default();
    let own = controller.transport.local_address();
    let addresses = set
        .current
        .iter()
        .filter_map(|replica| replica.address.parse().ok());
    let body = encoded(&SingletonRequest::Retire(call.clone()));
    for address in addresses.filter(|address| *address != own) {
        let left = deadline.saturating_duration_since(Instant::now());
        let answer = controller
            .transport
            .call(address, Channel::Control, body.clone(), left / 2)
            .await;
        if let Some(SingletonResponse::Retire(answer)) = answer
            .ok()
            .and_then(|answer| minicbor::decode(&answer).ok())
            && answer != RetirementStatus::Unavailable
        {
            return answer;
        }
    }
    RetirementStatus::Unavailable
}
