//! The known workers, merged from several sources. Each source speaks only for the workers that it names.
//!
//! No I/O: updates from the sources go in, entries for the scheduling decisions come out.

use crate::work::Endpoint;
use mintlb_scheduler::{ListEntry, ListState};
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;

/// Where the knowledge of a worker comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerSource {
    /// The list service.
    ListService,
    /// Workers that connected to this process by themselves.
    SelfRegistered,
}

/// A worker as reported by a source. Without an endpoint it is known, but nothing can be sent to it.
#[derive(Clone)]
pub struct Member {
    pub name: String,
    pub entry: ListEntry,
    /// The machine that it runs on, if its address tells.
    pub host: Option<IpAddr>,
    pub endpoint: Option<Arc<dyn Endpoint>>,
}

/// A report from a source: all of its workers, or only changes.
pub struct MembershipUpdate {
    pub source: WorkerSource,
    /// `members` is all that the source knows.
    pub full: bool,
    pub members: Vec<Member>,
}

/// The merged membership.
#[derive(Default)]
pub struct Membership {
    known: HashMap<u64, KnownMember>,
    /// Lines for the log since they were last taken.
    log_lines: Vec<String>,
}

struct KnownMember {
    source: WorkerSource,
    entry: ListEntry,
    endpoint: Option<Arc<dyn Endpoint>>,
    address: String,
}

impl Membership {
    /// The endpoint of a worker, if it is known and can be reached.
    pub fn endpoint(&self, id: u64) -> Option<&Arc<dyn Endpoint>> {
        self.known.get(&id)?.endpoint.as_ref()
    }

    /// Takes the lines for the log that have accumulated.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Applies an update. Returns whether the entries are the complete membership, and the entries. A full update from
    /// one source must not remove the workers of the others, so these are added to it.
    pub fn apply(&mut self, update: MembershipUpdate) -> (bool, Vec<ListEntry>) {
        let MembershipUpdate {
            source,
            full,
            members,
        } = update;
        let mut entries: Vec<ListEntry> =
            members.iter().map(|member| member.entry.clone()).collect();
        if full {
            self.known.retain(|_, member| member.source != source);
            entries.extend(self.known.values().map(|member| member.entry.clone()));
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
            let address = endpoint
                .as_ref()
                .map(|endpoint| endpoint.to_string())
                .unwrap_or_default();
            let id = entry.id;
            let previous = self.known.insert(
                id,
                KnownMember {
                    source,
                    entry,
                    endpoint,
                    address: address.clone(),
                },
            );
            if !address.is_empty() && previous.is_none_or(|previous| previous.address != address) {
                self.log_lines
                    .push(format!("worker {id:012x} is {name} at {address}"));
            }
        }
        (full, entries)
    }
}

/// Maps a worker's name to a 48-bit id, the same at all schedulers (FNV-1a, folded).
pub fn worker_id(name: &str) -> u64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 48)) & 0xffff_ffff_ffff
}
