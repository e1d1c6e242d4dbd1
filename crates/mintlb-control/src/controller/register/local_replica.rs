//! The register's replica of this process, for the tasks that wait for its replies.

use super::acceptor_storage::{AcceptorStorage, OpenedAcceptor};
use super::replica_core::Completion;
pub use super::replica_core::NotDurable;
use super::stopped_workers::StoppedWorker;
use mintlb_common::quorum::FaultTolerance;
use mintlb_common::record::WorkerRecord;
use mintlb_common::wall_clock::unix_ms;
use mintlb_register::ballot::Ballot;
use mintlb_register::message::{AcceptedValue, Reply, Request, RequestBody};
use mintlb_register::replica_set::Replica;
use mintlb_register::state::ControlState;
use std::sync::Arc;

/// The reason for which the register can't be initialized with a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BootstrapError {
    /// This process has no replica.
    #[error("there is no replica here")]
    NoReplica,
    /// The replica has promised a higher ballot: it is not new.
    #[error("the replica has promised a higher ballot")]
    Rejected,
    /// The first value could not be made durable.
    #[error(transparent)]
    NotDurable(#[from] NotDurable),
}

/// The replica of this process.
pub struct LocalReplica {
    identity: Replica,
    storage: AcceptorStorage,
}

impl LocalReplica {
    /// A replica with the contents of its file, from which the id of the identity is taken.
    pub fn new(opened: OpenedAcceptor, mut identity: Replica) -> LocalReplica {
        identity.id = opened.id;
        LocalReplica {
            storage: opened.storage,
            identity,
        }
    }

    /// The entry of this replica in the replica set.
    pub fn identity(&self) -> &Replica {
        &self.identity
    }

    /// The value that it accepted last, which may not be chosen.
    pub fn accepted(&self) -> Option<AcceptedValue> {
        self.storage.accepted()
    }

    /// Closes the file. The replica gives no reply any more that would need a sync.
    pub fn close(&self) {
        self.storage.close();
    }

    /// Handles a request and replies once everything that the reply promises is durable.
    ///
    /// # Errors
    ///
    /// If it could not be made durable, or while the queue of writes is full.
    pub async fn answer(&self, request: Request) -> Result<Reply, NotDurable> {
        match self.storage.request(request).await {
            Ok(Ok(Completion::Reply(reply))) => Ok(reply),
            Ok(Err(error)) => Err(error),
            Ok(Ok(_)) | Err(_) => Err(NotDurable::DiskFailed),
        }
    }

    /// Learns a chosen value that has not reached this replica, so that its disk is as recent as
    /// those of the majority. Does nothing if it has this value or a newer one, or is no member of
    /// the value's replica set.
    pub async fn catch_up(&self, chosen: &AcceptedValue) {
        // Without success the replica stays behind, and catches up after the next read.
        self.storage.learn(chosen).await.ok();
    }

    /// Stores a worker that has announced its drain or end. Resolves once that is durable.
    ///
    /// # Errors
    ///
    /// If it could not be made durable, or while the queue of writes is full.
    pub async fn store_stopped_worker(&self, record: WorkerRecord) -> Result<(), NotDurable> {
        let stored = self.storage.store_stopped_worker(StoppedWorker {
            record,
            stored_at_ms: unix_ms(),
        });
        match stored.await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(NotDurable::DiskFailed),
        }
    }

    /// Stores the same without waiting for the disk.
    pub fn store_stopped_worker_later(&self, record: WorkerRecord) {
        // Without success another replica has it: an acknowledgement waits for a quorum.
        drop(self.storage.store_stopped_worker(StoppedWorker {
            record,
            stored_at_ms: unix_ms(),
        }));
    }

    /// The records that are to be published after a restart.
    pub fn retained_stopped_workers(&self) -> Vec<WorkerRecord> {
        let now_ms = unix_ms();
        let stopped = self.storage.stopped_workers();
        let retained = stopped.iter().filter(|worker| worker.is_retained(now_ms));
        retained.map(|worker| worker.record.clone()).collect()
    }

    /// Writes the first value of a new register, with this replica as the only member.
    ///
    /// # Errors
    ///
    /// If the value could not be made durable, or the replica is not new.
    pub async fn bootstrap(
        &self,
        ballot: Ballot,
        tolerance: FaultTolerance,
    ) -> Result<AcceptedValue, BootstrapError> {
        let proposed = AcceptedValue {
            ballot,
            state: Arc::new(ControlState::bootstrap(self.identity.clone(), tolerance)),
        };
        let request = Request {
            target: self.identity.id,
            body: RequestBody::Accept {
                proposed: proposed.clone(),
            },
        };
        match self.answer(request).await? {
            Reply::Accepted { .. } => Ok(proposed),
            _ => Err(BootstrapError::Rejected),
        }
    }
}
