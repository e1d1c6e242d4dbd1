//! Parser for submitted batch jobs. A job is validated completely before any part of it is stored.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use mintlb_batch::client::Item;
use mintlb_common::configuration::Route;
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::{BTreeMap, HashSet};

/// Maximum number of items in a job.
pub const MAX_ITEMS: usize = 200;

/// Why a submission is invalid. The client gets the text with a 400.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SubmissionError {
    /// The body is not the JSON of a job.
    #[error("M411 the lot can't be read: {0}")]
    Unreadable(String),
    /// The job has no items, or more than [`MAX_ITEMS`].
    #[error("M412 requests: {0} items, from 1 to {MAX_ITEMS} are taken")]
    Count(usize),
    /// A field of an item is invalid.
    #[error("M413 requests[{position}].{field}: {reason}")]
    Item {
        /// Position of the item in the job.
        position: usize,
        /// Name of the field.
        field: &'static str,
        /// Why the field is invalid.
        reason: String,
    },
}

/// A submitted batch job. serde puts the name of the type into the texts of M411, which clients see, so it stays `Lot`.
/// The same applies to `Request`.
#[derive(Deserialize)]
struct Lot<'a> {
    #[serde(borrow)]
    requests: Vec<Request<'a>>,
}

#[derive(Deserialize)]
struct Request<'a> {
    #[serde(borrow)]
    instance_id: Cow<'a, str>,
    #[serde(borrow)]
    path: Cow<'a, str>,
    #[serde(borrow, default)]
    headers: BTreeMap<Cow<'a, str>, Cow<'a, str>>,
    #[serde(borrow, default)]
    body: Cow<'a, str>,
    #[serde(default)]
    tokens: i64,
}

/// Parses the items of a job for this route.
///
/// # Errors
///
/// If the JSON is malformed, or the number of items or a field is invalid.
pub fn parse(json: &[u8], route: &Route) -> Result<Vec<Item>, SubmissionError> {
    let job: Lot =
        serde_json::from_slice(json).map_err(|e| SubmissionError::Unreadable(e.to_string()))?;
    if job.requests.is_empty() || job.requests.len() > MAX_ITEMS {
        return Err(SubmissionError::Count(job.requests.len()));
    }
    let mut ids = HashSet::new();
    let mut items = Vec::with_capacity(job.requests.len());
    for (position, request) in job.requests.into_iter().enumerate() {
        let wrong = |field, reason: &str| SubmissionError::Item {
            position,
            field,
            reason: reason.to_string(),
        };
        if request.instance_id.is_empty() {
            return Err(wrong("instance_id", "is empty"));
        }
        if !ids.insert(request.instance_id.to_string()) {
            return Err(wrong("instance_id", "another item of the lot has it"));
        }
        let readable = request.path.bytes().all(|byte| byte.is_ascii_graphic());
        if !readable || !request.path.starts_with(&route.path_prefix) {
            return Err(wrong("path", "is not under the route's prefix"));
        }
        if request
            .headers
            .iter()
            .any(|(name, value)| !is_header(name, value))
        {
            return Err(wrong("headers", "a name or value is no header's"));
        }
        let tokens = u64::try_from(request.tokens).map_err(|_| wrong("tokens", "is below 0"))?;
        let body = STANDARD
            .decode(request.body.as_bytes())
            .map_err(|e| wrong("body", &e.to_string()))?;
        items.push(Item {
            instance_id: request.instance_id.into_owned(),
            path: request.path.into_owned(),
            headers: request
                .headers
                .into_iter()
                .map(|(n, v)| (n.into_owned(), v.into_owned()))
                .collect(),
            body: Bytes::from(body),
            tokens,
        });
    }
    Ok(items)
}

fn is_header(name: &str, value: &str) -> bool {
    let token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !name.is_empty()
        && name.bytes().all(token)
        && value
            .bytes()
            .all(|byte| byte == b'\t' || byte >= b' ' && byte != 127)
}
