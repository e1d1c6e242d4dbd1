//! Who the workers are, as several sources tell it: each speaks for the workers that it names, and for no other.
//!
//! Pure: what a source says goes in, the lines for the decisions come out.

use crate::work::Endpoint;
use mintlb_scheduler::{ListEntry, ListState};
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;

/// Who tells of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerSource {
    /// The list service.
    ListService,
    /// Workers that came to us by themselves.
    SelfRegistered,
}

/// A worker as a source has it. Without a way to it, it is known but nothing can be sent.
#[derive(Clone)]
pub struct Member {
    pub name: String,
    pub entry: ListEntry,
    /// The machine that it runs on, where its address tells.
    pub host: Option<IpAddr>,
    pub endpoint: Option<Arc<dyn Endpoint>>,
}

/// What a source tells: all that it knows, or what has changed.
pub struct MembershipUpdate {
    pub source: WorkerSource,
    pub full: bool,
    pub members: Vec<Member>,
}

#[derive(Default)]
pub struct Membership {
    known: HashMap<u64, Known>,
    /// What the log is to say, since it was last taken.
    said: Vec<String>,
}

struct Known {
    source: WorkerSource,
    entry: ListEntry,
    endpoint: Option<Arc<dyn Endpoint>>,
    shown: String,
}

impl Membership {
    pub fn endpoint(&self, id: u64) -> Option<&Arc<dyn Endpoint>> {
        self.known.get(&id)?.endpoint.as_ref()
    }

    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.said)
    }

    /// The lines for the decisions, and whether they are all that there are. One source's whole list must not
    /// strike out the workers of another, so theirs are added to it.
    pub fn apply(&mut self, told: MembershipUpdate) -> (bool, Vec<ListEntry>) {
        let MembershipUpdate {
            source,
            full,
            members,
        } = told;
        let mut lines: Vec<ListEntry> = members.iter().map(|member| member.entry.clone()).collect();
        if full {
            self.known.retain(|_, known| known.source != source);
            lines.extend(self.known.values().map(|known| known.entry.clone()));
        }
        for Member {
            name,
            entry,
            endpoint,
            ..
        } in members
        {
            if entry.state == ListState::Gone {
                self.known.remove(&entry.id);
                continue;
            }
            let shown = endpoint
                .as_ref()
                .map(|endpoint| endpoint.to_string())
                .unwrap_or_default();
            let id = entry.id;
            let was = self.known.insert(
                id,
                Known {
                    source,
                    entry,
                    endpoint,
                    shown: shown.clone(),
                },
            );
            if !shown.is_empty() && was.is_none_or(|was| was.shown != shown) {
                self.said
                    .push(format!("worker {id:012x} is {name} at {shown}"));
            }
        }
        (full, lines)
    }
}

/// A worker's name as a number of 48 bits, the same at all schedulers (FNV-1a, folded).
pub fn worker_id(name: &str) -> u64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 48)) & 0xffff_ffff_ffff
}
