//! The sending side of one connection to a peer: its queue of messages and the calls that wait for
//! a response on it.

use super::CallError;
use super::frame::Frame;
use super::send_queue::{QueuedFrame, SendCounters};
use crate::incarnation::Incarnation;
use bytes::Bytes;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::{Notify, mpsc, oneshot};

/// Messages that may be queued for one connection.
const QUEUE_CAPACITY: usize = 512;

/// The result of a call: the body of the response.
pub type CallResult = Result<Bytes, CallError>;

/// The calls that wait for a response, by call number.
type PendingCalls = HashMap<u64, oneshot::Sender<CallResult>>;

/// One connection to a peer, from the first message queued for it until it ends.
///
/// A response counts only on the link that its request was sent on: a call never moves to another
/// connection.
pub struct Link {
    expected: Option<Incarnation>,
    queue: mpsc::Sender<QueuedFrame>,
    counters: Arc<SendCounters>,
    pending: Mutex<PendingCalls>,
    close_requested: Notify,
}

impl Link {
    /// Creates a link that is not connected yet, and the receiving end of its queue. Only the
    /// incarnation `expected` may receive its messages; any may if `expected` is `None`.
    pub fn new(
        expected: Option<Incarnation>,
        counters: Arc<SendCounters>,
    ) -> (Arc<Link>, mpsc::Receiver<QueuedFrame>) {
        let (queue, queued) = mpsc::channel(QUEUE_CAPACITY);
        let link = Link {
            expected,
            queue,
            counters,
            pending: Mutex::default(),
            close_requested: Notify::new(),
        };
        (Arc::new(link), queued)
    }

    /// The only incarnation that may receive the messages; `None` if any may.
    pub fn expected(&self) -> Option<Incarnation> {
        self.expected
    }

    /// Queues a message. Returns whether the queue had capacity for it.
    pub fn send(&self, frame: Frame) -> bool {
        let queued = QueuedFrame::new(frame, &self.counters);
        let has_capacity = self.queue.try_send(queued).is_ok();
        if !has_capacity {
            self.counters.on_dropped();
        }
        has_capacity
    }

    /// Registers a call. Has to precede [`Link::send`], or an early response would find nobody
    /// waiting.
    pub fn register_call(&self, call: u64) -> oneshot::Receiver<CallResult> {
        let (result_sender, result) = oneshot::channel();
        self.pending.lock().insert(call, result_sender);
        result
    }

    /// Removes a call that nobody waits for any more.
    pub fn forget_call(&self, call: u64) {
        self.pending.lock().remove(&call);
    }

    /// Completes a call with the response received on this connection.
    pub fn complete_call(&self, call: u64, body: Bytes) {
        let result_sender = self.pending.lock().remove(&call);
        if let Some(result_sender) = result_sender {
            result_sender.send(Ok(body)).ok();
        }
    }

    /// Fails all pending calls: the connection has ended and its queue is dropped.
    pub fn fail_pending_calls(&self, cause: CallError) {
        let pending = std::mem::take(&mut *self.pending.lock());
        for result_sender in pending.into_values() {
            result_sender.send(Err(cause)).ok();
        }
    }

    /// Requests the connection to be closed, as its peer was replaced by another incarnation.
    pub fn close(&self) {
        self.close_requested.notify_one();
    }

    /// Waits until the connection is to be closed.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }
}
