//! Types of the client's calls.

use crate::entry::JobTerms;
use bytes::Bytes;

/// A lot to take.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The `Host` of its route.
    pub host: String,
    /// The name of its route.
    pub route: String,
    /// The id that its client gave it.
    pub job_id: String,
    /// When it was sent, due times, attempts.
    pub terms: JobTerms,
    /// Tokens that may wait on the route; 0 is no limit.
    pub max_queued_tokens: u64,
    /// Its items.
    pub items: Vec<Item>,
}

/// An item of a lot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Item {
    /// Its id.
    pub instance_id: String,
    /// The path of the request to a worker.
    pub path: String,
    /// Headers of the request to a worker.
    pub headers: Vec<(String, String)>,
    /// The decoded body.
    pub body: Bytes,
    /// Tokens of the prompt and the most out.
    pub tokens: u64,
}

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The tier has it: answer 202.
    Accepted {
        /// This holder is to run its items, and holds their leases.
        items_leased: bool,
    },
    /// It does not fit, and nothing of it will run: answer 429.
    QuotaExceeded,
    /// Another lot has this id: the first one stays. A proper client doesn't do this.
    Conflict,
    /// Nothing of it will run: answer 503.
    Rejected,
    /// It may be in or not: promise nothing (502 or a closed connection).
    Indeterminate,
}

/// Results of a lot.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadOutcome {
    /// A page, perhaps without results.
    Page {
        /// Items of the lot.
        total: u64,
        /// The position after the last result here.
        next: u64,
        /// The results.
        results: Vec<CommittedResult>,
    },
    /// There is no such lot, for sure: answer 404.
    NotFound,
    /// Can't be told: answer 503.
    Unavailable,
}

/// A result at its position.
#[derive(Clone, Debug, PartialEq)]
pub struct CommittedResult {
    /// The item's id.
    pub instance_id: String,
    /// Whether it is `completed` or `unrecoverable`.
    pub state: crate::entry::ItemState,
    /// All its events' data, separated by line feeds; UTF-8.
    pub text: Bytes,
}

/// The body of an item.
#[derive(Clone, Debug, PartialEq)]
pub enum BodyOutcome {
    /// Here it is.
    Body(Bytes),
    /// There is no such item, or it is listed, or its lot is ended: answer 404.
    NotFound,
    /// Can't be told: answer 503.
    Unavailable,
}

/// The end of a lot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// It is ended for good.
    Ended,
    /// There is no such lot.
    NotFound,
    /// Can't be told: answer 503.
    Unavailable,
}

/// How an item came out.
#[derive(Clone, Debug, PartialEq)]
pub enum ItemResult {
    /// With its whole output.
    Completed(Bytes),
    /// It can't be done.
    Unrecoverable,
}

/// An item to run.
#[derive(Clone, Debug, PartialEq)]
pub struct LeasedItem {
    /// The lot's host.
    pub host: String,
    /// The lot's route.
    pub route: String,
    /// The lot's id.
    pub job_id: String,
    /// The lot's times and limits.
    pub terms: JobTerms,
    /// The item's place in the lot.
    pub index: u32,
    /// The item.
    pub item: Item,
    /// Its failed attempts so far, as far as its holders told of them.
    pub failures: u32,
}

/// Items of one lot that a dispatcher runs.
#[derive(Clone, Debug, PartialEq)]
pub struct LeasedJob {
    /// The lot's host.
    pub host: String,
    /// The lot's id.
    pub job_id: String,
    /// The items, by their place in the lot.
    pub items: Vec<u32>,
    /// Those of them that failed, each with the count of its failed attempts over all holders.
    pub failures: Vec<(u32, u32)>,
}
