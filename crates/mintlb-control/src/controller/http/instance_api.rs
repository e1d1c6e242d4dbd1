//! The workers' calls.
//!
//! Out of contact with a majority nothing is acknowledged, so that the worker calls another controller. What it said is
//! true all the same and goes to whom it reaches: the call sequence orders it among what other controllers publish.

use crate::controller::Controller;
use crate::controller::http::responses::{
    Response, error_response, out_of_contact, read_body, unavailable,
};
use crate::controller::workers::registry::{HeartbeatOutcome, newer_record};
use axum::Router;
use axum::extract::{Path, State};
use axum::http::{StatusCode, header};
use axum::response::IntoResponse;
use axum::routing::put;
use mintlb_common::record::{WorkerRecord, WorkerState};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The longest call of a worker.
const MAX_BODY_BYTES: usize = 64 << 10;
/// How long its bytes may take to come.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the acknowledgement of a drain or an end may wait for a neighbour that confirms the record: while a process
/// finds its first neighbours, the record is offered to them two or three times. A worker waits for a second.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);
/// The longest instance id.
const MAX_INSTANCE_ID_BYTES: usize = 128;

/// The calls.
pub fn routes() -> Router<Arc<Controller>> {
    Router::new().route("/v1/instances/{id}", put(heartbeat).delete(leave))
}

/// A worker's call.
#[derive(Debug, Deserialize)]
struct InstanceCall {
    target_service: String,
    address: SocketAddrV4,
    zone: String,
    capacity_slots: u32,
    state: InstanceState,
    #[serde(default)]
    cold_remaining_ms: f64,
    call_sequence: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum InstanceState {
    InService,
    Draining,
}

impl InstanceCall {
    fn into_record(self, instance_id: String, unix_ms: u64) -> WorkerRecord {
        let cold = self.cold_remaining_ms.clamp(0.0, 1e9) as u64;
        WorkerRecord {
            instance_id,
            service: self.target_service,
            address: self.address.to_string(),
            zone: self.zone,
            capacity_slots: self.capacity_slots,
            state: match self.state {
                InstanceState::InService => WorkerState::InService,
                InstanceState::Draining => WorkerState::Draining,
            },
            call_sequence: self.call_sequence,
            slow_start_until_ms: if cold > 0 { unix_ms + cold } else { 0 },
        }
    }
}

/// `PUT /v1/instances/ID`: a heartbeat, or the word that the worker drains.
async fn heartbeat(
    State(controller): State<Arc<Controller>>,
    Path(id): Path<String>,
    body: axum::body::Body,
) -> Response {
    if id.len() > MAX_INSTANCE_ID_BYTES {
        return error_response(StatusCode::BAD_REQUEST, "M461 the instance id is too long");
    }
    let body = match read_body(body, MAX_BODY_BYTES, BODY_READ_TIMEOUT).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let call: InstanceCall = match serde_json::from_slice(&body) {
        Ok(call) => call,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &format!("M462 {error}")),
    };
    let reported = call.into_record(id, unix_ms());
    let current = controller.current_worker_record(&reported.instance_id);
    if !controller.is_in_contact() {
        if let Some(record) = newer_record(reported, current.as_ref()) {
            controller.gossip.publish_now(record.to_record());
        }
        return out_of_contact();
    }
    let outcome = controller
        .registry
        .lock()
        .heartbeat(Instant::now(), reported, current.as_ref());
    match outcome {
        HeartbeatOutcome::Unchanged | HeartbeatOutcome::Stale => acknowledged(),
        HeartbeatOutcome::RegistryFull => unavailable("M463 there are too many workers"),
        HeartbeatOutcome::Publish(record) if record.state == WorkerState::InService => {
            controller.gossip.publish_now(record.to_record());
            acknowledged()
        }
        HeartbeatOutcome::Publish(record) => publish_confirmed(&controller, record).await,
    }
}

/// `DELETE /v1/instances/ID`: the worker ends.
async fn leave(State(controller): State<Arc<Controller>>, Path(id): Path<String>) -> Response {
    if id.len() > MAX_INSTANCE_ID_BYTES {
        return error_response(StatusCode::BAD_REQUEST, "M461 the instance id is too long");
    }
    let current = controller.current_worker_record(&id);
    let record = controller.registry.lock().leave(&id, current);
    if !controller.is_in_contact() {
        controller.gossip.publish_now(record.to_record());
        return out_of_contact();
    }
    publish_confirmed(&controller, record).await
}

/// Publishes the record of a worker to which nothing new may be sent. That is promised only once a neighbour has the
/// record, and by a process that is in contact at that moment.
async fn publish_confirmed(controller: &Controller, record: WorkerRecord) -> Response {
    let confirmed = controller
        .gossip
        .publish(record.to_record(), CONFIRMATION_TIMEOUT)
        .await
        .is_ok();
    log::debug!(
        "workers: {} is {:?}, confirmed: {confirmed}",
        record.instance_id,
        record.state
    );
    if !confirmed {
        return unavailable("M445 no other process has confirmed it yet");
    }
    if !controller.is_in_contact() {
        return out_of_contact();
    }
    controller.registry.lock().confirmed(&record);
    acknowledged()
}

fn acknowledged() -> Response {
    ([(header::CONTENT_TYPE, "application/json")], "{}").into_response()
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
