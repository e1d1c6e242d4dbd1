//! What callers were told of lots, and what they may be told after that.

use bytes::Bytes;
use mintlb_batch::messages::{Page, StoreResponse};
use std::collections::{BTreeMap, BTreeSet};

/// A violation's point and what was seen.
pub type Broken = (&'static str, String);

/// One lot.
#[derive(Debug, Default)]
pub struct ToldLot {
    /// Its host.
    pub host: String,
    /// How many items it has.
    pub items: u32,
    /// It was accepted.
    pub accepted: bool,
    /// Its end was acknowledged.
    pub ended: bool,
    /// Its end was asked for.
    pub end_asked: bool,
    /// Items whose results were acknowledged.
    recorded: BTreeSet<u32>,
    /// Texts sent, by item.
    sent: BTreeMap<String, BTreeSet<String>>,
    /// By position, the item and text that were read.
    results: Vec<(String, String)>,
}

/// All lots, by id.
#[derive(Debug, Default)]
pub struct LotsTold {
    /// By id.
    pub lots: BTreeMap<String, ToldLot>,
    /// Results acknowledged.
    pub recorded: u64,
    /// Pages read.
    pub pages: u64,
}

impl LotsTold {
    /// How many lots were accepted.
    pub fn accepted(&self) -> u64 {
        self.lots.values().filter(|lot| lot.accepted).count() as u64
    }

    /// A lot is sent.
    pub fn submitted(&mut self, id: &str, host: &str, items: u32) {
        self.lots.entry(id.to_string()).or_insert_with(|| ToldLot {
            host: host.to_string(),
            items,
            ..ToldLot::default()
        });
    }

    /// A result is sent.
    pub fn result_sent(&mut self, id: &str, item: u32, text: &str) {
        if let Some(lot) = self.lots.get_mut(id) {
            lot.sent
                .entry(item_id(id, item))
                .or_default()
                .insert(text.to_string());
        }
    }

    /// A result was acknowledged. An end that was asked for may have come before it.
    pub fn result_kept(&mut self, id: &str, item: u32) {
        self.recorded += 1;
        if let Some(lot) = self.lots.get_mut(id)
            && !lot.end_asked
        {
            lot.recorded.insert(item);
        }
    }

    /// A read was answered. `accepted` tells whether the lot was accepted when it began, `last` whether everything has
    /// to be there.
    pub fn read(
        &mut self,
        id: &str,
        accepted: bool,
        last: bool,
        answer: &StoreResponse,
        raw: &Bytes,
    ) -> Result<(), Broken> {
        match answer {
            StoreResponse::NotFound if accepted => {
                Err(("P3", format!("lot {id} was accepted and is unknown")))
            }
            StoreResponse::Page(page) => self.page(id, page, raw, last),
            _ => Ok(()),
        }
    }

    fn page(&mut self, id: &str, page: &Page, raw: &Bytes, last: bool) -> Result<(), Broken> {
        self.pages += 1;
        let Some(lot) = self.lots.get_mut(id) else {
            return Ok(());
        };
        if page.total != u64::from(lot.items) {
            return Err((
                "P5",
                format!(
                    "lot {id} has {} items in place of {}",
                    page.total, lot.items
                ),
            ));
        }
        let results = texts(page, raw);
        let items: BTreeSet<&String> = results.iter().map(|(item, _)| item).collect();
        if items.len() != results.len() {
            return Err(("P5", format!("lot {id} lists an item twice: {results:?}")));
        }
        let unsent = results
            .iter()
            .find(|(item, text)| !lot.sent.get(item).is_some_and(|s| s.contains(text)));
        if let Some((item, text)) = unsent {
            return Err((
                "P5",
                format!("lot {id} lists {text:?} for {item}, which nobody sent"),
            ));
        }
        let common = results.len().min(lot.results.len());
        if results[..common] != lot.results[..common] {
            return Err((
                "P5",
                format!(
                    "lot {id}: a position changed: {:?}, {results:?}",
                    lot.results
                ),
            ));
        }
        if last && results.len() < lot.results.len() {
            return Err(("P3", format!("lot {id} has lost results that were read")));
        }
        let missing = lot
            .recorded
            .iter()
            .find(|item| !items.contains(&item_id(id, **item)));
        if let (true, Some(item)) = (last, missing) {
            return Err((
                "P3",
                format!("lot {id}: the result of {item} was acknowledged and is not listed"),
            ));
        }
        if results.len() > lot.results.len() {
            lot.results = results;
        }
        Ok(())
    }
}

/// The id of an item.
pub fn item_id(lot: &str, item: u32) -> String {
    format!("{lot}-{item}")
}

fn texts(page: &Page, raw: &Bytes) -> Vec<(String, String)> {
    let mut raw = raw.clone();
    let text = |length: u64, raw: &mut Bytes| {
        let part = raw.split_to((length as usize).min(raw.len()));
        String::from_utf8_lossy(&part).into_owned()
    };
    page.results
        .iter()
        .map(|result| (result.item.clone(), text(result.length, &mut raw)))
        .collect()
}
