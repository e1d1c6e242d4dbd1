//! The operator's calls on the retirement of stores. A controller that receives the stores'
//! heartbeats handles them; another one forwards them.

use super::responses::{error_response, unavailable};
use crate::controller::contact::monitor::ContactMonitor;
use crate::controller::register::RegisterClient;
use crate::controller::singleton::messages::{
    ControllerRequest, ControllerResponse, RetirementRequest, RetirementStatus, encode,
};
use crate::controller::singleton::retirement::{RESPONSE_TIMEOUT, RetirementHandler};
use crate::controller::workers::service::NotAcknowledged;
use axum::Router;
use axum::extract::{Path, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bytes::Bytes;
use mintlb_common::transport::{Channel, Transport};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The longest name of a machine.
const MAX_NODE_NAME_BYTES: usize = 256;

/// What the calls need.
#[derive(Clone)]
pub struct RetirementApi {
    /// Handles the calls, with the stores' heartbeats.
    pub handler: Arc<RetirementHandler>,
    /// Tells whether this process may answer at all.
    pub contact: Arc<ContactMonitor>,
    /// Tells the replicas, to which the stores send their heartbeats.
    pub register: Arc<RegisterClient>,
    /// Forwards calls to them.
    pub transport: Arc<Transport>,
}

/// The routes of the calls.
pub fn routes(api: RetirementApi) -> Router {
    Router::new()
        .route("/v1/retire/{node}", get(progress).post(order))
        .with_state(api)
}

/// `POST /v1/retire/NODE`: orders the retirement of the store on this machine.
async fn order(State(api): State<RetirementApi>, Path(node): Path<String>) -> Response {
    api.respond(node, true).await
}

/// `GET /v1/retire/NODE`: reports its progress.
async fn progress(State(api): State<RetirementApi>, Path(node): Path<String>) -> Response {
    api.respond(node, false).await
}

impl RetirementApi {
    async fn respond(&self, node_name: String, begin: bool) -> Response {
        if node_name.len() > MAX_NODE_NAME_BYTES {
            return response(RetirementStatus::NotFound);
        }
        if !self.contact.is_in_contact() {
            return unavailable(&NotAcknowledged::OutOfContact.to_string());
        }
        let request = RetirementRequest { node_name, begin };
        let status = if self.receives_store_heartbeats() {
            self.handler.handle(&request).await
        } else {
            self.forward(&request).await
        };
        if begin {
            log::info!(
                "retirement: order for store {}: {status:?}",
                request.node_name
            );
        }
        response(status)
    }

    /// Whether the stores send their heartbeats to this process: they do to each replica.
    fn receives_store_heartbeats(&self) -> bool {
        let id = self.register.replica_id();
        let set = self.register.set();
        id.zip(set)
            .is_some_and(|(id, set)| set.current_replica(id).is_some())
    }

    /// Forwards a request to the replicas, one after the other, until one can tell.
    async fn forward(&self, request: &RetirementRequest) -> RetirementStatus {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let set = self.register.set().unwrap_or_default();
        let own = self.transport.local_address();
        let addresses = set
            .current
            .iter()
            .filter_map(|replica| replica.address.parse().ok());
        let body = encode(&ControllerRequest::Retirement(request.clone()));
        for address in addresses.filter(|address| *address != own) {
            // Half of the remaining time is left for the next replicas.
            let time_limit = deadline.saturating_duration_since(Instant::now()) / 2;
            match self.call(address, body.clone(), time_limit).await {
                None | Some(RetirementStatus::Unavailable) => (),
                Some(status) => return status,
            }
        }
        RetirementStatus::Unavailable
    }

    async fn call(
        &self,
        address: SocketAddr,
        body: Bytes,
        time_limit: Duration,
    ) -> Option<RetirementStatus> {
        let response = self
            .transport
            .call(address, Channel::Control, body, time_limit)
            .await
            .ok()?;
        match minicbor::decode(&response).ok()? {
            ControllerResponse::Retirement(status) => Some(status),
            _ => None,
        }
    }
}

fn response(status: RetirementStatus) -> Response {
    match status {
        RetirementStatus::Ordered => StatusCode::OK.into_response(),
        RetirementStatus::Running => state("running"),
        RetirementStatus::Completed => state("completed"),
        RetirementStatus::NotFound => {
            error_response(StatusCode::NOT_FOUND, "M441 there is no such store")
        }
        RetirementStatus::TooFewStores => {
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
