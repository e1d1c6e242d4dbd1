//! Exchange of load between schedulers: which slots each holds at which worker.

use crate::Worker;
use crate::peer_message::{self, PeerMessage};
use crate::worker_index::WorkerIndex;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Interval of the search for expired reports, as a share of `max_work_duration`.
const EXPIRY_INTERVAL_SHARE: f64 = 1.0 / 8.0;

/// What other schedulers have reported, and what is to be reported to them.
#[derive(Default)]
pub struct Peers {
    /// Workers where this scheduler's slots have changed since they were last reported.
    changed_workers: Vec<Rc<Worker>>,
    /// Of each other scheduler's last message: when it was sent by its clock, and when it arrived by ours.
    last_messages: BTreeMap<usize, (f64, f64)>,
    /// Longest time that an attempt may take, in seconds. By then all work behind a report has ended, and a
    /// scheduler reports each change; so if a report is older, its sender is gone or has restarted, or a later message
    /// was lost.
    pub max_work_duration: f64,
    /// When expired reports were last searched for.
    last_expiry: f64,
}

impl Peers {
    /// Notes that this scheduler's slots at a worker have changed, to be reported to the others.
    pub fn record_change(&mut self, worker: &Rc<Worker>, is_enabled: bool) {
        if is_enabled && !worker.change_queued.replace(true) {
            self.changed_workers.push(worker.clone());
        }
    }

    pub fn has_changes(&self) -> bool {
        !self.changed_workers.is_empty()
    }

    /// As many changes as fit into one message, if there are any; the rest is left for the next one.
    pub fn next_message(&mut self, now: f64) -> Option<PeerMessage> {
        let count = self.changed_workers.len().min(peer_message::MAX_ENTRIES);
        let report_of = |w: Rc<Worker>| (w.entry.peer_key(), w.slots_for_peers());
        let slots_held: Vec<_> = self.changed_workers.drain(..count).map(report_of).collect();
        (count > 0).then_some(PeerMessage {
            sent_at: now,
            slots_held,
        })
    }

    /// Applies a message of another scheduler, unless it is older than one already applied. The workers that it names
    /// are ranked individually from now on.
    pub fn apply(
        &mut self,
        now: f64,
        from: usize,
        message: &PeerMessage,
        workers: &mut WorkerIndex,
    ) {
        let expired_before = now - self.max_work_duration;
        // If the sender's clock was set back, its messages count again after that time.
        if self
            .last_messages
            .get(&from)
            .is_some_and(|(sent, received)| message.sent_at <= *sent && *received >= expired_before)
        {
            return;
        }
        self.last_messages.insert(from, (message.sent_at, now));
        for (key, slots) in &message.slots_held {
            if let Some(w) = workers.by_peer_key(*key).cloned() {
                w.record_peer_slots(now, from, *slots);
                workers.track(&w);
            }
        }
        if now >= self.last_expiry + self.max_work_duration * EXPIRY_INTERVAL_SHARE {
            self.last_expiry = now;
            workers
                .all()
                .for_each(|w| w.expire_peer_slots(expired_before));
        }
    }

    /// When the exchange is disabled, discards all reports. When it is enabled, does nothing: the caller applies and
    /// records what is exchanged from then on.
    pub fn set_enabled(&mut self, is_enabled: bool, workers: &WorkerIndex) {
        if is_enabled {
            return;
        }
        workers
            .all()
            .for_each(|w| w.expire_peer_slots(f64::INFINITY));
        self.changed_workers
            .drain(..)
            .for_each(|w| w.change_queued.set(false));
        self.last_messages.clear();
    }
}
