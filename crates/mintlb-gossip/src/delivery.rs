//! Delivery of records to the subscribers.

use mintlb_common::record::Record;
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::sync::Arc;

/// A callback for each record that is applied.
pub type Subscriber = Arc<dyn Fn(&Record) + Send + Sync>;

/// The queue of records for the subscribers.
///
/// A subscriber is called without a lock, so that it may publish; one call at a time, so that each
/// subscriber gets the records in the order in which they were applied.
#[derive(Default)]
pub(crate) struct DeliveryQueue {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    subscribers: Vec<Subscriber>,
    queue: VecDeque<(Subscriber, Arc<Record>)>,
    is_delivering: bool,
}

impl DeliveryQueue {
    /// Adds a subscriber, and queues the known records for it.
    pub(crate) fn subscribe<'a>(
        &self,
        subscriber: Subscriber,
        known: impl Iterator<Item = &'a Arc<Record>>,
    ) {
        let mut state = self.state.lock();
        let known = known.map(|record| (subscriber.clone(), record.clone()));
        state.queue.extend(known);
        state.subscribers.push(subscriber);
    }

    /// Queues a record for all subscribers.
    pub(crate) fn push(&self, record: &Arc<Record>) {
        let mut state = self.state.lock();
        let State {
            subscribers, queue, ..
        } = &mut *state;
        queue.extend(
            subscribers
                .iter()
                .map(|subscriber| (subscriber.clone(), record.clone())),
        );
    }

    /// Calls the subscribers until the queue is empty, unless another caller does so already.
    pub(crate) fn deliver(&self) {
        while let Some((subscriber, record)) = self.start_delivery() {
            subscriber(&record);
            self.state.lock().is_delivering = false;
        }
    }

    fn start_delivery(&self) -> Option<(Subscriber, Arc<Record>)> {
        let mut state = self.state.lock();
        if state.is_delivering {
            return None;
        }
        let next = state.queue.pop_front()?;
        state.is_delivering = true;
        Some(next)
    }
}
