//! Who the workers are, as several sources tell it: each speaks for the workers that it names, and for no other.
//!
//! Pure: what a source says goes in, the lines for the decisions come out.

use crate::work::Reach;
use mintlb_scheduler::{ListEntry, ListState};
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;

/// Who tells of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The list service.
    List,
    /// Workers that came to us by themselves.
    Callers,
}

/// A worker as a source has it. Without a way to it, it is known but nothing can be sent.
#[derive(Clone)]
pub struct Member {
    pub name: String,
    pub line: ListEntry,
    /// The machine that it runs on, where its address tells.
    pub host: Option<IpAddr>,
    pub reach: Option<Arc<dyn Reach>>,
}

/// What a source tells: all that it knows, or what has changed.
pub struct Told {
    pub source: Source,
    pub full: bool,
    pub members: Vec<Member>,
}

#[derive(Default)]
pub struct Members {
    known: HashMap<u64, Known>,
    /// What the log is to say, since it was last taken.
    said: Vec<String>,
}

struct Known {
    source: Source,
    line: ListEntry,
    reach: Option<Arc<dyn Reach>>,
    shown: String,
}

impl Members {
    pub fn reach(&self, id: u64) -> Option<&Arc<dyn Reach>> {
        self.known.get(&id)?.reach.as_ref()
    }

    pub fn said(&mut self) -> Vec<String> {
        std::mem::take(&mut self.said)
    }

    /// The lines for the decisions, and whether they are all that there are. One source's whole list must not
    /// strike out the workers of another, so theirs are added to it.
    pub fn hear(&mut self, told: Told) -> (bool, Vec<ListEntry>) {
        let Told {
            source,
            full,
            members,
        } = told;
        let mut lines: Vec<ListEntry> = members.iter().map(|member| member.line.clone()).collect();
        if full {
            self.known.retain(|_, known| known.source != source);
            lines.extend(self.known.values().map(|known| known.line.clone()));
        }
        for Member {
            name, line, reach, ..
        } in members
        {
            if line.state == ListState::Gone {
                self.known.remove(&line.id);
                continue;
            }
            let shown = reach
                .as_ref()
                .map(|reach| reach.to_string())
                .unwrap_or_default();
            let id = line.id;
            let was = self.known.insert(
                id,
                Known {
                    source,
                    line,
                    reach,
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
