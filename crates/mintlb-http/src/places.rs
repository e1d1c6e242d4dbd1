//! The places for clients' connections. When all are taken, the one that is missed least makes room: a flood
//! of connections must not keep out those that bring work.

use crate::seen::{Missed, Seen};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

pub struct Places {
    most: usize,
    /// A request that has not come whole by then is not one of a usual client.
    takes: Duration,
    taken: Mutex<BTreeMap<u64, Arc<Seen>>>,
    left: Notify,
}

/// Held by a connection for as long as it lasts.
pub struct Place {
    number: u64,
    pub seen: Arc<Seen>,
    places: Arc<Places>,
}

impl Place {
    /// Whether it may still close, now that its end has been called for. What was read since, or what has come and is not
    /// read yet, would be lost with it: a request may have come, in part or whole, and wait for its answer.
    pub fn may_close(&self) -> bool {
        self.seen
            .missed(self.places.takes)
            .is_some_and(|(missed, _)| missed != Missed::Perhaps)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places.taken.lock().remove(&self.number);
        self.places.left.notify_one();
    }
}

impl Places {
    pub fn new(most: usize, takes: Duration) -> Arc<Places> {
        let (taken, left) = Default::default();
        Arc::new(Places {
            most,
            takes,
            taken,
            left,
        })
    }

    pub fn count(&self) -> usize {
        self.taken.lock().len()
    }

    /// Waits until there is a place; how many connections were ended for it.
    pub async fn wait(&self) -> u64 {
        let mut ended = 0;
        while self.count() >= self.most {
            ended += u64::from(self.make_room());
            timeout(self.takes / 4, self.left.notified()).await.ok();
        }
        ended
    }

    /// Ends the connection that is missed least. Before those that bring work go, or may yet, it waits to see who else
    /// brings none; but not while these are few: whoever waits to be accepted may have handed in work already.
    pub fn make_room(&self) -> bool {
        let taken = self.taken.lock();
        let missed = || {
            taken
                .values()
                .filter_map(|seen| Some((seen.missed(self.takes)?, seen)))
        };
        let may_yet = missed()
            .filter(|((missed, _), _)| *missed == Missed::Perhaps)
            .count();
        let goes = |missed| {
            missed < Missed::Perhaps || missed > Missed::Perhaps && may_yet < self.most.div_ceil(2)
        };
        let least = missed()
            .filter(|((missed, _), _)| goes(*missed))
            .min_by_key(|&(missed, _)| missed);
        least.map(|(_, seen)| seen.call()).is_some()
    }

    /// Ends all connections but those that wait for an answer, or whose request is or may be on its way: one that
    /// comes slowly is bounded by the time that any request is given.
    pub fn close_idle(&self) {
        let taken = self.taken.lock();
        let missed = |seen: &Seen| {
            seen.missed(self.takes)
                .map_or(Missed::Perhaps, |(missed, _)| missed)
        };
        let idle = |seen: &&Arc<Seen>| !seen.is_busy() && missed(seen) != Missed::Perhaps;
        taken.values().filter(idle).for_each(|seen| seen.call());
    }

    /// Only the one loop that accepts takes places, so one that was free is still free.
    pub fn take(self: &Arc<Places>, number: u64) -> Place {
        let seen = Arc::new(Seen::default());
        self.taken.lock().insert(number, seen.clone());
        Place {
            number,
            seen,
            places: self.clone(),
        }
    }
}
