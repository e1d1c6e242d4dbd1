//! Fields of calls on batch jobs: the resource, query parameters and headers.

use axum::http::HeaderMap;
use std::time::Duration;

/// Maximum duration in a header, in milliseconds. Longer ones are capped.
const MAX_MILLISECONDS: f64 = 1e6;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// A resource under `/v1/`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Resource<'a> {
    /// The batch job with this id.
    Job(&'a str),
    /// The items of the batch job with this id.
    Items(&'a str),
}

/// The resource that a path names, if any.
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
pub(super) fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
        .map(|(_, value)| value)
}

/// The lower-case host name without a port. Jobs are stored under it.
pub(super) fn host_name(host: &str) -> String {
    host.rsplit_once(':')
        .map_or(host, |(name, _)| name)
        .to_ascii_lowercase()
}

/// A duration that a header gives in milliseconds; `None` if it is missing or invalid.
pub(super) fn duration_header(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let value: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    let is_time = value.is_finite() && value >= 0.0;
    is_time.then(|| Duration::from_secs_f64(value.min(MAX_MILLISECONDS) / MILLISECONDS_PER_SECOND))
}
