//! Fields of calls on batch jobs: the resource, query parameters and headers.

use axum::http::HeaderMap;
use std::time::Duration;

/// The longest time that a header may give, in milliseconds.
const MAX_MILLISECONDS: f64 = 1e6;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// The resource that a path under `/v1/` names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Resource<'a> {
    /// A batch job, by its id.
    Job(&'a str),
    /// The items of a batch job, by its id.
    Items(&'a str),
}

/// The resource of a path; `None` if it names none.
pub(super) fn resource(path: &str) -> Option<Resource<'_>> {
    let is_id = |id: &&str| !id.is_empty() && !id.contains('/');
    let job = path
        .strip_prefix("/v1/lots/")
        .filter(is_id)
        .map(Resource::Job);
    job.or_else(|| {
        path.strip_prefix("/v1/items/")
            .filter(is_id)
            .map(Resource::Items)
    })
}

/// The value of a query parameter.
pub(super) fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
        .map(|(_, value)| value)
}

/// The host's name without a port, by which jobs are keyed.
pub(super) fn host_name(host: &str) -> String {
    host.rsplit_once(':')
        .map_or(host, |(name, _)| name)
        .to_ascii_lowercase()
}

/// The time that a header gives in milliseconds; `None` if it is missing or no time.
pub(super) fn milliseconds(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let value: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    let is_time = value.is_finite() && value >= 0.0;
    is_time.then(|| Duration::from_secs_f64(value.min(MAX_MILLISECONDS) / MILLISECONDS_PER_SECOND))
}
