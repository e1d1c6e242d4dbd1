//! JSON encoding of a page of a batch job's results.

use mintlb_batch::client::CommittedResult;
use mintlb_batch::entry::ItemState;
use serde::Serialize;

#[derive(Serialize)]
struct Page<'a> {
    total: u64,
    next_page_token: u64,
    results: Vec<ResultEntry<'a>>,
}

#[derive(Serialize)]
struct ResultEntry<'a> {
    instance_id: &'a str,
    state: &'static str,
    text: std::borrow::Cow<'a, str>,
}

/// Encodes a page: `total` is the number of items of the job, `next` the position after the last result of the page.
pub fn to_json(total: u64, next: u64, results: &[CommittedResult]) -> Vec<u8> {
    let page = Page {
        total,
        next_page_token: next,
        results: results.iter().map(result_entry).collect(),
    };
    serde_json::to_vec(&page).unwrap_or_default()
}

fn result_entry(result: &CommittedResult) -> ResultEntry<'_> {
    let state = match result.state {
        ItemState::Completed => "completed",
        ItemState::Unrecoverable => "unrecoverable",
    };
    ResultEntry {
        instance_id: &result.instance_id,
        state,
        text: String::from_utf8_lossy(&result.text),
    }
}
