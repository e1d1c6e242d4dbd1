//! Records that were announced but not received yet, and the timers of their grafts.

use crate::message::RecordVersion;
use crate::record_id::RecordId;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long an announced record may still arrive on an eager link before it is requested.
pub const GRAFT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a neighbor has to send a requested record before another one is asked.
pub const GRAFT_RETRY_TIMEOUT: Duration = Duration::from_millis(300);

/// How many announced records are waited for.
const MAX_MISSING: usize = 8192;
/// How many announcers of one record are kept.
const MAX_ANNOUNCERS: usize = 4;

#[derive(Debug)]
struct Missing {
    version: u64,
    /// Neighbors that have announced the version, in the order in which they are asked.
    announcers: Vec<SocketAddr>,
    graft_at: Instant,
}

impl Missing {
    fn add_announcer(&mut self, address: SocketAddr) {
        if self.announcers.len() < MAX_ANNOUNCERS && !self.announcers.contains(&address) {
            self.announcers.push(address);
        }
    }
}

/// The records to request from one neighbor.
#[derive(Debug)]
pub(super) struct GraftRequest {
    pub(super) to: SocketAddr,
    pub(super) ids: Vec<RecordId>,
}

/// Records that were announced but not received yet.
#[derive(Debug, Default)]
pub(super) struct MissingRecords {
    records: FxHashMap<RecordId, Missing>,
    next_graft_at: Option<Instant>,
}

impl MissingRecords {
    /// When the next graft is due, if there is a missing record.
    pub(super) fn deadline(&self) -> Option<Instant> {
        self.next_graft_at
    }

    /// A neighbor has announced a version that is newer than the known one.
    pub(super) fn on_announced(
        &mut self,
        now: Instant,
        from: SocketAddr,
        announced: RecordVersion,
    ) {
        let RecordVersion { id, version } = announced;
        let graft_at = now + GRAFT_TIMEOUT;
        let first_announcement = Missing {
            version,
            announcers: vec![from],
            graft_at,
        };
        let is_full = self.records.len() >= MAX_MISSING;
        match self.records.get_mut(&id) {
            Some(missing) if version > missing.version => *missing = first_announcement,
            Some(missing) if version < missing.version => return,
            Some(missing) => missing.add_announcer(from),
            None if is_full => return,
            None => _ = self.records.insert(id, first_announcement),
        }
        let next = self.next_graft_at.map_or(graft_at, |at| at.min(graft_at));
        self.next_graft_at = Some(next);
    }

    /// This version of a record is known now.
    pub(super) fn on_known(&mut self, id: RecordId, known: Option<u64>) {
        let is_received = |missing: &Missing| known >= Some(missing.version);
        if self.records.get(&id).is_some_and(is_received) {
            self.records.remove(&id);
        }
    }

    /// The requests that are due, each to the next announcer that is still linked. A record without
    /// such an announcer is left to anti-entropy.
    pub(super) fn due_grafts(
        &mut self,
        now: Instant,
        is_linked: impl Fn(SocketAddr) -> bool,
    ) -> Vec<GraftRequest> {
        if self.next_graft_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let mut requests: Vec<GraftRequest> = Vec::new();
        self.records.retain(|&id, missing| {
            if now < missing.graft_at {
                return true;
            }
            missing.announcers.retain(|&address| is_linked(address));
            if missing.announcers.is_empty() {
                return false;
            }
            let to = missing.announcers.remove(0);
            missing.graft_at = now + GRAFT_RETRY_TIMEOUT;
            match requests.iter_mut().find(|request| request.to == to) {
                Some(request) => request.ids.push(id),
                None => requests.push(GraftRequest { to, ids: vec![id] }),
            }
            true
        });
        self.next_graft_at = self.records.values().map(|missing| missing.graft_at).min();
        requests
    }
}
