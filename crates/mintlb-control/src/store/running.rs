//! A store that serves, and its graceful shutdown: it reports that it is draining and continues to
//! serve until its shards have other primaries, its replicas have moved, and all writes are
//! durable.

use super::driver::Driver;
use super::error::StoreError;
use super::handle::Store;
use super::storage::CommitQueue;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Maximum duration of a handover, the time for which a draining store continues to serve.
const MAX_HANDOVER_TIME: Duration = Duration::from_millis(4000);
/// Minimum duration of a handover: the controllers need this long to answer whether its replicas
/// move.
const MIN_HANDOVER_TIME: Duration = Duration::from_millis(800);
/// Upper bound of the grace period, in seconds.
const MAX_GRACE_PERIOD_S: f64 = 60.0;
/// Share of the grace period that the handover may take.
const GRACE_PERIOD_SHARE: f64 = 0.5;
/// After the handover, messages that are in flight get this long to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// How long a handover lasts.
#[derive(Clone, Copy, Debug)]
pub(super) struct HandoverLimits {
    min: Duration,
    max: Duration,
}

impl HandoverLimits {
    /// Limits for a machine's grace period, in seconds.
    pub(super) fn new(grace_period_s: f64) -> HandoverLimits {
        let share = grace_period_s.clamp(0.0, MAX_GRACE_PERIOD_S) * GRACE_PERIOD_SHARE;
        let max = MAX_HANDOVER_TIME.min(Duration::from_secs_f64(share));
        HandoverLimits {
            min: MIN_HANDOVER_TIME.min(max),
            max,
        }
    }
}

/// A store that serves, with the tasks that it owns.
pub(super) struct RunningStore {
    pub store: Arc<Store>,
    pub driver: Driver,
    pub commit_queue: CommitQueue,
    pub handover: HandoverLimits,
    /// Aborted when the store ends.
    pub tasks: JoinSet<()>,
}

impl RunningStore {
    /// Serves until it is dropped.
    ///
    /// # Errors
    ///
    /// If the file turns out to be damaged when it is opened again.
    pub(super) async fn serve(&mut self) -> Result<Infallible, StoreError> {
        loop {
            self.driver.step().await?;
        }
    }

    /// Hands the shards over and ends the store's tasks.
    ///
    /// # Errors
    ///
    /// If the file turns out to be damaged meanwhile.
    pub(super) async fn shut_down(mut self) -> Result<(), StoreError> {
        log::info!("store: shutdown requested, handing its shards over");
        self.store.start_draining();
        let started = Instant::now();
        while self.is_handing_over(started.elapsed()) {
            self.driver.step().await?;
        }
        sleep(FLUSH_TIME).await;
        self.tasks.shutdown().await;
        Ok(())
    }

    fn is_handing_over(&self, elapsed: Duration) -> bool {
        elapsed < self.handover.max
            && (elapsed < self.handover.min
                || self.store.has_shards_to_hand_over()
                || !self.commit_queue.is_idle())
    }
}
