//! This process's replica of the register: its vote in memory, the file behind it, and its answers.

use crate::controller::register::acceptor_storage::{AcceptorStorage, Health, OpenedAcceptor};
use mintlb_register::acceptor::{Acceptor, DurableWrite};
use mintlb_register::message::{AcceptedValue, Reply, Request};
use mintlb_register::replica_set::Replica;
use mintlb_register::state::ControlState;
use mintlb_register::{ballot::Ballot, message::RequestBody};
use parking_lot::Mutex;
use std::sync::Arc;

/// The replica.
pub struct LocalReplica {
    identity: Replica,
    acceptor: Mutex<Acceptor>,
    store: AcceptorStorage,
}

impl LocalReplica {
    /// A replica with what its file held; the identity's id is taken from there.
    pub fn new(opened: OpenedAcceptor, mut identity: Replica) -> LocalReplica {
        identity.id = opened.id;
        LocalReplica {
            acceptor: Mutex::new(Acceptor::new(opened.id, opened.vote)),
            store: opened.store,
            identity,
        }
    }

    /// What the set says of this replica.
    pub fn identity(&self) -> &Replica {
        &self.identity
    }

    /// The value that it accepted last, which may not be chosen.
    pub fn accepted(&self) -> Option<AcceptedValue> {
        self.acceptor.lock().state().accepted.clone()
    }

    /// Lets go of the file; nothing is answered any more that has to be synced.
    pub fn close(&self) {
        self.store.close();
    }

    /// Answers once everything that the answer tells of is synced; `None` if it could not be, or while too much waits.
    pub async fn answer(&self, request: Request) -> Option<Reply> {
        self.persist(|acceptor| {
            let answered = acceptor.handle(request);
            (answered.durable_write, answered.reply)
        })
        .await
    }

    /// Takes in a chosen value that has not come here: then the disk here is as new as those of the majority. Nothing
    /// happens if it has it, or something newer, or is no member of the value's set.
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
            self.persist(|acceptor| (acceptor.learn(chosen), ())).await;
        }
    }

    /// What came of the vote, once all that it has taken in is on disk.
    async fn persist<T>(&self, vote: impl FnOnce(&mut Acceptor) -> (DurableWrite, T)) -> Option<T> {
        let (result, persist) = {
            let mut acceptor = self.acceptor.lock();
            match self.store.take_health() {
                Health::Good => (),
                Health::Failed => return None,
                Health::Reloaded(vote) => *acceptor = Acceptor::new(self.identity.id, vote),
            }
            if self.store.is_full() {
                return None;
            }
            let (sync, result) = vote(&mut acceptor);
            if sync == DurableWrite::Nothing && self.store.is_synced() {
                return Some(result);
            }
            (result, self.store.sync(sync))
        };
        persist.await.ok().map(|()| result)
    }

    /// Writes the first value of a register, with this replica as the only one; `None` if it could not be synced.
    pub async fn found(&self, ballot: Ballot) -> Option<AcceptedValue> {
        let state = Arc::new(ControlState::bootstrap(self.identity.clone()));
        let proposed = AcceptedValue { ballot, state };
        let request = Request {
            target: self.identity.id,
            body: RequestBody::Accept {
                proposed: proposed.clone(),
            },
        };
        match self.answer(request).await {
            Some(Reply::Accepted { .. }) => Some(proposed),
            _ => None,
        }
    }
}
