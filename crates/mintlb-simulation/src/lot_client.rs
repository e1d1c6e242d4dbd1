//! Callers that send lots, the results of their items, reads and ends, at any dispatcher; after an unclear answer the
//! same call again.

use crate::lots_told::{LotsTold, item_id};
use crate::message::{Ask, Told};
use crate::random::Random;
use crate::store::SHARDS;
use bytes::Bytes;
use mintlb_batch::entry::{ItemHeader, ItemState, JobHeader, JobTerms};
use mintlb_batch::messages::{JobName, Read, Record, StoreRequest, StoreResponse, Submit};
use mintlb_common::placement::Placement;
use std::time::Duration;

/// A caller calls another dispatcher after this time.
pub const PATIENCE: Duration = Duration::from_millis(1500);
/// Tries of a call other than the sending of a lot.
const MOST_TRIES: u32 = 3;

/// What a caller is about.
#[derive(Clone, Debug, PartialEq)]
pub enum LotAct {
    /// Sends a lot.
    Submit(String),
    /// Sends an item's result.
    Record(String, u32, String),
    /// Reads a lot.
    Read(String),
    /// Ends a lot.
    End(String),
}

impl LotAct {
    /// The lot.
    pub fn lot(&self) -> &str {
        match self {
            LotAct::Submit(lot)
            | LotAct::Record(lot, ..)
            | LotAct::Read(lot)
            | LotAct::End(lot) => lot,
        }
    }

    /// The call.
    pub fn ask(&self, told: &LotsTold) -> Ask {
        let lot = told.lots.get(self.lot());
        let host = lot.map(|lot| lot.host.clone()).unwrap_or_default();
        let name = JobName {
            host,
            id: self.lot().to_string(),
        };
        match self {
            LotAct::Submit(_) => submit(name, lot.map_or(0, |lot| lot.items)),
            LotAct::Record(_, item, text) => {
                let record = Record {
                    job: name,
                    item: *item,
                    state: ItemState::Completed,
                };
                Ask::Lots(StoreRequest::Record(record), Bytes::from(text.clone()))
            }
            LotAct::Read(_) => {
                let read = Read {
                    job: name,
                    start_after: 0,
                    wait_ms: 0,
                    max_bytes: u64::MAX,
                };
                Ask::Lots(StoreRequest::Read(read), Bytes::new())
            }
            LotAct::End(_) => Ask::Lots(StoreRequest::End(name), Bytes::new()),
        }
    }
}

fn submit(name: JobName, items: u32) -> Ask {
    let payload = |item: u32| format!("payload of {}", item_id(&name.id, item));
    let head = |item: u32| ItemHeader {
        id: item_id(&name.id, item),
        tokens: 30,
        length: payload(item).len() as u64,
    };
    let raw: String = (0..items).map(payload).collect();
    let terms = JobTerms {
        retention_ms: 1_000_000_000,
        ..JobTerms::default()
    };
    let lot = JobHeader {
        host: name.host.clone(),
        id: name.id.clone(),
        route: "r".to_string(),
        terms,
        items: (0..items).map(head).collect(),
    };
    Ask::Lots(
        StoreRequest::Submit(Submit {
            epoch: 0,
            owner: 1,
            max_queued_tokens: 0,
            job: lot,
        }),
        raw.into(),
    )
}

/// One caller.
#[derive(Debug, Default)]
pub struct LotClient {
    act: Option<LotAct>,
    tries: u32,
    turn: u64,
}

impl LotClient {
    /// What it waits for: an older timer or answer does not count.
    pub fn turn(&self) -> u64 {
        self.turn
    }

    /// Whether nothing of it is open.
    pub fn is_idle(&self) -> bool {
        self.act.is_none()
    }

    /// Its pause is over, or nobody has answered: what it does now.
    pub fn wake(&mut self, random: &mut Random, told: &mut LotsTold) -> LotAct {
        self.turn += 1;
        self.tries += 1;
        if self.tries > MOST_TRIES && !matches!(self.act, Some(LotAct::Submit(_))) {
            self.act = None;
        }
        let act = self.act.take().unwrap_or_else(|| {
            self.tries = 1;
            draw(random, told)
        });
        self.act = Some(act.clone());
        act
    }

    /// It was answered; how long it pauses.
    pub fn told(&mut self, random: &mut Random, told: &Told) -> Duration {
        self.turn += 1;
        if matches!(told, Told::Lots(answer, _) if *answer != StoreResponse::Conflict) {
            self.act = None;
        }
        if random.chance(60) {
            random.time(1, 60)
        } else {
            random.time(60, 900)
        }
    }
}

fn draw(random: &mut Random, told: &mut LotsTold) -> LotAct {
    let accepted: Vec<&String> = told
        .lots
        .iter()
        .filter(|(_, lot)| lot.accepted)
        .map(|(id, _)| id)
        .collect();
    let kind = random.below(100);
    if accepted.is_empty() || kind < 25 {
        let id = format!("lot{:04}", told.lots.len());
        let host = host_of_shard(random.below(SHARDS as usize) as u32);
        told.submitted(&id, &host, 1 + random.below(4) as u32);
        return LotAct::Submit(id);
    }
    // The newest ones are of most interest.
    let back = random.below(accepted.len().min(6));
    let id = accepted[accepted.len() - 1 - back].clone();
    let Some(lot) = told.lots.get_mut(&id) else {
        return LotAct::Read(id);
    };
    match kind {
        25..=29 => LotAct::Submit(id),
        30..=64 => {
            let item = random.below(lot.items as usize) as u32;
            let text = format!("text {} of {}", random.below(1000), item_id(&id, item));
            told.result_sent(&id, item, &text);
            LotAct::Record(id, item, text)
        }
        65..=67 => {
            lot.end_asked = true;
            LotAct::End(id)
        }
        _ => LotAct::Read(id),
    }
}

/// A host whose lots lie in this shard.
fn host_of_shard(shard: u32) -> String {
    let hosts = (0..).map(|number: u32| format!("host{number}"));
    hosts
        .into_iter()
        .find(|host| Placement::shard_of(host) == shard)
        .unwrap_or_default()
}
