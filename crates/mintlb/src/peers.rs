//! What the schedulers have told one another, and what is yet to be told: nothing is decided here.

use crate::Worker;
use crate::roll::Roll;
use crate::word::{self, Word};
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Default)]
pub struct Peers {
    /// Where what we hold has changed since it was told.
    news: Vec<Rc<Worker>>,
    /// Of each other scheduler: when its last word was written by its own clock, and came by ours.
    heard: BTreeMap<usize, (f64, f64)>,
    /// The longest that work may last: who is silent for longer holds nothing.
    pub longest: f64,
    /// When it was last looked for such.
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

    /// As much as one word has room for; of the rest the next one tells.
    pub fn word(&mut self, now: f64) -> Word {
        let most = self.news.len().min(word::MOST);
        let told = |w: Rc<Worker>| (w.line.key(), w.tell());
        Word { sent: now, holds: self.news.drain(..most).map(told).collect() }
    }

    /// A word of another scheduler counts if it is later than those heard. Workers told of are ranked one by one.
    pub fn hear(&mut self, now: f64, from: usize, word: &Word, workers: &mut Roll) {
        if self.heard.get(&from).is_some_and(|(sent, _)| word.sent <= *sent) {
            return;
        }
        self.heard.insert(from, (word.sent, now));
        for (key, slots) in &word.holds {
            if let Some(w) = workers.keyed(*key).cloned() {
                w.hear(from, *slots);
                workers.meet(&w);
            }
        }
        if now < self.looked + self.longest / 8.0 {
            return;
        }
        self.looked = now;
        while let Some((&silent, _)) = self.heard.iter().find(|(_, (_, came))| *came + self.longest < now) {
            self.heard.remove(&silent);
            workers.all().for_each(|w| w.hear(silent, 0));
        }
    }
}
