//! One connection to another process, from the first message queued for it to its end.

use super::CallError;
use super::frame::Frame;
use crate::incarnation::Incarnation;
use bytes::Bytes;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::{Notify, mpsc, oneshot};

/// Messages that wait for one connection.
const QUEUE: usize = 512;

/// What becomes of a call.
pub type Outcome = Result<Bytes, CallError>;

/// The calls that wait for an answer on this connection, and on no other.
type Waiting = HashMap<u64, oneshot::Sender<Outcome>>;

/// One connection to another process.
pub struct Link {
    /// The only life that the messages are meant for; none if none is known.
    pub expected: Option<Incarnation>,
    queue: mpsc::Sender<Frame>,
    waiting: Mutex<Waiting>,
    /// Another life is at the address: the connection is to end.
    replaced: Notify,
}

impl Link {
    /// A link without a connection yet, and the queue of its messages.
    pub fn new(expected: Option<Incarnation>) -> (Arc<Link>, mpsc::Receiver<Frame>) {
        let (queue, queued) = mpsc::channel(QUEUE);
        let link = Link {
            expected,
            queue,
            waiting: Mutex::default(),
            replaced: Notify::new(),
        };
        (Arc::new(link), queued)
    }

    /// Queues a message; whether there was room.
    pub fn send(&self, frame: Frame) -> bool {
        self.queue.try_send(frame).is_ok()
    }

    /// Notes a call before it is queued.
    pub fn expect_answer(&self, call: u64) -> oneshot::Receiver<Outcome> {
        let (answer, answered) = oneshot::channel();
        self.waiting.lock().insert(call, answer);
        answered
    }

    /// Nobody waits for this call any more.
    pub fn forget_call(&self, call: u64) {
        self.waiting.lock().remove(&call);
    }

    /// An answer has come on this connection.
    pub fn answered(&self, call: u64, body: Bytes) {
        let waits = self.waiting.lock().remove(&call);
        waits.map(|waits| waits.send(Ok(body)));
    }

    /// The connection has ended, and its queue is dropped: no call on it gets an answer.
    pub fn ended(&self, cause: CallError) {
        let waiting = std::mem::take(&mut *self.waiting.lock());
        waiting
            .into_values()
            .for_each(|waits| drop(waits.send(Err(cause))));
    }

    /// Ends the connection.
    pub fn replace(&self) {
        self.replaced.notify_one();
    }

    /// Waits until the connection is to end.
    pub async fn replaced(&self) {
        self.replaced.notified().await;
    }
}
