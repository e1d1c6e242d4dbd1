//! What the schedulers have told one another, and what is yet to be told: nothing is decided here.

use crate::Worker;
use crate::peer_message::{self, PeerMessage};
use crate::worker_index::WorkerIndex;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What is too old is looked for each time this part of the longest that work may last is over.
const LOOK: f64 = 1.0 / 8.0;

#[derive(Default)]
pub struct Peers {
    /// Where what we hold has changed since it was told.
    news: Vec<Rc<Worker>>,
    /// When each other scheduler's last word was written, by its own clock, and when it came, by ours.
    heard: BTreeMap<usize, (f64, f64)>,
    /// The longest that work may last. Who holds some for longer has begun it since, and has told: so what is older was
    /// told by one that is gone or has started anew, or a later word was lost.
    pub longest: f64,
    /// When that was last looked for.
    looked: f64,
}

impl Peers {
    /// We hold more or less there than before, which the others are to be told.
    pub fn changed(&mut self, worker: &Rc<Worker>, shares: bool) {
        if shares && !worker.noted.replace(true) {
            self.news.push(worker.clone());
        }
    }

    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// As much as one word has room for, if there is any; of the rest the next one tells.
    pub fn word(&mut self, now: f64) -> Option<PeerMessage> {
        let most = self.news.len().min(peer_message::MAX_ENTRIES);
        let told = |w: Rc<Worker>| (w.entry.peer_key(), w.tell());
        let slots_held: Vec<_> = self.news.drain(..most).map(told).collect();
        (most > 0).then_some(PeerMessage {
            sent_at: now,
            slots_held,
        })
    }

    /// A word of another scheduler counts if it is later than those heard. Workers told of are ranked one by one.
    pub fn hear(&mut self, now: f64, from: usize, word: &PeerMessage, workers: &mut WorkerIndex) {
        let oldest = now - self.longest;
        // A clock that was set back is believed again once its old word is as old as that.
        if self
            .heard
            .get(&from)
            .is_some_and(|(sent, came)| word.sent_at <= *sent && *came >= oldest)
        {
            return;
        }
        self.heard.insert(from, (word.sent_at, now));
        for (key, slots) in &word.slots_held {
            if let Some(w) = workers.keyed(*key).cloned() {
                w.hear(now, from, *slots);
                workers.meet(&w);
            }
        }
        if now >= self.looked + self.longest * LOOK {
            self.looked = now;
            workers.all().for_each(|w| w.void(oldest));
        }
    }

    /// Where nobody tells anything any more, what was told holds no more.
    pub fn allow(&mut self, shares: bool, workers: &WorkerIndex) {
        if shares {
            return;
        }
        workers.all().for_each(|w| w.void(f64::INFINITY));
        self.news.drain(..).for_each(|w| w.noted.set(false));
        self.heard.clear();
    }
}
