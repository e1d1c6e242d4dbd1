//! The places for clients' connections. When all are taken, the one that is missed least makes room: a flood
//! of connections must not keep out those that bring work.

use crate::sniffer::{EvictionRank, RequestSniffer};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

pub struct ConnectionSlots {
    most: usize,
    /// A request that has not come whole by then is not one of a usual client.
    takes: Duration,
    taken: Mutex<BTreeMap<u64, Arc<RequestSniffer>>>,
    left: Notify,
}

/// Held by a connection for as long as it lasts.
pub struct ConnectionSlot {
    number: u64,
    pub sniffer: Arc<RequestSniffer>,
    places: Arc<ConnectionSlots>,
}

impl ConnectionSlot {
    /// Whether it may still close, now that its end has been called for. What was read since, or what has come and is not
    /// read yet, would be lost with it: a request may have come, in part or whole, and wait for its answer.
    pub fn may_close(&self) -> bool {
        self.sniffer
            .eviction_rank(self.places.takes)
            .is_some_and(|(missed, _)| missed != EvictionRank::MaybeReceiving)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.places.taken.lock().remove(&self.number);
        self.places.left.notify_one();
    }
}

impl ConnectionSlots {
    pub fn new(most: usize, takes: Duration) -> Arc<ConnectionSlots> {
        let (taken, left) = Default::default();
        Arc::new(ConnectionSlots {
            most,
            takes,
            taken,
            left,
        })
    }

    pub fn in_use(&self) -> usize {
        self.taken.lock().len()
    }

    /// Waits until there is a place; how many connections were ended for it.
    pub async fn wait_for_slot(&self) -> u64 {
        let mut ended = 0;
        while self.in_use() >= self.most {
            ended += u64::from(self.evict_one());
            timeout(self.takes / 4, self.left.notified()).await.ok();
        }
        ended
    }

    /// Ends the connection that is missed least. Before those that bring work go, or may yet, it waits to see who else
    /// brings none; but not while these are few: whoever waits to be accepted may have handed in work already.
    pub fn evict_one(&self) -> bool {
        let taken = self.taken.lock();
        let missed = || {
            taken
                .values()
                .filter_map(|sniffer| Some((sniffer.eviction_rank(self.takes)?, sniffer)))
        };
        let may_yet = missed()
            .filter(|((missed, _), _)| *missed == EvictionRank::MaybeReceiving)
            .count();
        let goes = |missed| {
            missed < EvictionRank::MaybeReceiving
                || missed > EvictionRank::MaybeReceiving && may_yet < self.most.div_ceil(2)
        };
        let least = missed()
            .filter(|((missed, _), _)| goes(*missed))
            .min_by_key(|&(missed, _)| missed);
        least.map(|(_, sniffer)| sniffer.request_close()).is_some()
    }

    /// Ends all connections but those that wait for an answer, or whose request is or may be on its way: one that
    /// comes slowly is bounded by the time that any request is given.
    pub fn close_idle(&self) {
        let taken = self.taken.lock();
        let missed = |sniffer: &RequestSniffer| {
            sniffer
                .eviction_rank(self.takes)
                .map_or(EvictionRank::MaybeReceiving, |(missed, _)| missed)
        };
        let idle = |sniffer: &&Arc<RequestSniffer>| {
            !sniffer.is_busy() && missed(sniffer) != EvictionRank::MaybeReceiving
        };
        taken
            .values()
            .filter(idle)
            .for_each(|sniffer| sniffer.request_close());
    }

    /// Only the one loop that accepts takes places, so one that was free is still free.
    pub fn acquire(self: &Arc<ConnectionSlots>, number: u64) -> ConnectionSlot {
        let sniffer = Arc::new(RequestSniffer::default());
        self.taken.lock().insert(number, sniffer.clone());
        ConnectionSlot {
            number,
            sniffer,
            places: self.clone(),
        }
    }
}
