//! The register's replica of this process: its acceptor in memory, the storage behind it, and its
//! replies.

use super::acceptor_storage::{AcceptorStorage, Health, OpenedAcceptor};
use mintlb_register::acceptor::{Acceptor, DurableWrite};
use mintlb_register::ballot::Ballot;
use mintlb_register::message::{AcceptedValue, Reply, Request, RequestBody};
use mintlb_register::replica_set::Replica;
use mintlb_register::state::ControlState;
use parking_lot::Mutex;
use std::sync::Arc;

/// The reason for which the replica gives no reply. The request may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotDurable {
    /// The disk has failed and is being reopened, or the file is closed.
    #[error("the reply could not be made durable")]
    DiskFailed,
    /// The queue of writes is full.
    #[error("too many writes wait for the disk")]
    QueueFull,
}

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
    acceptor: Mutex<Acceptor>,
    storage: AcceptorStorage,
}

impl LocalReplica {
    /// A replica with the contents of its file, from which the id of the identity is taken.
    pub fn new(opened: OpenedAcceptor, mut identity: Replica) -> LocalReplica {
        identity.id = opened.id;
        LocalReplica {
            acceptor: Mutex::new(Acceptor::new(opened.id, opened.state)),
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
        self.acceptor.lock().state().accepted.clone()
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
        self.persist(|acceptor| {
            let response = acceptor.handle(request);
            (response.durable_write, response.reply)
        })
        .await
    }

    /// Learns a chosen value that has not reached this replica, so that its disk is as recent as
    /// those of the majority. Does nothing if it has this value or a newer one, or is no member of
    /// the value's replica set.
    pub async fn catch_up(&self, chosen: &AcceptedValue) {
        let is_behind = self
            .accepted()
            .is_none_or(|accepted| accepted.ballot < chosen.ballot);
        let is_member = chosen
            .state
            .replicas
            .members()
            .any(|member| member.id == self.identity.id);
        if is_behind && is_member {
            // Without success the replica stays behind, and catches up after the next read.
            self.persist(|acceptor| (acceptor.learn(chosen), ()))
                .await
                .ok();
        }
    }

    /// Writes the first value of a new register, with this replica as the only member.
    ///
    /// # Errors
    ///
    /// If the value could not be made durable, or the replica is not new.
    pub async fn bootstrap(&self, ballot: Ballot) -> Result<AcceptedValue, BootstrapError> {
        let proposed = AcceptedValue {
            ballot,
            state: Arc::new(ControlState::bootstrap(self.identity.clone())),
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

    /// Applies a step to the acceptor and returns its result once all that the acceptor remembers
    /// is durable.
    async fn persist<T>(
        &self,
        step: impl FnOnce(&mut Acceptor) -> (DurableWrite, T),
    ) -> Result<T, NotDurable> {
        let (result, synced) = {
            let mut acceptor = self.acceptor.lock();
            match self.storage.take_health() {
                Health::Good => (),
                Health::Failed => return Err(NotDurable::DiskFailed),
                Health::Reloaded(state) => *acceptor = Acceptor::new(self.identity.id, state),
            }
            if self.storage.is_full() {
                return Err(NotDurable::QueueFull);
            }
            let (write, result) = step(&mut acceptor);
            if write == DurableWrite::Nothing && self.storage.is_synced() {
                return Ok(result);
            }
            (result, self.storage.sync(write))
        };
        synced.await.map_err(|_| NotDurable::DiskFailed)?;
        Ok(result)
    }
}
