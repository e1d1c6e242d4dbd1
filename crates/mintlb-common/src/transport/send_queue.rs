//! Messages that wait for their connection, and the counts that tell how a transport's links cope.

use super::frame::Frame;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::time::Instant;

/// What a transport has sent and what waits, over all of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendStatistics {
    /// Bytes handed to the operating system so far, headers included.
    pub sent_bytes: u64,
    /// Bytes of messages that wait to be handed over.
    pub queued_bytes: u64,
    /// The longest that a message has waited until it was handed over, since the statistics were
    /// last taken.
    pub longest_wait: Duration,
    /// Messages dropped so far because a queue had no capacity left.
    pub dropped_messages: u64,
}

/// The counters behind [`SendStatistics`].
#[derive(Debug, Default)]
pub struct SendCounters {
    sent_bytes: AtomicU64,
    queued_bytes: AtomicU64,
    longest_wait_ms: AtomicU64,
    dropped_messages: AtomicU64,
}

impl SendCounters {
    /// Bytes handed to the operating system so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Relaxed)
    }

    /// Bytes of messages that wait to be handed over.
    pub fn queued_bytes(&self) -> u64 {
        self.queued_bytes.load(Relaxed)
    }

    /// The statistics; the longest wait begins anew.
    pub fn take(&self) -> SendStatistics {
        SendStatistics {
            sent_bytes: self.sent_bytes(),
            queued_bytes: self.queued_bytes(),
            longest_wait: Duration::from_millis(self.longest_wait_ms.swap(0, Relaxed)),
            dropped_messages: self.dropped_messages.load(Relaxed),
        }
    }

    /// Counts bytes that are handed to the operating system.
    pub fn on_sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Relaxed);
    }

    /// Counts a message that found its queue full.
    pub fn on_dropped(&self) {
        self.dropped_messages.fetch_add(1, Relaxed);
    }
}

/// A message in the queue of a connection. It counts as queued until it is dropped.
#[derive(Debug)]
pub struct QueuedFrame {
    frame: Frame,
    queued_at: Instant,
    counters: Arc<SendCounters>,
}

impl QueuedFrame {
    /// Counts a message as queued from now on.
    pub fn new(frame: Frame, counters: &Arc<SendCounters>) -> QueuedFrame {
        let bytes = frame.body.len() as u64;
        counters.queued_bytes.fetch_add(bytes, Relaxed);
        QueuedFrame {
            frame,
            queued_at: Instant::now(),
            counters: counters.clone(),
        }
    }

    /// The message.
    pub fn frame(&self) -> &Frame {
        &self.frame
    }

    /// Notes that the message is handed over to the operating system.
    pub fn on_handed_over(&self) {
        let waited_ms = self.queued_at.elapsed().as_millis() as u64;
        self.counters.longest_wait_ms.fetch_max(waited_ms, Relaxed);
    }
}

impl Drop for QueuedFrame {
    fn drop(&mut self) {
        let bytes = self.frame.body.len() as u64;
        self.counters.queued_bytes.fetch_sub(bytes, Relaxed);
    }
}
