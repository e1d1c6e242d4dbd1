//! What the schedulers have told one another, and what is yet to be told: nothing is decided here.

use crate::Worker;
use crate::roll::Roll;
use crate::word::{self, Word};
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
    pub fn word(&mut self, now: f64) -> Option<Word> {
        let most = self.news.len().min(word::MOST);
        let told = |w: Rc<Worker>| (w.line.key(), w.tell());
        let holds: Vec<_> = self.news.drain(..most).map(told).collect();
        (most > 0).then_some(Word { sent: now, holds })
    }

    /// A word of another scheduler counts if it is later than those heard. Workers told of are ranked one by one.
    pub fn hear(&mut self, now: f64, from: usize, word: &Word, workers: &mut Roll) {
        let oldest = now - self.longest;
        // A clock that was set back is believed again once its old word is as old as that.
        if self
            .heard
            .get(&from)
            .is_some_and(|(sent, came)| word.sent <= *sent && *came >= oldest)
        {
            return;
        }
        self.heard.insert(from, (word.sent, now));
        for (key, slots) in &word.holds {
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
    pub fn allow(&mut self, shares: bool, workers: &Roll) {
        if shares {
            return;
        }
        workers.all().for_each(|w| w.void(f64::INFINITY));
        self.news.drain(..).for_each(|w| w.noted.set(false));
        self.heard.clear();
    }
}
