//! A page of a lot's results, as its client reads it.

use mintlb_batch::client::CommittedResult;
use mintlb_batch::entry::ItemState;
use serde::Serialize;

#[derive(Serialize)]
struct Page<'a> {
    total: u64,
    next_page_token: u64,
    results: Vec<ResultLine<'a>>,
}

#[derive(Serialize)]
struct ResultLine<'a> {
    instance_id: &'a str,
    state: &'static str,
    text: std::borrow::Cow<'a, str>,
}

/// The JSON of a page.
pub fn to_json(total: u64, next: u64, results: &[CommittedResult]) -> Vec<u8> {
    let page = Page {
        total,
        next_page_token: next,
        results: results.iter().map(line).collect(),
    };
    serde_json::to_vec(&page).unwrap_or_default()
}

fn line(result: &CommittedResult) -> ResultLine<'_> {
    let state = match result.state {
        ItemState::Completed => "completed",
        ItemState::Unrecoverable => "unrecoverable",
    };
    ResultLine {
        instance_id: &result.instance_id,
        state,
        text: String::from_utf8_lossy(&result.text),
    }
}
