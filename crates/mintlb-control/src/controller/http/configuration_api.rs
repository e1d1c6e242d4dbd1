//! The operator's calls on the configuration.

use super::responses::{SHORT_RETRY_AFTER, error_response, read_body, retry_response, unavailable};
use crate::controller::contact::monitor::ContactMonitor;
use crate::controller::register::RegisterClient;
use crate::controller::register::publisher::Publisher;
use crate::controller::settings::SharedSettings;
use crate::controller::workers::service::NotAcknowledged;
use axum::Router;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use mintlb_common::configuration::Configuration;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::state::ControlState;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The longest configuration.
const MAX_BODY_BYTES: usize = 8 << 20;
/// The time that the body is given to arrive.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(4);
/// The time within which the operator has to be answered: after a second he calls another
/// controller.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(850);
/// The time that the register is given, so that some is left for a neighbor's confirmation.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(700);
/// The time after the start within which all replicas have joined.
const JOIN_PERIOD: Duration = Duration::from_secs(6);
/// The time that the response to an accepted configuration may wait for a neighbor that confirms
/// it.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(150);

/// What the calls need.
#[derive(Clone)]
pub struct ConfigurationApi {
    /// Holds the configuration.
    pub register: Arc<RegisterClient>,
    /// Distributes it.
    pub publisher: Arc<Publisher>,
    /// Tells whether this process may answer at all.
    pub contact: Arc<ContactMonitor>,
    /// Holds the fault tolerance.
    pub settings: Arc<SharedSettings>,
    /// The start of the process.
    pub started_at: Instant,
}

/// The routes of the calls.
pub fn routes(api: ConfigurationApi) -> Router {
    Router::new()
        .route("/v1/configuration", get(read).put(replace))
        .with_state(api)
}

/// `GET /v1/configuration`: the newest configuration.
async fn read(State(api): State<ConfigurationApi>) -> Response {
    if !api.contact.is_in_contact() {
        return out_of_contact();
    }
    match api.register.read(REGISTER_TIMEOUT).await {
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
    State(api): State<ConfigurationApi>,
    headers: HeaderMap,
    body: axum::body::Body,
) -> Response {
    let body = match read_body(body, MAX_BODY_BYTES, BODY_READ_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return error.into_response(),
    };
    let received_at = Instant::now();
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
    if !api.contact.is_in_contact() {
        return out_of_contact();
    }
    let version = configuration.config_version;
    let change = Change::SetConfiguration {
        base,
        version,
        body: body.to_vec(),
        tolerance: api.settings.fault_tolerance(),
        durability_suffices: api.started_at.elapsed() >= JOIN_PERIOD,
    };
    match api.register.change(change, REGISTER_TIMEOUT).await {
        Ok(outcome) => {
            log::info!(
                "configuration: version {version} based on version {base}: {:?}",
                outcome.change
            );
            if outcome.change.is_applied() {
                let time_limit = RESPONSE_TIMEOUT
                    .saturating_sub(received_at.elapsed())
                    .min(CONFIRMATION_TIMEOUT);
                api.publisher
                    .confirm_configuration(&outcome.chosen.state, time_limit)
                    .await;
            }
            response(outcome.change, &outcome.chosen.state)
        }
        Err(error) => {
            log::info!(
                "configuration: version {version} based on version {base} is unconfirmed: {error}"
            );
            unavailable(&error.to_string())
        }
    }
}

fn out_of_contact() -> Response {
    unavailable(&NotAcknowledged::OutOfContact.to_string())
}

fn response(outcome: ChangeOutcome, state: &ControlState) -> Response {
    let current = state.configuration_version;
    match outcome {
        ChangeOutcome::Applied | ChangeOutcome::AlreadyApplied => StatusCode::OK.into_response(),
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
        ChangeOutcome::TooFewReplicas | ChangeOutcome::SetFull | ChangeOutcome::UnknownDomain => {
            retry_response(SHORT_RETRY_AFTER, "M405 there are too few replicas yet")
        }
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
