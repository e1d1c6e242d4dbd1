//! Oracle of the batch API: what clients had acknowledged, checked against each later response.

use bytes::Bytes;
use mintlb_batch::messages::{Page, StoreResponse};
use std::collections::{BTreeMap, BTreeSet};

/// A violated invariant and what was observed.
pub type JobViolation = (&'static str, String);

/// What is known of one job.
#[derive(Debug, Default)]
pub struct AcknowledgedJob {
    /// Its host.
    pub host: String,
    /// How many items it has.
    pub items: u32,
    /// It was accepted.
    pub accepted: bool,
    /// Its end was acknowledged.
    pub ended: bool,
    /// Its end was asked for.
    pub end_requested: bool,
    /// Items whose results were acknowledged.
    recorded: BTreeSet<u32>,
    /// Texts sent, by item.
    sent: BTreeMap<String, BTreeSet<String>>,
    /// By position, the item and text that were read.
    results: Vec<(String, String)>,
}

/// The oracle: all jobs, by id.
#[derive(Debug, Default)]
pub struct BatchOracle {
    /// By id.
    pub jobs: BTreeMap<String, AcknowledgedJob>,
    /// Results acknowledged.
    pub recorded: u64,
    /// Pages read.
    pub pages: u64,
}

impl BatchOracle {
    /// How many jobs were accepted.
    pub fn accepted(&self) -> u64 {
        self.jobs.values().filter(|job| job.accepted).count() as u64
    }

    /// A job is submitted.
    pub fn submitted(&mut self, id: &str, host: &str, items: u32) {
        self.jobs
            .entry(id.to_string())
            .or_insert_with(|| AcknowledgedJob {
                host: host.to_string(),
                items,
                ..AcknowledgedJob::default()
            });
    }

    /// A result is sent.
    pub fn result_sent(&mut self, id: &str, item: u32, text: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.sent
                .entry(item_id(id, item))
                .or_default()
                .insert(text.to_string());
        }
    }

    /// A result was acknowledged. An end that was asked for may have come before it.
    pub fn result_acknowledged(&mut self, id: &str, item: u32) {
        self.recorded += 1;
        if let Some(job) = self.jobs.get_mut(id)
            && !job.end_requested
        {
            job.recorded.insert(item);
        }
    }

    /// A read was answered. `accepted` tells whether the job was accepted when it began, `last` whether everything has
    /// to be there.
    pub fn read(
        &mut self,
        id: &str,
        accepted: bool,
        last: bool,
        answer: &StoreResponse,
        raw: &Bytes,
    ) -> Result<(), JobViolation> {
        match answer {
            StoreResponse::NotFound if accepted => {
                Err(("P3", format!("job {id} was accepted and is unknown")))
            }
            StoreResponse::Page(page) => self.page(id, page, raw, last),
            _ => Ok(()),
        }
    }

    fn page(&mut self, id: &str, page: &Page, raw: &Bytes, last: bool) -> Result<(), JobViolation> {
        self.pages += 1;
        let Some(job) = self.jobs.get_mut(id) else {
            return Ok(());
        };
        if page.total != u64::from(job.items) {
            return Err((
                "P5",
                format!(
                    "job {id} has {} items in place of {}",
                    page.total, job.items
                ),
            ));
        }
        let results = texts(page, raw);
        let items: BTreeSet<&String> = results.iter().map(|(item, _)| item).collect();
        if items.len() != results.len() {
            return Err(("P5", format!("job {id} lists an item twice: {results:?}")));
        }
        let unsent = results
            .iter()
            .find(|(item, text)| !job.sent.get(item).is_some_and(|s| s.contains(text)));
        if let Some((item, text)) = unsent {
            return Err((
                "P5",
                format!("job {id} lists {text:?} for {item}, which nobody sent"),
            ));
        }
        let common = results.len().min(job.results.len());
        if results[..common] != job.results[..common] {
            return Err((
                "P5",
                format!(
                    "job {id}: a position changed: {:?}, {results:?}",
                    job.results
                ),
            ));
        }
        if last && results.len() < job.results.len() {
            return Err(("P3", format!("job {id} has lost results that were read")));
        }
        let missing = job
            .recorded
            .iter()
            .find(|item| !items.contains(&item_id(id, **item)));
        if let (true, Some(item)) = (last, missing) {
            return Err((
                "P3",
                format!("job {id}: the result of {item} was acknowledged and is not listed"),
            ));
        }
        if results.len() > job.results.len() {
            job.results = results;
        }
        Ok(())
    }
}

/// The id of an item.
pub fn item_id(job: &str, item: u32) -> String {
    format!("{job}-{item}")
}

fn texts(page: &Page, raw: &Bytes) -> Vec<(String, String)> {
    let mut raw = raw.clone();
    let text = |length: u64, raw: &mut Bytes| {
        let chunk = raw.split_to((length as usize).min(raw.len()));
        String::from_utf8_lossy(&chunk).into_owned()
    };
    page.results
        .iter()
        .map(|result| (result.item.clone(), text(result.length, &mut raw)))
        .collect()
}
