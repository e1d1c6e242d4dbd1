//! What a store carries: bytes by kind of message, how long commits and connections take, and the
//! backlog of the shards that it leads. Logged regularly while there are batch jobs.

use super::handle::Store;
use super::rejections::{RejectionCounters, Rejections};
use mintlb_batch::messages::StoreRequest;
use mintlb_common::transport::{SendStatistics, Transport};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// How often the load is logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Bytes are logged in units of 1000.
const KILOBYTE: u64 = 1000;

/// A kind of message, by which bytes are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Submissions, and their responses.
    Submit,
    /// Reads of results.
    Read,
    /// Reads of an item's body.
    Body,
    /// Leases, with the payloads of the leased items.
    Lease,
    /// Renewals of leases.
    Renew,
    /// Results of items.
    Record,
    /// Allowances of quotas.
    Quota,
    /// Messages between the replicas of a shard.
    Replication,
    /// Everything else.
    Other,
}

impl MessageKind {
    const ALL: [(MessageKind, &'static str); 9] = [
        (MessageKind::Submit, "submit"),
        (MessageKind::Read, "read"),
        (MessageKind::Body, "body"),
        (MessageKind::Lease, "lease"),
        (MessageKind::Renew, "renew"),
        (MessageKind::Record, "record"),
        (MessageKind::Quota, "quota"),
        (MessageKind::Replication, "replication"),
        (MessageKind::Other, "other"),
    ];

    /// The kind of a dispatcher's request.
    pub fn of(request: &StoreRequest) -> MessageKind {
        match request {
            StoreRequest::Submit(_) => MessageKind::Submit,
            StoreRequest::Read(_) => MessageKind::Read,
            StoreRequest::Body(_) => MessageKind::Body,
            StoreRequest::Lease(_) => MessageKind::Lease,
            StoreRequest::Renew(_) => MessageKind::Renew,
            StoreRequest::Record(_) => MessageKind::Record,
            StoreRequest::AcquireAllowance(_) | StoreRequest::RecallAllowances(_) => {
                MessageKind::Quota
            }
            StoreRequest::End(_)
            | StoreRequest::Release(_)
            | StoreRequest::ReleaseItems(_)
            | StoreRequest::HasHostPlacedJobs(_) => MessageKind::Other,
            StoreRequest::InHostShard(request) => MessageKind::of(request),
            StoreRequest::ForTenant(request) => MessageKind::of(&request.request),
        }
    }
}

/// Bytes by kind of message.
#[derive(Debug, Default)]
struct ByteCounts([AtomicU64; MessageKind::ALL.len()]);

impl ByteCounts {
    fn add(&self, kind: MessageKind, bytes: usize) {
        self.0[kind as usize].fetch_add(bytes as u64, Relaxed);
    }

    /// The counts since the last call.
    fn take(&self) -> BytesByKind {
        BytesByKind(std::array::from_fn(|kind| self.0[kind].swap(0, Relaxed)))
    }
}

/// Bytes by kind of message; shown in kilobytes, without the kinds that have none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BytesByKind([u64; MessageKind::ALL.len()]);

impl BytesByKind {
    /// The bytes of one kind.
    pub fn of(&self, kind: MessageKind) -> u64 {
        self.0[kind as usize]
    }

    /// The bytes of all kinds.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

impl fmt::Display for BytesByKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} KB", self.total() / KILOBYTE)?;
        for (kind, name) in MessageKind::ALL {
            let kilobytes = self.of(kind) / KILOBYTE;
            if kilobytes > 0 {
                write!(f, ", {name} {kilobytes}")?;
            }
        }
        Ok(())
    }
}

/// Counters of a store's load, shared by all of its parts.
#[derive(Debug, Default)]
pub struct LoadCounters {
    received: ByteCounts,
    sent: ByteCounts,
    longest_commit_ms: AtomicU64,
    /// Rejected submissions.
    pub rejections: RejectionCounters,
}

impl LoadCounters {
    /// Counts a message that was received.
    pub fn on_received(&self, kind: MessageKind, bytes: usize) {
        self.received.add(kind, bytes);
    }

    /// Counts a message that is sent.
    pub fn on_sent(&self, kind: MessageKind, bytes: usize) {
        self.sent.add(kind, bytes);
    }

    /// Notes how long a change waited for its commit.
    pub fn on_committed(&self, waited: Duration) {
        self.longest_commit_ms
            .fetch_max(waited.as_millis() as u64, Relaxed);
    }

    /// The load since the last call.
    pub fn take(&self) -> Load {
        Load {
            received: self.received.take(),
            sent: self.sent.take(),
            longest_commit: Duration::from_millis(self.longest_commit_ms.swap(0, Relaxed)),
            rejections: self.rejections.take(),
        }
    }
}

/// A store's load over a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Received bytes.
    pub received: BytesByKind,
    /// Sent bytes.
    pub sent: BytesByKind,
    /// The longest that a change waited for its commit.
    pub longest_commit: Duration,
    /// Rejected submissions.
    pub rejections: Rejections,
}

/// Logs the load of a store until it is dropped, while it carries batch jobs.
pub async fn report(store: Arc<Store>, transport: Arc<Transport>) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let load = store.load().take();
        let links = transport.take_send_statistics();
        let backlog = store.backlog();
        if backlog.pending_items > 0 || load.received.of(MessageKind::Submit) > 0 {
            log_load(&load, &links);
            log::info!("store: {backlog}");
            if !load.rejections.is_empty() {
                log::info!("store: {}", load.rejections);
            }
        }
    }
}

fn log_load(load: &Load, links: &SendStatistics) {
    log::info!(
        "store: sent {} and received {} in {} s",
        load.sent,
        load.received,
        REPORT_INTERVAL.as_secs()
    );
    log::info!(
        "store: longest commit {} ms, longest wait for a connection {} ms, {} KB queued, {} \
         messages dropped so far",
        load.longest_commit.as_millis(),
        links.longest_wait.as_millis(),
        links.queued_bytes / KILOBYTE,
        links.dropped_messages
    );
}
