//! The calls of the workers.

use super::responses::{error_response, read_body, unavailable};
use crate::controller::workers::service::{NotAcknowledged, WorkerService};
use axum::Router;
use axum::extract::{Path, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::put;
use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_common::wall_clock::unix_ms;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// The longest body of a worker's call.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The time that the body is given to arrive.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest instance id.
const MAX_INSTANCE_ID_BYTES: usize = 128;
/// The longest remaining slow start that is taken at its word, in ms.
const MAX_SLOW_START_MS: f64 = 1e9;

/// The routes of the calls.
pub fn routes(workers: Arc<WorkerService>) -> Router {
    Router::new()
        .route("/v1/instances/{id}", put(heartbeat).delete(deregister))
        .with_state(workers)
}

/// The body of a heartbeat. The name of the type is part of the text of M462.
#[derive(Debug, Deserialize)]
struct InstanceCall {
    target_service: String,
    address: SocketAddrV4,
    zone: String,
    capacity_slots: u32,
    state: InstanceState,
    #[serde(default, rename = "cold_remaining_ms")]
    slow_start_remaining_ms: f64,
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
        let remaining_ms = self.slow_start_remaining_ms.clamp(0.0, MAX_SLOW_START_MS) as u64;
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
            slow_start_until_ms: if remaining_ms > 0 {
                unix_ms + remaining_ms
            } else {
                0
            },
        }
    }
}

/// `PUT /v1/instances/ID`: a heartbeat, which may report that the worker drains.
async fn heartbeat(
    State(workers): State<Arc<WorkerService>>,
    Path(id): Path<String>,
    body: axum::body::Body,
) -> Response {
    if id.len() > MAX_INSTANCE_ID_BYTES {
        return instance_id_too_long();
    }
    let body = match read_body(body, MAX_BODY_BYTES, BODY_READ_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return error.into_response(),
    };
    match serde_json::from_slice::<InstanceCall>(&body) {
        Ok(call) => {
            let record = call.into_record(id, unix_ms());
            acknowledgement(workers.heartbeat(record).await)
        }
        Err(error) => error_response(StatusCode::BAD_REQUEST, &format!("M462 {error}")),
    }
}

/// `DELETE /v1/instances/ID`: the worker ends.
async fn deregister(State(workers): State<Arc<WorkerService>>, Path(id): Path<String>) -> Response {
    if id.len() > MAX_INSTANCE_ID_BYTES {
        return instance_id_too_long();
    }
    acknowledgement(workers.deregister(&id).await)
}

fn instance_id_too_long() -> Response {
    error_response(StatusCode::BAD_REQUEST, "M461 the instance id is too long")
}

fn acknowledgement(result: Result<(), NotAcknowledged>) -> Response {
    match result {
        Ok(()) => ([(header::CONTENT_TYPE, "application/json")], "{}").into_response(),
        Err(error) => unavailable(&error.to_string()),
    }
}
