//! Slots for client connections. When all are in use, the least valuable connection is closed: a flood of connections
//! must not keep out those that bring work.

use crate::sniffer::{EvictionRank, RequestSniffer};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The slots of one listener.
pub struct ConnectionSlots {
    capacity: usize,
    /// The time in which an ordinary client sends a complete request.
    request_time: Duration,
    connections: Mutex<BTreeMap<u64, Arc<RequestSniffer>>>,
    slot_freed: Notify,
}

/// The slot of one connection, released on drop.
pub struct ConnectionSlot {
    connection_id: u64,
    pub sniffer: Arc<RequestSniffer>,
    slots: Arc<ConnectionSlots>,
}

impl ConnectionSlot {
    /// Whether the connection may still be closed after a close was requested. Not if bytes have arrived since: a
    /// request that has arrived in part or completely would be lost.
    pub fn may_close(&self) -> bool {
        self.sniffer
            .eviction_rank(self.slots.request_time)
            .is_some_and(|(rank, _)| rank != EvictionRank::MaybeReceiving)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.connections.lock().remove(&self.connection_id);
        self.slots.slot_freed.notify_one();
    }
}

impl ConnectionSlots {
    /// `request_time` is the time in which an ordinary client sends a complete request.
    pub fn new(capacity: usize, request_time: Duration) -> Arc<ConnectionSlots> {
        let (connections, slot_freed) = Default::default();
        Arc::new(ConnectionSlots {
            capacity,
            request_time,
            connections,
            slot_freed,
        })
    }

    /// The number of connections.
    pub fn in_use(&self) -> usize {
        self.connections.lock().len()
    }

    /// Waits for a free slot, evicting connections as needed. Returns the number of connections asked to close.
    pub async fn wait_for_slot(&self) -> u64 {
        let mut closed = 0;
        while self.in_use() >= self.capacity {
            closed += u64::from(self.evict_one());
            timeout(self.request_time / 4, self.slot_freed.notified())
                .await
                .ok();
        }
        closed
    }

    /// Asks the least valuable connection to close; returns whether there was one. Connections that bring work, or may
    /// be sending a request, are spared at first, to find others that bring none; but not while few may be sending one,
    /// as the clients that wait to be accepted may already have sent work.
    pub fn evict_one(&self) -> bool {
        let connections = self.connections.lock();
        let ranked = || {
            connections
                .values()
                .filter_map(|sniffer| Some((sniffer.eviction_rank(self.request_time)?, sniffer)))
        };
        let maybe_receiving = ranked()
            .filter(|((rank, _), _)| *rank == EvictionRank::MaybeReceiving)
            .count();
        let is_evictable = |rank| {
            rank < EvictionRank::MaybeReceiving
                || rank > EvictionRank::MaybeReceiving
                    && maybe_receiving < self.capacity.div_ceil(2)
        };
        let victim = ranked()
            .filter(|((rank, _), _)| is_evictable(*rank))
            .min_by_key(|&(rank, _)| rank);
        victim.map(|(_, sniffer)| sniffer.request_close()).is_some()
    }

    /// Asks all connections to close that neither wait for a response nor are, or may be, sending a request. A slow
    /// request is bounded by the read timeout.
    pub fn close_idle(&self) {
        let connections = self.connections.lock();
        let rank = |sniffer: &RequestSniffer| {
            sniffer
                .eviction_rank(self.request_time)
                .map_or(EvictionRank::MaybeReceiving, |(rank, _)| rank)
        };
        let idle = |sniffer: &&Arc<RequestSniffer>| {
            !sniffer.is_busy() && rank(sniffer) != EvictionRank::MaybeReceiving
        };
        connections
            .values()
            .filter(idle)
            .for_each(|sniffer| sniffer.request_close());
    }

    /// Acquires a slot. Only the accept loop does so, so that a slot found free by [`ConnectionSlots::wait_for_slot`]
    /// is still free.
    pub fn acquire(self: &Arc<ConnectionSlots>, connection_id: u64) -> ConnectionSlot {
        let sniffer = Arc::new(RequestSniffer::default());
        self.connections
            .lock()
            .insert(connection_id, sniffer.clone());
        ConnectionSlot {
            connection_id,
            sniffer,
            slots: self.clone(),
        }
    }
}
