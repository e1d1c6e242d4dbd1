//! The operator's calls on the configuration.

use crate::controller::Controller;
use crate::controller::http::responses::{
    Response, SHORT_RETRY_AFTER_SECONDS, error_response, out_of_contact, read_body, retry_response,
    unavailable,
};
use axum::Router;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::IntoResponse;
use axum::routing::get;
use mintlb_common::configuration::Configuration;
use mintlb_register::change::{Change, ChangeOutcome};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The longest configuration.
const MAX_BODY_BYTES: usize = 8 << 20;
/// How long its bytes may take to come.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(4);
/// The operator calls another controller after a second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(850);
/// How long the register may take, so that time is left for a neighbour's confirmation.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(700);
/// All replicas there are have joined by so long after the start.
const JOIN_PERIOD: Duration = Duration::from_secs(6);
/// How long an accepted configuration may wait for a neighbour that confirms it.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(150);

/// The calls.
pub fn routes() -> Router<Arc<Controller>> {
    Router::new().route("/v1/configuration", get(read).put(replace))
}

/// `GET /v1/configuration`: the newest one, whole.
async fn read(State(controller): State<Arc<Controller>>) -> Response {
    if !controller.is_in_contact() {
        return out_of_contact();
    }
    match controller.register.read(REGISTER_TIMEOUT).await {
        Ok(newest) if newest.state.configuration_version == 0 => {
            error_response(StatusCode::NOT_FOUND, "there is no configuration yet")
        }
        Ok(newest) => {
            let headers = [
                (header::CONTENT_TYPE, "application/json".to_string()),
                (header::ETAG, newest.state.configuration_version.to_string()),
            ];
            (headers, newest.state.configuration.clone()).into_response()
        }
        Err(error) => unavailable(&error.to_string()),
    }
}

/// `PUT /v1/configuration`: replaces the version in `If-Match`.
async fn replace(
    State(controller): State<Arc<Controller>>,
    headers: HeaderMap,
    body: axum::body::Body,
) -> Response {
    let body = match read_body(body, MAX_BODY_BYTES, BODY_READ_TIMEOUT).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let started_at = Instant::now();
    let Some(base) = base_version(&headers) else {
        return error_response(
            StatusCode::BAD_REQUEST,
            "M452 If-Match: has to hold the version it builds on",
        );
    };
    let configuration = match Configuration::parse_from_operator(&body) {
        Ok(configuration) => configuration,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    if !controller.is_in_contact() {
        return out_of_contact();
    }
    let version = configuration.config_version;
    let change = Change::SetConfiguration {
        base,
        version,
        body: body.to_vec(),
        tolerated_failures: controller.settings().fault_tolerance.machines,
        durability_suffices: controller.started_at.elapsed() >= JOIN_PERIOD,
    };
    match controller.register.change(change, REGISTER_TIMEOUT).await {
        Ok(outcome) => {
            log::info!(
                "configuration: version {version} on {base}: {:?}",
                outcome.change
            );
            let left = RESPONSE_TIMEOUT
                .saturating_sub(started_at.elapsed())
                .min(CONFIRMATION_TIMEOUT);
            answer(&controller, outcome.change, &outcome.chosen.state, left).await
        }
        Err(error) => {
            log::info!("configuration: version {version} on {base}: {error}");
            unavailable(&error.to_string())
        }
    }
}

async fn answer(
    controller: &Controller,
    answer: ChangeOutcome,
    state: &mintlb_register::state::ControlState,
    left: Duration,
) -> Response {
    let current = state.configuration_version;
    match answer {
        ChangeOutcome::Applied | ChangeOutcome::AlreadyApplied => {
            controller
                .publisher
                .confirm_configuration(state, left)
                .await;
            StatusCode::OK.into_response()
        }
        ChangeOutcome::StaleBase => {
            let text = format!("M453 If-Match: the current version is {current}");
            error_response(StatusCode::PRECONDITION_FAILED, &text)
        }
        ChangeOutcome::VersionNotIncreased => {
            let text = format!(
                "M404 config_version: is not above the version it builds on; current is {current}"
            );
            error_response(StatusCode::BAD_REQUEST, &text)
        }
        ChangeOutcome::HistoryCompacted => unavailable(&format!(
            "M406 config_version: is so old that it can't be told whether it was taken; current is {current}"
        )),
        ChangeOutcome::TooFewReplicas | ChangeOutcome::SetFull => retry_response(
            SHORT_RETRY_AFTER_SECONDS,
            "M405 there are too few replicas yet",
        ),
    }
}

/// The version in `If-Match`, with or without quotes.
fn base_version(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(header::IF_MATCH)?
        .to_str()
        .ok()?
        .trim()
        .trim_matches('"')
        .parse()
        .ok()
}
